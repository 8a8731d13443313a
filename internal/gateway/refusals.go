package gateway

import (
	"sync"
	"time"
)

// Bounds of the list of refusals.
const (
	// refusalKept is longer than any caller is told to stay away.
	refusalKept = 4 * time.Second
	maxRefusals = 4096
	// maxToldRefusals bounds what one summary tells, so that it stays one datagram.
	maxToldRefusals = 64
)

// refusalList remembers the requests that entries of the region have turned away, by
// a fingerprint that is the same when the caller comes back, to any of them. The
// target of an answer counts from the first try. It is safe for concurrent use.
type refusalList struct {
	mu     sync.Mutex
	seen   map[uint64]refusal
	untold []toldRefusal
}

type refusal struct {
	asked time.Duration // when the caller first asked
	at    time.Duration
	count int // alike and not yet back
}

// toldRefusal is a refusal for the other entries.
type toldRefusal struct {
	mark  uint64
	asked time.Duration
}

func newRefusals() *refusalList {
	return &refusalList{seen: make(map[uint64]refusal)}
}

// refused records that this entry has turned a request away.
func (l *refusalList) refused(mark uint64, asked, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(mark, asked, now)
	if len(l.untold) < maxToldRefusals {
		l.untold = append(l.untold, toldRefusal{mark: mark, asked: asked})
	}
}

// told records what another entry says of its refusals.
func (l *refusalList) told(marks []uint64, agesMS []uint32, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, mark := range marks {
		if i < len(agesMS) {
			l.add(mark, now-time.Duration(agesMS[i])*time.Millisecond, now)
		}
	}
}

func (l *refusalList) add(mark uint64, asked, now time.Duration) {
	r, known := l.seen[mark]
	if !known && len(l.seen) >= maxRefusals {
		return
	}
	l.seen[mark] = refusal{asked: asked, at: now, count: r.count + 1}
}

// returned reports how long ago the caller of a request first asked, 0 for one that
// was not turned away.
func (l *refusalList) returned(mark uint64, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.seen[mark]
	if !known {
		return 0
	}
	if r.count--; r.count > 0 {
		l.seen[mark] = r
	} else {
		delete(l.seen, mark)
	}
	return max(now-r.asked, 0)
}

// takeUntold returns the refusals since the call before.
func (l *refusalList) takeUntold(now time.Duration) (marks []uint64, agesMS []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.untold {
		marks = append(marks, r.mark)
		agesMS = append(agesMS, uint32((now-r.asked)/time.Millisecond))
	}
	l.untold = l.untold[:0]
	return marks, agesMS
}

func (l *refusalList) forget(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for mark, r := range l.seen {
		if now-r.at > refusalKept {
			delete(l.seen, mark)
		}
	}
}
