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

// newAgent returns an agent that knows no configuration, before an endpoint.
func newAgent(endpoint string) *Agent {
	const nowhere = "http://127.0.0.1:1"
	self := member.New("agent-1", member.RoleAgent, "127.0.0.1:2", member.WithPlace("riga", "riga-a"), member.WithService("tally"))
	return New(node.New(self, node.NewPlatform(nowhere, nowhere, nowhere, nowhere)), engines.New(endpoint))
}

// manifestOf returns a manifest of chunks that are told apart by a byte.
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

// stagedOf marks chunks of a manifest as staged.
func stagedOf(m *model.Manifest, chunks ...int) map[digest.Digest]bool {
	staged := make(map[digest.Digest]bool)
	for _, i := range chunks {
		staged[m.Chunk(i).Digest()] = true
	}
	return staged
}

// A message that arrives twice is not run twice, as long as it is remembered.
func TestAttemptsAreNew(t *testing.T) {
	var a attempts
	request := func(id string, attempt uint32) *nodev1.AttemptRequest {
		return &nodev1.AttemptRequest{RequestId: id, Attempt: attempt}
	}
	for _, test := range []struct {
		id      string
		attempt uint32
		first   bool
	}{
		{"r1", 1, true},
		{"r1", 1, false},
		{"r1", 2, true},
		{"r2", 1, true},
		{"r1", 2, false},
	} {
		require.Equal(t, test.first, a.first(request(test.id, test.attempt)), "%s/%d", test.id, test.attempt)
	}
	for i := range maxAttempts {
		require.True(t, a.first(request(fmt.Sprintf("more-%d", i), 1)))
	}
	require.Len(t, a.seen, maxAttempts, "the memory is bounded")
	require.True(t, a.first(request("r1", 1)), "the oldest are forgotten")
}

// The mark of a suspect is for the agent and not for the endpoint.
func TestSuspectMarkIsTaken(t *testing.T) {
	mark, other := &nodev1.Header{Name: suspects.Header, Value: "1"}, &nodev1.Header{Name: "Accept", Value: "a"}
	for _, test := range []struct {
		headers []*nodev1.Header
		marked  bool
		left    int
	}{
		{nil, false, 0},
		{[]*nodev1.Header{other}, false, 1},
		{[]*nodev1.Header{mark, other}, true, 1},
		{[]*nodev1.Header{other, mark}, true, 1},
	} {
		r := &nodev1.AttemptRequest{Headers: test.headers}
		require.Equal(t, test.marked, takeSuspectMark(r))
		require.Len(t, r.GetHeaders(), test.left)
	}
}

// Whoever waits for a change of the report gets it at once, and waits no longer than it
// said, or than the process lives.
func TestChangesAreAwaited(t *testing.T) {
	for _, test := range []struct {
		name  string
		known uint64
		do    func(c *changes)
		took  time.Duration
	}{
		{"the asker is behind", 0, nil, 0},
		{"nothing changes", 1, nil, 5 * time.Second},
		{"the same again", 1, func(c *changes) { c.note(material{fault: "a"}) }, 5 * time.Second},
		{"a change", 1, func(c *changes) { c.note(material{fault: "b"}) }, time.Second},
		{"the process ends", 1, func(c *changes) { c.end() }, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := &changes{next: make(chan struct{})}
			c.note(material{fault: "a"})
			if test.do != nil {
				time.AfterFunc(time.Second, func() { test.do(c) })
			}
			begun := time.Now()
			c.await(t.Context(), test.known, 5*time.Second)
			require.Equal(t, test.took, time.Since(begun), test.name)
		})
	}
}

// An agent announces its endpoint as long as that has all chunks and does not serve them.
func TestAwaitsOrder(t *testing.T) {
	a := newAgent("http://127.0.0.1:1")
	const serves, empty, leaving = nodev1.EndpointState_ENDPOINT_STATE_SERVING, nodev1.EndpointState_ENDPOINT_STATE_EMPTY, nodev1.EndpointState_ENDPOINT_STATE_LEAVING
	for _, test := range []struct {
		name   string
		report *nodev1.EndpointReport
		awaits bool
	}{
		{"chunks are missing", &nodev1.EndpointReport{State: empty, ChunksTotal: 3, ChunksStaged: 2}, false},
		{"nothing is wanted", &nodev1.EndpointReport{State: empty}, false},
		{"all chunks", &nodev1.EndpointReport{State: empty, ChunksTotal: 3, ChunksStaged: 3}, true},
		{"serves others", &nodev1.EndpointReport{State: serves, Digest: []byte("a"), WantedDigest: []byte("b"), ChunksTotal: 3, ChunksStaged: 3}, true},
		{"serves these", &nodev1.EndpointReport{State: serves, Digest: []byte("b"), WantedDigest: []byte("b"), ChunksTotal: 3, ChunksStaged: 3}, false},
		{"leaves", &nodev1.EndpointReport{State: leaving, ChunksTotal: 3, ChunksStaged: 3}, false},
	} {
		require.Equal(t, test.awaits, a.awaitsOrder(test.report), test.name)
	}
}

// Only the wanted manifest with every chunk staged counts as complete, and only chunks
// that neither the loaded nor the wanted one has are dropped.
func TestWeights(t *testing.T) {
	before, wanted := manifestOf(t, "1", 1, 2), manifestOf(t, "2", 2, 3)
	for _, test := range []struct {
		name     string
		staged   map[digest.Digest]bool
		complete bool
		dropped  []digest.Digest
	}{
		{"nothing", stagedOf(wanted), false, nil},
		{"one of two", stagedOf(wanted, 0), false, nil},
		{"both", stagedOf(wanted, 0, 1), true, nil},
		{"those of the one before", stagedOf(before, 0, 1), false, []digest.Digest{before.Chunk(0).Digest()}},
	} {
		w := weights{staged: test.staged, wanted: &transfer{manifest: wanted, uploads: swarm.NewUploadLimiter(wanted.Size())}}
		require.Equal(t, test.complete, w.complete(wanted.ID()) != nil, test.name)
		require.Nil(t, w.complete(before.ID()), test.name)
		require.Equal(t, test.dropped, w.notIn(make(map[digest.Digest]bool)), test.name)
		uploads, size := w.uploadOf(wanted.Chunk(1).Digest())
		require.Equal(t, test.staged[wanted.Chunk(1).Digest()], uploads != nil && size == model.MinChunkSize, test.name)
		w.forget()
		require.Nil(t, w.complete(wanted.ID()), test.name)
	}
	none := weights{staged: stagedOf(wanted, 0, 1)}
	require.Nil(t, none.complete(wanted.ID()), "nothing is wanted yet")
	require.Equal(t, digest.Digest{}, none.wantedID())
}

// Refusals that pass in a moment say so.
func TestRetryAfter(t *testing.T) {
	require.Equal(t, retryAfterBusy, retryAfter(serving.ErrBusy))
	require.Equal(t, retryAfterSwitch, retryAfter(serving.ErrShuttingDown))
}

// An agent that knows nothing yet says "not run", sends no chunks and takes no orders.
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

// What was staged counts no more once the endpoint has restarted, and an endpoint that
// does not answer is down.
func TestProbe(t *testing.T) {
	endpoint := standin.NewPlain(standin.WithPlainRestartDelay(0))
	engine := httptest.NewServer(endpoint)
	a := newAgent(engine.URL)
	wanted := manifestOf(t, "1", 1)
	a.probe(t.Context())
	a.weights.staged = stagedOf(wanted, 0)
	a.probe(t.Context())
	require.Len(t, a.weights.staged, 1, "it is the same process")
	endpoint.Crash()
	require.Eventually(t, func() bool {
		a.probe(t.Context())
		return len(a.weights.staged) == 0
	}, 5*time.Second, 10*time.Millisecond, "it has restarted")
	engine.Close()
	a.probe(t.Context())
	phase, _ := a.gate.Phase()
	require.Equal(t, serving.PhaseDown, phase)
	require.Equal(t, "endpoint does not answer", a.faultText())
}
