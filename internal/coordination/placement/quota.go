package placement

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/locality"
)

// EntryCounts holds the numbers of entries that share the endpoints they do not prefer.
type EntryCounts struct {
	// SameRegion is the number of entries in the own region, OtherRegions the number in
	// all other regions.
	SameRegion, OtherRegions int
	// Needs are the needs of the entries of each failure domain, this one included, in requests
	// a second; OwnNeed is that of this entry.
	Needs   map[string]float64
	OwnNeed float64
}

// share returns this entry's share of the free slots at an endpoint of another failure domain
// at a known distance.
func (c EntryCounts) share(e *endpoint) float64 {
	n := locality.Needs{Own: c.OwnNeed, Home: c.Needs[e.Domain]}
	for domain, need := range c.Needs {
		if domain != e.Domain {
			n.Leaving += need
		}
	}
	return locality.Share(n, c.OtherRegions)
}

// GrantQuota grants this entry a quota of requests at each endpoint that it does not
// prefer, until the next call. The quota is a share of the free slots according to the
// latest load reports, since the entries do not see what others place in between. Quotas
// in other regions are renewed only if otherRegions is set, because regions exchange their
// load at a longer interval.
func (p *Pool) GrantQuota(now time.Duration, counts EntryCounts, otherRegions bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.medianInterval = p.medianEventInterval()
	for _, e := range p.listed {
		switch {
		case e.Preferred:
		case e.SameRegion:
			e.quota = e.quotaShare(sameRegionShare, counts.SameRegion, p.overcommit, p.random())
		case otherRegions && e.Distance > 0:
			e.quota = e.quotaShare(counts.share(e), 1, p.overcommit, p.random())
		case otherRegions:
			e.quota = e.quotaShare(1-sameRegionShare, counts.OtherRegions, p.overcommit, p.random())
		}
	}
	p.placeQueued(now)
}

// sameRegionShare is the fraction of the free slots that is granted to the entries in the
// endpoint's region. The rest is granted to the entries in other regions.
const sameRegionShare = 0.7

// quotaShare returns one entry's share of a fraction of the free slots, which is divided
// evenly among entries that do not see each other's latest placements. The result is
// rounded up or down at random, so that the sum over all entries is right on average.
func (e *endpoint) quotaShare(fraction float64, entries, overcommit int, random float64) int {
	freeSlots := max(e.freeSlots(overcommit), 0)
	return int(fraction*float64(freeSlots)/float64(max(entries, 1)) + random)
}
