package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
)

// handler implements nodev1connect.NodeServiceHandler.
type handler struct {
	node *Node
}

// Compare handles a peer's comparison of its configuration with the one in force here.
func (h handler) Compare(_ context.Context, r *connect.Request[nodev1.CompareRequest]) (*connect.Response[nodev1.CompareResponse], error) {
	c, err := compareFromMessage(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	from := r.Msg.GetFrom()
	h.node.MessageReceived(from)
	h.node.tracker.SuspicionsReceived(from.GetName(), c.Suspicions)
	reply, actions := h.node.spread.CompareReceived(time.Now(), from.GetName(), c)
	h.node.execute(actions)
	return connect.NewResponse(replyMessage(reply)), nil
}

// Push handles a revision that another process forwards.
func (h handler) Push(_ context.Context, r *connect.Request[nodev1.PushRequest]) (*connect.Response[nodev1.PushResponse], error) {
	head, err := headFromMessage(r.Msg.GetHead())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	h.node.MessageReceived(r.Msg.GetFrom())
	p := spread.Push{Head: head, Sections: sectionsFromMessages(r.Msg.GetSections()), Depth: r.Msg.GetDepth()}
	revision, actions := h.node.spread.PushReceived(time.Now(), r.Msg.GetFrom().GetName(), p)
	h.node.execute(actions)
	return connect.NewResponse(&nodev1.PushResponse{Revision: revision}), nil
}

// FetchSections returns those of the requested sections that the configuration in
// force contains.
func (h handler) FetchSections(_ context.Context, r *connect.Request[nodev1.FetchSectionsRequest]) (*connect.Response[nodev1.FetchSectionsResponse], error) {
	response := &nodev1.FetchSectionsResponse{}
	s := h.node.spread.InForce()
	if s == nil {
		return connect.NewResponse(response), nil
	}
	for _, b := range r.Msg.GetDigests() {
		d, err := digest.FromBytes(b)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if section, ok := s.Section(d); ok {
			response.Sections = append(response.Sections, sectionMessage(section))
		}
	}
	return connect.NewResponse(response), nil
}

// Announce passes an agent's report that its endpoint is waiting for an order to the
// function set by OnAnnounce.
func (h handler) Announce(_ context.Context, r *connect.Request[nodev1.AnnounceRequest]) (*connect.Response[nodev1.AnnounceResponse], error) {
	h.node.MessageReceived(r.Msg.GetFrom())
	h.node.announced(r.Msg.GetReport())
	return connect.NewResponse(&nodev1.AnnounceResponse{}), nil
}

func spreadHead(h snapshot.Head) spread.Head {
	refs := make([]spread.SectionRef, len(h.Sections))
	for i, r := range h.Sections {
		refs[i] = spread.NewSectionRef(r.Name, r.Digest)
	}
	return spread.NewHead(h.Revision, h.ChangeID, refs)
}

func snapshotHead(h spread.Head) snapshot.Head {
	s := snapshot.Head{Revision: h.Revision(), Digest: h.Digest(), ChangeID: h.ChangeID()}
	for _, r := range h.Refs() {
		s.Sections = append(s.Sections, snapshot.SectionRef{Name: r.Name(), Digest: r.Digest()})
	}
	return s
}

func headMessage(h spread.Head) *nodev1.Head {
	m := &nodev1.Head{Revision: h.Revision(), Digest: h.Digest().Bytes(), ChangeId: h.ChangeID()}
	for _, r := range h.Refs() {
		m.Sections = append(m.Sections, &nodev1.SectionRef{Name: r.Name(), Digest: r.Digest().Bytes()})
	}
	return m
}

func headFromMessage(m *nodev1.Head) (spread.Head, error) {
	headDigest, err := digest.FromBytes(m.GetDigest())
	if err != nil {
		return spread.Head{}, eris.Wrap(err, "head")
	}
	refs := make([]spread.SectionRef, len(m.GetSections()))
	for i, r := range m.GetSections() {
		d, err := digest.FromBytes(r.GetDigest())
		if err != nil {
			return spread.Head{}, eris.Wrapf(err, "section %s", r.GetName())
		}
		refs[i] = spread.NewSectionRef(r.GetName(), d)
	}
	h := spread.NewHead(m.GetRevision(), m.GetChangeId(), refs)
	return h, h.VerifyDigest(headDigest)
}

func sectionMessage(s spread.Section) *nodev1.Section {
	return &nodev1.Section{Digest: s.Digest().Bytes(), Text: s.Text()}
}

// sectionsFromMessages recomputes the digests from the texts, so that a corrupt section
// does not match any requested digest.
func sectionsFromMessages(list []*nodev1.Section) []spread.Section {
	sections := make([]spread.Section, len(list))
	for i, s := range list {
		sections[i] = spread.NewSection(s.GetText())
	}
	return sections
}

func compareMessage(from *nodev1.Origin, c spread.Compare) *nodev1.CompareRequest {
	m := &nodev1.CompareRequest{
		From:           from,
		Revision:       c.Revision,
		Digest:         c.Digest.Bytes(),
		ConfirmedAgeMs: ageMessage(c.ConfirmedAge),
	}
	for _, s := range c.Suspicions {
		m.Suspicions = append(m.Suspicions, &nodev1.Suspicion{Name: s.Name, Incarnation: s.Incarnation})
	}
	return m
}

func compareFromMessage(m *nodev1.CompareRequest) (spread.Compare, error) {
	d, err := digest.FromBytes(m.GetDigest())
	if err != nil {
		return spread.Compare{}, err
	}
	c := spread.Compare{Revision: m.GetRevision(), Digest: d, ConfirmedAge: ageFromMessage(m.ConfirmedAgeMs)}
	for _, s := range m.GetSuspicions() {
		c.Suspicions = append(c.Suspicions, membership.Suspicion{Name: s.GetName(), Incarnation: s.GetIncarnation()})
	}
	return c, nil
}

func replyMessage(r spread.CompareReply) *nodev1.CompareResponse {
	m := &nodev1.CompareResponse{Revision: r.Revision, Digest: r.Digest.Bytes(), ConfirmedAgeMs: ageMessage(r.ConfirmedAge)}
	if r.Head != nil {
		m.Head = headMessage(*r.Head)
	}
	return m
}

func replyFromMessage(m *nodev1.CompareResponse) (spread.CompareReply, error) {
	d, err := digest.FromBytes(m.GetDigest())
	if err != nil {
		return spread.CompareReply{}, err
	}
	r := spread.CompareReply{Revision: m.GetRevision(), Digest: d, ConfirmedAge: ageFromMessage(m.ConfirmedAgeMs)}
	if m.GetHead() != nil {
		h, err := headFromMessage(m.GetHead())
		if err != nil {
			return spread.CompareReply{}, err
		}
		r.Head = &h
	}
	return r, nil
}

func ageMessage(age time.Duration) *uint64 {
	if age == spread.Unconfirmed {
		return nil
	}
	ms := uint64(max(age, 0) / time.Millisecond)
	return &ms
}

func ageFromMessage(ms *uint64) time.Duration {
	if ms == nil || *ms > uint64(spread.Unconfirmed/time.Millisecond) {
		return spread.Unconfirmed
	}
	return time.Duration(*ms) * time.Millisecond
}
