// Package eligibility decides whether a request may reach an endpoint now. The answer does
// not depend on load: an endpoint that is not eligible is as good as absent for the request,
// for its retries and resumptions too.
//
// The conditions are asked twice, when a request is placed and again just before it is sent,
// since it may have waited, the process may have been suspended, and what is known may have
// changed meanwhile. What is not known allows nothing: an endpoint whose region is unknown is
// in no region, and a restriction that can't be read excludes all of them.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	where := eligibility.Restrict(route.Regions(), account.Regions())
//	if reason := eligibility.Check(now, request, endpoint); reason != eligibility.Eligible {
//		... place the request elsewhere
//	}
package eligibility

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// maxLists is the number of lists of regions that bind one request: those of its route and
// its account, by the configuration that it was accepted with and by the one in force.
const maxLists = 4

// Restriction is where a request may be served: every list in it binds. The zero value
// restricts nothing. Restrictions of the same lists are equal.
type Restriction struct {
	lists [maxLists]*fleet.Regions
}

// Restrict returns the restriction by lists of regions, of which there may be at most four.
func Restrict(lists ...*fleet.Regions) Restriction {
	var r Restriction
	n := 0
	for _, l := range lists {
		if l.Restricts() && !r.has(l) {
			r.lists[n] = l
			n++
		}
	}
	return r
}

// And returns the restriction by the lists of both.
func (r Restriction) And(other Restriction) Restriction {
	if other == r || other == (Restriction{}) {
		return r
	}
	lists := append(r.lists[:], other.lists[:]...)
	return Restrict(lists...)
}

func (r Restriction) has(l *fleet.Regions) bool {
	for _, own := range r.lists {
		if own == l {
			return true
		}
	}
	return false
}

// Any reports whether some region is excluded.
func (r Restriction) Any() bool { return r.lists[0] != nil }

// Admits reports whether a request may be served in a region; an unknown region is empty.
func (r Restriction) Admits(region string) bool {
	for _, l := range r.lists {
		if l == nil {
			return true
		}
		if !l.Admits(region) {
			return false
		}
	}
	return true
}

// Reason is why a request must not reach an endpoint now, empty if it may.
type Reason string

// The reasons.
const (
	Eligible        Reason = ""
	TooLate         Reason = "too little time is left for a response"
	OutsideRegions  Reason = "endpoint is outside of the allowed regions"
	Evacuated       Reason = "failure domain of the endpoint is being evacuated"
	Backpressure    Reason = "endpoint has signaled backpressure since the placement"
	NoPermit        Reason = "endpoint has a rate limit and the request has no valid permit"
	OutdatedWeights Reason = "weights of the endpoint are too old by now"
	Quarantined     Reason = "endpoints have crashed under such requests"
)

// Request is what binds a request, as of now.
type Request struct {
	// Regions is where it may be served.
	Regions Restriction
	// LastStart is the time until which sending it is of use, 0 for any time.
	LastStart time.Duration
	// Quarantined is set if endpoints crash under such requests.
	Quarantined bool
	// PermitUntil is the end of its permit for the endpoint, 0 without one.
	PermitUntil time.Duration
}

// Endpoint is what is known of an endpoint now.
type Endpoint struct {
	// Region is empty if it is unknown.
	Region string
	// Evacuated is set while operators want nothing sent to its failure domain.
	Evacuated bool
	// Backpressure is set while it asks for no requests.
	Backpressure bool
	// Limited is set if each request to it needs a permit.
	Limited bool
	// Outdated is set if no work may start with its weights.
	Outdated bool
}

// Check returns why a request must not reach an endpoint now.
func Check(now time.Duration, r Request, e Endpoint) Reason {
	switch {
	case r.LastStart > 0 && now > r.LastStart:
		return TooLate
	case !r.Regions.Admits(e.Region):
		return OutsideRegions
	case e.Evacuated:
		return Evacuated
	case e.Backpressure:
		return Backpressure
	case e.Limited && now >= r.PermitUntil:
		return NoPermit
	case e.Outdated:
		return OutdatedWeights
	case r.Quarantined:
		return Quarantined
	}
	return Eligible
}
