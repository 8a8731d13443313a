package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/retry"
)

func TestDecide(t *testing.T) {
	const plenty = 10 * time.Second
	refused, lost := retry.NeverRan(0), retry.MayHaveRun()
	tests := []struct {
		name       string
		idempotent bool
		outcomes   []retry.Outcome
		timeLeft   time.Duration
		want       retry.Kind
	}{
		{"answered", false, []retry.Outcome{retry.Answered()}, plenty, retry.Complete},
		{"refused", false, []retry.Outcome{refused}, plenty, retry.Retry},
		{"refused, no time left", false, []retry.Outcome{refused}, 0, retry.NotRun},
		{"refused by all", false, []retry.Outcome{refused, refused, refused, refused}, plenty, retry.NotRun},
		{"lost", false, []retry.Outcome{lost}, plenty, retry.Unknown},
		{"refused, then lost", false, []retry.Outcome{refused, lost}, plenty, retry.Unknown},
		{"lost, idempotent", true, []retry.Outcome{lost}, plenty, retry.Retry},
		{"lost, idempotent, no time left", true, []retry.Outcome{lost}, 0, retry.Unknown},
		{"lost, then refused by all, idempotent", true, []retry.Outcome{lost, refused, refused, refused}, plenty, retry.Unknown},
		{"lost, then answered, idempotent", true, []retry.Outcome{lost, retry.Answered()}, plenty, retry.Complete},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := retry.NewBudget().Start(retry.WithIdempotent(tt.idempotent), retry.WithMinTime(time.Millisecond))
			var d retry.Decision
			for i, o := range tt.outcomes {
				if i > 0 {
					require.Equal(t, retry.Retry, d.Kind())
				}
				d = s.Decide(o, tt.timeLeft)
			}
			require.Equal(t, tt.want, d.Kind())
			if tt.want == retry.NotRun || tt.want == retry.Unknown {
				require.Positive(t, d.RetryAfter())
			}
		})
	}
}

// TestTotalOutage fails every attempt and counts them.
func TestTotalOutage(t *testing.T) {
	tests := []struct {
		name    string
		healthy int
		outage  int
	}{
		{"from the start", 0, 1000},
		{"after healthy traffic", 20000, 300},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(6, 6))
			b := retry.NewBudget(retry.WithRandom(random.Float64))
			for range tt.healthy {
				b.Start(retry.WithIdempotent(true)).Decide(retry.Answered(), time.Minute)
			}
			attempts := 0
			for range tt.outage {
				s := b.Start(retry.WithIdempotent(true))
				for {
					attempts++
					if s.Decide(retry.MayHaveRun(), time.Minute).Kind() != retry.Retry {
						break
					}
				}
			}
			require.LessOrEqual(t, float64(attempts), 1.1*float64(tt.outage))
			require.Greater(t, attempts, tt.outage, "some retries are granted")
			require.Positive(t, b.Denied())
		})
	}
}

// TestCrashOfOneEndpoint grants each of the requests of one endpoint a retry.
func TestCrashOfOneEndpoint(t *testing.T) {
	b := retry.NewBudget()
	for range 2000 {
		b.Start()
	}
	for range 50 {
		s := b.Start(retry.WithIdempotent(true))
		require.Equal(t, retry.Retry, s.Decide(retry.MayHaveRun(), time.Minute).Kind())
	}
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	tests := []struct {
		random  float64
		attempt int
		want    time.Duration
	}{
		{0, 1, 0},
		{0.5, 1, 10 * time.Millisecond},
		{0.5, 2, 20 * time.Millisecond},
		{0.5, 3, 40 * time.Millisecond},
		{0.5, 5, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		b := retry.NewBudget(retry.WithRandom(func() float64 { return tt.random }), retry.WithMaxAttempts(20),
			retry.WithReserve(1<<20), retry.WithBackoff(10*time.Millisecond, 200*time.Millisecond))
		s := b.Start()
		var d retry.Decision
		for range tt.attempt {
			d = s.Decide(retry.NeverRan(0), time.Minute)
		}
		require.Equal(t, tt.want, d.Backoff())
	}
}
