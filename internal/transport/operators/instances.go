package operators

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Status reports where each revision is in force and what each instance serves.
func (h *Handler) Status(ctx context.Context, r *connect.Request[adminv1.StatusRequest]) (*connect.Response[adminv1.StatusResponse], error) {
	if _, _, err := h.team(r.Header()); err != nil {
		return nil, err
	}
	if h.status == nil {
		return h.unimplementedRPC.Status(ctx, r)
	}
	answer, err := h.status(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(answer), nil
}

// Drain starts the graceful stop of one endpoint.
func (h *Handler) Drain(ctx context.Context, r *connect.Request[adminv1.DrainRequest]) (*connect.Response[adminv1.DrainResponse], error) {
	team, err := h.knownTeam(r.Header())
	if err != nil {
		return nil, err
	}
	if h.drain == nil {
		return h.unimplementedRPC.Drain(ctx, r)
	}
	instance := r.Msg.GetInstance()
	name, found := h.serviceOf(instance)
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, eris.Wrapf(ErrUnknownInstance, "%.80q", instance))
	}
	if !h.mayDrain(team, name) {
		return nil, connect.NewError(connect.CodePermissionDenied, eris.Errorf("service %s of %s is not of team %s", name, instance, team.Name()))
	}
	inFlight, err := h.drain(ctx, instance)
	if errors.Is(err, ErrUnknownInstance) {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&adminv1.DrainResponse{InFlight: inFlight}), nil
}

// mayDrain reports whether the service is the team's own, or the team is an
// administrator.
func (h *Handler) mayDrain(team configtext.Team, service string) bool {
	if team.Administrator() {
		return true
	}
	cfg := h.inForce()
	if cfg == nil {
		return false
	}
	s, found := cfg.Service(service)
	return found && s.Team() == team.Name()
}

// QuarantineList returns the requests that are refused because they crashed
// endpoints.
func (h *Handler) QuarantineList(ctx context.Context, r *connect.Request[adminv1.QuarantineListRequest]) (*connect.Response[adminv1.QuarantineListResponse], error) {
	if _, err := h.knownTeam(r.Header()); err != nil {
		return nil, err
	}
	if h.quarantineList == nil {
		return h.unimplementedRPC.QuarantineList(ctx, r)
	}
	entries, err := h.quarantineList(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&adminv1.QuarantineListResponse{Entries: entries}), nil
}

// QuarantineClear lets a request run again. Only administrators may.
func (h *Handler) QuarantineClear(ctx context.Context, r *connect.Request[adminv1.QuarantineClearRequest]) (*connect.Response[adminv1.QuarantineClearResponse], error) {
	team, err := h.knownTeam(r.Header())
	if err != nil {
		return nil, err
	}
	if !team.Administrator() {
		return nil, connect.NewError(connect.CodePermissionDenied, eris.Errorf("team %s is no administrator", team.Name()))
	}
	if h.quarantineClear == nil {
		return h.unimplementedRPC.QuarantineClear(ctx, r)
	}
	cleared, err := h.quarantineClear(ctx, r.Msg.GetFingerprint())
	if errors.Is(err, digest.ErrMalformed) {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&adminv1.QuarantineClearResponse{Cleared: cleared}), nil
}
