package placement

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that arrives after its target has passed, or whose target passes while it
// waits, gets a slot only after placementsPerLate placements of on-time requests, or while
// no on-time request waits.
func TestLateRequestsYieldToOnTime(t *testing.T) {
	p := newPool(candidates(1, 80, true))
	var busy []Choice
	for range 80 {
		busy = append(busy, decisionOf(t, p.Submit(0, request(10))).Choice())
	}
	arrived := 2 * time.Second
	late := make([]*Ticket, 3)
	for i := range late {
		r := request(10)
		r.Arrived, r.Deadline = arrived-time.Second, arrived+5*time.Second
		late[i] = p.Submit(arrived, r)
	}
	var order []string
	onTime := make([]*Ticket, placementsPerLate+2)
	for i := range onTime {
		r := request(10)
		r.Arrived, r.Deadline = arrived, arrived+6*time.Second
		onTime[i] = p.Submit(arrived, r)
	}
	record := func(kind string, tickets []*Ticket) {
		for _, ticket := range tickets {
			select {
			case v := <-ticket.Decision():
				require.True(t, v.Placed())
				order = append(order, kind)
			default:
			}
		}
	}
	p.placedSinceLate = 0
	for i := range placementsPerLate + 5 {
		p.Release(arrived, busy[i], Succeeded)
		record("on time", onTime)
		record("late", late)
	}
	want := slices.Repeat([]string{"on time"}, placementsPerLate)
	require.Equal(t, append(want, "late", "on time", "on time", "late", "late"), order)
}

// Callers send 1.5 times the capacity of the endpoints for ten seconds. Each refused
// caller retries once, after the retry-after time. The endpoints stay fully used, and
// responses are on time except for the share of callers that retried, few of which are
// refused again. Engines that prefill other prompts first begin their responses later
// than predicted. Requests are then placed earlier or refused, so that no fewer responses
// are on time.
func TestSustainedOverload(t *testing.T) {
	for _, test := range []struct {
		name   string
		lag    time.Duration // mean time by which responses begin later than predicted
		onTime float64       // least share of the capacity with an on-time response
	}{
		{"as predicted", 0, 0.7},
		{"later than predicted", 90 * ms, 0.75},
	} {
		o := simulateOverload(t, test.lag)
		t.Logf("%s: capacity %d: %d on time, %d late; %d retried, %d of them refused again", test.name, o.capacity, o.onTime, o.late, o.retried, o.refusedAgain)
		require.GreaterOrEqual(t, float64(o.onTime), test.onTime*float64(o.capacity), test.name)
		require.GreaterOrEqual(t, float64(o.onTime+o.late), 0.97*float64(o.capacity), test.name)
	}
}

// overload counts the requests of a simulated overload by their result. The field
// capacity is the number that the endpoints can run.
type overload struct {
	capacity, onTime, late, retried, refusedAgain int
}

func simulateOverload(t *testing.T, lag time.Duration) overload {
	const (
		endpoints   = 4
		slots       = 12
		serviceTime = 1200 * ms
		perSecond   = 60 // the endpoints can run 40
		seconds     = 10
		step        = 5 * ms
	)
	seed := uint64(7)
	random := func() float64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return float64(seed>>11) / (1 << 53)
	}
	p := New(WithDomain("a"), WithRandom(random))
	p.SetLatencyModel(engine)
	p.SetEndpoints(0, candidates(endpoints, slots, true))
	type caller struct {
		request Request
		retried bool
		ticket  *Ticket
		choice  Choice
		began   time.Duration
		ends    time.Duration
	}
	var waiting, running []*caller
	retries := map[time.Duration][]*caller{}
	o := overload{capacity: seconds * endpoints * slots * int(time.Second) / int(serviceTime)}
	for now := time.Duration(0); now < (seconds+8)*time.Second; now += step {
		stillRunning := running[:0]
		for _, c := range running {
			if c.began > 0 && now >= c.began {
				p.RecordFirstEvent(now, &c.choice)
				c.began = 0
			}
			if now >= c.ends {
				p.Release(now, c.choice, Succeeded)
				continue
			}
			stillRunning = append(stillRunning, c)
		}
		running = stillRunning
		submitted := retries[now]
		if now < seconds*time.Second && random() < perSecond*step.Seconds() {
			submitted = append(submitted, &caller{request: Request{Arrived: now, Target: 450 * ms, Deadline: now + 6*time.Second, Prompt: 900}})
		}
		for _, c := range submitted {
			c.ticket = p.Submit(now, c.request)
			waiting = append(waiting, c)
		}
		p.Expire(now)
		undecided := waiting[:0]
		for _, c := range waiting {
			select {
			case v := <-c.ticket.Decision():
				switch {
				case v.Placed():
					begins := now + v.Choice().FirstEventDelay() + time.Duration(-math.Log(1-random())*float64(lag))
					if begins <= c.request.Arrived+c.request.Target {
						o.onTime++
					} else {
						o.late++
					}
					c.choice, c.began, c.ends = v.Choice(), begins, now+serviceTime
					running = append(running, c)
				case c.retried:
					o.refusedAgain++
				default:
					c.retried = true
					o.retried++
					at := now + v.RetryAfter()/step*step + step
					retries[at] = append(retries[at], c)
				}
			default:
				undecided = append(undecided, c)
			}
		}
		waiting = undecided
	}
	require.Empty(t, running)
	return o
}

// Twelve entries that see the same free slots 100 ms late must not place more than 1.5
// times its slots on an endpoint. A request that waits there meets its target only if no
// more requests than that are ahead of it.
func TestStaleLoadDoesNotOvercommit(t *testing.T) {
	const entries, endpoints, slots = 12, 14, 12
	seed := uint64(1)
	random := func() float64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return float64(seed>>11) / (1 << 53)
	}
	pools := make([]*Pool, entries)
	for i := range pools {
		pools[i] = New(WithDomain("a"), WithOvercommit(1), WithRandom(random))
		pools[i].SetLatencyModel(engine)
		list := candidates(endpoints, slots, false)
		for j := range list {
			list[j].Preferred = j%entries == i
		}
		pools[i].SetEndpoints(0, list)
	}
	exchange := func() {
		loads := make([]map[string]Load, entries)
		for i, p := range pools {
			loads[i] = make(map[string]Load)
			for _, l := range p.Loads() {
				loads[i][l.ID] = l.Load
			}
		}
		for i, p := range pools {
			p.SetPeerLoad(0, func(id string) Load {
				var w Load
				for j := range loads {
					if j != i {
						w.InFlight += loads[j][id].InFlight
					}
				}
				return w
			})
			p.GrantQuota(0, EntryCounts{SameRegion: entries}, true)
		}
	}
	// Over the rounds every entry submits far more requests than there are slots.
	for range 40 {
		exchange()
		for _, p := range pools {
			for range 14 {
				p.Submit(0, Request{Deadline: time.Second})
			}
		}
	}
	total := make(map[string]int)
	for _, p := range pools {
		for _, l := range p.Loads() {
			total[l.ID] += l.InFlight
		}
	}
	placed := 0
	for id, n := range total {
		require.LessOrEqual(t, n, slots*3/2, id)
		placed += n
	}
	require.GreaterOrEqual(t, placed, endpoints*slots, "slots stay free")
}
