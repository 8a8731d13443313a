package process_test

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/agent"
	"github.com/primrosetally/primrosetally/internal/process"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
)

// servingWait exceeds the time that three rounds of staging and ordering take on a
// loaded machine.
const servingWait = 15 * time.Second

// restartingEngine restarts just before it handles each of the first restartsLeft
// orders, so that the agent's list of staged chunks is that of the previous
// incarnation.
type restartingEngine struct {
	*standin.Engine
	client       *engines.Client
	restartsLeft atomic.Int64
}

func (e *restartingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engines.PathOrders && e.restartsLeft.Add(-1) >= 0 {
		e.Crash()
		for _, err := e.client.State(r.Context()); err != nil && r.Context().Err() == nil; {
			_, err = e.client.State(r.Context())
		}
	}
	e.Engine.ServeHTTP(w, r)
}

// TestEngineRestartsBeforeOrders restarts the engine between the report that its
// weights are staged and the order to load them. The rollout must not halt, even with
// more restarts than the number of failed orders that halts a rollout.
func TestEngineRestartsBeforeOrders(t *testing.T) {
	tests := []struct {
		name     string
		restarts int64
	}{
		{"once", 1},
		{"as many as the failed orders that halt a rollout", 2},
		{"more", 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &cluster{tables: standin.NewTables(), members: standin.NewMembers()}
			origin, store := standin.NewObjects(), standin.NewObjects()
			c.tablesURL = serve(t, c.tables)
			c.platformSettings = fmt.Sprintf("[platform]\ntablesUrl = %q\nobjectsUrl = %q\noriginUrl = %q\nmembersUrl = %q\n",
				c.tablesURL, serve(t, store), serve(t, origin), serve(t, c.members))
			engine := &restartingEngine{Engine: standin.NewEngine(standin.WithRestartDelay(0))}
			t.Cleanup(engine.Close)
			engine.restartsLeft.Store(test.restarts)
			url := serve(t, engine)
			engine.client = engines.New(url)
			c.startEntry(t, "entry-1")
			endpoint := c.start(t, "agent", "agent-1", fmt.Sprintf("service = \"tally\"\nengineUrl = %q\n", url), nil)
			c.submitModel(t, publishModel(t, store, origin))
			requireServing(t, endpoint)
			require.Negative(t, engine.restartsLeft.Load(), "no order reached the engine without a restart")
		})
	}
}

// publishModel stores the three chunks of a model at the origin and its manifest in
// the object store.
func publishModel(t *testing.T, store, origin *standin.Objects) *model.Manifest {
	t.Helper()
	data := make([]byte, 3*model.MinChunkSize)
	for i := range 3 {
		data[i*model.MinChunkSize] = byte(i)
	}
	put := func(c model.Chunk, data []byte) error {
		origin.Store(agent.ChunkPrefix+c.Digest().String(), bytes.Clone(data))
		return nil
	}
	m, err := model.Split("faq", "1", bytes.NewReader(data), model.MinChunkSize, put)
	require.NoError(t, err)
	store.Store(agent.ManifestPrefix+m.ID().String(), m.Encode())
	return m
}

func (c *cluster) submitModel(t *testing.T, m *model.Manifest) {
	t.Helper()
	text := "[deployment]\nname = \"c\"\nstoreRegion = \"riga\"\n[region.riga]\nfailureDomains = [\"riga-a\"]\n" +
		fmt.Sprintf("[team.web]\ntokenDigest = \"%s\"\nadministrator = true\n", digest.Of([]byte("web"))) +
		"[service.tally]\nteam = \"web\"\nkind = \"model\"\nservers = 1\n" +
		fmt.Sprintf("[[service.tally.models]]\nname = \"faq\"\nversion = \"1\"\nmanifest = %q\n", m.ID())
	client := adminv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+c.processes[0].Self().CallerAddress())
	request := connect.NewRequest(&adminv1.SubmitRequest{File: "c.toml", Text: []byte(text), ChangeId: "model"})
	request.Header().Set("Authorization", "Bearer web")
	response, err := client.Submit(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, response.Msg.GetOutcome(), response.Msg.GetReason())
}

// requireServing waits until the agent reports that its endpoint is serving.
func requireServing(t *testing.T, endpoint *process.Process) {
	t.Helper()
	client := nodev1connect.NewAgentServiceClient(http.DefaultClient, "http://"+endpoint.Self().Address())
	require.Eventually(t, func() bool {
		response, err := client.Report(t.Context(), connect.NewRequest(&nodev1.ReportRequest{}))
		return err == nil && response.Msg.GetState() == nodev1.EndpointState_ENDPOINT_STATE_SERVING
	}, servingWait, conditionPoll, "the agent is not serving")
}
