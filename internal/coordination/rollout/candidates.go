package rollout

import (
	"cmp"
	"slices"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// candidateCount is the number of entries that contend for the lease of a rollout:
// one holds it and the other can take over. If all 410 entries contended, their
// reads would load the table.
const candidateCount = 2

// Candidates returns the entries that contend for the rollout lease of a service,
// the highest rank first. The result may differ between processes with different
// views; the lease row decides which entry leads.
func Candidates(view *membership.View, service string) []member.Member {
	var entries []membership.Peer
	for _, p := range view.Peers() {
		if p.Member().Role() == member.RoleEntry && p.TakesNewWork() {
			entries = append(entries, p)
		}
	}
	seed := rankSeed(service)
	slices.SortFunc(entries, func(a, b membership.Peer) int {
		return cmp.Or(cmp.Compare(b.Rank(seed), a.Rank(seed)), cmp.Compare(a.Name(), b.Name()))
	})
	var candidates []member.Member
	for _, p := range entries[:min(candidateCount, len(entries))] {
		candidates = append(candidates, p.Member())
	}
	return candidates
}

// rankSeed returns the rank seed of a service, so that the rollouts of different
// services are led by different entries.
func rankSeed(service string) uint64 {
	d := digest.Of([]byte("rollout/" + service))
	var seed uint64
	for _, b := range d[:8] {
		seed = seed<<8 | uint64(b)
	}
	return seed
}
