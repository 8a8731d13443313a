// Package quota divides the rate limits of endpoints among the entries.
//
// An endpoint may state how many requests a second it takes from all entries together.
// An entry knows only what it sends itself, and a limit may be far below one request a
// second for each entry. So a request to such an endpoint needs a permit, and one entry,
// the grantor, grants the permits of all limited endpoints to the entries that have
// requests for them.
//
// There is no consensus and no store. The bound holds because of two leases:
//
//   - Each entry has one vote. It gives the vote to one grantor for the term of a lease
//     and to no other in that time. A grantor dates the vote from its own announcement,
//     which the vote echoes, so that it never counts a vote for longer than the voter
//     does. It grants the fraction of a limit that its votes are of all entries. Grantors
//     that do not know of each other therefore share the limit between them.
//   - A permit is valid for a short time from the moment at which it was requested, on
//     the clock of the requesting entry. A delayed message or a suspended process leaves
//     nothing to use.
//
// The number of all entries is the largest that any voter knows. An entry that was not
// heard of for a while still counts, since it may only be out of reach.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	limits := quota.NewLimits()
//	changed := limits.Record(now, sent, endpoint, quota.NewLimit(1.5))
//
//	election := quota.NewElection(self, started)
//	granting, candidates := election.Grantor(now, live)
//	if granting == self {
//		grantor.Vote(vote)
//		grantor.Request(now, request)
//		grants := grantor.Distribute(now, observations, entries)
//	} else {
//		... report the vote, observations and wanted permits to it or to the candidates
//	}
package quota

import "time"

// Times of the protocol between entries.
const (
	// minAnnounceInterval is how often a grantor announces itself to all entries, and
	// entries renew their votes. With many entries it sends no more than one message
	// every announcePeerInterval.
	minAnnounceInterval  = 300 * time.Millisecond
	announcePeerInterval = 4 * time.Millisecond
	// leaseIntervals is how many announcements in a row may be lost before a vote
	// expires, and leaseMargin the time for the last one to arrive.
	leaseIntervals = 3
	leaseMargin    = 300 * time.Millisecond
	// startDelay is how long a process discovers other entries before it may grant.
	startDelay = 500 * time.Millisecond
	// silenceTimeout is how long reports to a live entry may go unanswered before the
	// next one is to grant, which is then preferred for silencePeriod.
	silenceTimeout = 800 * time.Millisecond
	silencePeriod  = 10 * time.Second
	// maxCandidates is the number of entries to which reports are sent at a time while
	// none announces itself.
	maxCandidates = 8
	// minRequestInterval is how often an entry repeats what permits it wants. With many
	// entries the grantor gets one such message every requestPeerInterval.
	minRequestInterval  = 100 * time.Millisecond
	requestPeerInterval = 1500 * time.Microsecond
	// PermitTTL is how long a permit is valid after the request for it.
	PermitTTL = time.Second
	// MaxGrantDelay is the age of a request for permits from which its answer is
	// ignored.
	MaxGrantDelay = 600 * time.Millisecond
	// maxTransit is the part of MaxGrantDelay that is left for the two messages.
	maxTransit = 100 * time.Millisecond
)

// Rates of permits.
const (
	// minRate is granted at an endpoint that states a lower limit. Its next response
	// shows whether the limit still holds.
	minRate = 0.2 // requests a second
	// maxRate bounds absurd limits.
	maxRate = 1e6 // requests a second
	// burstTime is the time over which unused permits of a limit are kept.
	burstTime = 500 * time.Millisecond
)

// AnnounceInterval returns how often a grantor announces itself to so many entries.
func AnnounceInterval(entries int) time.Duration {
	return max(minAnnounceInterval, time.Duration(entries)*announcePeerInterval)
}

// VoteLease returns the term of a vote for a grantor that announces itself at an interval.
func VoteLease(interval time.Duration) time.Duration {
	return leaseIntervals*interval + leaseMargin
}

// RequestTTL returns how long a request for permits is pending that an entry repeats for
// requests that it expects. One repetition may be lost.
func RequestTTL(entries int) time.Duration {
	return min(2*RequestInterval(entries), MaxGrantDelay-maxTransit)
}

// RequestInterval returns how often each of so many entries repeats what permits it wants.
func RequestInterval(entries int) time.Duration {
	return max(minRequestInterval, time.Duration(entries)*requestPeerInterval)
}
