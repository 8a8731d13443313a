package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/process"
	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/transport/nodes"
	"github.com/primrosetally/primrosetally/internal/transport/once"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
)

const (
	service      = "bookings"
	account      = "planner"
	waitTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// testSystem runs two entries, two plain endpoints and the stand-ins of the platform
// services on loopback.
type testSystem struct {
	t       *testing.T
	tables  *standin.Tables
	members *standin.Members
	plain   []*standin.Plain
	entries []*process.Process
	agents  []*process.Process
	urls    [4]string
	client  *once.Client
}

func newSystem(t *testing.T, work time.Duration) *testSystem {
	s := &testSystem{t: t, tables: standin.NewTables(), members: standin.NewMembers(), client: once.NewClient(once.NewTransport())}
	objects := standin.NewObjects()
	for i, h := range []http.Handler{s.tables, objects, objects, s.members} {
		s.urls[i] = s.serve(h)
	}
	for i := range 2 {
		s.entries = append(s.entries, s.start(fmt.Sprint("entry-", i), member.RoleEntry, ""))
	}
	for i := range 2 {
		p := standin.NewPlain(standin.WithWork(work))
		s.plain = append(s.plain, p)
		s.agents = append(s.agents, s.start(fmt.Sprint("agent-", i), member.RoleAgent, s.serve(p)))
	}
	s.submit()
	s.awaitServing()
	return s
}

func (s *testSystem) serve(h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = nodes.ServerProtocols()
	server.Start()
	s.t.Cleanup(server.CloseClientConnections)
	return server.URL
}

func (s *testSystem) start(name string, role member.Role, engineURL string) *process.Process {
	nodes, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	text := fmt.Sprintf("name = %q\nrole = %q\nregion = \"kolkata\"\nfailureDomain = \"kolkata-a\"\nlisten = %q\n", name, role, nodes.Addr())
	var callers net.Listener
	if role == member.RoleEntry {
		callers, err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(s.t, err)
		text += fmt.Sprintf("callerListen = %q\n", callers.Addr())
	} else {
		text += fmt.Sprintf("service = %q\nengineUrl = %q\n", service, engineURL)
	}
	text += fmt.Sprintf("[platform]\ntablesUrl = %q\nobjectsUrl = %q\noriginUrl = %q\nmembersUrl = %q\n",
		s.urls[0], s.urls[1], s.urls[2], s.urls[3])
	read, err := settings.Parse(name, []byte(text))
	require.NoError(s.t, err)
	p, err := process.Start(read, process.WithListeners(nodes, callers), process.WithLogger(slog.New(slog.DiscardHandler)))
	require.NoError(s.t, err)
	s.t.Cleanup(p.Kill)
	s.members.Put(p.Self())
	return p
}

func (s *testSystem) submit() {
	text := "[deployment]\nname = \"test\"\nstoreRegion = \"kolkata\"\n[region.kolkata]\nfailureDomains = [\"kolkata-a\"]\n"
	text += fmt.Sprintf("[team.t]\ntokenDigest = %q\nadministrator = true\n", digest.Of([]byte("t")))
	text += fmt.Sprintf("[service.%s]\nteam = \"t\"\nkind = \"plain\"\nservers = 2\n", service)
	text += fmt.Sprintf("[account.%s]\nteam = \"t\"\nrequestsPerSecond = 100000\nmaxInFlight = 10000\n", account)
	request := connect.NewRequest(&adminv1.SubmitRequest{Text: []byte(text), ChangeId: "first"})
	authorize(request)
	response, err := adminOf(s.entries[0]).Submit(context.Background(), request)
	require.NoError(s.t, err)
	require.Equal(s.t, adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, response.Msg.GetOutcome(), "%v", response.Msg)
}

// authorize sets the token of the only team on a request.
func authorize(r connect.AnyRequest) {
	r.Header().Set("Authorization", "Bearer t")
}

func adminOf(p *process.Process) adminv1connect.AdminServiceClient {
	return adminv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+p.Self().CallerAddress())
}

// awaitServing waits until every entry sends requests to both endpoints.
func (s *testSystem) awaitServing() {
	s.eventually(func() bool {
		for i := range s.entries {
			runs := s.totalRuns()
			var wg sync.WaitGroup
			for range 12 {
				wg.Go(func() { s.send(i, testRequest{method: http.MethodGet}) })
			}
			wg.Wait()
			after := s.totalRuns()
			if after[0] == runs[0] || after[1] == runs[1] {
				return false
			}
		}
		return true
	})
}

func (s *testSystem) eventually(condition func() bool) {
	require.Eventually(s.t, condition, waitTimeout, pollInterval)
}

func (s *testSystem) totalRuns() [2]uint64 {
	return [2]uint64{s.plain[0].Runs().Total, s.plain[1].Runs().Total}
}

// runsOfKey returns the number of runsOfKey of a key at all endpoints.
func (s *testSystem) runsOfKey(key string) uint64 {
	return s.plain[0].Runs().ByKey[key] + s.plain[1].Runs().ByKey[key]
}

// runsOfBody returns the number of runs of a body at all endpoints.
func (s *testSystem) runsOfBody(body string) uint64 {
	sum := digest.Of([]byte(body)).String()
	return s.plain[0].Runs().ByBody[sum] + s.plain[1].Runs().ByBody[sum]
}

// testRequest describes one send of a request.
type testRequest struct {
	method string
	body   string
	key    string
	noKey  bool // the header of the key is there and empty
	send   int
	notRun int
}

// finalResponse is the final response to a send. The outcome is "" for an incomplete
// response.
type finalResponse struct {
	status     int
	outcome    string
	reason     string
	retryAfter int64
	run        uint64
}

func (s *testSystem) send(to int, q testRequest) finalResponse {
	f, _ := s.sendContext(context.Background(), to, q)
	return f
}

func (s *testSystem) sendContext(ctx context.Context, to int, t testRequest) (finalResponse, error) {
	url := "http://" + s.entries[to].Self().CallerAddress() + "/s/" + service + "/seats"
	r, err := http.NewRequestWithContext(ctx, t.method, url, bytes.NewReader([]byte(t.body)))
	require.NoError(s.t, err)
	r.Header.Set(entry.HeaderAccount, account)
	r.Header.Set(entry.HeaderTimeout, "10000")
	if t.key != "" || t.noKey {
		r.Header.Set(entry.HeaderIdempotencyKey, t.key)
	}
	if t.send > 0 {
		r.Header.Set(entry.HeaderSend, strconv.Itoa(t.send))
		r.Header.Set(entry.HeaderNotRun, strconv.Itoa(t.notRun))
	}
	response, err := s.client.Do(ctx, r)
	if err != nil {
		return finalResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return finalResponse{}, err
	}
	f := finalResponse{status: response.StatusCode, outcome: response.Header.Get(entry.HeaderOutcome)}
	if f.outcome == "" {
		f.outcome = response.Trailer.Get(entry.HeaderOutcome)
	}
	var body struct {
		Reason       string `json:"reason"`
		RetryAfterMs int64  `json:"retryAfterMs"`
		Run          uint64 `json:"run"`
	}
	_ = json.Unmarshal(data, &body)
	f.reason, f.retryAfter, f.run = body.Reason, body.RetryAfterMs, body.Run
	return f, nil
}

var keys int

// newKey returns a unique idempotency key.
func newKey() string {
	keys++
	return fmt.Sprintf("%d-key-%d", time.Now().UnixMilli(), keys)
}

// crashNext makes endpoint i crash in the given phase of its next counts[i] requests.
func (s *testSystem) crashNext(phase standin.CrashPhase, counts ...int) {
	for i, n := range counts {
		s.plain[i].CrashNext(phase, n)
	}
}
