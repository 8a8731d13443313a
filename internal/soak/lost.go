package soak

import (
	"fmt"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Bounds of requests that end without an answer.
const (
	// lostFew is how many requests an entry may pass on and end without an answer at any time.
	lostFew = 3
	// lostFactor is how much more often it may do so beside a change of the configuration.
	lostFactor = 3
	// usedTime is the part of its time with which its time may have ended a request.
	usedTime = callerTimeout * 7 / 10
	// wholeSlack is how long before the end of its time a stream has to be whole at its
	// endpoint to be whole at its caller.
	wholeSlack = 200 * time.Millisecond
	// workedShare is the part of the time to a planned stop's end in which endpoints that still
	// work may be cut off, and lateSent how long after its begin their requests were sent.
	workedShare = 6
	lateSent    = 3 * time.Second
	// readTime is the time after which a process must have read a request, so that it owes an
	// answer whether it has passed it on or not.
	readTime = 500 * time.Millisecond
)

// kept observes how often a request was written to a connection: a client repeats one by
// itself if its kept connection is closed without an answer.
type kept struct {
	mu      sync.Mutex
	written []time.Time
}

func (k *kept) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if i.Err == nil {
			k.written = append(k.written, time.Now())
		}
	}}
}

// closedAt returns when a connection was closed after the request was written to it and the
// request written once more, zero if that did not happen.
func (k *kept) closedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.written) < 2 {
		return time.Time{}
	}
	return k.written[1]
}

// finished records the end of a request at a server.
func (l *ledger) finished(f standin.Finish) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishes[f.Attempt] = append(l.finishes[f.Attempt], f)
}

// sending records that a call is sent now.
func (l *ledger) sending(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[attempt] = time.Now()
}

// tally counts the requests of an entry.
type tally struct{ sent, lost int }

func (t tally) rate() float64 { return float64(t.lost) / float64(max(t.sent, 1)) }

func (t *tally) count(lost bool) {
	t.sent++
	if lost {
		t.lost++
	}
}

// losses are the requests of one entry.
type losses struct {
	byOccasion [occasions]tally
	example    [occasions]string
}

// total returns the sum over some occasions.
func (s *losses) total(counted func(o occasion) bool) tally {
	var sum tally
	for o, t := range s.byOccasion {
		if counted(occasion(o)) {
			sum.sent += t.sent
			sum.lost += t.lost
		}
	}
	return sum
}

// checkLost finds requests that entries without any disturbance have read and that got no
// complete answer: such as were whole at their endpoint, such as a planned stop or a reload
// cut off, more than a few, and such as are cut off more often beside a change of the
// configuration.
func (l *ledger) checkLost() {
	entries := make(map[string]*losses)
	for _, c := range l.calls {
		if !l.undisturbed(c) {
			continue
		}
		s := entries[c.entry]
		if s == nil {
			s = &losses{}
			entries[c.entry] = s
		}
		o := l.planned.beside(c)
		lost := l.isLost(c)
		s.byOccasion[o].count(lost)
		if lost {
			s.example[o] = c.attempt
		}
		l.checkWhole(c, o)
	}
	for entry, s := range entries {
		l.checkRates(entry, s)
	}
	l.summarize(entries)
}

// summarize keeps, for the report, how many requests of all entries ended without an answer.
func (l *ledger) summarize(entries map[string]*losses) {
	for o := range occasions {
		var sum tally
		for _, s := range entries {
			sum.sent += s.byOccasion[o].sent
			sum.lost += s.byOccasion[o].lost
		}
		l.ends = append(l.ends, fmt.Sprintf("%d of %d requests got no answer beside %s", sum.lost, sum.sent, o))
	}
}

// undisturbed reports whether a call's entry and its ways to the servers were.
func (l *ledger) undisturbed(c call) bool {
	sound := func(server string) bool { return !l.soundSince(c.entry, server, c.ended).After(c.sent) }
	for _, run := range l.runs[c.attempt] {
		if !sound(run.Server) {
			return false
		}
	}
	return sound("")
}

// checkRates compares how often an entry ends requests beside planned work and at other times.
func (l *ledger) checkRates(entry string, s *losses) {
	for _, o := range []occasion{besideStop, besideReload} {
		if t := s.byOccasion[o]; t.lost > 0 {
			l.violateLocked("lost: %d of %d requests at %s got no answer beside %s, among them %s", t.lost, t.sent, entry, o, s.example[o])
		}
	}
	other := s.total(func(o occasion) bool { return o != besideChange })
	if t := s.byOccasion[besideChange]; t.rate() > lostFactor*other.rate() {
		l.violateLocked("lost: %d of %d requests at %s got no answer beside %s, %d of %d at other times, among them %s",
			t.lost, t.sent, entry, besideChange, other.lost, other.sent, s.example[besideChange])
	}
	if all := s.total(func(occasion) bool { return true }); all.lost > lostFew {
		l.violateLocked("lost: %d of %d requests at %s got no answer: %s", all.lost, all.sent, entry, s)
	}
}

func (s *losses) String() string {
	text := ""
	for o, t := range s.byOccasion {
		if t.lost > 0 {
			text += fmt.Sprintf("%d of %d beside %s (%s); ", t.lost, t.sent, occasion(o), s.example[o])
		}
	}
	return text
}

// isLost reports whether a call ended without a complete answer, though neither its caller nor
// its time nor its endpoint had ended it.
func (l *ledger) isLost(c call) bool {
	runs := l.runs[c.attempt]
	if !c.closed.IsZero() {
		return c.closed.Sub(c.sent) > readTime || len(runs) > 0 && runs[0].Began.Before(c.closed)
	}
	if c.whole || !c.left.IsZero() || c.ended.Sub(c.sent) >= usedTime {
		return false
	}
	if len(runs) == 0 {
		return c.ended.Sub(c.sent) > readTime && !l.stopMayCut(c)
	}
	finishes := l.finishes[c.attempt]
	for _, f := range finishes {
		switch {
		case f.Server != runs[len(runs)-1].Server:
			continue
		case f.Kind == standin.FinishedEmpty:
			return len(finishes) == len(runs) // otherwise an endpoint broke it off after its last event
		}
		return f.Kind == standin.FinishedWhole || !l.stopMayCut(c)
	}
	return false // its endpoint broke it off
}

// stopMayCut reports whether a call was still in progress at its endpoint when its entry had to
// end.
func (l *ledger) stopMayCut(c call) bool {
	l.planned.mu.Lock()
	defer l.planned.mu.Unlock()
	for _, w := range l.planned.list {
		end := w.begun.Add(stopTimeout)
		if w.occasion == besideStop && w.entry == c.entry && c.sent.Sub(w.begun) <= lateSent &&
			c.ended.After(end.Add(-stopTimeout/workedShare)) && c.ended.Before(w.ends) {
			return true
		}
	}
	return false
}

// checkWhole finds a stream that ended whole at its endpoint, long enough before the end of its
// caller's time, and was broken off at the caller.
func (l *ledger) checkWhole(c call, o occasion) {
	if c.whole || !c.left.IsZero() {
		return
	}
	for _, f := range l.finishes[c.attempt] {
		if f.Kind == standin.FinishedWhole && f.At.Before(c.sent.Add(callerTimeout-wholeSlack)) {
			l.violateLocked("lost: %s was whole at %s, %s after the end of its time left, and broken off at its caller %s later, beside %s",
				c.attempt, f.Server, f.At.Sub(f.Deadline), c.ended.Sub(f.At), o)
			return
		}
	}
}

// soundSince returns the time since which a process at an address, its callers' way to it and
// its way to a server, if one is given, are undisturbed, as of a time. Disturbances of the
// store and planned stops do not count.
func (r *run) soundSince(front, server string, until time.Time) time.Time {
	var last time.Time
	if l := r.hiddenLink(serverLink(r.deployment.ServerAddress(server))); l != nil {
		last = l.contact.last(until)
	}
	for _, l := range r.links {
		last = later(last, l.silences.last(until))
	}
	for _, m := range r.machines {
		if r.deployment.Front(m.Machine) != front {
			continue
		}
		last = later(last, later(m.halts.last(until), m.restarts.lastExcept(until, terminating)))
		last = later(last, later(m.peers.contact.last(until), m.front.contact.last(until)))
	}
	if last.IsZero() {
		return last
	}
	return last.Add(contactTime)
}
