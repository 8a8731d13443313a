package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// A request that waits for an endpoint is refused as not run while an attempt is still of
// use. It is not sent with less time.
func TestWaitEndsBeforeDeadline(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name  string
		tried []string
		left  time.Duration // time before the deadline at which the endpoint has room
		sent  bool
	}{
		{"retry, in time", []string{"e1"}, minAttemptTime, true},
		{"retry, just too late", []string{"e1"}, minAttemptTime - 1, false},
		{"retry, 6 ms before the deadline", []string{"e1"}, 6 * time.Millisecond, false},
		{"first attempt without a target, in time", nil, minAttemptTime, true},
		{"first attempt without a target, too late", nil, 6 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var now atomic.Int64
			now.Store(int64(100 * second))
			g := New(Identity{FailureDomain: "riga-a"}, Codec{}, WithClock(func() time.Duration { return time.Duration(now.Load()) }))
			route := fleet.NewRoute("r", "h", "/", fleet.WithKind(fleet.Streaming), fleet.WithResumable(true), fleet.WithSplits(fleet.NewSplit("s", 1)))
			g.ApplyConfiguration(fleet.NewConfiguration(1, fleet.WithServices(fleet.NewService("s")), fleet.WithRoutes(route)), nil)
			traffic := g.trafficOf("s")
			// A plain endpoint takes one request beyond its slots.
			traffic.placement.SetEndpoints(g.now(), []placement.Candidate{{ID: "e2", Slots: 0, Preferred: true}})
			q := &request{route: route, service: g.Configuration().Services()["s"], traffic: traffic, tried: test.tried, arrived: g.now(), deadline: g.now() + 2500*time.Millisecond}
			busy := <-traffic.placement.Submit(g.now(), placement.Request{Deadline: q.deadline}).Decision()
			require.True(t, busy.Placed())
			result := make(chan bool, 1)
			go func() {
				_, placed := g.awaitPlacement(t.Context(), q, nil)
				result <- placed
			}()
			require.Eventually(t, func() bool { return traffic.placement.Waiting() == 1 }, 10*second, time.Millisecond)
			now.Store(int64(q.deadline - test.left))
			traffic.placement.Release(g.now(), busy.Choice(), placement.Succeeded)
			g.traffic.expire(g.now())
			require.Zero(t, traffic.placement.Waiting())
			require.Equal(t, test.sent, <-result)
		})
	}
}
