package routing

import (
	"slices"

	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

const (
	// maxCandidates is the maximum number of endpoints that one Pick considers.
	maxCandidates = 64
	// spillLoad is the utilization of the own failure domain from which endpoints in
	// other failure domains are considered too.
	spillLoad = 0.8
)

// selection holds the candidates for a request in fixed-size arrays, to avoid
// allocations.
type selection struct {
	endpoints [maxCandidates]*endpoint
	load      [maxCandidates]float64 // fraction of the capacity in use
	room      [maxCandidates]float64 // capacity in requests
	n         int                    // number of candidates
	meanLoad  float64                // fraction of the total capacity in use
}

// collect fills s with the candidates in the own failure domain, or with those in all
// failure domains if the own has none or is nearly at capacity.
func (s *selection) collect(r *Router, st *serviceTable, request Request, now int64) {
	s.gather(r, st, request, now, true)
	if s.n == 0 || s.meanLoad >= spillLoad {
		s.gather(r, st, request, now, false)
	}
}

// gather fills s with the eligible endpoints that have spare capacity. The mean load
// includes eligible endpoints at capacity.
func (s *selection) gather(r *Router, st *serviceTable, request Request, now int64, localOnly bool) {
	s.n = 0
	var load, room float64
	for _, e := range st.endpoints {
		if s.n == maxCandidates || !usable(e, request, now) || (localOnly && !e.local) {
			continue
		}
		capacity := r.capacity(e, now)
		inFlight := r.load(e, now)
		if inFlight >= capacity {
			load += inFlight
			room += capacity
			continue
		}
		s.endpoints[s.n] = e
		s.room[s.n] = capacity
		s.load[s.n] = inFlight / capacity
		s.n++
		load += inFlight
		room += capacity
	}
	if room > 0 {
		s.meanLoad = load / room
	}
}

// usable reports whether an endpoint is eligible for a request, whatever its load.
func usable(e *endpoint, request Request, now int64) bool {
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
func (r *Router) choose(s *selection, request Request) (*endpoint, bool) {
	if request.prefix != 0 {
		if e := r.chooseByPrefix(s, request.prefix); e != nil {
			return e, true
		}
	}
	return r.chooseByLoad(s), false
}

// chooseByPrefix returns the first of the two candidates with the highest rendezvous
// hash for the prefix whose load is within the bound, or nil if neither is.
func (r *Router) chooseByPrefix(s *selection, prefix uint64) *endpoint {
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
		if i >= 0 && s.load[i] <= r.loadBound*s.meanLoad+r.loadSlack/s.room[i] {
			return s.endpoints[i]
		}
	}
	return nil
}

// chooseByLoad returns the less loaded of two random candidates.
func (r *Router) chooseByLoad(s *selection) *endpoint {
	random := r.random()
	i := int(uint32(random)) % s.n
	j := int(uint32(random>>32)) % s.n
	if i == j {
		j = (i + 1) % s.n
	}
	if s.load[j] < s.load[i] {
		return s.endpoints[j]
	}
	return s.endpoints[i]
}
