package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// What an endpoint with a rate limit may get in four seconds, from limitGrace after it
// stated the limit.
const (
	limitFactor = 1.5
	limitSlack  = 5
	limitGrace  = 3 * time.Second
)

func allowedBy(limit float64) float64 { return limitFactor*limit*4 + limitSlack }

// The limit holds, and most of it is used, with one entry and with many, and with limits
// far below one request a second for each entry.
func TestRateLimitIsKeptAndUsed(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		entries int
		rate    float64 // requests a second at each entry
		limit   float64
		used    float64 // at least this fraction of what the limit allows
		work    time.Duration
	}{
		{1, 20, 1.5, 0.8, simWork},
		{1, 20, 0.3, 0.8, simWork},
		{8, 10, 1.5, 0.8, simWork},
		{8, 10, 0.3, 0.7, simWork},
		{8, 10, 10, 0.8, simWork},
		{8, 1, 4, 0.5, simWork},
		{8, 10, 0, 0, simWork},
		{8, 10, 1e300, 0, simWork},
		{30, 5, 1, 0.7, simWork},
		{8, 1, 4, 0.5, time.Second},
		{30, 1, 6, 0.6, time.Second},
		{148, 2, 1.5, 0.7, simWork},
	} {
		t.Run(fmt.Sprintf("%d entries, %g a second", test.entries, test.limit), func(t *testing.T) {
			f := newSimFleet(1, test.entries, 2, test.rate)
			f.work = test.work
			f.run(6 * time.Second)
			s := f.endpoints[0]
			for _, e := range f.endpoints {
				e.limit = quota.NewLimit(test.limit)
			}
			named := f.now
			f.run(limitGrace)
			from := f.now
			f.run(8 * time.Second)
			got := s.between(from, f.now)
			t.Logf("%d requests in 8 s, %d at most in 4 s", got, s.most(named+limitGrace, 0))
			require.LessOrEqual(t, float64(s.most(named+limitGrace, 0)), allowedBy(test.limit))
			require.GreaterOrEqual(t, float64(got), math.Floor(test.used*8*test.limit))
			if test.limit == 0 {
				require.Positive(t, got, "an endpoint that takes none gets a request now and then, whose response shows whether it still does")
			}
			for _, e := range f.entries {
				for _, d := range e.refusals {
					require.Positive(t, d.RetryAfter())
				}
			}
		})
	}
}

// A limit that one entry reads binds all, and one that is changed or lifted is known to
// all, within a second.
func TestRateLimitReachesAllEntries(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{1, 8, 148} {
		f := newSimFleet(2, entries, 3, max(2, 40/float64(entries)))
		f.run(6 * time.Second)
		s := f.endpoints[0]
		for _, stated := range []quota.Limit{quota.NewLimit(2), quota.NewLimit(0.5), quota.NewLimit(8), {}} {
			s.limit = stated
			changed := f.now
			known := func() int {
				n := 0
				for _, e := range f.entries {
					if e.rateLimits.limits.Limit(quota.Endpoint{Hash: endpointHash(s.id), Started: s.started}) == stated {
						n++
					}
				}
				return n
			}
			first := time.Duration(0)
			for f.now-changed < 20*time.Second && known() < entries {
				f.run(10 * time.Millisecond)
				if first == 0 && known() > 0 {
					first = f.now
				}
			}
			t.Logf("%d entries, limit %v: known to all after %s, %s after the first", entries, stated, f.now-changed, f.now-first)
			require.Equal(t, entries, known(), "%d entries, %v", entries, stated)
			require.LessOrEqual(t, f.now-max(first, changed), time.Second, "%d entries, %v", entries, stated)
		}
	}
}

// Faults of entries and of their connections: the endpoint is sent no more than it
// takes, by all entries together and with none excused.
func TestRateLimitHoldsUnderFaults(t *testing.T) {
	t.Parallel()
	first := func(f *simFleet) *simEntry { return f.entries[0] }
	cutInto := func(sides int) func(f *simFleet) {
		return func(f *simFleet) {
			for i, e := range f.entries {
				e.side = i % sides
			}
		}
	}
	heal := func(f *simFleet) { cutInto(1)(f) }
	for _, test := range []struct {
		name  string
		begin func(f *simFleet)
		end   func(f *simFleet)
		// starts is set if processes start. Only requests of entries count then that
		// have read the limit themselves more than half a second before.
		starts bool
	}{
		{"no fault", func(*simFleet) {}, func(*simFleet) {}, false},
		{"burst of requests", func(f *simFleet) {
			for _, e := range f.entries {
				e.rate *= 20
			}
		}, func(f *simFleet) {
			for _, e := range f.entries {
				e.rate /= 20
			}
		}, false},
		{"grantor is suspended", func(f *simFleet) { first(f).suspend() }, func(f *simFleet) { first(f).resume() }, false},
		{"half of the entries are suspended", func(f *simFleet) {
			for i, e := range f.entries {
				if i%2 == 0 {
					e.suspend()
				}
			}
		}, func(f *simFleet) {
			for _, e := range f.entries {
				e.resume()
			}
		}, false},
		{"grantor is gone", func(f *simFleet) { first(f).stop() }, func(*simFleet) {}, false},
		{"a region is gone", func(f *simFleet) {
			for _, e := range f.entries {
				e.stopped = e.self.Region == f.entries[0].self.Region
			}
		}, func(*simFleet) {}, false},
		{"grantor starts again", func(f *simFleet) {
			first(f).stop()
			f.start(0, 5)
		}, func(*simFleet) {}, true},
		{"all entries start again", func(f *simFleet) {
			for i := range f.entries {
				f.entries[i].stop()
				f.start(i, 5)
			}
		}, func(*simFleet) {}, true},
		{"as many entries are added", func(f *simFleet) {
			for i := range f.entries {
				f.start(len(f.entries)+i, 5)
			}
		}, func(*simFleet) {}, true},
		{"grantor is cut from the others", func(f *simFleet) { first(f).side = 1 }, heal, false},
		{"two halves", cutInto(2), heal, false},
		{"three parts", cutInto(3), heal, false},
		{"each entry alone", func(f *simFleet) { cutInto(len(f.entries))(f) }, heal, false},
		{"a fifth of the messages is lost", func(f *simFleet) { f.loss = 0.2 }, func(f *simFleet) { f.loss = 0 }, false},
		{"endpoint starts again", func(f *simFleet) {
			f.endpoints[0].started++
			f.endpoints[0].restartedAt = f.now
			for _, e := range f.entries {
				e.list()
			}
		}, func(*simFleet) {}, false},
	} {
		for _, size := range []struct {
			entries int
			limit   float64
		}{{1, 1.5}, {8, 1}, {16, 6}} {
			if size.entries == 1 && strings.HasSuffix(test.name, "is gone") {
				continue
			}
			for seed := range uint64(2) {
				name := fmt.Sprintf("%s, %d entries, %g a second, seed %d", test.name, size.entries, size.limit, seed)
				f := newSimFleet(seed, size.entries, 2, 5)
				f.run(2 * time.Second)
				for _, e := range f.endpoints {
					e.limit = quota.NewLimit(size.limit)
				}
				named := f.now
				f.run(5 * time.Second)
				test.begin(f)
				f.run(4 * time.Second)
				test.end(f)
				ended := f.now
				f.run(10 * time.Second)
				s := f.endpoints[0]
				after := s.between(ended+5*time.Second, f.now)
				require.GreaterOrEqual(t, float64(after), math.Floor(0.4*5*size.limit), "%s: used again after the fault", name)
				if test.starts {
					s.arrivals = s.arrivalsTold
				}
				most := s.most(named+limitGrace, s.restartedAt)
				if s.restartedAt > 0 {
					most = max(most, s.most(s.restartedAt+limitGrace, f.now))
				}
				require.LessOrEqual(t, float64(most), allowedBy(size.limit), name)
			}
		}
	}
}

// Where every endpoint of a service is limited, accounts share what there is evenly,
// however many requests each sends.
func TestRateLimitIsSharedAmongAccounts(t *testing.T) {
	f := newSimFleet(3, 8, 3, 15)
	f.accounts = func(r *rand.Rand) string {
		if r.Float64() < 0.8 {
			return "large"
		}
		return fmt.Sprintf("small-%d", r.IntN(2))
	}
	for _, e := range f.endpoints {
		e.limit = quota.NewLimit(4)
	}
	f.run(30 * time.Second)
	answered := make(map[string]int)
	for _, e := range f.entries {
		for account, n := range e.answered {
			answered[account] += n
		}
	}
	t.Log(answered)
	for _, small := range []string{"small-0", "small-1"} {
		require.Less(t, answered["large"], 3*answered[small], "the large account sends eight times as much")
	}
	total := answered["large"] + answered["small-0"] + answered["small-1"]
	require.GreaterOrEqual(t, total, 8*3*4*30/10, "most of the limit is used")
}

// A request that finds no permit is refused at once, and not before a permit is likely.
func TestRateLimitRefusesAtOnce(t *testing.T) {
	f := newSimFleet(4, 8, 3, 10)
	for _, e := range f.endpoints {
		e.limit = quota.NewLimit(1)
	}
	f.run(10 * time.Second)
	refused, waited := 0, 0
	for _, e := range f.entries {
		for _, d := range e.refusals {
			refused++
			if d.Waited() > 100*time.Millisecond {
				waited++
			}
			require.GreaterOrEqual(t, d.RetryAfter(), 300*time.Millisecond)
		}
	}
	t.Logf("%d refused, %d of them after a wait", refused, waited)
	require.Greater(t, refused, 400)
	require.Less(t, waited, refused/20)
}

// While some endpoints are limited, the others are used as before: what is served is what
// all of them can take.
func TestRateLimitLeavesOtherEndpointsInUse(t *testing.T) {
	const (
		endpoints = 19
		slots     = 16 // requests a second of an endpoint without a limit, as each takes a second
		limit     = 1.5
	)
	for _, limited := range []int{4, 12} {
		for _, rate := range []float64{8, 17} { // requests a second at each of eight entries
			f := newSimFleet(5, 8, endpoints, rate)
			f.work = time.Second
			f.run(4 * time.Second)
			for _, s := range f.endpoints[:limited] {
				s.limit = quota.NewLimit(limit)
			}
			f.run(6 * time.Second)
			from, sent := f.now, 0
			f.run(10 * time.Second)
			for _, s := range f.endpoints {
				sent += s.between(from, f.now)
			}
			possible := min(8*rate, slots*float64(endpoints-limited)+limit*float64(limited))
			t.Logf("%d limited, %g a second: %g sent, %g possible", limited, 8*rate, float64(sent)/10, possible)
			require.GreaterOrEqual(t, float64(sent)/10, 0.9*possible)
		}
	}
}

// A message with absurd numbers must not use up the memory, give a vote away for good or
// stop the permits of an endpoint.
func TestAbsurdQuotaMessages(t *testing.T) {
	f := newSimFleet(9, 1, 1, 20)
	e := f.entries[0]
	s := f.endpoints[0]
	s.limit = quota.NewLimit(2)
	f.run(4 * time.Second)
	hash := endpointHash(s.id)
	e.ReceiveQuotaGrant(t.Context(), &nodev1.QuotaGrant{ // its permits would not fit into the memory
		Echo: uint64(f.now), EchoIncarnation: e.self.Incarnation,
		Permits: []*nodev1.EndpointPermits{{Endpoint: hash, Started: s.started, Count: math.MaxUint32}},
	})
	for _, perSecond := range []float64{math.NaN(), -1, math.Inf(1)} {
		e.ReceiveQuotaReport(t.Context(), &nodev1.QuotaReport{
			Address: "10.9.0.1:1", Stamp: 1, WantedTotal: math.MaxUint32, WantedMs: math.MaxUint32, Entries: 1,
			Limits: []*nodev1.EndpointLimit{{Endpoint: hash + 1, PerSecond: &perSecond}, {Endpoint: hash, Started: s.started, PerSecond: &perSecond}},
			Wanted: []*nodev1.EndpointPermits{{Endpoint: hash, Count: math.MaxUint32}, {Endpoint: hash, Count: math.MaxUint32}},
		})
		f.run(time.Second)
	}
	e.ReceiveQuotaAnnouncement(t.Context(), &nodev1.QuotaAnnouncement{Address: "10.0.0.0:0", Incarnation: 1, Stamp: 1, IntervalMs: math.MaxUint32})
	f.run(time.Minute)
	from := f.now
	f.run(10 * time.Second)
	require.GreaterOrEqual(t, s.between(from, f.now), 10, "the entry grants itself permits again")
}

// BenchmarkPermits measures what permits cost all entries together, in a second, while
// some endpoints are limited.
func BenchmarkPermits(b *testing.B) {
	for _, entries := range []int{30, 100, 300} {
		for _, limited := range []int{1, 20} {
			b.Run(fmt.Sprintf("%d entries, %d endpoints", entries, limited), func(b *testing.B) {
				for b.Loop() {
					measurePermits(b, entries, limited)
				}
			})
		}
	}
}

func measurePermits(b *testing.B, entries, limited int) {
	const seconds = 10
	f := newSimFleet(6, entries, 40, 5)
	f.run(6 * time.Second)
	for _, s := range f.endpoints[:limited] {
		s.limit = quota.NewLimit(2)
	}
	f.run(3 * time.Second)
	f.messages, f.bytes, f.processing = 0, 0, 0
	f.mostOfEntry()
	f.run(seconds * time.Second)
	most := f.mostOfEntry()
	b.ReportMetric(float64(f.messages)/seconds, "messages/s")
	b.ReportMetric(float64(f.bytes)/seconds, "bytes/s")
	b.ReportMetric(f.processing.Seconds()*1000/seconds, "ms/s")
	b.ReportMetric(most.Seconds()*1000/seconds, "ms/s-grantor")
}
