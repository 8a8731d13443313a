package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/admission"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// A process may be suspended, or hear something, between the choice of an endpoint and
// the first byte. What was allowed when the request was placed is looked at again.
func TestWithheld(t *testing.T) {
	const revocation = 5 * time.Second
	keyed := func(version int64, key string) *fleet.Configuration {
		return fleet.NewConfiguration(version,
			fleet.WithServices(fleet.NewService("s", fleet.WithEngine(&fleet.Engine{Models: []string{"m"}}))),
			fleet.WithAccount(fleet.NewAccount("shop"), key))
	}
	endpoint := placement.Candidate{ID: "e", Started: 1000, Version: 1}
	for _, test := range []struct {
		name   string
		happen func(g *Gateway, c *clock)
		reason string
	}{
		{"nothing", func(*Gateway, *clock) {}, ""},
		{"a short suspension", func(_ *Gateway, c *clock) { c.at += time.Second }, ""},
		{"a long suspension", func(_ *Gateway, c *clock) { c.at += revocation }, reasonKeyUnsure},
		{"the key is taken away", func(g *Gateway, _ *clock) { g.ApplyConfiguration(keyed(2, "other"), nil) }, reasonKeyUnsure},
		{"the endpoint leaves", func(g *Gateway, c *clock) { g.asked.Record(c.at, lifeOf(endpoint), admission.Backpressure{Draining: true}) }, reasonAskedNot},
		{"the endpoint asks for a pause", func(g *Gateway, c *clock) { g.asked.Record(c.at, lifeOf(endpoint), admission.Backpressure{RetryAfter: time.Second}) }, reasonAskedNot},
		{"the pause is over", func(g *Gateway, c *clock) {
			g.asked.Record(c.at, lifeOf(endpoint), admission.Backpressure{RetryAfter: time.Second})
			c.at += time.Second
		}, ""},
		{"a suspension until the weights are too old", func(g *Gateway, c *clock) {
			g.weights.name("m", 2, c.at-7*time.Second, true)
			c.at += 500 * time.Millisecond
		}, reasonReplaced},
	} {
		clock := &clock{at: 100 * time.Second}
		confirmed := clock.at
		g := newGateway(clock, WithConfirmation(func() time.Duration { return confirmed }, revocation),
			WithVersionBound(8*time.Second, func(TargetVersion) {}))
		g.ApplyConfiguration(keyed(1, "key"), nil)
		q := &request{account: "shop", call: RequestHead{Key: "key"}, service: g.Configuration().Services()["s"]}
		test.happen(g, clock)
		require.Equal(t, test.reason, g.withheld(q, endpoint), test.name)
	}
}

// A stream that never ends an event is given up at a bound.
func TestEventWithoutEnd(t *testing.T) {
	var r eventReader
	chunk := []byte(strings.Repeat("data: x\n", 512))
	for range maxEvent/len(chunk) - 1 {
		r.take(chunk, 0)
		require.False(t, r.tooLong())
	}
	r.take(chunk, 0)
	r.take(chunk, 0)
	require.True(t, r.tooLong())
}
