package requests

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Prompts of the measurement: the shops or planners that share a prompt prefix,
// and how uneven their traffic is.
const (
	prefixCount = 330
	prefixSkew  = 1.1
)

const (
	maxMicroseconds = 60_000_000
	histogramDigits = 3
)

// prefixCache keeps the prefixes used last.
type prefixCache struct {
	size    int
	order   *list.List
	entries map[uint64]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), entries: map[uint64]*list.Element{}}
}

// use reports whether the prefix was kept, and keeps it.
func (c *prefixCache) use(prefix uint64) bool {
	if e, ok := c.entries[prefix]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.entries[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > c.size {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.entries, oldest.Value.(uint64))
	}
	return false
}

// Cache is how one way of choosing uses the prompt caches.
type Cache struct {
	Policy          string  `json:"policy"`
	HitShare        float64 `json:"hitShare"`
	P50Milliseconds float64 `json:"firstTokenP50Ms"`
	P95Milliseconds float64 `json:"firstTokenP95Ms"`
	// HighestLoad is the requests of the busiest endpoint over the mean.
	HighestLoad float64 `json:"highestLoadOfMean"`
}

// MeasureCache compares the router with random choice, round robin and the
// endpoint with the least in flight, which is known exactly.
func MeasureCache(options ...Option) []Cache {
	s := newSettings(options)
	turn := 0
	policies := []struct {
		name   string
		choose policy
	}{
		{"prefix affinity with bounded load", nil},
		{"random", func(f *fleet, _ *request) *endpoint { return f.endpoints[f.random.IntN(endpointCount)] }},
		{"round robin", func(f *fleet, _ *request) *endpoint {
			turn++
			return f.endpoints[turn%endpointCount]
		}},
		{"least loaded", leastLoaded},
	}
	rows := make([]Cache, len(policies))
	for i, p := range policies {
		rows[i] = measureCache(s, p.name, p.choose)
	}
	return rows
}

func leastLoaded(f *fleet, _ *request) *endpoint {
	best := f.endpoints[f.random.IntN(endpointCount)]
	for _, e := range f.endpoints {
		if e.running < best.running {
			best = e
		}
	}
	return best
}

func measureCache(s settings, name string, choose policy) Cache {
	f := newFleet(s.seed)
	f.policy = choose
	first := hdrhistogram.New(1, maxMicroseconds, histogramDigits)
	f.firstToken = func(d time.Duration) { _ = first.RecordValue(d.Microseconds()) }
	prefixes := newPrefixes(s.seed)
	f.after(warmUp, func() {
		first.Reset()
		f.hits, f.misses = 0, 0
	})
	end := f.now.Add(warmUp + s.length)
	f.arrivals(warmLoad*peakRate, warmLoad*peakRate, f.now, end, func() *request {
		return &request{account: "shop", prefix: prefixes.next(), done: func(*request, bool) {}}
	})
	f.runUntil(end.Add(requestTimeout))
	row := Cache{Policy: name, HitShare: float64(f.hits) / float64(f.hits+f.misses)}
	row.P50Milliseconds = milliseconds(first.ValueAtQuantile(50))
	row.P95Milliseconds = milliseconds(first.ValueAtQuantile(95))
	highest, total := 0, 0
	for _, e := range f.endpoints {
		highest = max(highest, e.served)
		total += e.served
	}
	row.HighestLoad = float64(highest) * endpointCount / float64(total)
	return row
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// prefixes draws prompt prefixes with uneven traffic.
type prefixes struct {
	zipf *rand.Zipf
}

func newPrefixes(seed uint64) prefixes {
	return prefixes{zipf: rand.NewZipf(rand.New(rand.NewPCG(seed, 99)), prefixSkew, 1, prefixCount-1)}
}

func (p prefixes) next() uint64 {
	return (p.zipf.Uint64() + 1) * 0x9e3779b97f4a7c15
}
