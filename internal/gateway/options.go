package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Option sets a property of a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithMetrics sets the metrics.
func WithMetrics(m *telemetry.Metrics) Option { return func(g *Gateway) { g.metrics = m } }

// WithPeers sets how datagrams are sent and the addresses of entries to begin with.
func WithPeers(seeds []string, send func(address string, m *nodev1.Datagram) error) Option {
	return func(g *Gateway) {
		g.send = send
		g.peers.learn(seeds...)
	}
}

// WithTables sets the content of the own copies of the store's tables, and how one
// is brought up to date with that of another entry.
func WithTables(content func(table nodev1.Table) int64, sync func(ctx context.Context, address string, table nodev1.Table) error) Option {
	return func(g *Gateway) {
		g.content = content
		g.sync = sync
	}
}

// WithAgents sets where the agent beside the endpoint at an address listens, and
// the region of a failure domain.
func WithAgents(address, region func(string) string) Option {
	return func(g *Gateway) {
		g.agent = address
		g.region = region
	}
}

// WithConfirmation sets when the store last confirmed the configuration, in
// boottime, and how long after its removal a key may be used.
func WithConfirmation(confirmed func() time.Duration, revocation time.Duration) Option {
	return func(g *Gateway) {
		g.confirmed = confirmed
		g.revocation = revocation
	}
}

// WithVersionBound sets how long after a version of weights was named requests
// may still be sent to older ones, and what is called to keep when this entry saw
// a version named, in boottime, for processes that start later.
func WithVersionBound(d time.Duration, record func(v TargetVersion)) Option {
	return func(g *Gateway) {
		g.weights.bound = d
		g.record = record
	}
}

// WithRetries sets the repeats of a service: those that each request pays for,
// and those that all entries together may make without any.
func WithRetries(ratio, reserve float64) Option {
	return func(g *Gateway) {
		g.ratio = ratio
		g.reserve = reserve
	}
}

// WithMaxTTL bounds how long callers keep an address answer.
func WithMaxTTL(d time.Duration) Option { return func(g *Gateway) { g.maxTTL = d } }

// WithClock sets the clock; the default is boottime.Now.
func WithClock(now func() time.Duration) Option { return func(g *Gateway) { g.now = now } }
