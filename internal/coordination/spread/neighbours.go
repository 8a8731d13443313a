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
	// othersPerDomain is the number of peers in each other failure domain that a
	// process asks when its near neighbours are silent.
	othersPerDomain = 2
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
	// others are peers of other failure domains, for when the near ones are silent;
	// nil until they are needed.
	others []member.Member
}

// neighbourhoodOf derives the neighbourhood of self.
//
// Neighbours stay the same from one revision to the next, so that together they
// reach everybody whatever a revision's tree missed. Near neighbours are at fixed
// distances on a ring by hash. Only pollers have far neighbours, each those with
// its own number in the other failure domains: they join the failure domains when
// the table is down, and the links between regions carry few comparisons.
func neighbourhoodOf(view *membership.View, self member.Member) *neighbourhood {
	n := &neighbourhood{view: view}
	own := domainPeers(view, self)
	n.near = ringNeighbours(own, self.Name(), nearNeighbours)
	index := pollerIndex(own, self.Name())
	n.poller = index < PollersPerDomain
	if !n.poller {
		return n
	}
	for _, d := range view.Domains() {
		if d.Region() == self.Region() && d.Name() == self.FailureDomain() {
			continue
		}
		if m := pollerOf(d.Peers(), index); m != nil {
			n.far = append(n.far, *m)
		}
	}
	return n
}

// pollerIndex returns how many unsuspected peers rank before self. A process that
// the view does not list yet polls when it would be among the first.
func pollerIndex(own []membership.Peer, self string) int {
	rank := membership.RankOf(self, pollerSeed)
	before := 0
	for i := range own {
		p := &own[i]
		if p.Name() != self && p.Reachability() == membership.Reachable && !p.Leaving() && p.Rank(pollerSeed) < rank {
			before++
		}
	}
	return before
}

// ranked is a peer's place in an order by hash.
type ranked struct {
	rank  uint64
	index int
}

func compareRanks(a, b ranked) int { return cmp.Compare(a.rank, b.rank) }

// pollerOf returns the peer that polls as number index of its failure domain,
// counted round when there are fewer. It returns nil when nobody can be reached.
func pollerOf(peers []membership.Peer, index int) *member.Member {
	order := make([]ranked, 0, len(peers))
	for i := range peers {
		p := &peers[i]
		if p.Reachability() == membership.Reachable && !p.Leaving() {
			order = append(order, ranked{rank: p.Rank(pollerSeed), index: i})
		}
	}
	if len(order) == 0 {
		return nil
	}
	slices.SortFunc(order, compareRanks)
	chosen := order[index%min(len(order), PollersPerDomain)].index
	m := peers[chosen].Member()
	return &m
}

// elsewhere returns peers of other failure domains, spread by hash so that a
// whole failure domain that asks does not ask the same few.
func (n *neighbourhood) elsewhere(self member.Member) []member.Member {
	if n.others != nil {
		return n.others
	}
	for _, d := range n.view.Domains() {
		if d.Region() == self.Region() && d.Name() == self.FailureDomain() {
			continue
		}
		n.others = append(n.others, ringNeighbours(d.Peers(), self.Name(), othersPerDomain)...)
	}
	return n.others
}

// ringNeighbours returns up to count peers at even distances on the ring by hash,
// beginning with the first after self. Suspected peers are taken only if there
// are no others.
func ringNeighbours(peers []membership.Peer, self string, count int) []member.Member {
	ring := ringOf(peers, self, membership.Reachable)
	if len(ring) == 0 {
		ring = ringOf(peers, self, membership.Suspected)
	}
	if len(ring) == 0 {
		return nil
	}
	slices.SortFunc(ring, compareRanks)
	start, _ := slices.BinarySearchFunc(ring, ranked{rank: membership.RankOf(self, ringSeed)}, compareRanks)
	step := max(1, len(ring)/count)
	var chosen []member.Member
	for i := range min(count, len(ring)) {
		at := (start + i*step) % len(ring)
		chosen = append(chosen, peers[ring[at].index].Member())
	}
	return chosen
}

// ringOf returns the peers other than self that are suspected no more than worst.
func ringOf(peers []membership.Peer, self string, worst membership.Reachability) []ranked {
	ring := make([]ranked, 0, len(peers))
	for i := range peers {
		p := &peers[i]
		if p.Name() != self && p.Reachability() <= worst {
			ring = append(ring, ranked{rank: p.Rank(ringSeed), index: i})
		}
	}
	return ring
}
