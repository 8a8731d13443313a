package gateway

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/transport/endpoints"
)

// acceptedConnections is how many connections an endpoint accepts in these tests.
const acceptedConnections = 48

// requireConnections fails if the entries may have more connections to an endpoint than it
// accepts.
func (f *simFleet) requireConnections(t *testing.T, s *fleet.Service) {
	t.Helper()
	sums := make([]int, len(f.endpoints))
	running := 0
	for _, e := range f.entries {
		if e.stopped {
			continue
		}
		running++
		shares := sync.OnceValue(func() *placement.ConnectionShares { return e.connectionShares(f.now) })
		for i, o := range f.endpoints {
			c := placement.Candidate{ID: o.id}
			if limitConnections(&c, s, shares) {
				sums[i] += c.MaxInFlight
			}
		}
	}
	t.Logf("%s: %d entries may have %v connections", f.now, running, sums)
	for i, sum := range sums {
		require.LessOrEqual(t, sum, acceptedConnections, "%s with %d entries", f.endpoints[i].id, running)
	}
}

// All entries together have no more connections to an endpoint than it accepts, also soon
// after they have started together and after a tenth of them has started again.
func TestConnectionsOfAllEntriesAreAccepted(t *testing.T) {
	const (
		settleTime = time.Second            // after the start of the fleet
		toldTime   = 250 * time.Millisecond // after the start of some entries
		step       = 500 * time.Millisecond
	)
	s := fleet.NewService("s", fleet.WithMaxConnections(acceptedConnections))
	for _, entries := range []int{8, 30, 100, 300} {
		f := newSimFleet(7, entries, 3, 0.1)
		f.run(settleTime)
		for range 6 {
			f.requireConnections(t, s)
			f.run(step)
		}
		for n := range entries / 10 {
			f.entries[n].stop()
			f.start(n, 0.1)
		}
		f.run(toldTime)
		for range 4 {
			f.requireConnections(t, s)
			f.run(step)
		}
	}
}

// A request does not wait for a connection that its entry can't have.
func TestRequestDoesNotWaitForConnectionsOfOthers(t *testing.T) {
	const entries = 100
	f := newSimFleet(8, entries, 2, 0.1)
	f.run(15 * time.Second)
	service := fleet.NewService("s", fleet.WithMaxConnections(acceptedConnections))
	placed, refused := 0, 0
	for _, e := range f.entries {
		e.ApplyConfiguration(fleet.NewConfiguration(2, fleet.WithServices(service)), nil)
		pool := e.trafficOf("s").placement
		pool.GrantQuota(f.now, placement.EntryCounts{SameRegion: 1, OtherRegions: 1}, true)
		select {
		case d := <-pool.Submit(f.now, placement.Request{Deadline: f.now + time.Minute}).Decision():
			if d.Placed() {
				placed++
				continue
			}
			require.Equal(t, placement.ReasonNoEndpoint, d.Reason())
			refused++
		default:
			t.Errorf("a request waits at %s", e.name)
		}
	}
	t.Logf("placed at %d entries, refused at %d", placed, refused)
	require.GreaterOrEqual(t, placed, 21, "as many have two connections to an endpoint")
	require.Equal(t, entries, placed+refused)
}

// Connections that are idle, or too old for a request, count for the share of an entry as
// well.
func TestIdleConnectionsAreWithinShare(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	g := newGateway(&clock{at: 10 * time.Second})
	service := fleet.NewService("s", fleet.WithMaxConnections(4))
	g.ApplyConfiguration(fleet.NewConfiguration(1, fleet.WithServices(service)), nil)
	g.ApplyEndpoints([]*fleet.Endpoint{fleet.NewEndpoint("e", "s", l.Addr().String())})
	opened := 0
	for ; opened <= acceptedConnections; opened++ {
		x, err := g.pool.Begin(t.Context(), l.Addr().String(), endpoints.NewConnection)
		if err != nil {
			require.ErrorIs(t, err, endpoints.ErrNoConnection)
			break
		}
		defer x.End()
	}
	require.Equal(t, 3, opened)
}
