// Package locality decides when a request leaves the failure domain of its entry, and how many
// requests of an entry may.
//
// Traffic between failure domains is slower, costs money, and is placed by knowledge that is
// older than that of the own domain. So a request stays as long as the own domain serves it
// within its target, however much faster another one would be: its caller sees no difference.
// It leaves where the own domain has no endpoint with room, or would miss the target and the
// other one would not.
//
// How many may leave follows from what the entries tell each other. Each reports its need: the
// requests a second that found no room in their own domain. What is free at the endpoints of a
// domain is divided among the entries of other domains, a part evenly, so that a need that has
// just begun finds some, and a part by need. All shares together stay below what is free, so
// that entries which leave at the same moment do not fill a domain beyond its room, and come
// back together. The need fades over seconds, which keeps the shares from following each
// report.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	if locality.Leaves(home, away) {
//		... place the request in another failure domain
//	}
//	need.Add(now)
//	share := locality.Share(locality.Needs{Own: own, Leaving: sum, Home: need}, entries)
package locality

import (
	"math"
	"time"
)

// Offer is the best endpoint for a request in a set of failure domains.
type Offer struct {
	// Available is set if there is one that can take the request.
	Available bool
	// InTime is set if the response is expected to begin within the target.
	InTime bool
	// Delay is the expected time until the response begins, the way there and back included.
	Delay time.Duration
}

// minGain is by how much earlier a response that is late in any case has to begin elsewhere for
// its request to leave: about the time by which a report on the load there is older.
const minGain = 100 * time.Millisecond

// Leaves reports whether a request leaves its failure domain, given the best offers there and
// elsewhere.
func Leaves(home, away Offer) bool {
	switch {
	case !away.Available:
		return false
	case !home.Available:
		return true
	case home.InTime:
		return false
	case away.InTime:
		return true
	}
	return away.Delay+minGain < home.Delay
}

// Parts of the free room of a failure domain that are granted to the entries of others until
// the next report.
const (
	// evenPart is divided evenly among them.
	evenPart = 0.3
	// needPart is divided by need while the domain itself has none.
	needPart = 0.5
	// minNeed is the need, in requests a second, below which an entry has none. Single
	// requests that meet a full endpoint are no need.
	minNeed = 0.5
)

// Needs are the needs that the shares of a failure domain's room depend on, in requests a
// second.
type Needs struct {
	// Own is that of the entry.
	Own float64
	// Leaving is the sum over the entries of all other failure domains, this one included.
	Leaving float64
	// Home is the sum over the entries of the domain itself.
	Home float64
}

// Share returns the part of the free room at the endpoints of a failure domain that an entry of
// another one may use until the next report. Entries is the number of those that share it.
func Share(n Needs, entries int) float64 {
	share := evenPart / float64(max(entries, 1))
	if n.Own < minNeed || n.Home >= minNeed || n.Leaving <= 0 {
		return share
	}
	return share + needPart*min(n.Own/n.Leaving, 1)
}

// needTime is the time constant over which needs fade: some reports between distant entries.
const needTime = 2 * time.Second

// Need is the rate of requests that found no room in their failure domain. The zero value is
// none.
type Need struct {
	rate float64
	at   time.Duration
}

// Add records a request that found no room.
func (n *Need) Add(now time.Duration) {
	n.rate = n.Rate(now) + 1/needTime.Seconds()
	n.at = now
}

// Rate returns the rate in requests a second.
func (n *Need) Rate(now time.Duration) float64 {
	return n.rate * math.Exp(-float64(max(now-n.at, 0))/float64(needTime))
}
