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

// timedAgent notes the time that each attempt is given, and runs none.
type timedAgent struct {
	nodev1connect.UnimplementedAgentServiceHandler
	timeLeft atomic.Uint32
}

func (a *timedAgent) Report(context.Context, *connect.Request[nodev1.ReportRequest]) (*connect.Response[nodev1.EndpointReport], error) {
	return connect.NewResponse(&nodev1.EndpointReport{
		Name: "timed-1", Incarnation: 1, Service: "bookings",
		State: nodev1.EndpointState_ENDPOINT_STATE_SERVING, Limit: 100,
	}), nil
}

func (a *timedAgent) Attempt(_ context.Context, r *connect.Request[nodev1.AttemptRequest], out *connect.ServerStream[nodev1.AttemptPart]) error {
	a.timeLeft.Store(r.Msg.GetTimeLeftMs())
	return out.Send(&nodev1.AttemptPart{
		RequestId: r.Msg.GetRequestId(), Attempt: r.Msg.GetAttempt(),
		Part: &nodev1.AttemptPart_NotRun{NotRun: &nodev1.AttemptNotRun{Reason: "timed"}},
	})
}

func (a *timedAgent) start(t *testing.T) member.Member {
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

// TestRequestTimeout holds that an attempt has the time that the caller allows,
// and at most the service's requestTimeout, 30 s by default.
func TestRequestTimeout(t *testing.T) {
	const most = 30_000
	tests := []struct {
		name    string
		allowed string
		want    uint32
	}{
		{"caller doesn't say", "", most},
		{"caller allows less", "5000", 5000},
		{"caller allows more", "50000", most},
		{"caller allows more than fits", "9223372036854775807", most},
		{"caller allows nothing", "0", most},
		{"caller makes no sense", "soon", most},
	}
	c := newCluster(t)
	agent := &timedAgent{}
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
				answer, err := http.DefaultClient.Do(r)
				if err != nil {
					return false
				}
				_ = answer.Body.Close()
				return agent.timeLeft.Load() > 0
			}, conditionWait, conditionPoll)
			require.LessOrEqual(t, agent.timeLeft.Load(), tt.want)
		})
	}
}
