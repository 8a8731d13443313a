package limits_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/limits"
)

const second = time.Second

type gate struct {
	*limits.AdmissionController
	now time.Time
}

func newGate(options ...limits.Option) *gate {
	g := &gate{now: time.Unix(1000, 0)}
	options = append([]limits.Option{
		limits.WithNow(func() time.Time { return g.now }),
		limits.WithServiceTime(100 * time.Millisecond),
		limits.WithWindowBounds(1, 1),
	}, options...)
	g.AdmissionController = limits.NewAdmissionController(options...)
	return g
}

func (g *gate) offer(account string, timeLeft time.Duration, options ...limits.RequestOption) *limits.Ticket {
	return g.Submit(limits.NewRequest(account, g.now.Add(timeLeft), options...))
}

// state tells "waiting", "admitted" or why the ticket was refused, once.
func state(t *limits.Ticket) string {
	select {
	case v := <-t.Decision():
		if v.Admitted() {
			return "admitted"
		}
		return string(v.Reason())
	default:
		return "waiting"
	}
}

func TestOffer(t *testing.T) {
	tests := []struct {
		name     string
		options  []limits.Option
		before   int
		timeLeft time.Duration
		want     string
	}{
		{"free slot", []limits.Option{limits.WithSlots(1)}, 0, second, "admitted"},
		{"no slot, time to wait", []limits.Option{limits.WithSlots(1)}, 1, second, "waiting"},
		{"free slot, too little time", []limits.Option{limits.WithSlots(1)}, 0, 50 * time.Millisecond, string(limits.ReasonDeadline)},
		{"no slot, too little time", []limits.Option{limits.WithSlots(1)}, 5, 500 * time.Millisecond, string(limits.ReasonDeadline)},
		{"queue full", []limits.Option{limits.WithSlots(1), limits.WithQueueLength(2)}, 3, time.Minute, string(limits.ReasonQueueFull)},
		{"rate", []limits.Option{limits.WithAccountLimits("shop", limits.NewAccountLimits(1, limits.WithRateLimit(1, 2)))}, 2, time.Minute, string(limits.ReasonRateLimit)},
		{"in flight", []limits.Option{limits.WithAccountLimits("shop", limits.NewAccountLimits(1, limits.WithInFlightLimit(2)))}, 2, time.Minute, "waiting"},
		{"no slots at all", []limits.Option{limits.WithSlots(0)}, 0, time.Minute, string(limits.ReasonDeadline)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(tt.options...)
			for range tt.before {
				g.offer("shop", time.Hour)
			}
			require.Equal(t, tt.want, state(g.offer("shop", tt.timeLeft)))
		})
	}
}

// TestRefusalComesAtOnce refuses a waiting request as soon as it cannot be
// reached in time, with when to come back.
func TestRefusalComesAtOnce(t *testing.T) {
	g := newGate(limits.WithSlots(1))
	running := g.offer("shop", time.Hour)
	require.Equal(t, "admitted", state(running))
	waiting := g.offer("shop", 5*second)
	require.Equal(t, "waiting", state(waiting))
	for range 20 {
		g.now = g.now.Add(2 * second)
		g.Release(running)
		running = g.offer("shop", time.Hour)
	}
	slow := g.offer("shop", 2*second)
	v := <-slow.Decision()
	require.Equal(t, limits.ReasonDeadline, v.Reason())
	require.GreaterOrEqual(t, v.RetryAfter(), second)
	waits := g.offer("shop", 10*second)
	g.Expire()
	require.Equal(t, "waiting", state(waits))
	g.now = g.now.Add(8 * second)
	g.Expire()
	require.Equal(t, string(limits.ReasonDeadline), state(waits), "two seconds before its deadline")
}

func TestWeightedFairness(t *testing.T) {
	g := newGate(limits.WithSlots(4), limits.WithQueueLength(1000),
		limits.WithAccountLimits("large", limits.NewAccountLimits(3)), limits.WithAccountLimits("small", limits.NewAccountLimits(1)))
	tickets := map[string][]*limits.Ticket{}
	for range 400 {
		for _, account := range []string{"large", "small"} {
			tickets[account] = append(tickets[account], g.offer(account, time.Hour))
		}
	}
	admitted := map[string]int{}
	var running []*limits.Ticket
	for range 50 {
		for account, list := range tickets {
			var left []*limits.Ticket
			for _, ticket := range list {
				if state(ticket) == "admitted" {
					admitted[account]++
					running = append(running, ticket)
					continue
				}
				left = append(left, ticket)
			}
			tickets[account] = left
		}
		g.now = g.now.Add(100 * time.Millisecond)
		for _, ticket := range running {
			g.Release(ticket)
		}
		running = nil
	}
	require.InDelta(t, 3, float64(admitted["large"])/float64(admitted["small"]), 0.3)
}

func TestPriorityWithinAccount(t *testing.T) {
	g := newGate(limits.WithSlots(1))
	running := g.offer("shop", time.Hour)
	low := g.offer("shop", time.Hour)
	high := g.offer("shop", time.Hour, limits.WithPriority(1))
	g.Release(running)
	require.Equal(t, "admitted", state(high))
	require.Equal(t, "waiting", state(low))
	g.Cancel(high)
	require.Equal(t, "admitted", state(low))
	g.Cancel(low)
	require.Zero(t, g.InFlight())
	require.Zero(t, g.Waiting())
}

// TestSlotsFollowDemandAndRefusals lets the slots grow past the even share while
// all are in use, and cuts them at refusals.
func TestSlotsFollowDemandAndRefusals(t *testing.T) {
	g := newGate(limits.WithSlots(10), limits.WithWindowBounds(0.5, 2), limits.WithQueueLength(10000))
	var running []*limits.Ticket
	fill := func() {
		running = append(running, g.offer("shop", time.Hour))
		for g.Waiting() == 0 {
			running = append(running, g.offer("shop", time.Hour))
		}
	}
	fill()
	for range 1200 {
		g.now = g.now.Add(10 * time.Millisecond)
		g.Release(running[0])
		running = running[1:]
		fill()
	}
	require.Equal(t, 20, g.InFlight(), "grown to the ceiling")
	for range 2 {
		g.RecordOverload()
	}
	for range 5 {
		g.Release(running[0])
		running = running[1:]
	}
	fill()
	require.Equal(t, 17, g.InFlight(), "cut by a slot and a half each")
}

// TestLateEndsRaiseTheMargin refuses requests whose like have ended late.
func TestLateEndsRaiseTheMargin(t *testing.T) {
	g := newGate(limits.WithSlots(1))
	for range 40 {
		ticket := g.offer("shop", 500*time.Millisecond)
		if state(ticket) != "admitted" {
			return
		}
		g.now = g.now.Add(600 * time.Millisecond)
		g.Release(ticket)
	}
	t.Fatal("every request ended late and none was refused")
}

// TestConcurrencyFollowsCapacity drives the limit against a server whose
// latency grows once more than its capacity is in flight.
func TestConcurrencyFollowsCapacity(t *testing.T) {
	tests := []struct {
		name     string
		capacity float64
		low      int
		high     int
	}{
		{"small server", 8, 4, 24},
		{"large server", 100, 50, 256},
		{"smaller than the floor", 0.5, 2, 8},
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
					// One request in four takes four times as long as the others.
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
