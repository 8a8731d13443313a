package process_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/transport/nodes"
)

// timeLimitAgent records the time limit of the latest attempt and runs no attempt.
type timeLimitAgent struct {
	nodev1connect.UnimplementedAgentServiceHandler
	timeLeft atomic.Uint32
}

func (a *timeLimitAgent) Report(context.Context, *connect.Request[nodev1.ReportRequest]) (*connect.Response[nodev1.EndpointReport], error) {
	return connect.NewResponse(&nodev1.EndpointReport{
		Name: "timed-1", Incarnation: 1, Service: "bookings",
		State: nodev1.EndpointState_ENDPOINT_STATE_SERVING, Limit: 100,
	}), nil
}

func (a *timeLimitAgent) Attempt(_ context.Context, r *connect.Request[nodev1.AttemptRequest], out *connect.ServerStream[nodev1.AttemptPart]) error {
	a.timeLeft.Store(r.Msg.GetTimeLeftMs())
	return out.Send(&nodev1.AttemptPart{
		RequestId: r.Msg.GetRequestId(), Attempt: r.Msg.GetAttempt(),
		Part: &nodev1.AttemptPart_NotRun{NotRun: &nodev1.AttemptNotRun{Reason: "timed"}},
	})
}

func (a *timeLimitAgent) start(t *testing.T) member.Member {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(nodev1connect.NewAgentServiceHandler(a))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = nodes.ServerProtocols()
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return member.New("timed-1", member.RoleAgent, strings.TrimPrefix(server.URL, "http://"),
		member.WithPlace("riga", "riga-a"), member.WithService("bookings"), member.WithIncarnation(1))
}

// TestRequestTimeout checks that the time limit of an attempt is at most the timeout
// that the caller sent, and at most the service's requestTimeout, 30 s by default. A
// timeout that is 0 or not a number has no effect.
func TestRequestTimeout(t *testing.T) {
	const serviceLimitMs = 30_000
	tests := []struct {
		name    string
		allowed string
		want    uint32
	}{
		{"no timeout", "", serviceLimitMs},
		{"below the service's limit", "5000", 5000},
		{"above the service's limit", "50000", serviceLimitMs},
		{"overflows a duration", "9223372036854775807", serviceLimitMs},
		{"zero", "0", serviceLimitMs},
		{"not a number", "soon", serviceLimitMs},
	}
	c := newCluster(t)
	agent := &timeLimitAgent{}
	c.members.Remove("agent-1")
	c.members.Put(agent.start(t))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			agent.timeLeft.Store(0)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+c.processes[0].Self().CallerAddress()+"/s/bookings/seats", nil)
			require.NoError(t, err)
			r.Header.Set(entry.HeaderAccount, "shop")
			r.Header.Set(entry.HeaderTimeout, tt.allowed)
			require.Eventually(t, func() bool {
				response, err := http.DefaultClient.Do(r)
				if err != nil {
					return false
				}
				_ = response.Body.Close()
				return agent.timeLeft.Load() > 0
			}, conditionWait, conditionPoll)
			require.LessOrEqual(t, agent.timeLeft.Load(), tt.want)
		})
	}
}
