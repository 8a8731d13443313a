package entry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/primrosetally/primrosetally/internal/node"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// maxStatusCalls bounds the calls that one status request has open at a time.
const maxStatusCalls = 32

// Table keys of accepted changes.
const (
	changePrefix   = "config/change/"
	revisionPrefix = "config/revision/"
)

// operators implements adminv1connect.AdminServiceHandler.
type operators struct {
	adminv1connect.UnimplementedAdminServiceHandler
	entry *Entry
}

// Check checks an operators' text without submitting it.
func (o operators) Check(_ context.Context, r *connect.Request[adminv1.CheckRequest]) (*connect.Response[adminv1.CheckResponse], error) {
	_, err := configtext.Parse(r.Msg.GetFile(), r.Msg.GetText())
	return connect.NewResponse(&adminv1.CheckResponse{Faults: faultMessages(err)}), nil
}

func faultMessages(err error) []*adminv1.Fault {
	var faults configtext.Faults
	if !errors.As(err, &faults) {
		return nil
	}
	list := make([]*adminv1.Fault, len(faults))
	for i, f := range faults {
		list[i] = &adminv1.Fault{File: f.File(), Line: uint32(f.Line()), Key: f.Key(), Reason: f.Reason()}
	}
	return list
}

// Submit accepts a change: one table transaction moves the head from the base
// revision to the next.
func (o operators) Submit(ctx context.Context, r *connect.Request[adminv1.SubmitRequest]) (*connect.Response[adminv1.SubmitResponse], error) {
	c, err := configtext.Parse(r.Msg.GetFile(), r.Msg.GetText())
	if err != nil {
		return connect.NewResponse(&adminv1.SubmitResponse{
			Outcome: adminv1.SubmitOutcome_SUBMIT_OUTCOME_REFUSED,
			Faults:  faultMessages(err),
			Reason:  "the text has faults",
		}), nil
	}
	answer, head := o.entry.accept(ctx, c, r.Msg.GetChangeId(), r.Msg.GetBaseRevision())
	if answer.GetOutcome() == adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED {
		o.entry.spread(head, c)
	}
	return connect.NewResponse(answer), nil
}

// spread puts an accepted configuration in force here and pushes it at once.
func (e *Entry) spread(head snapshot.Head, c *configtext.Config) {
	texts := make(map[digest.Digest][]byte)
	for _, s := range c.Sections() {
		texts[s.Digest()] = s.Text()
	}
	text := func(d digest.Digest) ([]byte, bool) {
		data, ok := texts[d]
		return data, ok
	}
	if err := e.node.Accepted(head, text); err != nil {
		telemetry.ConfigurationNotAdopted.Log(context.Background(), e.node.Logger(), "revision", head.Revision, "error", err)
	}
}

func (e *Entry) accept(ctx context.Context, c *configtext.Config, changeID string, base uint64) (*adminv1.SubmitResponse, snapshot.Head) {
	head := snapshot.Head{
		Revision:     base + 1,
		Digest:       c.HeadDigest(),
		ChangeID:     changeID,
		AcceptedUnix: time.Now().Unix(),
	}
	for _, s := range c.Sections() {
		if err := e.node.Platform().Objects().Put(ctx, node.SectionPrefix+s.Digest().String(), s.Text()); err != nil {
			return refused(err), head
		}
		head.Sections = append(head.Sections, snapshot.SectionRef{Name: s.Name(), Digest: s.Digest()})
	}
	row, err := e.node.Platform().Tables().Get(ctx, node.HeadKey)
	if err != nil {
		return refused(err), head
	}
	if err := checkBase(row, base); err != nil {
		return refused(err), head
	}
	value, err := json.Marshal(head)
	if err != nil {
		return refused(err), head
	}
	change := tables.NewTransaction().
		Expect(node.HeadKey, row.Version()).
		Expect(changePrefix+changeID, 0).
		Put(node.HeadKey, value).
		Put(changePrefix+changeID, value)
	_, err = e.node.Platform().Tables().Commit(ctx, change)
	return outcome(err, head), head
}

var errStaleBase = eris.New("the base revision is not the one in force")

func checkBase(row tables.Row, base uint64) error {
	var head snapshot.Head
	if row.Version() != 0 {
		if err := json.Unmarshal(row.Value(), &head); err != nil {
			return eris.Wrap(err, "head row")
		}
	}
	if head.Revision != base {
		return eris.Wrapf(errStaleBase, "in force: %d", head.Revision)
	}
	return nil
}

func refused(err error) *adminv1.SubmitResponse {
	return &adminv1.SubmitResponse{Outcome: adminv1.SubmitOutcome_SUBMIT_OUTCOME_REFUSED, Reason: err.Error()}
}

func outcome(err error, head snapshot.Head) *adminv1.SubmitResponse {
	switch {
	case err == nil:
		return &adminv1.SubmitResponse{Outcome: adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, Revision: head.Revision}
	case errors.Is(err, tables.ErrConflict):
		return &adminv1.SubmitResponse{Outcome: adminv1.SubmitOutcome_SUBMIT_OUTCOME_CONFLICT, Reason: err.Error()}
	case errors.Is(err, tables.ErrUnavailable):
		return refused(err)
	default:
		return &adminv1.SubmitResponse{Outcome: adminv1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN, Reason: err.Error()}
	}
}

// Status asks every process for the revision in force and the state of its
// endpoint. A process that does not answer is listed as not reachable.
func (o operators) Status(ctx context.Context, _ *connect.Request[adminv1.StatusRequest]) (*connect.Response[adminv1.StatusResponse], error) {
	e := o.entry
	ask := pool.NewWithResults[*adminv1.NodeStatus]().WithMaxGoroutines(maxStatusCalls)
	for _, m := range e.node.Members() {
		ask.Go(func() *adminv1.NodeStatus {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if m.Role() == member.RoleEntry {
				return e.entryStatus(ctx, m)
			}
			return endpointStatus(endpoint{member: m, report: e.fetchReport(ctx, m.Address(), 0)})
		})
	}
	nodes := ask.Wait()
	slices.SortFunc(nodes, func(a, b *adminv1.NodeStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
	return connect.NewResponse(&adminv1.StatusResponse{Revision: e.node.Revision(), Nodes: nodes}), nil
}

func endpointStatus(p endpoint) *adminv1.NodeStatus {
	s := memberStatus(p.member)
	s.Reachable = p.report != nil
	s.Revision = p.report.GetRevision()
	s.State = stateName(p.report.GetState())
	if d, err := digest.FromBytes(p.report.GetDigest()); err == nil && !d.IsZero() {
		s.Digest = d.String()
	}
	s.ChunksStaged = p.report.GetChunksStaged()
	s.ChunksTotal = p.report.GetChunksTotal()
	s.InFlight = p.report.GetInFlight()
	s.BytesOrigin = p.report.GetBytesOrigin()
	s.BytesPeers = p.report.GetBytesPeers()
	s.Fault = p.report.GetFault()
	return s
}

func stateName(s nodev1.EndpointState) string {
	switch s {
	case nodev1.EndpointState_ENDPOINT_STATE_EMPTY:
		return "empty"
	case nodev1.EndpointState_ENDPOINT_STATE_SERVING:
		return "serving"
	case nodev1.EndpointState_ENDPOINT_STATE_DRAINING:
		return "draining"
	case nodev1.EndpointState_ENDPOINT_STATE_LOADING:
		return "loading"
	case nodev1.EndpointState_ENDPOINT_STATE_LEAVING:
		return "leaving"
	case nodev1.EndpointState_ENDPOINT_STATE_DOWN:
		return "down"
	default:
		return "unreachable"
	}
}

func (e *Entry) entryStatus(ctx context.Context, m member.Member) *adminv1.NodeStatus {
	s := memberStatus(m)
	s.State = string(m.State())
	request := &nodev1.CompareRequest{From: &nodev1.Origin{Name: e.node.Self().Name()}}
	answer, err := e.node.Pool().Node(m.Address()).Compare(ctx, connect.NewRequest(request))
	if err != nil {
		return s
	}
	s.Reachable = true
	s.Revision = answer.Msg.GetRevision()
	return s
}

func memberStatus(m member.Member) *adminv1.NodeStatus {
	return &adminv1.NodeStatus{
		Name:          m.Name(),
		Role:          string(m.Role()),
		Region:        m.Region(),
		FailureDomain: m.FailureDomain(),
		Service:       m.Service(),
	}
}

// Drain starts the graceful stop of one endpoint.
func (o operators) Drain(ctx context.Context, r *connect.Request[adminv1.DrainRequest]) (*connect.Response[adminv1.DrainResponse], error) {
	for _, m := range o.entry.node.Members() {
		if m.Name() == r.Msg.GetInstance() && m.Role() == member.RoleAgent {
			answer, err := o.entry.node.Pool().Agent(m.Address()).Leave(ctx, connect.NewRequest(&nodev1.LeaveRequest{}))
			if err != nil {
				return nil, connect.NewError(connect.CodeUnavailable, err)
			}
			return connect.NewResponse(&adminv1.DrainResponse{InFlight: answer.Msg.GetInFlight()}), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, eris.Errorf("no endpoint instance %q", r.Msg.GetInstance()))
}
