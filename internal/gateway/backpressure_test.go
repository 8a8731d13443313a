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

// A process may be suspended, or receive new information, between the choice of an
// endpoint and the first byte sent to it. The conditions that held at the placement
// must be checked again.
func TestStaleReason(t *testing.T) {
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
		{"no change", func(*Gateway, *clock) {}, ""},
		{"short suspension", func(_ *Gateway, c *clock) { c.at += time.Second }, ""},
		{"long suspension", func(_ *Gateway, c *clock) { c.at += revocation }, reasonUnconfirmed},
		{"key is revoked", func(g *Gateway, _ *clock) { g.ApplyConfiguration(keyed(2, "other"), nil) }, reasonUnconfirmed},
		{"endpoint is draining", func(g *Gateway, c *clock) {
			g.backpressure.Record(c.at, incarnationOf(endpoint), admission.Backpressure{Draining: true})
		}, reasonBackpressure},
		{"endpoint signals a retry delay", func(g *Gateway, c *clock) {
			g.backpressure.Record(c.at, incarnationOf(endpoint), admission.Backpressure{RetryAfter: time.Second})
		}, reasonBackpressure},
		{"retry delay has passed", func(g *Gateway, c *clock) {
			g.backpressure.Record(c.at, incarnationOf(endpoint), admission.Backpressure{RetryAfter: time.Second})
			c.at += time.Second
		}, ""},
		{"suspended until the weights are outdated", func(g *Gateway, c *clock) {
			g.targets.add("m", 2, c.at-7*time.Second, true)
			c.at += 500 * time.Millisecond
		}, reasonOutdatedWeights},
	} {
		clock := &clock{at: 100 * time.Second}
		confirmed := clock.at
		g := newGateway(clock, WithConfirmation(func() time.Duration { return confirmed }, revocation),
			WithVersionBound(8*time.Second, func(TargetVersion) {}))
		g.ApplyConfiguration(keyed(1, "key"), nil)
		q := &request{account: "shop", head: RequestHead{Key: "key"}, service: g.Configuration().Services()["s"]}
		test.happen(g, clock)
		require.Equal(t, test.reason, g.staleReason(q, placement.Choice{Candidate: endpoint}), test.name)
	}
}

// A stream whose event never ends must be abandoned at the size limit, so that it
// can't use up the memory.
func TestEventTooLong(t *testing.T) {
	var r eventReader
	chunk := []byte(strings.Repeat("data: x\n", 512))
	for range maxEventBytes/len(chunk) - 1 {
		r.feed(chunk, 0)
		require.False(t, r.tooLong())
	}
	r.feed(chunk, 0)
	r.feed(chunk, 0)
	require.True(t, r.tooLong())
}
