package fleetprocess

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// An engine that carries out an order after its caller has given it up, while the next
// version is the target, loads a whole version all the same.
func TestEngineAcceptsOrderLate(t *testing.T) {
	for _, test := range []struct {
		name        string
		calls       string // that are delayed; "" for all
		newestFirst bool
	}{
		{"the order is late", "order", false},
		{"the engine is suspended", "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, standin.WithSize(1, 1, 2, 1))
			late, other := s.Servers["i-engine-1-1"], s.Servers["i-engine-1-2"]
			s.NameWeights(2)
			late.DelayCalls("order")
			require.Eventually(t, func() bool { return late.DelayedCalls() == 1 }, 9*time.Second, time.Millisecond)
			late.DelayCalls("order", test.calls)
			s.NameWeights(3)
			require.Eventually(t, func() bool {
				version, _ := other.Version()
				return version == 3
			}, 15*time.Second, 20*time.Millisecond)
			late.ReleaseCalls(test.newestFirst)
			require.Eventually(t, func() bool {
				version, _ := late.Version()
				return version == 3
			}, 15*time.Second, 20*time.Millisecond)
			for id, server := range s.Servers {
				require.Zero(t, server.UnsoundOrders(), id)
			}
		})
	}
}

// An agent that stops keeps its port, and so the next process of it from running, until the
// calls to its engine have ended.
func TestStoppingAgentKeepsPortDuringOrder(t *testing.T) {
	s := startSystem(t, standin.WithSize(1, 1, 1, 1))
	engine := s.Servers["i-engine-1-1"]
	engine.DelayCalls("order")
	s.NameWeights(2)
	require.Eventually(t, func() bool { return engine.DelayedCalls() == 1 }, 9*time.Second, time.Millisecond)
	s.cancel()
	canListen := func() bool {
		l, err := net.Listen("tcp", s.PeerAddress(s.Agents[0]))
		if err != nil {
			return false
		}
		return l.Close() == nil
	}
	require.Never(t, canListen, time.Second, 10*time.Millisecond)
	engine.ReleaseCalls(false)
	require.Eventually(t, canListen, 5*time.Second, 10*time.Millisecond)
}
