package routing

import (
	"slices"

	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

const (
	// maxCandidates is the maximum number of endpoints that one Pick considers.
	maxCandidates = 64
	// spilloverUtilization is the utilization of the entry's own failure domain from
	// which endpoints in other failure domains are considered too.
	spilloverUtilization = 0.8
)

// candidateSet holds the candidates for a request in fixed-size arrays, to avoid
// allocations.
type candidateSet struct {
	endpoints       [maxCandidates]*endpointRecord
	utilization     [maxCandidates]float64 // fraction of the capacity in use
	capacity        [maxCandidates]float64 // capacity in requests
	n               int                    // number of candidates
	meanUtilization float64                // fraction of the total capacity in use
}

// collect fills s with the candidates in the entry's own failure domain, or with those in
// all failure domains if the own one has none or is nearly at capacity.
func (s *candidateSet) collect(r *Router, st *serviceTable, request Request, now int64) {
	s.gather(r, st, request, now, true)
	if s.n == 0 || s.meanUtilization >= spilloverUtilization {
		s.gather(r, st, request, now, false)
	}
}

// gather fills s with the eligible endpoints that have spare capacity. The mean
// utilization includes eligible endpoints at capacity.
func (s *candidateSet) gather(r *Router, st *serviceTable, request Request, now int64, localOnly bool) {
	s.n = 0
	var totalInFlight, totalCapacity float64
	for _, e := range st.endpoints {
		if s.n == maxCandidates || !eligible(e, request, now) || (localOnly && !e.local) {
			continue
		}
		capacity := r.capacity(e, now)
		inFlight := r.estimatedInFlight(e, now)
		if inFlight >= capacity {
			totalInFlight += inFlight
			totalCapacity += capacity
			continue
		}
		s.endpoints[s.n] = e
		s.capacity[s.n] = capacity
		s.utilization[s.n] = inFlight / capacity
		s.n++
		totalInFlight += inFlight
		totalCapacity += capacity
	}
	if totalCapacity > 0 {
		s.meanUtilization = totalInFlight / totalCapacity
	}
}

// eligible reports whether an endpoint is eligible for a request, whatever its load.
func eligible(e *endpointRecord, request Request, now int64) bool {
	if e.state != Serving || e.counters.ejectedUntil.Load() > now {
		return false
	}
	if request.digest != "" && request.digest != e.digest {
		return false
	}
	return len(request.exclude) == 0 || !slices.Contains(request.exclude, e.name)
}

// choose returns the candidate selected by the request's prefix, else one selected by
// load. The boolean reports whether the prefix selected it.
func (r *Router) choose(s *candidateSet, request Request) (*endpointRecord, bool) {
	if request.prefix != 0 {
		if e := r.chooseByPrefix(s, request.prefix); e != nil {
			return e, true
		}
	}
	return r.chooseByLoad(s), false
}

// chooseByPrefix returns the first of the two candidates with the highest rendezvous
// hash for the prefix whose load is within the bound, or nil if neither is.
func (r *Router) chooseByPrefix(s *candidateSet, prefix uint64) *endpointRecord {
	first, second := -1, -1
	var firstRank, secondRank uint64
	for i := range s.n {
		rank := rendezvous.Mix(prefix ^ s.endpoints[i].hash)
		switch {
		case first < 0 || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = i, rank
		case second < 0 || rank > secondRank:
			second, secondRank = i, rank
		}
	}
	for _, i := range [...]int{first, second} {
		if i >= 0 && s.utilization[i] <= r.loadBound*s.meanUtilization+r.loadSlack/s.capacity[i] {
			return s.endpoints[i]
		}
	}
	return nil
}

// chooseByLoad returns the less loaded of two random candidates.
func (r *Router) chooseByLoad(s *candidateSet) *endpointRecord {
	random := r.random()
	i := int(uint32(random)) % s.n
	j := int(uint32(random>>32)) % s.n
	if i == j {
		j = (i + 1) % s.n
	}
	if s.utilization[j] < s.utilization[i] {
		return s.endpoints[j]
	}
	return s.endpoints[i]
}
