package agent

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/coordination/rollout"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Intervals of the agent's own word about its endpoint.
const (
	changeInterval   = 50 * time.Millisecond
	announceInterval = time.Second
	announceTimeout  = time.Second
	maxReportWait    = 30 * time.Second
)

// material is the part of a report whose change others wait for.
type material struct {
	state    nodev1.EndpointState
	digest   string
	wanted   string
	complete bool
	fault    string
}

// changes numbers the changes of the material part of the report.
type changes struct {
	mu   sync.Mutex
	last material
	seen uint64
	next chan struct{} // closed at the next change
	over bool          // the process ends; nobody waits any more
}

// note counts a change if m differs from what was noted last.
func (c *changes) note(m material) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen > 0 && m == c.last {
		return
	}
	c.last = m
	c.seen++
	close(c.next)
	c.next = make(chan struct{})
}

// end lets all that wait go, now and later.
func (c *changes) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	close(c.next)
	c.next = make(chan struct{})
}

func (c *changes) number() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen
}

// await returns when the number of changes is not the known one, after wait, or
// when ctx ends.
func (c *changes) await(ctx context.Context, known uint64, wait time.Duration) {
	c.mu.Lock()
	next, same := c.next, c.seen == known && !c.over
	c.mu.Unlock()
	if !same || wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// changeLoop notes the changes of the report.
func (a *Agent) changeLoop(ctx context.Context) {
	defer a.changes.end()
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	recorded := &nodev1.EndpointReport{}
	for {
		r := a.report()
		a.changes.note(materialOf(r))
		a.recordBytes(recorded, r)
		recorded = r
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// recordBytes adds to the metrics what came since the report before.
func (a *Agent) recordBytes(before, now *nodev1.EndpointReport) {
	m := a.node.Telemetry().Metrics()
	m.ChunkBytes.WithLabelValues(telemetry.SourceOrigin).Add(float64(now.GetBytesOrigin() - before.GetBytesOrigin()))
	m.ChunkBytes.WithLabelValues(telemetry.SourcePeers).Add(float64(now.GetBytesPeers() - before.GetBytesPeers()))
	m.ChunkBytes.WithLabelValues(telemetry.SourceSent).Add(float64(now.GetBytesSent() - before.GetBytesSent()))
	m.CorruptChunks.Add(float64(now.GetCorruptChunks() - before.GetCorruptChunks()))
}

func materialOf(r *nodev1.EndpointReport) material {
	return material{
		state:    r.GetState(),
		digest:   string(r.GetDigest()),
		wanted:   string(r.GetWantedDigest()),
		complete: r.GetChunksTotal() > 0 && r.GetChunksStaged() == r.GetChunksTotal(),
		fault:    r.GetFault(),
	}
}

// announceLoop tells the entries that may lead the rollout that the endpoint
// waits for an order. An endpoint that serves what it should is silent.
func (a *Agent) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if r := a.report(); a.awaitsOrder(r) {
			a.announce(ctx, r)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) awaitsOrder(r *nodev1.EndpointReport) bool {
	m := materialOf(r)
	serves := m.state == nodev1.EndpointState_ENDPOINT_STATE_SERVING && m.digest == m.wanted
	return m.complete && !serves && m.state != nodev1.EndpointState_ENDPOINT_STATE_LEAVING
}

func (a *Agent) announce(ctx context.Context, r *nodev1.EndpointReport) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	for _, l := range rollout.Candidates(a.node.View(), a.node.Self().Service()) {
		message := &nodev1.AnnounceRequest{From: a.node.From(), Report: r}
		// A lost announcement is repeated after announceInterval.
		_, _ = a.node.Pool().Node(l.Address()).Announce(ctx, connect.NewRequest(message))
	}
}
