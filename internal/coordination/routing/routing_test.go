package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

type clock struct{ now time.Time }

func newRouter(c *clock, options ...routing.Option) *routing.Router {
	random := rand.New(rand.NewPCG(6, 6))
	options = append([]routing.Option{
		routing.WithLocality("riga", "riga-a"),
		routing.WithNow(func() time.Time { return c.now }),
		routing.WithRandom(random.Uint64),
	}, options...)
	return routing.New("entry-1", options...)
}

func endpoints(n int, options ...routing.EndpointOption) []routing.Endpoint {
	list := make([]routing.Endpoint, n)
	for i := range list {
		name := fmt.Sprintf("writer-%03d", i)
		list[i] = routing.NewEndpoint(name, name+":1", options...)
	}
	return list
}

// spread picks n times without giving back and counts the endpoints.
func spread(t *testing.T, r *routing.Router, n int, options ...routing.RequestOption) map[string]int {
	counts := map[string]int{}
	for range n {
		c, err := r.Pick(routing.NewRequest("faq", options...))
		require.NoError(t, err)
		counts[c.Name()]++
	}
	return counts
}

func TestPickLeavesOut(t *testing.T) {
	down := func(s routing.State) []routing.Endpoint {
		return []routing.Endpoint{
			routing.NewEndpoint("one", "one:1", routing.WithState(s), routing.WithServedDigest("d1")),
			routing.NewEndpoint("two", "two:1", routing.WithServedDigest("d2")),
		}
	}
	tests := []struct {
		name    string
		list    []routing.Endpoint
		options []routing.RequestOption
		want    string
	}{
		{"leaving", down(routing.Leaving), nil, "two"},
		{"draining", down(routing.Draining), nil, "two"},
		{"loading", down(routing.Loading), nil, "two"},
		{"other weights", down(routing.Serving), []routing.RequestOption{routing.WithDigest("d1")}, "one"},
		{"already tried", down(routing.Serving), []routing.RequestOption{routing.WithExclude("one")}, "two"},
		{"all tried", down(routing.Serving), []routing.RequestOption{routing.WithExclude("one", "two")}, ""},
		{"leaving and already tried", down(routing.Leaving), []routing.RequestOption{routing.WithExclude("two")}, ""},
		{"no such weights", down(routing.Serving), []routing.RequestOption{routing.WithDigest("d3")}, ""},
		{"no endpoints", nil, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(&clock{now: time.Unix(1000, 0)})
			r.SetEndpoints("faq", tt.list)
			for range 20 {
				c, err := r.Pick(routing.NewRequest("faq", tt.options...))
				if tt.want == "" {
					require.ErrorIs(t, err, routing.ErrNoEndpoint)
					require.Positive(t, routing.RetryAfter(err))
					continue
				}
				require.NoError(t, err)
				require.Equal(t, tt.want, c.Name())
				r.Done(c, routing.Succeeded)
			}
		})
	}
}

func TestObserveTakesEffectAtOnce(t *testing.T) {
	r := newRouter(&clock{now: time.Unix(1000, 0)})
	r.SetEndpoints("faq", endpoints(2))
	r.RecordState("faq", "writer-000", 7, routing.Leaving)
	require.Contains(t, spread(t, r, 8), "writer-000", "other incarnation")
	r.RecordState("faq", "writer-000", 0, routing.Leaving)
	require.NotContains(t, spread(t, r, 8), "writer-000")
	r.RecordState("faq", "writer-001", 0, routing.Draining)
	_, err := r.Pick(routing.NewRequest("faq"))
	require.ErrorIs(t, err, routing.ErrNoEndpoint)
	require.False(t, routing.Saturated(err))
}

func TestSaturated(t *testing.T) {
	r := newRouter(&clock{now: time.Unix(1000, 0)})
	r.SetEndpoints("faq", endpoints(2, routing.WithConcurrencyLimit(3)))
	spread(t, r, 6)
	_, err := r.Pick(routing.NewRequest("faq"))
	require.True(t, routing.Saturated(err))
}

func TestPrefixAffinityIsBounded(t *testing.T) {
	r := newRouter(&clock{now: time.Unix(1000, 0)})
	r.SetEndpoints("faq", endpoints(11, routing.WithConcurrencyLimit(100)))
	one, err := r.Pick(routing.NewRequest("faq", routing.WithPrefix(42)))
	require.NoError(t, err)
	require.True(t, one.Affinity())
	r.Done(one, routing.Succeeded)
	same, err := r.Pick(routing.NewRequest("faq", routing.WithPrefix(42)))
	require.NoError(t, err)
	require.Equal(t, one.Name(), same.Name())
	counts := spread(t, r, 549, routing.WithPrefix(42))
	for name, n := range counts {
		require.LessOrEqual(t, n, 66, "%s is above the bound of a mean of 50", name)
	}
	require.Len(t, counts, 11)
}

func TestLoadIsCorrectedByOwnDispatches(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	r := newRouter(c)
	r.SetEndpoints("faq", endpoints(2, routing.WithConcurrencyLimit(20)))
	require.True(t, r.RecordLoad(routing.NewLoadReport("writer-000", 0, 10)))
	require.False(t, r.RecordLoad(routing.NewLoadReport("writer-000", 7, 0)), "other incarnation")
	counts := spread(t, r, 14)
	require.Equal(t, map[string]int{"writer-000": 2, "writer-001": 12}, counts)
	c.now = c.now.Add(time.Minute)
	require.Equal(t, 9, spread(t, r, 9)["writer-000"], "an old report does not count")
}

func TestOwnFailureDomainFirst(t *testing.T) {
	r := newRouter(&clock{now: time.Unix(1000, 0)})
	list := endpoints(2, routing.WithEndpointLocality("riga", "riga-a"), routing.WithConcurrencyLimit(10))
	list = append(list, routing.NewEndpoint("far", "far:1", routing.WithEndpointLocality("liepaja", "liepaja-a"), routing.WithConcurrencyLimit(10)))
	r.SetEndpoints("faq", list)
	require.NotContains(t, spread(t, r, 16), "far")
	require.Contains(t, spread(t, r, 8), "far", "the own failure domain is nearly full")
}

func TestEjection(t *testing.T) {
	tests := []struct {
		name    string
		outcome routing.Outcome
		times   int
		ejected bool
	}{
		{"one failure", routing.Failed, 1, false},
		{"three failures in a row", routing.Failed, 3, true},
		{"agent not reached", routing.Unreachable, 1, true},
		{"refusals", routing.Refused, 9, false},
		{"cancelled", routing.Cancelled, 9, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{now: time.Unix(1000, 0)}
			r := newRouter(c)
			r.SetEndpoints("faq", endpoints(4))
			others := routing.WithExclude("writer-001", "writer-002", "writer-003")
			for range tt.times {
				choice, err := r.Pick(routing.NewRequest("faq", others))
				require.NoError(t, err)
				r.Done(choice, tt.outcome)
			}
			_, err := r.Pick(routing.NewRequest("faq", others))
			require.Equal(t, tt.ejected, err != nil)
			c.now = c.now.Add(3 * time.Second)
			_, err = r.Pick(routing.NewRequest("faq", others))
			require.NoError(t, err, "comes back")
		})
	}
}

// TestEjectionFloor fails every attempt on every endpoint: half of them stay.
func TestEjectionFloor(t *testing.T) {
	for _, n := range []int{1, 2, 11} {
		r := newRouter(&clock{now: time.Unix(1000, 0)})
		r.SetEndpoints("faq", endpoints(n))
		used := map[string]bool{}
		for i := range 400 {
			c, err := r.Pick(routing.NewRequest("faq"))
			require.NoError(t, err)
			r.Done(c, routing.Unreachable)
			if i >= 200 {
				used[c.Name()] = true
			}
		}
		require.Len(t, used, n-n/2)
	}
}

func TestSlowStart(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	r := newRouter(c)
	list := endpoints(4, routing.WithConcurrencyLimit(20))
	r.SetEndpoints("faq", list[:3])
	r.SetEndpoints("faq", list)
	require.LessOrEqual(t, spread(t, r, 30)["writer-003"], 2, "just started")
	c.now = c.now.Add(10 * time.Second)
	require.GreaterOrEqual(t, spread(t, r, 24)["writer-003"], 8, "took its full share")
}

func TestSubset(t *testing.T) {
	const entries, n, size = 410, 600, 24
	list := make([]routing.Endpoint, n)
	for i := range list {
		place := routing.WithEndpointLocality("r", fmt.Sprint("domain-", i%6))
		list[i] = routing.NewEndpoint(fmt.Sprint("writer-", i), "a", place)
	}
	users := map[string]int{}
	for i := range entries {
		random := rand.New(rand.NewPCG(6, uint64(i)))
		r := routing.New(fmt.Sprint("entry-", i), routing.WithLocality("r", fmt.Sprint("domain-", i%6)), routing.WithRandom(random.Uint64))
		r.SetEndpoints("faq", list)
		seen := map[string]bool{}
		for range 40 * size {
			c, err := r.Pick(routing.NewRequest("faq"))
			if err != nil {
				break
			}
			seen[c.Name()] = true
		}
		require.Len(t, seen, size)
		for name := range seen {
			users[name]++
		}
	}
	require.Len(t, users, n, "every endpoint is used by some entry")
}

func entry(i int, options ...member.Option) member.Member {
	options = append([]member.Option{
		member.WithPlace(fmt.Sprint("region-", i%3), fmt.Sprint("domain-", i%3)),
		member.WithCallerAddress(fmt.Sprintf("10.0.0.%d:80", i)),
	}, options...)
	return member.New(fmt.Sprint("entry-", i), member.RoleEntry, fmt.Sprintf("10.0.0.%d:90", i), options...)
}

func TestAddresses(t *testing.T) {
	var members []member.Member
	for i := range 8 {
		members = append(members, entry(i))
	}
	var accounts []routing.Account
	for i := range 10 {
		weight := 1.0
		if i < 3 {
			weight = 10
		}
		accounts = append(accounts, routing.NewAccount(fmt.Sprint("shop-", i), weight))
	}
	a := routing.NewShardAssignment(members, accounts)
	loads := map[string]float64{}
	for i, weight := range []float64{10, 10, 10, 1, 1, 1, 1, 1, 1, 1} {
		l := a.Lookup(fmt.Sprint("shop-", i), "region-0", "domain-0")
		require.Len(t, l.Addresses(), 4)
		require.Positive(t, l.TimeToLive())
		for _, address := range l.Addresses() {
			loads[address] += weight / 4
		}
	}
	for address, load := range loads {
		require.LessOrEqual(t, load, 1.5*37/8, "load of %s", address)
	}
	near := a.Lookup("shop-0", "region-1", "domain-1").Addresses()
	for i, address := range near[:len(near)-1] {
		require.False(t, address != "10.0.0.1:80" && address != "10.0.0.4:80" && address != "10.0.0.7:80" &&
			(near[i+1] == "10.0.0.1:80" || near[i+1] == "10.0.0.4:80" || near[i+1] == "10.0.0.7:80"), "nearest first: %v", near)
	}
	members[3] = entry(3, member.WithState(member.StateLeaving))
	without := routing.NewShardAssignment(members, accounts)
	for i := range 12 {
		list := without.Lookup(fmt.Sprint("shop-", i), "region-0", "domain-0").Addresses()
		require.Len(t, list, 4)
		require.NotContains(t, list, "10.0.0.3:80", "a leaving entry is not given out")
	}
	require.Empty(t, routing.NewShardAssignment(nil, accounts).Lookup("shop-1", "", "").Addresses())
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{11, 600} {
		for _, prefix := range []uint64{0, 1} {
			b.Run(fmt.Sprintf("endpoints=%d/prefix=%d", n, prefix), func(b *testing.B) {
				r := routing.New("entry-1")
				r.SetEndpoints("faq", endpoints(n, routing.WithConcurrencyLimit(1<<20)))
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					hash := prefix
					for pb.Next() {
						hash += prefix * 0x9e3779b97f4a7c15
						c, err := r.Pick(routing.NewRequest("faq", routing.WithPrefix(hash)))
						if err != nil {
							b.Fatal(err)
						}
						r.Done(c, routing.Succeeded)
					}
				})
			})
		}
	}
}
