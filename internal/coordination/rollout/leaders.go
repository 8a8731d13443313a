// Package rollout decides who leads the change of a service's weights and which
// instances switch when.
//
// # Usage
//
//	for _, m := range rollout.Leaders(view, "faq") { ... }
package rollout

import (
	"cmp"
	"slices"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// leaderCount is the number of entries that contend for the lease of a rollout:
// one to lead, one to take over. All 410 entries would load the table with reads.
const leaderCount = 2

// Candidates returns the entries that contend for the rollout lease of a service,
// the first in rank first. Processes whose views differ may name different
// entries; the lease row decides among them.
func Candidates(view *membership.View, service string) []member.Member {
	var entries []membership.Peer
	for _, p := range view.Peers() {
		if p.Member().Role() == member.RoleEntry && p.TakesNewWork() {
			entries = append(entries, p)
		}
	}
	seed := seedOf(service)
	slices.SortFunc(entries, func(a, b membership.Peer) int {
		return cmp.Or(cmp.Compare(b.Rank(seed), a.Rank(seed)), cmp.Compare(a.Name(), b.Name()))
	})
	var leaders []member.Member
	for _, p := range entries[:min(leaderCount, len(entries))] {
		leaders = append(leaders, p.Member())
	}
	return leaders
}

// seedOf spreads the services over the entries.
func seedOf(service string) uint64 {
	d := digest.Of([]byte("rollout/" + service))
	var seed uint64
	for _, b := range d[:8] {
		seed = seed<<8 | uint64(b)
	}
	return seed
}
