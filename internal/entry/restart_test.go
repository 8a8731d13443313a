package entry_test

import (
	"testing"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// TestRestartedAgentAtNewAddress restarts an agent at a new address. The entries receive
// the new incarnation first, as when a message of the agent arrives before the
// platform's list has the new address, and must still poll it at the new address.
func TestRestartedAgentAtNewAddress(t *testing.T) {
	s := newSystem(t, 0)
	before := s.agents[0].Self()
	s.agents[0].Kill()
	incarnation := before.Incarnation() + uint64(time.Hour)
	s.members.Put(before.With(member.WithIncarnation(incarnation)))
	s.eventually(func() bool {
		for _, e := range s.entries {
			p, ok := e.Node().View().Get(before.Name())
			if !ok || p.Member().Incarnation() != incarnation || p.Reachability() == membership.Reachable {
				return false
			}
		}
		return true
	})
	after := s.start(before.Name(), member.RoleAgent, s.serve(s.plain[0])).Self()
	s.members.Put(after.With(member.WithIncarnation(incarnation)))
	s.awaitServing()
}
