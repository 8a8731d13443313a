package operators

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// defaultHistory is the number of entries for a request without a limit.
const defaultHistory = 20

// Check reports the faults of a text without submitting it: those of the text
// itself, manifests that don't exist and sections that the team may not change.
func (h *Handler) Check(ctx context.Context, r *connect.Request[adminv1.CheckRequest]) (*connect.Response[adminv1.CheckResponse], error) {
	team, known, err := h.team(r.Header())
	if err != nil {
		return nil, err
	}
	cfg, err := configtext.Parse(r.Msg.GetFile(), r.Msg.GetText())
	if err != nil {
		return connect.NewResponse(&adminv1.CheckResponse{Faults: messagesOf(faultsOf(err))}), nil
	}
	base := h.inForce()
	var faults []configtext.Fault
	if known {
		faults = configtext.Authorize(base, cfg, team.Name())
	}
	err = CheckManifests(ctx, base, cfg, h.manifestExists)
	missing := faultsOf(err)
	if err != nil && missing == nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	faults = append(faults, missing...)
	return connect.NewResponse(&adminv1.CheckResponse{Faults: messagesOf(faults)}), nil
}

// CheckManifests looks up the manifests that cfg names and base, which may be
// nil, doesn't. It returns configtext.Faults for those that don't exist.
func CheckManifests(ctx context.Context, base, cfg *configtext.Config, exists func(context.Context, digest.Digest) (bool, error)) error {
	if exists == nil {
		return nil
	}
	known := map[digest.Digest]bool{}
	if base != nil {
		for _, s := range base.Services() {
			for _, m := range s.Models() {
				known[m.Manifest()] = true
			}
		}
	}
	knownOrStored := func(ctx context.Context, d digest.Digest) (bool, error) {
		if known[d] {
			return true, nil
		}
		return exists(ctx, d)
	}
	return configtext.Check(ctx, cfg, configtext.WithManifestExists(knownOrStored))
}

// Submit makes a text the next revision, or returns the outcome of the change
// earlier. Every answer but "unknown" is final.
func (h *Handler) Submit(ctx context.Context, r *connect.Request[adminv1.SubmitRequest]) (*connect.Response[adminv1.SubmitResponse], error) {
	cfg, err := configtext.Parse(r.Msg.GetFile(), r.Msg.GetText())
	if err != nil {
		return connect.NewResponse(&adminv1.SubmitResponse{
			Outcome: adminv1.SubmitOutcome_SUBMIT_OUTCOME_REFUSED,
			Faults:  messagesOf(faultsOf(err)),
			Reason:  "the text has faults",
		}), nil
	}
	result := h.acceptor.Submit(ctx, accept.Change{
		ID:     r.Msg.GetChangeId(),
		Base:   r.Msg.GetBaseRevision(),
		Config: cfg,
		Token:  tokenOf(r.Header()),
	})
	if result.Outcome() == accept.Accepted {
		// The revision is accepted whether or not the operator still waits.
		h.accepted(context.WithoutCancel(ctx), result.Head(), cfg)
	}
	return connect.NewResponse(submitMessage(r.Msg.GetChangeId(), result)), nil
}

func submitMessage(changeID string, r accept.Result) *adminv1.SubmitResponse {
	answer := &adminv1.SubmitResponse{
		Revision:      r.Head().Revision,
		Faults:        messagesOf(r.Faults()),
		OtherChangeId: r.OtherChangeID(),
		Reason:        r.Reason(),
	}
	switch r.Outcome() {
	case accept.Accepted:
		answer.Outcome = adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED
	case accept.Refused:
		answer.Outcome = adminv1.SubmitOutcome_SUBMIT_OUTCOME_REFUSED
	case accept.Conflict:
		answer.Outcome = adminv1.SubmitOutcome_SUBMIT_OUTCOME_CONFLICT
		answer.Reason = "change " + r.OtherChangeID() + " was made from the same revision; " + r.Reason()
	default:
		answer.Outcome = adminv1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN
		answer.Reason = "ask again with change ID " + changeID + ": " + r.Reason()
	}
	return answer
}

// Show returns the canonical text of an accepted revision.
func (h *Handler) Show(ctx context.Context, r *connect.Request[adminv1.ShowRequest]) (*connect.Response[adminv1.ShowResponse], error) {
	if _, err := h.knownTeam(r.Header()); err != nil {
		return nil, err
	}
	head, cfg, err := h.acceptor.Show(ctx, r.Msg.GetRevision())
	if err != nil {
		return nil, readError(err)
	}
	return connect.NewResponse(&adminv1.ShowResponse{
		Revision: head.Revision,
		Text:     cfg.Text(),
		ChangeId: head.ChangeID,
	}), nil
}

// History returns the accepted changes, the latest first.
func (h *Handler) History(ctx context.Context, r *connect.Request[adminv1.HistoryRequest]) (*connect.Response[adminv1.HistoryResponse], error) {
	if _, err := h.knownTeam(r.Header()); err != nil {
		return nil, err
	}
	limit := int(r.Msg.GetLimit())
	if limit == 0 {
		limit = defaultHistory
	}
	entries, err := h.acceptor.History(ctx, limit)
	if err != nil {
		return nil, readError(err)
	}
	answer := &adminv1.HistoryResponse{}
	for _, e := range entries {
		answer.Entries = append(answer.Entries, &adminv1.HistoryEntry{
			Revision:        e.Revision(),
			ChangeId:        e.ChangeID(),
			AcceptedUnix:    e.AcceptedAt().Unix(),
			ChangedSections: e.ChangedSections(),
		})
	}
	return connect.NewResponse(answer), nil
}

// Diff returns the lines in which a text differs from an accepted revision, in
// canonical form, each section led by its name.
func (h *Handler) Diff(ctx context.Context, r *connect.Request[adminv1.DiffRequest]) (*connect.Response[adminv1.DiffResponse], error) {
	if _, err := h.knownTeam(r.Header()); err != nil {
		return nil, err
	}
	cfg, err := configtext.Parse(r.Msg.GetFile(), r.Msg.GetText())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	head, base, err := h.acceptor.Show(ctx, r.Msg.GetBaseRevision())
	if err != nil {
		return nil, readError(err)
	}
	answer := &adminv1.DiffResponse{BaseRevision: head.Revision}
	for _, c := range configtext.Changes(base, cfg) {
		answer.Lines = append(answer.Lines, c.Section()+" ("+kindOf(c)+")")
		answer.Lines = append(answer.Lines, c.Lines()...)
	}
	return connect.NewResponse(answer), nil
}

func kindOf(c configtext.Change) string {
	switch {
	case c.Added():
		return "added"
	case c.Removed():
		return "removed"
	}
	return "changed"
}

func readError(err error) error {
	if errors.Is(err, accept.ErrNoRevision) {
		return connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewError(connect.CodeUnavailable, eris.Wrap(err, "the configuration can't be read now"))
}

func faultsOf(err error) []configtext.Fault {
	var faults configtext.Faults
	if !errors.As(err, &faults) {
		return nil
	}
	return faults
}

func messagesOf(faults []configtext.Fault) []*adminv1.Fault {
	var list []*adminv1.Fault
	for _, f := range faults {
		list = append(list, &adminv1.Fault{File: f.File(), Line: uint32(f.Line()), Key: f.Key(), Reason: f.Reason()})
	}
	return list
}
