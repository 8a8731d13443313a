package goodput

import "time"

// Figures of an engine.
const (
	slots          = 12
	pass           = 20 * time.Millisecond
	passPerRequest = time.Millisecond
	readToken      = 60 * time.Microsecond
	readChunk      = 1024 // prompt tokens a pass reads at most
	answerEvents   = 24
)

// engine works in passes: each reads a part of the oldest unread prompt and writes an
// event for every request that is read. Requests beyond its slots wait for one.
type engine struct {
	name    string
	gone    bool
	queue   []*request
	running []*request
	passEnd time.Duration
	inPass  int // prompt tokens that the pass in progress reads
}

// advance ends the passes that are over by now and returns the requests that ended.
func (e *engine) advance(now time.Duration) (ended []*request) {
	for e.passEnd > 0 && e.passEnd <= now {
		at := e.passEnd
		ended = append(ended, e.endPass(at)...)
		e.passEnd = 0
		e.beginPass(at)
	}
	if e.passEnd == 0 {
		e.beginPass(now)
	}
	return ended
}

// beginPass takes waiting requests into free slots and begins a pass if there is work.
func (e *engine) beginPass(now time.Duration) {
	for len(e.queue) > 0 && len(e.running) < slots {
		q := e.queue[0]
		e.queue = e.queue[1:]
		if q.deadline <= now {
			continue // its caller has left
		}
		e.running = append(e.running, q)
	}
	if len(e.running) == 0 {
		return
	}
	e.inPass = 0
	for _, q := range e.running {
		e.inPass = min(e.inPass+q.unread, readChunk)
	}
	e.passEnd = now + pass + time.Duration(len(e.running))*passPerRequest + time.Duration(e.inPass)*readToken
}

func (e *engine) endPass(at time.Duration) (ended []*request) {
	left := e.inPass
	still := e.running[:0]
	for _, q := range e.running {
		if q.unread > 0 {
			n := min(q.unread, left)
			q.unread -= n
			left -= n
			if q.unread > 0 {
				still = append(still, q)
				continue
			}
		}
		if q.events == 0 {
			q.first = at
		}
		if q.events++; q.events == answerEvents {
			q.ended = at
			ended = append(ended, q)
			continue
		}
		still = append(still, q)
	}
	e.running = still
	return ended
}

// load returns the requests that it has, running or not.
func (e *engine) load() int { return len(e.queue) + len(e.running) }
