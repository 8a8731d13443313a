package entry

import (
	"context"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
)

// QuarantineList returns the requests that were in flight at crashes, after a
// fresh read of the table. Those with two crashes or more are refused.
func (o operators) QuarantineList(ctx context.Context, _ *connect.Request[adminv1.QuarantineListRequest]) (*connect.Response[adminv1.QuarantineListResponse], error) {
	registry := o.entry.traffic.suspects
	if err := registry.Refresh(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	answer := &adminv1.QuarantineListResponse{}
	for _, s := range registry.Suspects() {
		answer.Entries = append(answer.Entries, &adminv1.QuarantineEntry{
			Fingerprint: s.Fingerprint().String(),
			Crashes:     uint32(s.Crashes()),
			ExpiresUnix: s.Expires().Unix(),
		})
	}
	return connect.NewResponse(answer), nil
}

// QuarantineClear lifts a quarantine everywhere.
func (o operators) QuarantineClear(ctx context.Context, r *connect.Request[adminv1.QuarantineClearRequest]) (*connect.Response[adminv1.QuarantineClearResponse], error) {
	fp, err := digest.Parse(r.Msg.GetFingerprint())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	cleared, err := o.entry.traffic.suspects.Clear(ctx, fp)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&adminv1.QuarantineClearResponse{Cleared: cleared}), nil
}
