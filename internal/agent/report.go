package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// handler implements nodev1connect.AgentServiceHandler.
type handler struct {
	agent *Agent
}

// Report returns what the agent knows of its endpoint. It waits for a change if
// the asker has the last one.
func (h handler) Report(ctx context.Context, r *connect.Request[nodev1.ReportRequest]) (*connect.Response[nodev1.EndpointReport], error) {
	a := h.agent
	wait := min(time.Duration(r.Msg.GetWaitMs())*time.Millisecond, maxReportWait)
	a.changes.await(ctx, r.Msg.GetKnownChange(), wait)
	return connect.NewResponse(a.report()), nil
}

// Leave starts the graceful stop of the endpoint.
func (h handler) Leave(context.Context, *connect.Request[nodev1.LeaveRequest]) (*connect.Response[nodev1.LeaveResponse], error) {
	h.agent.Leave()
	return connect.NewResponse(&nodev1.LeaveResponse{InFlight: uint32(h.agent.gate.InFlight())}), nil
}

func (a *Agent) report() *nodev1.EndpointReport {
	// The number comes before the state: a change in between is reported again
	// rather than missed.
	change := a.changes.number()
	phase, served := a.gate.Phase()
	r := &nodev1.EndpointReport{
		Name:        a.node.Self().Name(),
		Incarnation: a.node.Self().Incarnation(),
		Service:     a.node.Self().Service(),
		State:       stateOf(phase),
		Digest:      served.Bytes(),
		InFlight:    uint32(a.gate.InFlight()),
		Limit:       uint32(min(a.gate.Limit(), a.limit.Limit())),
		Revision:    a.node.Revision(),
		Fencing:     a.gate.Fencing(),
		Fault:       a.faultText(),
		Change:      change,
	}
	a.weights.describe(r)
	return r
}

func stateOf(p serving.Phase) nodev1.EndpointState {
	switch p {
	case serving.PhaseServing:
		return nodev1.EndpointState_ENDPOINT_STATE_SERVING
	case serving.PhaseDraining:
		return nodev1.EndpointState_ENDPOINT_STATE_DRAINING
	case serving.PhaseLoading:
		return nodev1.EndpointState_ENDPOINT_STATE_LOADING
	case serving.PhaseShuttingDown:
		return nodev1.EndpointState_ENDPOINT_STATE_LEAVING
	case serving.PhaseDown:
		return nodev1.EndpointState_ENDPOINT_STATE_DOWN
	default:
		return nodev1.EndpointState_ENDPOINT_STATE_EMPTY
	}
}
