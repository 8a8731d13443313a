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
	// localNeighbours is the number of neighbours in a process's own failure domain.
	localNeighbours = 3
	// fallbackPeersPerDomain is the number of peers in each other failure domain that
	// a process may compare with when its local neighbours do not reply.
	fallbackPeersPerDomain = 2
	// pollerSeed and ringSeed make the rank orders of pollers and of the neighbour
	// ring independent.
	pollerSeed = 0x706f6c6c
	ringSeed   = 0x72696e67
)

// neighbourSet holds the peers that a process compares with and whether it polls,
// as derived from one view.
type neighbourSet struct {
	view   *membership.View
	poller bool
	// local holds peers in the own failure domain, remote holds pollers of the others.
	local  []member.Member
	remote []member.Member
	// fallback holds peers of other failure domains for use when the local ones do
	// not reply; nil until first needed.
	fallback []member.Member
}

// newNeighbourSet derives the neighbours of self from a view.
//
// Neighbours do not depend on the revision, so that comparisons reach every member
// whichever members the push tree of a revision missed. Local neighbours are at
// fixed distances on a hash ring. Only pollers have remote neighbours: in each other
// failure domain, the poller with the same index. These connect the failure domains
// when the table is down, while the links between regions carry few comparisons.
func newNeighbourSet(view *membership.View, self member.Member) *neighbourSet {
	n := &neighbourSet{view: view}
	own := domainPeers(view, self)
	n.local = ringNeighbours(own, self.Name(), localNeighbours)
	index := pollerIndex(own, self.Name())
	n.poller = index < PollersPerDomain
	if !n.poller {
		return n
	}
	for _, d := range view.Domains() {
		if d.Region() == self.Region() && d.Name() == self.FailureDomain() {
			continue
		}
		if m := pollerAt(d.Peers(), index); m != nil {
			n.remote = append(n.remote, *m)
		}
	}
	return n
}

// pollerIndex returns the number of peers that rank before self and are neither
// suspected nor leaving. A process that is not in the view yet polls if it would rank
// among the first PollersPerDomain.
func pollerIndex(own []membership.Peer, self string) int {
	rank := membership.RankOf(self, pollerSeed)
	index := 0
	for i := range own {
		p := &own[i]
		if p.Name() != self && p.Reachability() == membership.Reachable && !p.Leaving() && p.Rank(pollerSeed) < rank {
			index++
		}
	}
	return index
}

// rankedPeer is the rank of a peer and its index in the list of peers.
type rankedPeer struct {
	rank  uint64
	index int
}

func compareRanks(a, b rankedPeer) int { return cmp.Compare(a.rank, b.rank) }

// pollerAt returns the poller with the given index in a failure domain, modulo the
// number of pollers there. It returns nil if every peer is suspected or leaving.
func pollerAt(peers []membership.Peer, index int) *member.Member {
	order := make([]rankedPeer, 0, len(peers))
	for i := range peers {
		p := &peers[i]
		if p.Reachability() == membership.Reachable && !p.Leaving() {
			order = append(order, rankedPeer{rank: p.Rank(pollerSeed), index: i})
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

// fallbackPeers returns peers of other failure domains, chosen by hash so that the
// requests of a whole failure domain are spread over many peers.
func (n *neighbourSet) fallbackPeers(self member.Member) []member.Member {
	if n.fallback != nil {
		return n.fallback
	}
	for _, d := range n.view.Domains() {
		if d.Region() == self.Region() && d.Name() == self.FailureDomain() {
			continue
		}
		n.fallback = append(n.fallback, ringNeighbours(d.Peers(), self.Name(), fallbackPeersPerDomain)...)
	}
	return n.fallback
}

// ringNeighbours returns up to count peers at even distances on the hash ring,
// beginning with the first after self. It returns suspected peers only if there are
// no others, and never unreachable ones.
func ringNeighbours(peers []membership.Peer, self string, count int) []member.Member {
	ring := ringPeers(peers, self, membership.Reachable)
	if len(ring) == 0 {
		ring = ringPeers(peers, self, membership.Suspected)
	}
	if len(ring) == 0 {
		return nil
	}
	slices.SortFunc(ring, compareRanks)
	start, _ := slices.BinarySearchFunc(ring, rankedPeer{rank: membership.RankOf(self, ringSeed)}, compareRanks)
	step := max(1, len(ring)/count)
	var chosen []member.Member
	for i := range min(count, len(ring)) {
		at := (start + i*step) % len(ring)
		chosen = append(chosen, peers[ring[at].index].Member())
	}
	return chosen
}

// ringPeers returns the peers other than self whose Reachability is at most worst.
func ringPeers(peers []membership.Peer, self string, worst membership.Reachability) []rankedPeer {
	ring := make([]rankedPeer, 0, len(peers))
	for i := range peers {
		p := &peers[i]
		if p.Name() != self && p.Reachability() <= worst {
			ring = append(ring, rankedPeer{rank: p.Rank(ringSeed), index: i})
		}
	}
	return ring
}
