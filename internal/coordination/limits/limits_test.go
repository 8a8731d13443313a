package limits_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/limits"
)

const second = time.Second

type controller struct {
	*limits.AdmissionController
	now time.Time
}

func newController(options ...limits.Option) *controller {
	c := &controller{now: time.Unix(1000, 0)}
	options = append([]limits.Option{
		limits.WithNow(func() time.Time { return c.now }),
		limits.WithServiceTime(100 * time.Millisecond),
		limits.WithWindowBounds(1, 1),
	}, options...)
	c.AdmissionController = limits.NewAdmissionController(options...)
	return c
}

func (c *controller) submit(account string, timeLeft time.Duration, options ...limits.RequestOption) *limits.Ticket {
	return c.Submit(limits.NewRequest(account, c.now.Add(timeLeft), options...))
}

// outcome returns "waiting", "admitted" or the reason for the refusal. It receives the
// decision, so a later call for the same ticket returns "waiting".
func outcome(t *limits.Ticket) string {
	select {
	case decision := <-t.Decision():
		if decision.Admitted() {
			return "admitted"
		}
		return string(decision.Reason())
	default:
		return "waiting"
	}
}

func TestSubmit(t *testing.T) {
	tests := []struct {
		name     string
		options  []limits.Option
		before   int
		timeLeft time.Duration
		want     string
	}{
		{"free slot", []limits.Option{limits.WithSlots(1)}, 0, second, "admitted"},
		{"no free slot, enough time to wait", []limits.Option{limits.WithSlots(1)}, 1, second, "waiting"},
		{"free slot, too little time", []limits.Option{limits.WithSlots(1)}, 0, 50 * time.Millisecond, string(limits.ReasonDeadline)},
		{"no free slot, too little time", []limits.Option{limits.WithSlots(1)}, 5, 500 * time.Millisecond, string(limits.ReasonDeadline)},
		{"queue full", []limits.Option{limits.WithSlots(1), limits.WithQueueLength(2)}, 3, time.Minute, string(limits.ReasonQueueFull)},
		{"rate limit", []limits.Option{limits.WithAccountLimits("shop", limits.NewAccountLimits(1, limits.WithRateLimit(1, 2)))}, 2, time.Minute, string(limits.ReasonRateLimit)},
		{"limit of requests in flight", []limits.Option{limits.WithAccountLimits("shop", limits.NewAccountLimits(1, limits.WithInFlightLimit(2)))}, 2, time.Minute, "waiting"},
		{"zero slots", []limits.Option{limits.WithSlots(0)}, 0, time.Minute, string(limits.ReasonDeadline)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newController(tt.options...)
			for range tt.before {
				c.submit("shop", time.Hour)
			}
			require.Equal(t, tt.want, outcome(c.submit("shop", tt.timeLeft)))
		})
	}
}

// TestImmediateRefusal checks that a request is refused with a retry delay as soon
// as it can't finish by its deadline, on arrival and in the queue, rather than at the
// deadline.
func TestImmediateRefusal(t *testing.T) {
	c := newController(limits.WithSlots(1))
	running := c.submit("shop", time.Hour)
	require.Equal(t, "admitted", outcome(running))
	waiting := c.submit("shop", 5*second)
	require.Equal(t, "waiting", outcome(waiting))
	for range 20 {
		c.now = c.now.Add(2 * second)
		c.Release(running)
		running = c.submit("shop", time.Hour)
	}
	refused := c.submit("shop", 2*second)
	decision := <-refused.Decision()
	require.Equal(t, limits.ReasonDeadline, decision.Reason())
	require.GreaterOrEqual(t, decision.RetryAfter(), second)
	expiring := c.submit("shop", 10*second)
	c.Expire()
	require.Equal(t, "waiting", outcome(expiring))
	c.now = c.now.Add(8 * second)
	c.Expire()
	require.Equal(t, string(limits.ReasonDeadline), outcome(expiring), "must be refused two seconds before its deadline")
}

func TestWeightedFairness(t *testing.T) {
	c := newController(limits.WithSlots(4), limits.WithQueueLength(1000),
		limits.WithAccountLimits("large", limits.NewAccountLimits(3)), limits.WithAccountLimits("small", limits.NewAccountLimits(1)))
	tickets := map[string][]*limits.Ticket{}
	for range 400 {
		for _, account := range []string{"large", "small"} {
			tickets[account] = append(tickets[account], c.submit(account, time.Hour))
		}
	}
	admitted := map[string]int{}
	var running []*limits.Ticket
	for range 50 {
		for account, list := range tickets {
			var left []*limits.Ticket
			for _, ticket := range list {
				if outcome(ticket) == "admitted" {
					admitted[account]++
					running = append(running, ticket)
					continue
				}
				left = append(left, ticket)
			}
			tickets[account] = left
		}
		c.now = c.now.Add(100 * time.Millisecond)
		for _, ticket := range running {
			c.Release(ticket)
		}
		running = nil
	}
	require.InDelta(t, 3, float64(admitted["large"])/float64(admitted["small"]), 0.3)
}

func TestPriorityWithinAccount(t *testing.T) {
	c := newController(limits.WithSlots(1))
	running := c.submit("shop", time.Hour)
	low := c.submit("shop", time.Hour)
	high := c.submit("shop", time.Hour, limits.WithPriority(1))
	c.Release(running)
	require.Equal(t, "admitted", outcome(high))
	require.Equal(t, "waiting", outcome(low))
	c.Cancel(high)
	require.Equal(t, "admitted", outcome(low))
	c.Cancel(low)
	require.Zero(t, c.InFlight())
	require.Zero(t, c.Waiting())
}

// TestWindowFollowsDemandAndOverload checks that the slot window grows beyond the equal
// share while all slots are in use, and shrinks after refusals by endpoints.
func TestWindowFollowsDemandAndOverload(t *testing.T) {
	c := newController(limits.WithSlots(10), limits.WithWindowBounds(0.5, 2), limits.WithQueueLength(10000))
	var running []*limits.Ticket
	fill := func() {
		running = append(running, c.submit("shop", time.Hour))
		for c.Waiting() == 0 {
			running = append(running, c.submit("shop", time.Hour))
		}
	}
	fill()
	for range 1200 {
		c.now = c.now.Add(10 * time.Millisecond)
		c.Release(running[0])
		running = running[1:]
		fill()
	}
	require.Equal(t, 20, c.InFlight(), "grows to the maximum")
	for range 2 {
		c.RecordOverload()
	}
	for range 5 {
		c.Release(running[0])
		running = running[1:]
	}
	fill()
	require.Equal(t, 17, c.InFlight(), "each refusal removes 1.5 slots")
}

// TestMissedDeadlinesIncreaseMargin checks that requests are refused on arrival after
// similar requests have ended past their deadlines.
func TestMissedDeadlinesIncreaseMargin(t *testing.T) {
	c := newController(limits.WithSlots(1))
	for range 40 {
		ticket := c.submit("shop", 500*time.Millisecond)
		if outcome(ticket) != "admitted" {
			return
		}
		c.now = c.now.Add(600 * time.Millisecond)
		c.Release(ticket)
	}
	t.Fatal("all requests ended after their deadlines and none was refused")
}

// TestConcurrencyLimiterFollowsCapacity checks that the limit converges near the capacity
// of a server whose latency grows once the attempts in flight exceed its capacity.
func TestConcurrencyLimiterFollowsCapacity(t *testing.T) {
	tests := []struct {
		name     string
		capacity float64
		low      int
		high     int
	}{
		{"small server", 8, 4, 24},
		{"large server", 100, 50, 256},
		{"capacity below the minimum limit", 0.5, 2, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := limits.NewConcurrencyLimiter(limits.WithInitialLimit(20))
			for range 2000 {
				var permits []limits.Permit
				for p, ok := c.Acquire(); ok; p, ok = c.Acquire() {
					permits = append(permits, p)
				}
				n := len(permits)
				latency := 100 * math.Max(1, float64(n)/tt.capacity)
				for i, p := range permits {
					// A quarter of the requests take four times as long as the others.
					if i%4 == 0 {
						c.Release(p, time.Duration(4*latency)*time.Millisecond)
						continue
					}
					c.Release(p, time.Duration(latency)*time.Millisecond)
				}
			}
			require.GreaterOrEqual(t, c.Limit(), tt.low)
			require.LessOrEqual(t, c.Limit(), tt.high)
			require.Zero(t, c.InFlight())
			require.Positive(t, c.RetryAfter())
		})
	}
}
