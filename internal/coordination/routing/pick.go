package routing

import (
	"slices"

	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

const (
	// maxCandidates bounds the endpoints that one Pick weighs.
	maxCandidates = 64
	// spillLoad is the share of the own failure domain's capacity in use from
	// which other failure domains are taken in.
	spillLoad = 0.8
)

// selection holds the endpoints that may take a request, without allocating.
type selection struct {
	endpoints [maxCandidates]*endpoint
	load      [maxCandidates]float64 // share of the capacity in use
	room      [maxCandidates]float64 // capacity in requests
	n         int
	meanLoad  float64
}

// collect fills s with the usable endpoints of the own failure domain, or with
// all usable ones if the own are nearly full.
func (s *selection) collect(r *Router, st *serviceTable, request Request, now int64) {
	s.gather(r, st, request, now, true)
	if s.n == 0 || s.meanLoad >= spillLoad {
		s.gather(r, st, request, now, false)
	}
}

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

func usable(e *endpoint, request Request, now int64) bool {
	if e.state != Serving || e.counters.ejectedUntil.Load() > now {
		return false
	}
	if request.digest != "" && request.digest != e.digest {
		return false
	}
	return len(request.exclude) == 0 || !slices.Contains(request.exclude, e.name)
}

// choose takes the endpoint of the prefix, or the less loaded of two random
// ones.
func (r *Router) choose(s *selection, request Request) (*endpoint, bool) {
	if request.prefix != 0 {
		if e := r.chooseByPrefix(s, request.prefix); e != nil {
			return e, true
		}
	}
	return r.chooseByLoad(s), false
}

// chooseByPrefix returns the first of the two endpoints that rank highest for
// the prefix whose load is within the bound, or nil.
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
