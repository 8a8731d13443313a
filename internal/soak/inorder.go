package soak

import (
	"fmt"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Bounds of streams that an engine ends in good order with their time left, though they are
// not complete. An entry can find that out only at another engine, where there is room.
const (
	// takenFew of them may be given to their callers as whole, and takenShare of those that
	// were ended so.
	takenFew   = 3
	takenShare = 0.5
)

// endedInOrder reports whether the last run of a call was ended in good order, and not
// complete. The caller holds the mutex.
func (l *ledger) endedInOrder(attempt string) bool {
	runs, finishes := l.runs[attempt], l.finishes[attempt]
	if len(runs) == 0 || len(finishes) == 0 {
		return false
	}
	last := finishes[len(finishes)-1]
	return last.Kind == standin.FinishedInOrder && last.Server == runs[len(runs)-1].Server
}

// checkInOrder finds that more than a few of the streams that were ended in good order, and
// more than a part of them, were given to their callers as whole without another engine having
// been asked.
func (l *ledger) checkInOrder() {
	all := 0
	for _, finishes := range l.finishes {
		for _, f := range finishes {
			if f.Kind == standin.FinishedInOrder {
				all++
			}
		}
	}
	taken := len(l.taken)
	if taken > takenFew && float64(taken) > takenShare*float64(all) {
		l.violateLocked("answers: %d of %d streams that ended in good order before they were complete were taken for whole, among them %s",
			taken, all, l.taken[0])
	}
	l.ends = append(l.ends, fmt.Sprintf("%d of %d streams that ended in good order before they were complete were taken for whole", taken, all))
}
