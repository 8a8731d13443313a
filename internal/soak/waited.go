package soak

import (
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Bounds of requests that wait at a server.
const (
	// goneSlack is how long after its caller has left a request may still reach a server or
	// begin, and goneFew how many requests may do so later.
	goneSlack = 500 * time.Millisecond
	goneFew   = 3
	// goneShare is the part of the requests that would have lasted so long.
	goneShare = 0.25
	// deadlineSlack is how much longer than its caller's a request's time budget may be, and
	// deadlineFew how many requests may get more time when they are sent once more.
	deadlineSlack = 500 * time.Millisecond
	deadlineFew   = 3
)

// naming is the naming of a version of the weights.
type naming struct {
	version int64
	at      time.Time
	calm    bool // without any fault, so that its bound counts at once and for all
}

// named records a version that was named.
func (l *ledger) named(version int64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.namings = append(l.namings, naming{version: version, at: at})
}

// namedInCalm records that a version was named without any fault.
func (l *ledger) namedInCalm(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.namings {
		l.namings[i].calm = l.namings[i].calm || l.namings[i].version == version
	}
}

// withdrawn records a request that did not begin since its caller had left.
func (l *ledger) withdrawn(w standin.Withdrawal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawals = append(l.withdrawals, w)
}

// checkVersion finds a run on old weights after the bound of a newer version.
func (l *ledger) checkVersion(run standin.Run) {
	for _, n := range l.namings {
		if run.Version == 0 || run.Version >= n.version || run.Began.Sub(n.at) <= versionBound {
			continue
		}
		counted := n.at
		if !n.calm {
			counted = later(counted, l.calmSince(run.Began))
		}
		late := run.Began.Sub(counted)
		if late <= versionBound || !n.calm && !l.sentInTouch(run) {
			continue
		}
		l.violateLocked("versions: %s began on version %d at %s, %s after version %d was named; it arrived %s before it began, without any fault: %t",
			run.Attempt, run.Version, run.Server, run.Began.Sub(n.at), n.version, run.Began.Sub(run.Arrived), n.calm)
		return
	}
}

// sentInTouch reports whether the process that sent a request on was in touch as it reached
// the server. What became of the server or of the process afterwards is no excuse.
func (l *ledger) sentInTouch(run standin.Run) bool {
	c, known := l.calls[run.Attempt]
	return known && !l.inTouchSince(c.entry, run.Server, run.Arrived).After(run.Arrived)
}

// checkDeadline finds a run that began after the deadline which its request carried, or whose
// request carried none or a longer time budget than its caller's.
func (l *ledger) checkDeadline(run standin.Run) {
	c, known := l.calls[run.Attempt]
	if !known || c.budget == 0 || !l.sentInTouch(run) {
		return
	}
	carried := run.Deadline.Sub(run.Arrived)
	switch {
	case run.Deadline.IsZero():
		l.violateLocked("deadline: %s reached %s from %s without a time budget", run.Attempt, run.Server, c.entry)
	case carried > c.budget+deadlineSlack:
		l.violateLocked("deadline: %s reached %s from %s with a time budget of %s, its caller's is %s", run.Attempt, run.Server, c.entry, carried, c.budget)
	case run.Began.Sub(run.Deadline) > deadlineSlack:
		l.violateLocked("deadline: %s began at %s %s after its deadline", run.Attempt, run.Server, run.Began.Sub(run.Deadline))
	}
}

// checkExtended finds that more than a few requests got more time than their callers had
// when they were sent once more.
func (l *ledger) checkExtended() {
	extended, attempt := 0, ""
	for _, runs := range l.runs {
		for _, again := range runs[1:] {
			if l.isExtended(runs[0], again) {
				extended++
				attempt = again.Attempt
			}
		}
	}
	if extended > deadlineFew {
		l.violateLocked("deadline: %d requests that were sent once more got more time than their callers had, among them %s", extended, attempt)
	}
}

// isExtended reports whether the time budget of a request that was sent once more, a good
// while later, ends well after the one of the first time and its caller's.
func (l *ledger) isExtended(first, again standin.Run) bool {
	c, known := l.calls[again.Attempt]
	if !known || c.budget == 0 || again.Arrived.Sub(first.Arrived) <= deadlineSlack || !l.sentInTouch(again) {
		return false
	}
	end := later(first.Deadline, first.Arrived.Add(c.budget))
	return again.Deadline.Sub(end) > deadlineSlack
}

// checkGone finds that more than a few requests reached a server long after their callers had
// left, or that more than a part of those that would have begun so late did.
func (l *ledger) checkGone() {
	reached := 0
	for _, a := range l.arrivals {
		if l.isGone(a.Attempt, a.Server, a.At) {
			reached++
		}
	}
	if reached > goneFew {
		l.violateLocked("gone: %d requests reached servers later than %s after their callers had left", reached, goneSlack)
	}
	begun, attempt := 0, ""
	for _, runs := range l.runs {
		for _, run := range runs {
			// What an engine begins though it knows better is not the sender's.
			if !run.Left && l.isGone(run.Attempt, run.Server, run.Began) {
				begun++
				attempt = run.Attempt
			}
		}
	}
	due := begun
	for _, w := range l.withdrawals {
		if l.isGone(w.Attempt, w.Server, w.Due) {
			due++
		}
	}
	if begun > goneFew && float64(begun) > goneShare*float64(due) {
		l.violateLocked("gone: %d of %d requests began later than %s after their callers had left, among them %s", begun, due, goneSlack, attempt)
	}
}

// isGone reports whether the caller of a stream or of a request that may be repeated had left
// for long at a time, at a process that was in touch since.
func (l *ledger) isGone(attempt, server string, at time.Time) bool {
	c, known := l.calls[attempt]
	if !known || !c.idempotent && len(c.parts) == 0 || c.left.IsZero() || at.Sub(c.left) <= goneSlack {
		return false
	}
	return !l.inTouchSince(c.entry, server, at).After(c.left)
}

// calmSince returns the time since which the store was stable and no link was disturbed, as
// of a time.
func (r *run) calmSince(until time.Time) time.Time {
	last := r.storeDisturbed.last(until)
	if !last.IsZero() {
		last = last.Add(contactTime)
	}
	for _, l := range r.links {
		last = later(last, l.contact.last(until))
		last = later(last, l.silences.last(until))
	}
	return last
}
