package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
)

// Table and object keys of the configuration.
const (
	HeadKey       = "config/head"
	SectionPrefix = "sections/"
)

// maxPushes bounds the pushes that one process has open at a time.
const maxPushes = 32

// pollHead reads the head from the table. Agents poll only until they have a
// configuration; later revisions reach them by push and compare.
func (n *Node) pollHead(ctx context.Context) {
	if n.self.Role() == member.RoleAgent && n.Snapshot() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := n.platform.tables.Get(ctx, HeadKey)
	if err != nil || row.Version() == 0 {
		return
	}
	var head snapshot.Head
	if err := json.Unmarshal(row.Value(), &head); err != nil {
		n.logger.Error("head row does not parse", "error", err)
		return
	}
	if head.Revision > n.Revision() {
		n.adoptAndPush(ctx, head, nil)
	}
}

// compareNext exchanges revisions with a member chosen at random.
func (n *Node) compareNext(ctx context.Context) {
	peers := n.peers()
	if len(peers) == 0 {
		return
	}
	p := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &nodev1.CompareRequest{From: n.from(), Revision: n.Revision()}
	answer, err := n.pool.Node(p.Address()).Compare(ctx, connect.NewRequest(request))
	if err != nil || answer.Msg.GetHead() == nil {
		return
	}
	head, err := headFromMessage(answer.Msg.GetHead())
	if err != nil {
		n.logger.Error("head from peer does not parse", "peer", p.Name(), "error", err)
		return
	}
	if err := n.Adopt(ctx, head, nil); err != nil {
		n.logger.Warn("configuration not adopted", "revision", head.Revision, "error", err)
	}
}

// Adopt puts the configuration that head names in force if it is newer than the
// one in force. Sections that neither given nor the current snapshot has are
// read from the object store.
func (n *Node) Adopt(ctx context.Context, head snapshot.Head, given map[digest.Digest][]byte) error {
	current := n.Snapshot()
	if current != nil && current.Revision() >= head.Revision {
		return nil
	}
	texts := make(map[digest.Digest][]byte, len(head.Sections))
	for _, r := range head.Sections {
		data, err := n.sectionText(ctx, current, given, r.Digest)
		if err != nil {
			return eris.Wrapf(err, "section %s", r.Name)
		}
		texts[r.Digest] = data
	}
	s, err := snapshot.New(head, func(d digest.Digest) ([]byte, bool) {
		data, ok := texts[d]
		return data, ok
	})
	if err != nil {
		return err
	}
	if n.holder.Apply(s) {
		n.logger.Info("configuration in force", "revision", s.Revision(), "changeId", head.ChangeID)
		n.notifyApplied()
	}
	return nil
}

// Applied delivers a value after a configuration came into force.
func (n *Node) Applied() <-chan struct{} { return n.applied }

func (n *Node) notifyApplied() {
	select {
	case n.applied <- struct{}{}:
	default:
	}
}

func (n *Node) sectionText(ctx context.Context, current *snapshot.Snapshot, given map[digest.Digest][]byte, d digest.Digest) ([]byte, error) {
	if data, ok := given[d]; ok {
		return data, nil
	}
	if current != nil {
		if data, ok := current.Section(d); ok {
			return data, nil
		}
	}
	return n.platform.objects.Get(ctx, SectionPrefix+d.String())
}

func (n *Node) adoptAndPush(ctx context.Context, head snapshot.Head, given map[digest.Digest][]byte) {
	if err := n.Adopt(ctx, head, given); err != nil {
		n.logger.Warn("configuration not adopted", "revision", head.Revision, "error", err)
		return
	}
	n.PushToAll(ctx)
}

// PushToAll sends the configuration in force to every member of the view.
func (n *Node) PushToAll(ctx context.Context) {
	current := n.Snapshot()
	if current == nil {
		return
	}
	message := &nodev1.PushRequest{From: n.from(), Head: headMessage(current.Head())}
	for _, r := range current.Head().Sections {
		text, _ := current.Section(r.Digest)
		message.Sections = append(message.Sections, &nodev1.Section{Digest: r.Digest.Bytes(), Text: text})
	}
	pushes := pool.New().WithMaxGoroutines(maxPushes)
	for _, p := range n.peers() {
		pushes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if _, err := n.pool.Node(p.Address()).Push(ctx, connect.NewRequest(message)); err != nil {
				n.logger.Debug("push failed", "peer", p.Name(), "error", err)
			}
		})
	}
	pushes.Wait()
}

// peers returns the members of the view except this process.
func (n *Node) peers() []member.Member {
	var list []member.Member
	for _, m := range n.Members() {
		if m.Name() != n.self.Name() {
			list = append(list, m)
		}
	}
	return list
}

func (n *Node) from() *nodev1.Origin {
	return &nodev1.Origin{Name: n.self.Name(), Incarnation: n.self.Incarnation()}
}

// handler implements nodev1connect.NodeServiceHandler.
type handler struct {
	node *Node
}

func (h handler) Compare(_ context.Context, r *connect.Request[nodev1.CompareRequest]) (*connect.Response[nodev1.CompareResponse], error) {
	answer := &nodev1.CompareResponse{}
	if s := h.node.Snapshot(); s != nil {
		answer.Revision = s.Revision()
		answer.Digest = s.Head().Digest.Bytes()
		if s.Revision() > r.Msg.GetRevision() {
			answer.Head = headMessage(s.Head())
		}
	}
	return connect.NewResponse(answer), nil
}

func (h handler) Push(ctx context.Context, r *connect.Request[nodev1.PushRequest]) (*connect.Response[nodev1.PushResponse], error) {
	head, err := headFromMessage(r.Msg.GetHead())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	given := make(map[digest.Digest][]byte, len(r.Msg.GetSections()))
	for _, s := range r.Msg.GetSections() {
		given[digest.Of(s.GetText())] = s.GetText()
	}
	if err := h.node.Adopt(ctx, head, given); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&nodev1.PushResponse{Revision: h.node.Revision()}), nil
}

func (h handler) FetchSections(_ context.Context, r *connect.Request[nodev1.FetchSectionsRequest]) (*connect.Response[nodev1.FetchSectionsResponse], error) {
	answer := &nodev1.FetchSectionsResponse{}
	s := h.node.Snapshot()
	if s == nil {
		return connect.NewResponse(answer), nil
	}
	for _, b := range r.Msg.GetDigests() {
		d, err := digest.FromBytes(b)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if text, ok := s.Section(d); ok {
			answer.Sections = append(answer.Sections, &nodev1.Section{Digest: b, Text: text})
		}
	}
	return connect.NewResponse(answer), nil
}

func headMessage(h snapshot.Head) *nodev1.Head {
	m := &nodev1.Head{Revision: h.Revision, Digest: h.Digest.Bytes(), ChangeId: h.ChangeID}
	for _, r := range h.Sections {
		m.Sections = append(m.Sections, &nodev1.SectionRef{Name: r.Name, Digest: r.Digest.Bytes()})
	}
	return m
}

func headFromMessage(m *nodev1.Head) (snapshot.Head, error) {
	h := snapshot.Head{Revision: m.GetRevision(), ChangeID: m.GetChangeId()}
	var err error
	if h.Digest, err = digest.FromBytes(m.GetDigest()); err != nil {
		return snapshot.Head{}, eris.Wrap(err, "head")
	}
	for _, r := range m.GetSections() {
		d, err := digest.FromBytes(r.GetDigest())
		if err != nil {
			return snapshot.Head{}, eris.Wrapf(err, "section %s", r.GetName())
		}
		h.Sections = append(h.Sections, snapshot.SectionRef{Name: r.GetName(), Digest: d})
	}
	return h, nil
}
