package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/retry"
)

// A resumption that is promised is allowed when it is asked for, whatever happens meanwhile.
func TestPromiseIsKept(t *testing.T) {
	for _, test := range []struct {
		name      string
		meanwhile func(b *retry.Budget)
	}{
		{"nothing", func(*retry.Budget) {}},
		{"a retry", func(b *retry.Budget) {
			require.Equal(t, retry.Retry, start(b).Decide(retry.MayHaveRun(), plenty).Kind())
		}},
		{"a resumption that was not promised", func(b *retry.Budget) { start(b).Resume(plenty) }},
		{"a promise between the end of the attempt and the decision", func(b *retry.Budget) {
			b.TakeBack()
			if b.Promise() {
				start(b).Resume(plenty)
				b.TakeBack()
			}
			b.Promise()
		}},
		{"requests are no longer in the window", func(b *retry.Budget) { b.SetAllowance(2*window, window, 0.1, 0.9) }},
		{"more entries", func(b *retry.Budget) { b.SetAllowance(time.Second, window, 0.01, 0.1) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := retry.NewBudget(retry.WithRatio(1), retry.WithReserve(1))
			b.SetAllowance(0, window, 0.1, 0.9)
			stream := start(b)
			require.True(t, b.Promise())
			test.meanwhile(b)
			b.TakeBack()
			require.Equal(t, retry.Retry, stream.Resume(plenty).Kind())
		})
	}
}

// In no window are there more retries and resumptions than the operators allow, in whatever
// order they come: a version is set among calm traffic, and an endpoint fails after that.
func TestRetriesAfterResumptionsStayWithinTheAllowance(t *testing.T) {
	const (
		ratio, reserve = 0.2, 13.0 // of dvp-faq, an entry's share of 104
		duration       = 2 * time.Minute
		boundAt        = time.Minute
	)
	b := retry.NewBudget(retry.WithRatio(0.75*ratio), retry.WithReserve(1), retry.WithMaxAttempts(1000))
	var requests, retries []time.Duration // times of them
	for now := time.Duration(0); now < duration; now += interval {
		b.Refill(0.35*reserve*interval.Seconds()/window.Seconds(), 0.4*reserve)
		b.SetAllowance(now, window, 0.9*ratio, 0.9*reserve)
		s := start(b)
		requests = append(requests, now)
		for now == boundAt && s.Resume(plenty).Kind() == retry.Retry {
			retries = append(retries, now)
		}
		// Each request meets the endpoint that fails; its retry succeeds.
		if now > boundAt && s.Decide(retry.MayHaveRun(), plenty).Kind() == retry.Retry {
			retries = append(retries, now)
		}
	}
	count := func(times []time.Duration, from time.Duration) (n int) {
		for _, at := range times {
			if at >= from && at < from+window {
				n++
			}
		}
		return n
	}
	worst, at := 0.0, time.Duration(0) // attempts beyond what the operators allow
	for from := window; from < duration-window; from += interval {
		asked := max(count(requests, from), count(requests, from-window), count(requests, from-window/2))
		if beyond := float64(count(retries, from)) - ratio*float64(asked) - reserve; beyond > worst {
			worst, at = beyond, from
		}
	}
	require.Zero(t, worst, "window from %v: %d attempts beyond the first, %d requests", at, count(retries, at), count(requests, at))
}
