package agent

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/node"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

// newAgent returns an agent of the endpoint at the given URL, without a configuration.
func newAgent(endpoint string) *Agent {
	const unreachableURL = "http://127.0.0.1:1"
	self := member.New("agent-1", member.RoleAgent, "127.0.0.1:2", member.WithPlace("riga", "riga-a"), member.WithService("tally"))
	return New(node.New(self, node.NewPlatform(unreachableURL, unreachableURL, unreachableURL, unreachableURL)), engines.New(endpoint))
}

// manifestOf returns a manifest with one chunk per given byte; chunks differ in that
// byte.
func manifestOf(t *testing.T, version string, chunks ...byte) *model.Manifest {
	t.Helper()
	data := make([]byte, len(chunks)*model.MinChunkSize)
	for i, c := range chunks {
		data[i*model.MinChunkSize] = c
	}
	m, err := model.Split("faq", version, bytes.NewReader(data), model.MinChunkSize, func(model.Chunk, []byte) error { return nil })
	require.NoError(t, err)
	return m
}

// stagedOf returns a set of staged chunks, given by their indexes in the manifest.
func stagedOf(m *model.Manifest, chunks ...int) map[digest.Digest]bool {
	staged := make(map[digest.Digest]bool)
	for _, i := range chunks {
		staged[m.Chunk(i).Digest()] = true
	}
	return staged
}

// A duplicate attempt is rejected as long as the history contains it. Running it would
// execute the caller's request twice.
func TestDuplicateAttemptIsRejected(t *testing.T) {
	var a attemptHistory
	request := func(id string, attempt uint32) *nodev1.AttemptRequest {
		return &nodev1.AttemptRequest{RequestId: id, Attempt: attempt}
	}
	for _, test := range []struct {
		id      string
		attempt uint32
		isNew   bool
	}{
		{"r1", 1, true},
		{"r1", 1, false},
		{"r1", 2, true},
		{"r2", 1, true},
		{"r1", 2, false},
	} {
		require.Equal(t, test.isNew, a.record(request(test.id, test.attempt)), "%s/%d", test.id, test.attempt)
	}
	for i := range maxAttempts {
		require.True(t, a.record(request(fmt.Sprintf("more-%d", i), 1)))
	}
	require.Len(t, a.seen, maxAttempts, "the history is bounded")
	require.True(t, a.record(request("r1", 1)), "the oldest attempts are evicted")
}

// The agent removes the header of suspect requests, which must not reach the endpoint.
func TestSuspectHeaderIsRemoved(t *testing.T) {
	mark, other := &nodev1.Header{Name: suspects.Header, Value: "1"}, &nodev1.Header{Name: "Accept", Value: "a"}
	for _, test := range []struct {
		headers   []*nodev1.Header
		found     bool
		remaining int
	}{
		{nil, false, 0},
		{[]*nodev1.Header{other}, false, 1},
		{[]*nodev1.Header{mark, other}, true, 1},
		{[]*nodev1.Header{other, mark}, true, 1},
	} {
		r := &nodev1.AttemptRequest{Headers: test.headers}
		require.Equal(t, test.found, removeSuspectHeader(r))
		require.Len(t, r.GetHeaders(), test.remaining)
	}
}

// await returns as soon as the report changes, and at the latest after the given time or
// when the process stops.
func TestAwaitChange(t *testing.T) {
	for _, test := range []struct {
		name    string
		known   uint64
		action  func(c *changeCounter)
		elapsed time.Duration
	}{
		{"the caller has an older change", 0, nil, 0},
		{"nothing changes", 1, nil, 5 * time.Second},
		{"same state recorded again", 1, func(c *changeCounter) { c.record(reportState{fault: "a"}) }, 5 * time.Second},
		{"the state changes", 1, func(c *changeCounter) { c.record(reportState{fault: "b"}) }, time.Second},
		{"the process stops", 1, func(c *changeCounter) { c.stop() }, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := &changeCounter{next: make(chan struct{})}
			c.record(reportState{fault: "a"})
			if test.action != nil {
				time.AfterFunc(time.Second, func() { test.action(c) })
			}
			start := time.Now()
			c.await(t.Context(), test.known, 5*time.Second)
			require.Equal(t, test.elapsed, time.Since(start), test.name)
		})
	}
}

// An agent announces its endpoint while all chunks are staged and the endpoint does not
// serve them.
func TestAwaitsOrder(t *testing.T) {
	a := newAgent("http://127.0.0.1:1")
	const stateServing, stateEmpty, stateLeaving = nodev1.EndpointState_ENDPOINT_STATE_SERVING, nodev1.EndpointState_ENDPOINT_STATE_EMPTY, nodev1.EndpointState_ENDPOINT_STATE_LEAVING
	for _, test := range []struct {
		name   string
		report *nodev1.EndpointReport
		awaits bool
	}{
		{"chunks are missing", &nodev1.EndpointReport{State: stateEmpty, ChunksTotal: 3, ChunksStaged: 2}, false},
		{"no target", &nodev1.EndpointReport{State: stateEmpty}, false},
		{"all chunks staged", &nodev1.EndpointReport{State: stateEmpty, ChunksTotal: 3, ChunksStaged: 3}, true},
		{"serves other weights", &nodev1.EndpointReport{State: stateServing, Digest: []byte("a"), WantedDigest: []byte("b"), ChunksTotal: 3, ChunksStaged: 3}, true},
		{"serves the target", &nodev1.EndpointReport{State: stateServing, Digest: []byte("b"), WantedDigest: []byte("b"), ChunksTotal: 3, ChunksStaged: 3}, false},
		{"shutting down", &nodev1.EndpointReport{State: stateLeaving, ChunksTotal: 3, ChunksStaged: 3}, false},
	} {
		require.Equal(t, test.awaits, a.awaitsOrder(test.report), test.name)
	}
}

// Only the target manifest with every chunk staged is complete, and only chunks that are
// in neither the loaded nor the target manifest are dropped.
func TestWeights(t *testing.T) {
	previous, target := manifestOf(t, "1", 1, 2), manifestOf(t, "2", 2, 3)
	for _, test := range []struct {
		name     string
		staged   map[digest.Digest]bool
		complete bool
		dropped  []digest.Digest
	}{
		{"no chunks", stagedOf(target), false, nil},
		{"one of two", stagedOf(target, 0), false, nil},
		{"both chunks", stagedOf(target, 0, 1), true, nil},
		{"chunks of the previous manifest", stagedOf(previous, 0, 1), false, []digest.Digest{previous.Chunk(0).Digest()}},
	} {
		w := weights{staged: test.staged, target: &transfer{manifest: target, uploads: swarm.NewUploadLimiter(target.Size())}}
		require.Equal(t, test.complete, w.complete(target.ID()) != nil, test.name)
		require.Nil(t, w.complete(previous.ID()), test.name)
		require.Equal(t, test.dropped, w.unneeded(make(map[digest.Digest]bool)), test.name)
		uploads, size := w.uploadOf(target.Chunk(1).Digest())
		require.Equal(t, test.staged[target.Chunk(1).Digest()], uploads != nil && size == model.MinChunkSize, test.name)
		w.clearStaged()
		require.Nil(t, w.complete(target.ID()), test.name)
	}
	none := weights{staged: stagedOf(target, 0, 1)}
	require.Nil(t, none.complete(target.ID()), "there is no target yet")
	require.Equal(t, digest.Digest{}, none.targetID())
}

// A refusal because of a full endpoint has a shorter retry delay than other refusals.
func TestRetryAfter(t *testing.T) {
	require.Equal(t, retryAfterBusy, retryAfter(serving.ErrBusy))
	require.Equal(t, retryAfterSwitch, retryAfter(serving.ErrShuttingDown))
}

// An agent without a configuration responds "not run" to attempts, sends no chunks and
// refuses orders.
func TestAgentWithoutConfiguration(t *testing.T) {
	endpoint := standin.NewPlain()
	engine := httptest.NewServer(endpoint)
	defer engine.Close()
	a := newAgent(engine.URL)
	mux := http.NewServeMux()
	a.Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	client := nodev1connect.NewAgentServiceClient(http.DefaultClient, server.URL)
	weights := manifestOf(t, "1", 1)

	attempt, err := client.Attempt(t.Context(), connect.NewRequest(&nodev1.AttemptRequest{RequestId: "r", Attempt: 1, Service: "tally", TimeLeftMs: 1000}))
	require.NoError(t, err)
	require.True(t, attempt.Receive(), attempt.Err())
	require.Contains(t, attempt.Msg().GetNotRun().GetReason(), "does not serve tally")
	require.NoError(t, attempt.Close())

	bitmap, err := client.ChunkMap(t.Context(), connect.NewRequest(&nodev1.ChunkMapRequest{Manifest: weights.ID().Bytes()}))
	require.NoError(t, err)
	require.Empty(t, bitmap.Msg.GetBitmap())

	chunk, err := client.FetchChunk(t.Context(), connect.NewRequest(&nodev1.FetchChunkRequest{Digest: weights.Chunk(0).Digest().Bytes()}))
	require.NoError(t, err)
	require.False(t, chunk.Receive())
	require.Equal(t, connect.CodeNotFound, connect.CodeOf(chunk.Err()))
	require.NoError(t, chunk.Close())

	order, err := client.Order(t.Context(), connect.NewRequest(&nodev1.OrderRequest{Digest: weights.ID().Bytes(), Fencing: 1}))
	require.NoError(t, err)
	require.False(t, order.Msg.GetAccepted())
	require.Equal(t, "weights are not staged", order.Msg.GetReason())

	report, err := client.Report(t.Context(), connect.NewRequest(&nodev1.ReportRequest{}))
	require.NoError(t, err)
	require.Equal(t, nodev1.EndpointState_ENDPOINT_STATE_EMPTY, report.Msg.GetState())
}

// The record of staged chunks is cleared after the endpoint restarts, and an endpoint
// that does not respond is down.
func TestProbe(t *testing.T) {
	endpoint := standin.NewPlain(standin.WithPlainRestartDelay(0))
	engine := httptest.NewServer(endpoint)
	a := newAgent(engine.URL)
	target := manifestOf(t, "1", 1)
	a.probe(t.Context())
	a.weights.staged = stagedOf(target, 0)
	a.probe(t.Context())
	require.Len(t, a.weights.staged, 1, "the endpoint has not restarted")
	endpoint.Crash()
	require.Eventually(t, func() bool {
		a.probe(t.Context())
		return len(a.weights.staged) == 0
	}, 5*time.Second, 10*time.Millisecond, "the endpoint has restarted")
	engine.Close()
	a.probe(t.Context())
	phase, _ := a.controller.Phase()
	require.Equal(t, serving.PhaseDown, phase)
	require.Equal(t, "endpoint does not answer", a.faultText())
}
