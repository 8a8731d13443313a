package spread

import (
	"cmp"
	"slices"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

const (
	// PollersPerDomain is the number of processes in each failure domain that poll
	// the head.
	PollersPerDomain = 3
	// nearNeighbours is the number of neighbours in the own failure domain.
	nearNeighbours = 3
	// pollerSeed and ringSeed separate the hashes for the two purposes.
	pollerSeed = 0x706f6c6c
	ringSeed   = 0x72696e67
)

// neighbourhood is what a process derives from one view for its comparisons and
// its polling.
type neighbourhood struct {
	view   *membership.View
	poller bool
	// near are peers in the own failure domain, far are pollers of others.
	near []member.Member
	far  []member.Member
}

// neighbourhoodOf derives the neighbourhood of self.
//
// Neighbours stay the same from one revision to the next, so that together they
// reach everybody whatever a revision's tree missed. Near neighbours are at fixed
// distances on a ring by hash. Only pollers have far neighbours: they join the
// failure domains when the table is down, and the links between regions carry few
// comparisons.
func neighbourhoodOf(view *membership.View, self member.Member) *neighbourhood {
	n := &neighbourhood{view: view}
	own := domainPeers(view, self)
	n.near = ringNeighbours(own, self.Name())
	n.poller = isPoller(own, self.Name())
	if !n.poller {
		return n
	}
	for _, d := range view.Domains() {
		if d.Region() == self.Region() && d.Name() == self.FailureDomain() {
			continue
		}
		first := topRanked(d.Peers(), pollerSeed, 1)
		if len(first) > 0 {
			n.far = append(n.far, first[0].Member())
		}
	}
	return n
}

// isPoller reports whether self is among the first of its failure domain. A
// process that the view does not list yet polls when it would rank first.
func isPoller(own []membership.Peer, self string) bool {
	rank := membership.RankOf(self, pollerSeed)
	before := 0
	for _, p := range topRanked(own, pollerSeed, PollersPerDomain) {
		if p.Name() != self && p.Rank(pollerSeed) < rank {
			before++
		}
	}
	return before < PollersPerDomain
}

// topRanked returns the first peers by rank among those that take new work, or
// among all when none does.
func topRanked(peers []membership.Peer, seed uint64, count int) []membership.Peer {
	candidates := make([]membership.Peer, 0, len(peers))
	for _, p := range peers {
		if p.TakesNewWork() {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		candidates = append(candidates, peers...)
	}
	slices.SortFunc(candidates, func(a, b membership.Peer) int {
		return cmp.Or(cmp.Compare(a.Reach(), b.Reach()), cmp.Compare(a.Rank(seed), b.Rank(seed)))
	})
	return candidates[:min(count, len(candidates))]
}

// ringNeighbours returns the peers at the distances 1, a third and two thirds of
// the ring from self, each moved on to the next that others can reach.
func ringNeighbours(own []membership.Peer, self string) []member.Member {
	ring := make([]membership.Peer, 0, len(own))
	for _, p := range own {
		if p.Name() != self && p.Reach() != membership.ReachNone {
			ring = append(ring, p)
		}
	}
	if len(ring) == 0 {
		return nil
	}
	slices.SortFunc(ring, func(a, b membership.Peer) int {
		return cmp.Compare(a.Rank(ringSeed), b.Rank(ringSeed))
	})
	rank := membership.RankOf(self, ringSeed)
	start, _ := slices.BinarySearchFunc(ring, rank, func(p membership.Peer, r uint64) int {
		return cmp.Compare(p.Rank(ringSeed), r)
	})
	var near []member.Member
	for i := range min(nearNeighbours, len(ring)) {
		at := (start + i*max(1, len(ring)/nearNeighbours)) % len(ring)
		near = append(near, ring[at].Member())
	}
	return near
}
