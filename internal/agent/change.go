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

// Intervals and timeouts of the agent's reports about its endpoint.
const (
	changeInterval   = 50 * time.Millisecond
	announceInterval = time.Second
	announceTimeout  = time.Second
	maxReportWait    = 30 * time.Second
)

// reportState is the part of a report whose changes callers of Report wait for.
type reportState struct {
	state    nodev1.EndpointState
	digest   string
	target   string
	complete bool
	fault    string
}

// changeCounter counts the changes of a report's state and notifies waiters.
type changeCounter struct {
	mu      sync.Mutex
	last    reportState
	count   uint64
	next    chan struct{} // closed and replaced at each change
	stopped bool          // the process is stopping; await returns immediately
}

// record counts a change if s differs from the last recorded state.
func (c *changeCounter) record(s reportState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count > 0 && s == c.last {
		return
	}
	c.last = s
	c.count++
	close(c.next)
	c.next = make(chan struct{})
}

// stop releases all current waiters and makes later calls of await return immediately.
func (c *changeCounter) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	close(c.next)
	c.next = make(chan struct{})
}

func (c *changeCounter) number() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// await returns when the number of changes differs from known, after wait, when ctx is
// done, or when the counter is stopped.
func (c *changeCounter) await(ctx context.Context, known uint64, wait time.Duration) {
	c.mu.Lock()
	next, same := c.next, c.count == known && !c.stopped
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

// changeLoop records the changes of the report until ctx is done.
func (a *Agent) changeLoop(ctx context.Context) {
	defer a.changes.stop()
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	recorded := &nodev1.EndpointReport{}
	for {
		r := a.report()
		a.changes.record(reportStateOf(r))
		a.recordChunkMetrics(recorded, r)
		recorded = r
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// recordChunkMetrics adds the difference between two consecutive reports to the chunk
// metrics.
func (a *Agent) recordChunkMetrics(previous, current *nodev1.EndpointReport) {
	m := a.node.Telemetry().Metrics()
	m.ChunkBytes.WithLabelValues(telemetry.SourceOrigin).Add(float64(current.GetBytesOrigin() - previous.GetBytesOrigin()))
	m.ChunkBytes.WithLabelValues(telemetry.SourcePeers).Add(float64(current.GetBytesPeers() - previous.GetBytesPeers()))
	m.ChunkBytes.WithLabelValues(telemetry.SourceSent).Add(float64(current.GetBytesSent() - previous.GetBytesSent()))
	m.CorruptChunks.Add(float64(current.GetCorruptChunks() - previous.GetCorruptChunks()))
}

func reportStateOf(report *nodev1.EndpointReport) reportState {
	return reportState{
		state:    report.GetState(),
		digest:   string(report.GetDigest()),
		target:   string(report.GetWantedDigest()),
		complete: report.GetChunksTotal() > 0 && report.GetChunksStaged() == report.GetChunksTotal(),
		fault:    report.GetFault(),
	}
}

// announceLoop reports to the entries that may lead the rollout that the endpoint is
// waiting for an order. It sends nothing while the endpoint serves its target weights.
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
	s := reportStateOf(r)
	serves := s.state == nodev1.EndpointState_ENDPOINT_STATE_SERVING && s.digest == s.target
	return s.complete && !serves && s.state != nodev1.EndpointState_ENDPOINT_STATE_LEAVING
}

func (a *Agent) announce(ctx context.Context, r *nodev1.EndpointReport) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	for _, l := range rollout.Candidates(a.node.View(), a.node.Self().Service()) {
		message := &nodev1.AnnounceRequest{From: a.node.From(), Report: r}
		// An error is ignored: the announcement is repeated after announceInterval.
		_, _ = a.node.Pool().Node(l.Address()).Announce(ctx, connect.NewRequest(message))
	}
}
