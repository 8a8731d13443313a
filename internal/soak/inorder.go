package soak

import (
	"fmt"

	"github.com/primrosetally/primrosetally/platform/standin"
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

// noteInOrder notes how many streams were ended in good order before they were complete, and
// how many of them their callers got as whole, each of which is a violation.
func (l *ledger) noteInOrder() {
	all := 0
	for _, finishes := range l.finishes {
		for _, f := range finishes {
			if f.Kind == standin.FinishedInOrder {
				all++
			}
		}
	}
	l.ends = append(l.ends, fmt.Sprintf("%d of %d streams that ended in good order before they were complete were taken for whole", l.taken, all))
}
