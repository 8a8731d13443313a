package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/warmup"
	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger. The default discards all records.
func WithLogger(l *slog.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithMetrics sets the metrics to update.
func WithMetrics(m *telemetry.Metrics) Option { return func(g *Gateway) { g.metrics = m } }

// WithMemory sets the memory of the process in bytes, of which bodies take a part at most; 0
// stands for no limit.
func WithMemory(bytes int64) Option {
	return func(g *Gateway) { g.memory.limit = int64(memoryFraction * float64(bytes)) }
}

// WithPeers sets the function that sends datagrams and the peer addresses to start
// with.
func WithPeers(seeds []string, send func(address string, m *nodev1.Datagram) error) Option {
	return func(g *Gateway) {
		g.send = send
		g.peers.add(seeds...)
	}
}

// WithTables sets the functions that return what the local copy of a store table holds
// and that update it from another entry's copy.
func WithTables(state func(table nodev1.Table) watch.State, sync func(ctx context.Context, address string, table nodev1.Table) error) Option {
	return func(g *Gateway) {
		g.tableState = state
		g.syncTable = sync
	}
}

// WithAgents sets the functions that return the address of the agent beside an
// endpoint and the region of a failure domain.
func WithAgents(address, region func(string) string) Option {
	return func(g *Gateway) {
		g.agentAddress = address
		g.region = region
	}
}

// WithConfirmation sets the function that returns when, in boottime, the store last
// confirmed the configuration, and how long a key may be used after its removal.
func WithConfirmation(confirmed func() time.Duration, revocation time.Duration) Option {
	return func(g *Gateway) {
		g.confirmedAt = confirmed
		g.revocationBound = revocation
	}
}

// WithVersionBound sets how long after a new target version of weights requests may
// still be sent to older versions. The function is called to store when, in boottime,
// this entry observed a new target version, for processes that start later.
func WithVersionBound(d time.Duration, record func(v TargetVersion)) Option {
	return func(g *Gateway) {
		g.targets.bound = d
		g.recordTarget = record
	}
}

// WithRetries sets the retry budget of a service: the retries that each request adds,
// and the reserve that all entries share without any requests.
func WithRetries(ratio, reserve float64) Option {
	return func(g *Gateway) {
		g.retryRatio = ratio
		g.retryReserve = reserve
	}
}

// WithColdBound sets how far the rate at a cold endpoint may be exceeded in one second. The
// default is not at all.
func WithColdBound(b warmup.Bound) Option {
	return func(g *Gateway) { g.warmup = warmup.NewTracker(b) }
}

// WithMaxTTL bounds how long callers cache a directory response.
func WithMaxTTL(d time.Duration) Option { return func(g *Gateway) { g.maxTTL = d } }

// WithClock sets the clock. The default is boottime.Now.
func WithClock(now func() time.Duration) Option { return func(g *Gateway) { g.now = now } }
