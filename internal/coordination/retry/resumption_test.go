package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/retry"
)

const (
	window   = 10 * time.Second
	plenty   = 10 * time.Second
	interval = 100 * time.Millisecond // between two settings of the allowance
)

// start starts a request whose stream may be resumed.
func start(b *retry.Budget) *retry.Sequence {
	return b.Start(retry.WithIdempotent(true), retry.WithMinTime(time.Millisecond))
}

func TestResume(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		attempts   int // resumptions before the last one
		reserve    float64
		timeLeft   time.Duration
		denial     retry.Denial
	}{
		{"allowed", true, 0, 5, plenty, ""},
		{"may run only once", false, 0, 5, plenty, retry.DeniedMayRun},
		{"no time left", true, 0, 5, 0, retry.DeniedTime},
		{"no attempts left", true, 3, 5, plenty, retry.DeniedAttempts},
		{"nothing allowed", true, 0, 0, plenty, retry.DeniedBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := retry.NewBudget(retry.WithRatio(0))
			b.SetAllowance(0, window, 0, tt.reserve)
			s := b.Start(retry.WithIdempotent(tt.idempotent), retry.WithMinTime(time.Millisecond))
			for range tt.attempts {
				require.Equal(t, retry.Retry, s.Resume(tt.timeLeft).Kind())
			}
			d := s.Resume(tt.timeLeft)
			require.Equal(t, tt.denial, d.Denial())
			require.Equal(t, tt.denial == "", d.Kind() == retry.Retry)
		})
	}
}

// Resumptions are paid for by what is allowed in a window, less the retries in it.
func TestResumptionsInAWindow(t *testing.T) {
	b := retry.NewBudget(retry.WithRatio(1), retry.WithReserve(10), retry.WithMaxAttempts(1000))
	b.SetAllowance(0, window, 0.5, 2)
	stream := start(b)
	resumed := func() (n int) {
		for stream.Resume(plenty).Kind() == retry.Retry {
			n++
		}
		return n
	}
	for range 18 {
		start(b)
	}
	require.Equal(t, retry.Retry, start(b).Decide(retry.MayHaveRun(), plenty).Kind())
	require.Equal(t, 11, resumed(), "0.5 of 20 requests and 2, less one retry")
	require.Zero(t, resumed())
	b.SetAllowance(window-time.Second, window, 0.5, 2)
	require.Zero(t, resumed(), "the window is not over")
	b.SetAllowance(2*window, window, 0.5, 2)
	require.Equal(t, 2, resumed(), "the reserve of the next window")
}

// What is promised to one stream is not promised to another.
func TestPromises(t *testing.T) {
	b := retry.NewBudget(retry.WithRatio(0))
	b.SetAllowance(0, window, 0, 2)
	require.True(t, b.Promise())
	require.True(t, b.Promise())
	require.False(t, b.Promise())
	b.TakeBack()
	require.True(t, b.Promise())
	b.TakeBack()
	require.Equal(t, retry.Retry, start(b).Resume(plenty).Kind(), "the promise that was kept")
	require.False(t, b.Promise(), "one is promised, one was taken")
}

// In no window are there more retries and resumptions than the operators allow, whatever is
// asked for.
func TestResumptionsStayWithinTheAllowance(t *testing.T) {
	const (
		ratio, reserve = 0.2, 6.0
		duration       = 3 * time.Minute
	)
	b := retry.NewBudget(retry.WithRatio(0.75*ratio), retry.WithReserve(1), retry.WithMaxAttempts(1000))
	var requests, retries []time.Duration // times of them
	for now := time.Duration(0); now < duration; now += interval {
		b.Refill(0.35*reserve*interval.Seconds()/window.Seconds(), 0.4*reserve)
		b.SetAllowance(now, window, 0.9*ratio, 0.9*reserve)
		busy := int(now/(15*time.Second))%2 == 0
		s := start(b)
		requests = append(requests, now)
		for n := 0; busy && n < 2; n++ {
			start(b)
			requests = append(requests, now)
		}
		for s.Decide(retry.MayHaveRun(), plenty).Kind() == retry.Retry {
			retries = append(retries, now)
		}
		for s.Resume(plenty).Kind() == retry.Retry {
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
	for from := time.Duration(0); from < duration-window; from += interval {
		asked := max(count(requests, from), count(requests, from-window), count(requests, from-window/2))
		require.LessOrEqual(t, float64(count(retries, from)), ratio*float64(asked)+reserve, "window from %v", from)
	}
}
