package soak

import (
	"sync"
	"time"
)

// lasting is the number of a fault that does not end: connections which it silenced may
// be used at any time.
const lasting = -1

// noFault is the number of no fault.
const noFault = -2

// span is the time of one fault; it has no end while the fault is there.
type span struct {
	fault      int
	begun, end time.Time
}

// spans are the times at which something was disturbed. They are safe for concurrent
// use.
type spans struct {
	mu   sync.Mutex
	list []span
}

// begin records the begin of a fault.
func (s *spans) begin(fault int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, span{fault: fault, begun: time.Now()})
}

// finish records the end of a fault.
func (s *spans) finish(fault int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.list {
		if s.list[i].fault == fault && s.list[i].end.IsZero() {
			s.list[i].end = time.Now()
		}
	}
}

// overlap reports whether a fault was there between two times.
func (s *spans) overlap(from, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.list {
		if p.begun.Before(until) && (p.end.IsZero() || p.end.After(from)) {
			return true
		}
	}
	return false
}

// moment records a fault without duration.
func (s *spans) moment() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.list = append(s.list, span{begun: now, end: now})
}

// last returns the end of the fault that ended last, as of a time: that time if a fault is
// still there, zero if there was none before.
func (s *spans) last(until time.Time) time.Time { return s.lastExcept(until, noFault) }

// lastExcept is last without the faults of one number.
func (s *spans) lastExcept(until time.Time, fault int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for _, p := range s.list {
		if p.fault == fault || !p.begun.Before(until) {
			continue
		}
		if p.end.IsZero() || p.end.After(until) {
			return until
		}
		last = later(last, p.end)
	}
	return last
}
