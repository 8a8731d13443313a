package spread

import (
	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

const (
	// depthRegion, depthDomain and depthHash are the first depths at which all
	// members of a subtree share the region, the failure domain, and a digit of the
	// hash.
	depthRegion = 1
	depthDomain = 2
	depthHash   = 3
	// digitBits is the number of hash bits a level of the tree decides on, so that
	// a process pushes to at most 2^digitBits - 1 delegates a level.
	digitBits = 2
	// maxDepth is one more than the depth at which the hash is used up.
	maxDepth = depthHash + 64/digitBits
)

// subtree is a part of the fan-out tree and the peers in it. One of them, the
// delegate, gets the push and answers for the rest.
type subtree struct {
	depth uint32
	peers []membership.Peer
}

// forwardPlan returns the subtrees that self must push a revision to when it is
// answerable for depths from inclusive to to exclusive.
//
// A member's path is its region, its failure domain, then the digits of its
// rendezvous hash under the revision. A process that gets a push at depth d is
// answerable for all members whose paths share its own first d components. The
// subtrees depend on paths alone, not on positions in a list, so two processes
// whose views differ by some members still cut the rest the same way. Regions
// come first, so that a revision crosses a link between regions once.
func forwardPlan(view *membership.View, self member.Member, revision uint64, from, to uint32) []subtree {
	var plan []subtree
	if from < depthRegion && to >= depthRegion {
		plan = append(plan, otherRegions(view, self)...)
	}
	if from < depthDomain && to >= depthDomain {
		plan = append(plan, otherDomains(view, self)...)
	}
	return append(plan, hashSubtrees(view, self, revision, from, to)...)
}

func otherRegions(view *membership.View, self member.Member) []subtree {
	var plan []subtree
	last := self.Region()
	for _, d := range view.Domains() {
		if d.Region() == self.Region() {
			continue
		}
		if d.Region() != last {
			plan = append(plan, subtree{depth: depthRegion})
			last = d.Region()
		}
		s := &plan[len(plan)-1]
		s.peers = append(s.peers, d.Peers()...)
	}
	return plan
}

func otherDomains(view *membership.View, self member.Member) []subtree {
	var plan []subtree
	for _, d := range view.Domains() {
		if d.Region() == self.Region() && d.Name() != self.FailureDomain() {
			plan = append(plan, subtree{depth: depthDomain, peers: d.Peers()})
		}
	}
	return plan
}

// hashSubtrees cuts self's failure domain by the digits of the hash.
func hashSubtrees(view *membership.View, self member.Member, revision uint64, from, to uint32) []subtree {
	own := membership.RankOf(self.Name(), revision)
	var plan []subtree
	index := make(map[uint32]int)
	for _, p := range domainPeers(view, self) {
		if p.Name() == self.Name() {
			continue
		}
		shared, digit := sharedDigits(own, p.Rank(revision))
		depth := depthHash + shared
		if depth <= from || depth > to {
			continue
		}
		key := depth<<digitBits | digit
		i, ok := index[key]
		if !ok {
			i = len(plan)
			index[key] = i
			plan = append(plan, subtree{depth: depth})
		}
		plan[i].peers = append(plan[i].peers, p)
	}
	return plan
}

// sharedDigits returns how many leading digits two hashes share and the digit of
// the other after them.
func sharedDigits(own, other uint64) (shared, digit uint32) {
	for shift := 64 - digitBits; shift > 0; shift -= digitBits {
		a := own >> shift & (1<<digitBits - 1)
		b := other >> shift & (1<<digitBits - 1)
		if a != b {
			return shared, uint32(b)
		}
		shared++
	}
	return shared, uint32(other & (1<<digitBits - 1))
}

func domainPeers(view *membership.View, self member.Member) []membership.Peer {
	for _, d := range view.Domains() {
		if d.Region() == self.Region() && d.Name() == self.FailureDomain() {
			return d.Peers()
		}
	}
	return nil
}

// delegate returns the best peer that was not tried: the least suspected, then
// the one ranked first.
func (s subtree) delegate(revision uint64, tried map[string]bool) (membership.Peer, bool) {
	var best membership.Peer
	found := false
	for _, p := range s.peers {
		if tried[p.Name()] {
			continue
		}
		if !found || better(p, best, revision) {
			best = p
			found = true
		}
	}
	return best, found
}

func better(p, q membership.Peer, seed uint64) bool {
	if p.Reachability() != q.Reachability() {
		return p.Reachability() < q.Reachability()
	}
	return p.Rank(seed) < q.Rank(seed)
}
