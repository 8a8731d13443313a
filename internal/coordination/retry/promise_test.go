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
	interval = 100 * time.Millisecond // between two rounds of an entry
)

// start starts a request whose stream may be resumed.
func start(b *retry.Budget) *retry.Sequence {
	return b.Start(retry.WithIdempotent(true), retry.WithMinTime(time.Millisecond))
}

func TestResume(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		before     int // resumptions before the last one
		promised   bool
		timeLeft   time.Duration
		denial     retry.Denial
	}{
		{"promised", true, 0, true, plenty, ""},
		{"may run only once", false, 0, true, plenty, retry.DeniedMayRun},
		{"no time left", true, 0, true, 0, retry.DeniedTime},
		{"no attempts left", true, 3, true, plenty, retry.DeniedAttempts},
		{"not promised", true, 0, false, plenty, retry.DeniedBudget},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := retry.NewBudget(retry.WithReserve(10))
			s := b.Start(retry.WithIdempotent(test.idempotent), retry.WithMinTime(time.Millisecond))
			for range test.before {
				require.Equal(t, retry.Retry, s.Resume(b.Promise(), plenty).Kind())
			}
			var p *retry.Promise
			if test.promised {
				p = b.Promise()
			}
			d := s.Resume(p, test.timeLeft)
			require.Equal(t, test.denial, d.Denial())
			require.Equal(t, test.denial == "", d.Kind() == retry.Retry)
			resumed := uint64(test.before)
			if test.denial == "" {
				resumed++
			}
			require.Equal(t, resumed, b.Retries())
		})
	}
}

// inWindow returns how many times are in the window that begins at from.
func inWindow(times []time.Duration, from time.Duration) (n int) {
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// A resumption that is promised is allowed when it is asked for, whatever happens meanwhile.
func TestPromiseIsKept(t *testing.T) {
	for _, test := range []struct {
		name      string
		meanwhile func(b *retry.Budget)
	}{
		{"nothing", func(*retry.Budget) {}},
		{"a retry", func(b *retry.Budget) {
			require.NotEqual(t, retry.Retry, start(b).Decide(retry.MayHaveRun(), plenty).Kind())
		}},
		{"a resumption that was not promised", func(b *retry.Budget) {
			require.NotEqual(t, retry.Retry, start(b).Resume(nil, plenty).Kind())
		}},
		{"another promise", func(b *retry.Budget) { require.Nil(t, b.Promise()) }},
		{"requests are no longer in the window", func(b *retry.Budget) { b.Advance(2*window, window) }},
		{"more entries", func(b *retry.Budget) { b.Refill(0.01, 0.1) }},
		{"a failed retry", func(b *retry.Budget) {
			s := start(b)
			s.Decide(retry.MayHaveRun(), plenty)
			s.Decide(retry.MayHaveRun(), plenty)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := retry.NewBudget(retry.WithRatio(0), retry.WithReserve(1))
			b.Advance(0, window)
			stream := start(b)
			p := b.Promise()
			require.NotNil(t, p)
			test.meanwhile(b)
			require.Equal(t, retry.Retry, stream.Resume(p, plenty).Kind())
			p.Refund()
			require.Nil(t, b.Promise(), "a promise that was used is not refunded")
		})
	}
}

// What is refunded can be promised again, once.
func TestRefund(t *testing.T) {
	b := retry.NewBudget(retry.WithRatio(0), retry.WithReserve(1))
	p := b.Promise()
	require.Nil(t, b.Promise())
	p.Refund()
	p.Refund()
	require.NotNil(t, b.Promise())
	require.Nil(t, b.Promise())
	var none *retry.Promise
	none.Refund()
}

// Promises go beyond the tokens by a part of the requests of the last window.
func TestPromisesBeyondTheTokens(t *testing.T) {
	b := retry.NewBudget(retry.WithRatio(0), retry.WithReserve(2), retry.WithPromiseRatio(0.1))
	b.Advance(0, window)
	promises := func() (n int) {
		for b.Promise() != nil {
			n++
		}
		return n
	}
	for range 40 {
		start(b)
	}
	require.Equal(t, 6, promises(), "two tokens and a tenth of 40 requests")
	require.NotEqual(t, retry.Retry, start(b).Decide(retry.MayHaveRun(), plenty).Kind(), "retries have none left")
	b.Advance(window-time.Second, window)
	require.Zero(t, promises())
	b.Advance(window, window)
	require.Zero(t, promises(), "the tokens are spent, and no request is in the window")
	b.Refill(5, 2)
	require.Equal(t, 1, promises(), "what was promised beyond the tokens is paid back first")
}

// In no window are there more retries and resumptions than the operators allow, in whatever
// order they come: a version is set among calm traffic, and an endpoint fails after that.
func TestRetriesAfterResumptionsStayWithinTheAllowance(t *testing.T) {
	const (
		ratio, reserve = 0.2, 13.0 // of dvp-faq, an entry's share of 104
		duration       = 2 * time.Minute
		boundAt        = time.Minute
	)
	b := retry.NewBudget(retry.WithRatio(0.75*ratio), retry.WithReserve(1), retry.WithPromiseRatio(0.2*ratio), retry.WithMaxAttempts(1000))
	var requests, retries []time.Duration // times of them
	for now := time.Duration(0); now < duration; now += interval {
		b.Refill(0.35*reserve*interval.Seconds()/window.Seconds(), 0.4*reserve)
		b.Advance(now, window)
		s := start(b)
		requests = append(requests, now)
		for now == boundAt && s.Resume(b.Promise(), plenty).Kind() == retry.Retry {
			retries = append(retries, now)
		}
		// Each request meets the endpoint that fails; its retry succeeds.
		if now > boundAt && s.Decide(retry.MayHaveRun(), plenty).Kind() == retry.Retry {
			retries = append(retries, now)
		}
	}
	worst, at := 0.0, time.Duration(0) // attempts beyond what the operators allow
	for from := window; from < duration-window; from += interval {
		asked := max(inWindow(requests, from), inWindow(requests, from-window), inWindow(requests, from-window/2))
		if beyond := float64(inWindow(retries, from)) - ratio*float64(asked) - reserve; beyond > worst {
			worst, at = beyond, from
		}
	}
	require.Zero(t, worst, "window from %v: %d attempts beyond the first, %d requests", at, inWindow(retries, at), inWindow(requests, at))
}

// In no window are there more retries and resumptions than the operators allow, whatever is
// asked for.
func TestResumptionsStayWithinTheAllowance(t *testing.T) {
	const (
		ratio, reserve = 0.2, 6.0
		duration       = 3 * time.Minute
	)
	b := retry.NewBudget(retry.WithRatio(0.75*ratio), retry.WithReserve(1), retry.WithPromiseRatio(0.2*ratio), retry.WithMaxAttempts(1000))
	var requests, retries []time.Duration // times of them
	for now := time.Duration(0); now < duration; now += interval {
		b.Refill(0.35*reserve*interval.Seconds()/window.Seconds(), 0.4*reserve)
		b.Advance(now, window)
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
		for s.Resume(b.Promise(), plenty).Kind() == retry.Retry {
			retries = append(retries, now)
		}
	}
	for from := time.Duration(0); from < duration-window; from += interval {
		asked := max(inWindow(requests, from), inWindow(requests, from-window), inWindow(requests, from-window/2))
		require.LessOrEqual(t, float64(inWindow(retries, from)), ratio*float64(asked)+reserve, "window from %v", from)
	}
}
