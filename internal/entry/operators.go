package entry

import (
	"context"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/pool"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/operators"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// maxStatusCalls bounds the concurrent calls of one status request.
const maxStatusCalls = 32

// newOperators returns the handler of the administration API. It submits configuration
// changes to the table service and calls e for every other operation.
func newOperators(e *Entry) *operators.Handler {
	platform := e.node.Platform()
	exists := func(ctx context.Context, d digest.Digest) (bool, error) {
		return platform.Objects().Exists(ctx, manifestPrefix+d.String())
	}
	acceptor := accept.New(
		accept.WithTables(platform.Tables()),
		accept.WithObjects(platform.Objects().Put, platform.Objects().Get),
		accept.WithInForce(e.inForce),
		accept.WithCheck(func(ctx context.Context, base, c *configtext.Config) error {
			return operators.CheckManifests(ctx, base, c, exists)
		}),
	)
	return operators.New(
		acceptor,
		operators.WithInForce(e.inForce),
		operators.WithAccepted(e.applyAccepted),
		operators.WithManifestExists(exists),
		operators.WithStatus(e.status),
		operators.WithDrain(e.serviceOf, e.drainEndpoint),
		operators.WithQuarantine(e.quarantined, e.clearQuarantine),
	)
}

// manifestPrefix is the key prefix of manifests in the object store; the digest follows.
const manifestPrefix = "manifests/"

// inForce returns the configuration in force, or nil if there is none yet.
func (e *Entry) inForce() *configtext.Config {
	s := e.node.Snapshot()
	if s == nil {
		return nil
	}
	return s.Config()
}

// applyAccepted applies an accepted configuration at this entry and pushes it to the
// peers at once.
func (e *Entry) applyAccepted(ctx context.Context, head snapshot.Head, c *configtext.Config) {
	texts := make(map[digest.Digest][]byte)
	for _, s := range c.Sections() {
		texts[s.Digest()] = s.Text()
	}
	text := func(d digest.Digest) ([]byte, bool) {
		data, ok := texts[d]
		return data, ok
	}
	if head.Revision <= e.node.Revision() {
		return // a resubmission after later changes
	}
	if err := e.node.ChangeAccepted(head, text); err != nil {
		telemetry.ConfigurationNotAdopted.Log(ctx, e.node.Logger(), "revision", head.Revision, "error", err)
	}
}

// status queries every process for the revision in force and the state of its endpoint.
// A process that does not respond is listed as unreachable.
func (e *Entry) status(ctx context.Context) (*adminv1.StatusResponse, error) {
	calls := pool.NewWithResults[*adminv1.NodeStatus]().WithMaxGoroutines(maxStatusCalls)
	for _, m := range e.node.Members() {
		calls.Go(func() *adminv1.NodeStatus {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if m.Role() == member.RoleEntry {
				return e.entryStatus(ctx, m)
			}
			return endpointStatus(endpoint{member: m, report: e.fetchReport(ctx, m.Address(), 0)})
		})
	}
	nodes := calls.Wait()
	slices.SortFunc(nodes, func(a, b *adminv1.NodeStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
	return &adminv1.StatusResponse{Revision: e.node.Revision(), Nodes: nodes}, nil
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
	response, err := e.node.Pool().Node(m.Address()).Compare(ctx, connect.NewRequest(request))
	if err != nil {
		return s
	}
	s.Reachable = true
	s.Revision = response.Msg.GetRevision()
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

// serviceOf returns the service of an endpoint instance.
func (e *Entry) serviceOf(instance string) (string, bool) {
	m, found := e.endpointByName(instance)
	return m.Service(), found
}

// drainEndpoint starts the graceful stop of an endpoint and returns the number of
// attempts that it has in flight.
func (e *Entry) drainEndpoint(ctx context.Context, instance string) (uint32, error) {
	m, found := e.endpointByName(instance)
	if !found {
		return 0, operators.ErrUnknownInstance
	}
	response, err := e.node.Pool().Agent(m.Address()).Leave(ctx, connect.NewRequest(&nodev1.LeaveRequest{}))
	if err != nil {
		return 0, err
	}
	return response.Msg.GetInFlight(), nil
}

func (e *Entry) endpointByName(instance string) (member.Member, bool) {
	for _, m := range e.node.Members() {
		if m.Name() == instance && m.Role() == member.RoleAgent {
			return m, true
		}
	}
	return member.Member{}, false
}
