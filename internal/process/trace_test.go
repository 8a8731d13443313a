package process_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/process"
	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
)

const (
	conditionWait = 30 * time.Second
	conditionPoll = 10 * time.Millisecond
)

// deployment is one entry, and one agent for an endpoint of a plain service, with an
// in-memory span exporter for each hop.
type deployment struct {
	platformSettings string
	members          *standin.Members
	plainService     *standin.Plain
	entry            *process.Process
	agent            *process.Process
	exporters        map[string]*tracetest.InMemoryExporter
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		members:      standin.NewMembers(),
		plainService: standin.NewPlain(),
		exporters:    map[string]*tracetest.InMemoryExporter{},
	}
	d.platformSettings = fmt.Sprintf("[platform]\ntablesUrl = %q\nobjectsUrl = %q\noriginUrl = %q\nmembersUrl = %q\n",
		serve(t, standin.NewTables()), serve(t, standin.NewObjects()), serve(t, standin.NewObjects()), serve(t, d.members))
	endpoint := serve(t, d.newTracing(t, "engine").Handler("engine", d.plainService))
	callers := listen(t)
	d.entry = d.start(t, "entry", fmt.Sprintf("callerListen = %q\n", callers.Addr()), callers)
	d.agent = d.start(t, "agent", fmt.Sprintf("service = \"bookings\"\nengineUrl = %q\n", endpoint), nil)
	return d
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

func (d *deployment) newTracing(t *testing.T, hop string) *telemetry.Tracing {
	t.Helper()
	d.exporters[hop] = tracetest.NewInMemoryExporter()
	tracing, err := telemetry.NewTracing(hop, telemetry.WithExporter(d.exporters[hop]))
	require.NoError(t, err)
	return tracing
}

func (d *deployment) start(t *testing.T, role, roleSettings string, callers net.Listener) *process.Process {
	t.Helper()
	nodes := listen(t)
	text := fmt.Sprintf("name = \"%s-1\"\nrole = %q\nregion = \"riga\"\nfailureDomain = \"riga-a\"\nlisten = %q\n", role, role, nodes.Addr())
	s, err := settings.Parse(role+".toml", []byte(text+roleSettings+d.platformSettings))
	require.NoError(t, err)
	p, err := process.Start(s,
		process.WithListeners(nodes, callers),
		process.WithLogger(slog.New(slog.DiscardHandler)),
		process.WithTelemetry(telemetry.New(telemetry.WithTracing(d.newTracing(t, role)))))
	require.NoError(t, err)
	t.Cleanup(p.Kill)
	d.members.Put(p.Self())
	return p
}

func (d *deployment) submit(t *testing.T) {
	t.Helper()
	text := "[deployment]\nname = \"one\"\nstoreRegion = \"riga\"\n[region.riga]\nfailureDomains = [\"riga-a\"]\n" +
		fmt.Sprintf("[team.web]\ntokenDigest = %q\nadministrator = true\n", digest.Of([]byte("web"))) +
		"[service.bookings]\nteam = \"web\"\nkind = \"plain\"\nservers = 1\n" +
		"[account.shop]\nteam = \"web\"\nrequestsPerSecond = 1000\nmaxInFlight = 100\n"
	client := adminv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+d.entry.Self().CallerAddress())
	request := connect.NewRequest(&adminv1.SubmitRequest{File: "one.toml", Text: []byte(text), ChangeId: "1"})
	request.Header().Set("Authorization", "Bearer web")
	response, err := client.Submit(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, response.Msg.GetOutcome(), "%v", response.Msg)
}

// book sends one booking request and returns its outcome.
func (d *deployment) book(ctx context.Context, t *testing.T, header http.Header) string {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entry.Self().CallerAddress()+"/s/bookings/seats", strings.NewReader("two seats"))
	require.NoError(t, err)
	r.Header = header.Clone()
	r.Header.Set(entry.HeaderAccount, "shop")
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.Header.Get(entry.HeaderOutcome) + response.Trailer.Get(entry.HeaderOutcome)
}

// spansByName returns the spans of the trace, from all hops, by their names.
func (d *deployment) spansByName(trace string) map[string]tracetest.SpanStub {
	found := map[string]tracetest.SpanStub{}
	for _, hop := range d.exporters {
		for _, s := range hop.GetSpans() {
			if s.SpanContext.TraceID().String() == trace {
				found[s.Name] = s
			}
		}
	}
	return found
}

func TestRequestTraceSpansAllHops(t *testing.T) {
	d := newDeployment(t)
	caller := d.newTracing(t, "caller")
	d.submit(t)
	require.Eventually(t, func() bool {
		return d.book(t.Context(), t, http.Header{}) == entry.OutcomeAnswered
	}, conditionWait, conditionPoll)

	header := http.Header{}
	_, span := caller.StartClient(t.Context(), telemetry.SpanCaller, header)
	require.Equal(t, entry.OutcomeAnswered, d.book(t.Context(), t, header))
	span.End()
	trace := span.SpanContext().TraceID().String()
	hops := []string{telemetry.SpanCaller, telemetry.SpanEntry, telemetry.SpanAttempt, telemetry.SpanAgent, telemetry.SpanEngine, "engine"}
	require.Eventually(t, func() bool { return len(d.spansByName(trace)) == len(hops) }, conditionWait, conditionPoll)
	spans := d.spansByName(trace)
	for i := 1; i < len(hops); i++ {
		parent := spans[hops[i-1]].SpanContext.SpanID()
		require.Equal(t, parent, spans[hops[i]].Parent.SpanID(), "parent of %s", hops[i])
	}
	requireNoControlTraces(t, d)
}

// requireNoControlTraces checks that only requests start a trace, so that control
// traffic creates no spans. The stand-in of the endpoint is exempt, because it also
// creates spans for the agent's probes.
func requireNoControlTraces(t *testing.T, d *deployment) {
	t.Helper()
	for hop, exporter := range d.exporters {
		for _, s := range exporter.GetSpans() {
			if hop != "engine" && !s.Parent.IsValid() {
				require.Contains(t, []string{telemetry.SpanCaller, telemetry.SpanEntry}, s.Name)
			}
		}
	}
}

func TestOperatorHandlers(t *testing.T) {
	d := newDeployment(t)
	d.submit(t)
	require.Eventually(t, func() bool {
		return d.book(t.Context(), t, http.Header{}) == entry.OutcomeAnswered
	}, conditionWait, conditionPoll)
	tests := []struct {
		name    string
		process *process.Process
		path    string
		body    string
	}{
		{"entry counts answered requests", d.entry, telemetry.PathMetrics, `primrosetally_requests_total{outcome="answered",service="bookings"} 1`},
		{"entry counts attempts", d.entry, telemetry.PathMetrics, `primrosetally_attempts_total{result="answered",service="bookings"} 1`},
		{"entry reports the revision", d.entry, telemetry.PathMetrics, "primrosetally_revision 1"},
		{"agent counts admissions", d.agent, telemetry.PathMetrics, `primrosetally_admissions_total{decision="admitted"} 1`},
		{"entry is ready", d.entry, telemetry.PathReadiness, ""},
		{"agent is ready", d.agent, telemetry.PathReadiness, ""},
		{"agent is healthy", d.agent, telemetry.PathHealth, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			response, err := http.Get("http://" + tt.process.Self().Address() + tt.path)
			require.NoError(t, err)
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Contains(t, string(data), tt.body)
		})
	}
}
