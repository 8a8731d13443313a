package suspects

import "time"

// Break records that an endpoint broke off an attempt whose answer had just begun, or could
// begin. It is evidence once the endpoint is known to have crashed. First reports whether
// it is the first such attempt: the caller then finds out whether the endpoint is there.
func (e *Evidence) Break(now time.Duration, i Incarnation, a Attempt) (first bool) {
	e.mu.Lock()
	if c := e.crash(i); c != nil {
		added := e.addOwn(now, c, []Attempt{a})
		e.mu.Unlock()
		if added {
			e.reportDue()
		}
		return false
	}
	defer e.mu.Unlock()
	b := e.breaks[i]
	if first = b == nil; first {
		if len(e.breaks) >= maxEvidence {
			return false
		}
		b = &crash{incarnation: i, at: now}
		e.breaks[i] = b
		e.broken.Add(1)
	}
	b.own, _ = addAttempts(b.own, []Attempt{a}, maxOwnAttempts)
	return first
}

// Refute records that an endpoint has answered a request that was sent at the given time:
// what it had broken off before was no crash.
func (e *Evidence) Refute(i Incarnation, sent time.Duration) {
	if e.broken.Load() == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if b := e.breaks[i]; b != nil && b.at < sent {
		e.dropBreak(i)
	}
}

// Confirm records that an incarnation of an endpoint is gone. It reports whether that is a
// crash which this entry has evidence of.
func (e *Evidence) Confirm(now time.Duration, i Incarnation) bool {
	if e.broken.Load() == 0 {
		return false
	}
	e.mu.Lock()
	b := e.breaks[i]
	e.dropBreak(i)
	if b != nil && now-b.at <= breakTime {
		e.addOwn(now, e.addCrash(i, b.at), b.own)
	} else {
		b = nil
	}
	e.mu.Unlock()
	if b != nil {
		e.reportDue()
	}
	return b != nil
}

// ConfirmMissing confirms the crashes of those incarnations that are not listed any more.
func (e *Evidence) ConfirmMissing(now time.Duration, listed func(Incarnation) bool) {
	if e.broken.Load() == 0 {
		return
	}
	e.mu.Lock()
	var missing []Incarnation
	for i := range e.breaks {
		if !listed(i) {
			missing = append(missing, i)
		}
	}
	e.mu.Unlock()
	for _, i := range missing {
		e.Confirm(now, i)
	}
}

func (e *Evidence) dropBreak(i Incarnation) {
	if e.breaks[i] != nil {
		delete(e.breaks, i)
		e.broken.Add(-1)
	}
}
