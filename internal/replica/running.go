package replica

import "time"

// runningTime sums up for how long an endpoint was seen running, by the times at which it
// answered.
type runningTime struct {
	total, last time.Duration
	observed    bool
}

// maxCountedGap limits what the gap between two answers counts, because the endpoint may
// have been suspended in between.
const maxCountedGap = 300 * time.Millisecond

// observe records an answer.
func (t *runningTime) observe(now time.Duration) {
	if t.observed {
		t.total += min(now-t.last, maxCountedGap)
	}
	t.last, t.observed = now, true
}
