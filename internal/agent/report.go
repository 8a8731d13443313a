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

// Report returns the current report of the endpoint. If the caller already has the
// latest change, Report waits for the next one, up to the requested time or
// maxReportWait.
func (h handler) Report(ctx context.Context, r *connect.Request[nodev1.ReportRequest]) (*connect.Response[nodev1.EndpointReport], error) {
	a := h.agent
	wait := min(time.Duration(r.Msg.GetWaitMs())*time.Millisecond, maxReportWait)
	a.changes.await(ctx, r.Msg.GetKnownChange(), wait)
	return connect.NewResponse(a.report()), nil
}

// Leave starts the graceful shutdown of the agent and returns the number of attempts in
// flight.
func (h handler) Leave(context.Context, *connect.Request[nodev1.LeaveRequest]) (*connect.Response[nodev1.LeaveResponse], error) {
	h.agent.Leave()
	return connect.NewResponse(&nodev1.LeaveResponse{InFlight: uint32(h.agent.controller.InFlight())}), nil
}

func (a *Agent) report() *nodev1.EndpointReport {
	// The change number is read before the state, so that a change between the two reads
	// is reported twice rather than missed.
	change := a.changes.number()
	phase, served := a.controller.Phase()
	r := &nodev1.EndpointReport{
		Name:        a.node.Self().Name(),
		Incarnation: a.node.Self().Incarnation(),
		Service:     a.node.Self().Service(),
		State:       stateOf(phase),
		Digest:      served.Bytes(),
		InFlight:    uint32(a.controller.InFlight()),
		Limit:       uint32(min(a.controller.Limit(), a.limiter.Limit())),
		Revision:    a.node.Revision(),
		Fencing:     a.controller.Fencing(),
		Fault:       a.faultText(),
		Change:      change,
	}
	a.weights.fillReport(r)
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
