package process_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/process"
	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/transport/objects"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
	"github.com/primrosetally/primrosetally/pkg/caller"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// cluster is a small set of processes that use stand-ins of the platform's services,
// for tests of how configurations are accepted and distributed.
type cluster struct {
	tables           *standin.Tables
	members          *standin.Members
	tablesURL        string
	objectsURL       string
	platformSettings string
	endpoint         string
	processes        []*process.Process
}

// newCluster starts two entries and an agent, and submits revision 1.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{tables: standin.NewTables(), members: standin.NewMembers()}
	c.tablesURL = serve(t, c.tables)
	c.objectsURL = serve(t, standin.NewObjects())
	c.endpoint = serve(t, standin.NewPlain())
	c.platformSettings = fmt.Sprintf("[platform]\ntablesUrl = %q\nobjectsUrl = %q\noriginUrl = %q\nmembersUrl = %q\n",
		c.tablesURL, c.objectsURL, serve(t, standin.NewObjects()), serve(t, c.members))
	c.startEntry(t, "entry-1")
	c.startEntry(t, "entry-2")
	c.start(t, "agent", "agent-1", fmt.Sprintf("service = \"bookings\"\nengineUrl = %q\n", c.endpoint), nil)
	response := c.submit(t, 0, "first", 0, 1)
	require.Equal(t, adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, response.GetOutcome(), response.GetReason())
	c.requireRevision(t, 1)
	return c
}

func (c *cluster) startEntry(t *testing.T, name string) *process.Process {
	t.Helper()
	callers := listen(t)
	return c.start(t, "entry", name, fmt.Sprintf("callerListen = %q\n", callers.Addr()), callers)
}

func (c *cluster) start(t *testing.T, role, name, roleSettings string, callers net.Listener) *process.Process {
	t.Helper()
	nodes := listen(t)
	text := fmt.Sprintf("name = %q\nrole = %q\nregion = \"riga\"\nfailureDomain = \"riga-a\"\nlisten = %q\n", name, role, nodes.Addr())
	s, err := settings.Parse(name+".toml", []byte(text+roleSettings+c.platformSettings))
	require.NoError(t, err)
	p, err := process.Start(s, process.WithListeners(nodes, callers), process.WithLogger(slog.New(slog.DiscardHandler)))
	require.NoError(t, err)
	t.Cleanup(p.Kill)
	c.members.Put(p.Self())
	c.processes = append(c.processes, p)
	return p
}

// clusterText returns a configuration with the given weight of account shop.
func clusterText(weight int) []byte {
	text := "[deployment]\nname = \"c\"\n[region.riga]\nfailureDomains = [\"riga-a\"]\n" +
		fmt.Sprintf("[team.web]\ntokenDigest = \"%s\"\nadministrator = true\n", digest.Of([]byte("web"))) +
		"[service.bookings]\nteam = \"web\"\nkind = \"plain\"\n" +
		fmt.Sprintf("[account.guarded]\nteam = \"web\"\nkeyDigest = \"%s\"\n", digest.Of([]byte("secret"))) +
		fmt.Sprintf("[account.shop]\nteam = \"web\"\nweight = %d\n", weight)
	return []byte(text)
}

// submit submits a change to the given entry and fails the test on an error.
func (c *cluster) submit(t *testing.T, entry int, id string, base uint64, weight int) *adminv1.SubmitResponse {
	t.Helper()
	response, err := c.send(t.Context(), entry, id, base, weight)
	require.NoError(t, err)
	return response
}

func (c *cluster) send(ctx context.Context, entry int, id string, base uint64, weight int) (*adminv1.SubmitResponse, error) {
	client := adminv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+c.processes[entry].Self().CallerAddress())
	request := connect.NewRequest(&adminv1.SubmitRequest{File: "c.toml", Text: clusterText(weight), ChangeId: id, BaseRevision: base})
	request.Header().Set("Authorization", "Bearer web")
	response, err := client.Submit(ctx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// requireRevision waits until every process has applied the revision.
func (c *cluster) requireRevision(t *testing.T, revision uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, p := range c.processes {
			if p.Node().Revision() != revision {
				return false
			}
		}
		return true
	}, conditionWait, conditionPoll, "not every process applied revision %d", revision)
}

func TestConfigurationUnderFailures(t *testing.T) {
	accepted := adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED
	tests := []struct {
		name string
		run  func(*testing.T, *cluster)
	}{
		{"response lost after the write", func(t *testing.T, c *cluster) {
			c.tables.LoseAnswers(1)
			answer := c.submit(t, 0, "c", 1, 2)
			require.Equal(t, accepted, answer.GetOutcome(), answer.GetReason())
		}},
		{"entry killed between the write and its first push", func(t *testing.T, c *cluster) {
			// A separate acceptor takes the place of the killed entry: it writes the
			// revision and pushes it to no process.
			store := objects.New(c.objectsURL)
			a := accept.New(accept.WithTables(tables.New(c.tablesURL)), accept.WithObjects(store.Put, store.Get))
			cfg, err := configtext.Parse("c.toml", clusterText(2))
			require.NoError(t, err)
			r := a.Submit(t.Context(), accept.Change{ID: "c", Base: 1, Config: cfg, Token: "web"})
			require.Equal(t, accept.Accepted, r.Outcome(), r.Reason())
			answer := c.submit(t, 1, "c", 1, 2)
			require.Equal(t, accepted, answer.GetOutcome(), answer.GetReason())
			require.EqualValues(t, 2, answer.GetRevision())
		}},
		{"table service down after the acceptance", func(t *testing.T, c *cluster) {
			answer := c.submit(t, 0, "c", 1, 2)
			c.tables.SetOutage(true)
			require.Equal(t, accepted, answer.GetOutcome(), answer.GetReason())
			again := c.submit(t, 1, "c", 1, 2)
			require.Equal(t, adminv1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN, again.GetOutcome())
		}},
		{"process started during a table service outage", func(t *testing.T, c *cluster) {
			c.submit(t, 0, "c", 1, 2)
			c.requireRevision(t, 2)
			c.tables.SetOutage(true)
			c.startEntry(t, "entry-3")
		}},
		{"conflict at the other entry", func(t *testing.T, c *cluster) {
			c.submit(t, 0, "c", 1, 2)
			answer := c.submit(t, 1, "d", 1, 3)
			require.Equal(t, adminv1.SubmitOutcome_SUBMIT_OUTCOME_CONFLICT, answer.GetOutcome())
			require.Equal(t, "c", answer.GetOtherChangeId())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			tt.run(t, c)
			c.requireRevision(t, 2)
			for _, p := range c.processes {
				shop, found := p.Node().Snapshot().Config().Account("shop")
				require.True(t, found)
				require.Equal(t, 2, shop.Weight())
			}
		})
	}
}

// TestOperatorsRace submits changes to both entries concurrently. In each round
// exactly one change is accepted, and the others get a conflict that names it.
func TestOperatorsRace(t *testing.T) {
	const rounds, operators = 10, 4
	c := newCluster(t)
	for round := range rounds {
		base := uint64(round + 1)
		responses := make([]*adminv1.SubmitResponse, operators)
		errs := make([]error, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() {
				responses[i], errs[i] = c.send(t.Context(), i%2, fmt.Sprintf("c%d-%d", round, i), base, 2+round*operators+i)
			})
		}
		wg.Wait()
		require.NoError(t, errors.Join(errs...))
		winner := ""
		for i, a := range responses {
			if a.GetOutcome() == adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED {
				require.Empty(t, winner, "two changes were accepted")
				require.Equal(t, base+1, a.GetRevision())
				winner = fmt.Sprintf("c%d-%d", round, i)
			}
		}
		require.NotEmpty(t, winner)
		for _, a := range responses {
			if a.GetOutcome() != adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED {
				require.Equal(t, adminv1.SubmitOutcome_SUBMIT_OUTCOME_CONFLICT, a.GetOutcome(), a.GetReason())
				require.Equal(t, winner, a.GetOtherChangeId())
			}
		}
	}
	c.requireRevision(t, rounds+1)
}

func TestAccountSecret(t *testing.T) {
	tests := []struct {
		name    string
		account string
		secret  string
		err     error
	}{
		{"correct secret", "guarded", "secret", nil},
		{"wrong secret", "guarded", "Secret", caller.ErrNotRun},
		{"no secret", "guarded", "", caller.ErrNotRun},
		{"none required", "shop", "", nil},
		{"none required, one sent", "shop", "secret", nil},
	}
	c := newCluster(t)
	seed := "http://" + c.processes[0].Self().CallerAddress()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := caller.New(tt.account, []string{seed}, caller.WithSecret(tt.secret))
			send := func() error {
				_, err := client.Do(t.Context(), caller.NewRequest(http.MethodGet, "bookings", "/seats"))
				return err
			}
			if tt.err == nil {
				// The agent admits requests once it has probed its endpoint.
				require.Eventually(t, func() bool { return send() == nil }, conditionWait, conditionPoll)
				return
			}
			err := send()
			require.ErrorIs(t, err, tt.err)
			require.ErrorContains(t, err, "secret of the client account")
		})
	}
}
