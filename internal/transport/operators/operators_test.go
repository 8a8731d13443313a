package operators_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/transport/objects"
	"github.com/primrosetally/primrosetally/internal/transport/operators"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// text returns a text with the teams admin, shops and other, whose tokens are
// their names.
func text(weight int) []byte {
	out := "[deployment]\nname = \"d\"\n[region.r]\nfailureDomains = [\"a\"]\n"
	for _, team := range []string{"admin", "shops", "other"} {
		out += fmt.Sprintf("[team.%s]\ntokenDigest = \"%s\"\nadministrator = %v\n", team, digest.Of([]byte(team)), team == "admin")
	}
	out += "[service.writers]\nteam = \"shops\"\nkind = \"model\"\n[[service.writers.models]]\nname = \"m\"\nversion = \"1\"\n"
	out += fmt.Sprintf("manifest = \"%s\"\n[account.shop]\nteam = \"shops\"\nweight = %d\n", digest.Of([]byte("weights")), weight)
	return []byte(out)
}

// entry is a handler over stand-ins, as an entry wires it.
type entry struct {
	client  adminv1connect.AdminServiceClient
	tables  *standin.Tables
	missing bool

	mu       sync.Mutex
	inForce  *configtext.Config
	accepted []snapshot.Head
}

func newEntry(t *testing.T) *entry {
	t.Helper()
	e := &entry{tables: standin.NewTables()}
	tableServer := httptest.NewServer(e.tables)
	t.Cleanup(tableServer.Close)
	objectServer := httptest.NewServer(standin.NewObjects())
	t.Cleanup(objectServer.Close)
	store := objects.New(objectServer.URL)
	acceptor := accept.New(
		accept.WithTables(tables.New(tableServer.URL)),
		accept.WithObjects(store.Put, store.Get),
		accept.WithCheck(func(ctx context.Context, base, cfg *configtext.Config) error {
			return operators.CheckManifests(ctx, base, cfg, e.exists)
		}),
	)
	mux := http.NewServeMux()
	operators.New(
		acceptor,
		operators.WithInForce(e.current),
		operators.WithAccepted(e.apply),
		operators.WithManifestExists(e.exists),
		operators.WithStatus(func(context.Context) (*adminv1.StatusResponse, error) {
			return &adminv1.StatusResponse{Revision: 1}, nil
		}),
		operators.WithDrain(e.serviceOf, e.drain),
		operators.WithQuarantine(
			func(context.Context) ([]*adminv1.QuarantineEntry, error) { return nil, nil },
			func(_ context.Context, fingerprint string) (bool, error) {
				_, err := digest.Parse(fingerprint)
				return err == nil, err
			},
		),
	).Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	e.client = adminv1connect.NewAdminServiceClient(server.Client(), server.URL)
	return e
}

func (e *entry) exists(context.Context, digest.Digest) (bool, error) { return !e.missing, nil }

func (e *entry) current() *configtext.Config {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inForce
}

// apply records what an entry would put in force and push.
func (e *entry) apply(_ context.Context, head snapshot.Head, _ *configtext.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepted = append(e.accepted, head)
}

func (e *entry) serviceOf(instance string) (string, bool) {
	return "writers", instance == "writers-1"
}

func (e *entry) drain(context.Context, string) (uint32, error) { return 3, nil }

func with[T any](token string, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	if token != "" {
		r.Header().Set("Authorization", "Bearer "+token)
	}
	return r
}

func (e *entry) submit(t *testing.T, token, id string, base uint64, text []byte) *adminv1.SubmitResponse {
	t.Helper()
	answer, err := e.client.Submit(t.Context(), with(token, &adminv1.SubmitRequest{
		File: "t.toml", Text: text, ChangeId: id, BaseRevision: base,
	}))
	require.NoError(t, err)
	return answer.Msg
}

// start accepts the first revision and puts it in force.
func (e *entry) start(t *testing.T) {
	t.Helper()
	answer := e.submit(t, "admin", "first", 0, text(1))
	require.Equal(t, adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, answer.GetOutcome(), answer.GetReason())
	cfg, err := configtext.Parse("t.toml", text(1))
	require.NoError(t, err)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inForce = cfg
}

func TestSubmit(t *testing.T) {
	const (
		accepted = adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED
		refused  = adminv1.SubmitOutcome_SUBMIT_OUTCOME_REFUSED
		conflict = adminv1.SubmitOutcome_SUBMIT_OUTCOME_CONFLICT
		unknown  = adminv1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN
	)
	tests := []struct {
		name   string
		before func(*testing.T, *entry)
		token  string
		id     string
		base   uint64
		text   []byte
		want   adminv1.SubmitOutcome
		reason string
	}{
		{"own section", nil, "shops", "c", 1, text(2), accepted, ""},
		{"repeated", nil, "admin", "first", 0, text(1), accepted, ""},
		{"another's section", nil, "other", "c", 1, text(2), refused, "team other may not change"},
		{"no token", nil, "", "c", 1, text(2), refused, "token belongs to no team"},
		{"token that only the submitted text knows", nil, "thief", "c", 1, []byte(strings.Replace(string(text(2)), digest.Of([]byte("admin")).String(), digest.Of([]byte("thief")).String(), 1)), refused, "token belongs to no team"},
		{"faults", nil, "shops", "c", 1, []byte("x = 1\n"), refused, "the text has faults"},
		{"stale base", func(t *testing.T, e *entry) { e.submit(t, "shops", "other", 1, text(3)) }, "shops", "c", 1, text(2), conflict, "change other was made from the same revision"},
		{"answer lost", func(_ *testing.T, e *entry) { e.tables.LoseAnswers(1) }, "shops", "c", 1, text(2), accepted, ""},
		{"table down", func(_ *testing.T, e *entry) { e.tables.SetOutage(true) }, "shops", "c", 1, text(2), unknown, "ask again with change ID c"},
		{"missing manifest", func(_ *testing.T, e *entry) { e.missing = true }, "shops", "c", 1, []byte(strings.Replace(string(text(2)), digest.Of([]byte("weights")).String(), digest.Of([]byte("none")).String(), 1)), refused, "the text has faults"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(t)
			e.start(t)
			if tt.before != nil {
				tt.before(t, e)
			}
			pushed := len(e.accepted)
			answer := e.submit(t, tt.token, tt.id, tt.base, tt.text)
			require.Equal(t, tt.want, answer.GetOutcome(), answer.GetReason())
			require.Contains(t, answer.GetReason(), tt.reason)
			if tt.want == accepted {
				require.Equal(t, tt.base+1, answer.GetRevision())
				require.Len(t, e.accepted, pushed+1)
				require.NotEmpty(t, e.accepted[pushed].Sections)
			} else {
				require.Len(t, e.accepted, pushed)
			}
		})
	}
}

func TestTokens(t *testing.T) {
	e := newEntry(t)
	calls := map[string]func(token string) error{
		"check": func(token string) error {
			_, err := e.client.Check(t.Context(), with(token, &adminv1.CheckRequest{Text: text(1)}))
			return err
		},
		"status": func(token string) error {
			_, err := e.client.Status(t.Context(), with(token, &adminv1.StatusRequest{}))
			return err
		},
		"show": func(token string) error {
			_, err := e.client.Show(t.Context(), with(token, &adminv1.ShowRequest{}))
			return err
		},
		"history": func(token string) error {
			_, err := e.client.History(t.Context(), with(token, &adminv1.HistoryRequest{}))
			return err
		},
		"diff": func(token string) error {
			_, err := e.client.Diff(t.Context(), with(token, &adminv1.DiffRequest{Text: text(2)}))
			return err
		},
		"drain": func(token string) error {
			_, err := e.client.Drain(t.Context(), with(token, &adminv1.DrainRequest{Instance: "writers-1"}))
			return err
		},
		"drain unknown": func(token string) error {
			_, err := e.client.Drain(t.Context(), with(token, &adminv1.DrainRequest{Instance: "writers-9"}))
			return err
		},
		"list": func(token string) error {
			_, err := e.client.QuarantineList(t.Context(), with(token, &adminv1.QuarantineListRequest{}))
			return err
		},
		"clear": func(token string) error {
			_, err := e.client.QuarantineClear(t.Context(), with(token, &adminv1.QuarantineClearRequest{Fingerprint: strings.Repeat("0", 64)}))
			return err
		},
	}
	calls["clear malformed"] = func(token string) error {
		_, err := e.client.QuarantineClear(t.Context(), with(token, &adminv1.QuarantineClearRequest{Fingerprint: "f"}))
		return err
	}
	const ok = connect.Code(0)
	tests := []struct {
		call   string
		before connect.Code
		none   connect.Code
		admin  connect.Code
		owner  connect.Code
		other  connect.Code
	}{
		{"check", ok, connect.CodeUnauthenticated, ok, ok, ok},
		{"status", ok, connect.CodeUnauthenticated, ok, ok, ok},
		{"show", connect.CodeFailedPrecondition, connect.CodeUnauthenticated, ok, ok, ok},
		{"history", connect.CodeFailedPrecondition, connect.CodeUnauthenticated, ok, ok, ok},
		{"diff", connect.CodeFailedPrecondition, connect.CodeUnauthenticated, ok, ok, ok},
		{"drain", connect.CodeFailedPrecondition, connect.CodeUnauthenticated, ok, ok, connect.CodePermissionDenied},
		{"drain unknown", connect.CodeFailedPrecondition, connect.CodeUnauthenticated, connect.CodeNotFound, connect.CodeNotFound, connect.CodeNotFound},
		{"list", connect.CodeFailedPrecondition, connect.CodeUnauthenticated, ok, ok, ok},
		{"clear", connect.CodeFailedPrecondition, connect.CodeUnauthenticated, ok, connect.CodePermissionDenied, connect.CodePermissionDenied},
		{"clear malformed", connect.CodeFailedPrecondition, connect.CodeUnauthenticated, connect.CodeInvalidArgument, connect.CodePermissionDenied, connect.CodePermissionDenied},
	}
	for _, tt := range tests {
		require.Equal(t, tt.before, codeOf(calls[tt.call]("admin")), "%s before the first revision", tt.call)
	}
	e.start(t)
	for _, tt := range tests {
		require.Equal(t, tt.none, codeOf(calls[tt.call]("")), "%s without token", tt.call)
		require.Equal(t, tt.none, codeOf(calls[tt.call]("thief")), "%s with an unknown token", tt.call)
		require.Equal(t, tt.admin, codeOf(calls[tt.call]("admin")), "%s by an administrator", tt.call)
		require.Equal(t, tt.owner, codeOf(calls[tt.call]("shops")), "%s by the owner", tt.call)
		require.Equal(t, tt.other, codeOf(calls[tt.call]("other")), "%s by another team", tt.call)
	}
}

func codeOf(err error) connect.Code {
	if err == nil {
		return 0
	}
	return connect.CodeOf(err)
}

func TestCheck(t *testing.T) {
	e := newEntry(t)
	e.start(t)
	e.missing = true
	changed := strings.NewReplacer("weight = 1", "weight = 2", digest.Of([]byte("weights")).String(), digest.Of([]byte("none")).String()).Replace(string(text(1)))
	answer, err := e.client.Check(t.Context(), with("other", &adminv1.CheckRequest{File: "t.toml", Text: []byte(changed)}))
	require.NoError(t, err)
	var keys []string
	for _, f := range answer.Msg.GetFaults() {
		keys = append(keys, f.GetKey())
		require.Equal(t, "t.toml", f.GetFile())
		require.NotZero(t, f.GetLine())
	}
	require.Equal(t, []string{"account.shop", "service.writers", "service.writers.models[0].manifest"}, keys)
}

func TestReading(t *testing.T) {
	e := newEntry(t)
	e.start(t)
	e.submit(t, "shops", "second", 1, text(2))
	diff, err := e.client.Diff(t.Context(), with("shops", &adminv1.DiffRequest{Text: text(3), BaseRevision: 1}))
	require.NoError(t, err)
	require.Equal(t, []string{"account.shop (changed)", "+weight = 3"}, diff.Msg.GetLines())
	show, err := e.client.Show(t.Context(), with("shops", &adminv1.ShowRequest{Revision: 1}))
	require.NoError(t, err)
	require.Equal(t, "first", show.Msg.GetChangeId())
	again, err := configtext.Parse("show.toml", show.Msg.GetText())
	require.NoError(t, err)
	require.True(t, again.Equal(e.inForce))
	history, err := e.client.History(t.Context(), with("shops", &adminv1.HistoryRequest{}))
	require.NoError(t, err)
	require.Len(t, history.Msg.GetEntries(), 2)
	require.Equal(t, []string{"account.shop"}, history.Msg.GetEntries()[0].GetChangedSections())
	_, err = e.client.Show(t.Context(), with("shops", &adminv1.ShowRequest{Revision: 9}))
	require.Equal(t, connect.CodeNotFound, connect.CodeOf(err))
	e.tables.SetOutage(true)
	_, err = e.client.History(t.Context(), with("shops", &adminv1.HistoryRequest{}))
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
}
