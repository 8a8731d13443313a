package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// ChangeAccepted applies a change that this process wrote to the table and sends it to
// other processes. It returns spread.ErrMissingSection if text lacks a section of head.
func (n *Node) ChangeAccepted(head snapshot.Head, text func(digest.Digest) ([]byte, bool)) error {
	sections := make([]spread.Section, 0, len(head.Sections))
	for _, r := range head.Sections {
		if data, ok := text(r.Digest); ok {
			sections = append(sections, spread.NewSection(data))
		}
	}
	s, err := spread.NewSnapshot(spreadHead(head), sections)
	if err != nil {
		return err
	}
	n.execute(n.spread.ChangeAccepted(time.Now(), s))
	return nil
}

// execute performs the actions requested by package spread. Each call runs in its own
// goroutine, and its result is passed back to package spread as input.
func (n *Node) execute(a spread.Actions) {
	if a.Applied != nil {
		n.apply(a.Applied)
	}
	if a.Divergence != nil {
		telemetry.ConfigurationDiverged.Log(n.context, n.logger, "peer", a.Divergence.Peer, "revision", a.Divergence.Revision)
	}
	if a.Poll {
		n.call(n.poll)
	}
	for _, p := range a.Pushes {
		n.call(func(ctx context.Context) spread.Actions { return n.push(ctx, p) })
	}
	for _, c := range a.Compares {
		n.call(func(ctx context.Context) spread.Actions { return n.compare(ctx, c) })
	}
	for _, f := range a.Fetches {
		n.call(func(ctx context.Context) spread.Actions { return n.fetch(ctx, f) })
	}
}

// call runs work in a goroutine with a timeout and executes the actions that it returns.
func (n *Node) call(work func(context.Context) spread.Actions) {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	if n.stopped {
		return
	}
	n.calls.Go(func() {
		select {
		case n.callSlots <- struct{}{}:
		case <-n.context.Done():
			return
		}
		ctx, cancel := context.WithTimeout(n.context, spread.CallTimeout)
		actions := work(ctx)
		cancel()
		<-n.callSlots
		n.execute(actions)
	})
}

// apply publishes a configuration that takes effect. If two calls overlap, the holder
// keeps the newer configuration.
func (n *Node) apply(s *spread.Snapshot) {
	compiled, err := snapshot.New(snapshotHead(s.Head()), func(d digest.Digest) ([]byte, bool) {
		section, ok := s.Section(d)
		return section.Text(), ok
	})
	if err != nil {
		telemetry.ConfigurationNotAdopted.Log(n.context, n.logger, "revision", s.Head().Revision(), "error", err)
		return
	}
	if !n.holder.Apply(compiled) {
		return
	}
	telemetry.ConfigurationInForce.Log(n.context, n.logger, "revision", compiled.Revision(), "changeId", compiled.Head().ChangeID)
	n.telemetry.Metrics().Revision.Set(float64(compiled.Revision()))
	select {
	case n.applied <- struct{}{}:
	default:
	}
}

func (n *Node) poll(ctx context.Context) spread.Actions {
	head, err := n.readHead(ctx)
	return n.spread.PollCompleted(time.Now(), head, err)
}

// readHead reads the head of the latest revision from the table. The section list is
// read from the object store only if the revision is newer than the one in force.
func (n *Node) readHead(ctx context.Context) (spread.Head, error) {
	row, err := n.platform.tables.Get(ctx, accept.HeadKey)
	if err != nil || row.Version() == 0 {
		return spread.Head{}, err
	}
	head, err := accept.ParseHead(row.Value())
	if err != nil {
		telemetry.HeadRowMalformed.Log(ctx, n.logger, "error", err)
		return spread.Head{}, eris.Wrap(err, "head row")
	}
	if head.Revision <= n.Revision() {
		return spreadHead(head), nil
	}
	list, err := n.platform.objects.Get(ctx, accept.SectionPrefix+head.Digest.String())
	if err != nil {
		return spread.Head{}, err
	}
	head.Sections, err = accept.ParseSectionList(list, head.Digest)
	return spreadHead(head), err
}

func (n *Node) push(ctx context.Context, p spread.PushTo) spread.Actions {
	message := &nodev1.PushRequest{From: n.From(), Head: headMessage(p.Push.Head), Depth: p.Push.Depth}
	for _, s := range p.Push.Sections {
		message.Sections = append(message.Sections, sectionMessage(s))
	}
	response, err := n.pool.Node(p.To.Address()).Push(ctx, connect.NewRequest(message))
	n.CallCompleted(p.To.Name(), p.To.Incarnation(), err)
	revision := uint64(0)
	if err != nil {
		telemetry.PushFailed.Log(ctx, n.logger, "peer", p.To.Name(), "error", err)
	} else {
		revision = response.Msg.GetRevision()
	}
	return n.spread.PushCompleted(time.Now(), p.To.Name(), p.Push.Head.Revision(), revision, err)
}

func (n *Node) compare(ctx context.Context, c spread.CompareTo) spread.Actions {
	response, err := n.pool.Node(c.To.Address()).Compare(ctx, connect.NewRequest(compareMessage(n.From(), c.Compare)))
	n.CallCompleted(c.To.Name(), c.To.Incarnation(), err)
	var reply spread.CompareReply
	if err == nil {
		reply, err = n.parseReply(ctx, c.To.Name(), response.Msg)
	}
	return n.spread.CompareCompleted(time.Now(), c.To, reply, err)
}

func (n *Node) parseReply(ctx context.Context, peer string, m *nodev1.CompareResponse) (spread.CompareReply, error) {
	reply, err := replyFromMessage(m)
	if err != nil {
		telemetry.PeerHeadMalformed.Log(ctx, n.logger, "peer", peer, "error", err)
	}
	return reply, err
}

func (n *Node) fetch(ctx context.Context, f spread.Fetch) spread.Actions {
	sections, err := n.fetchSections(ctx, f)
	return n.spread.FetchCompleted(time.Now(), f, sections, err)
}

func (n *Node) fetchSections(ctx context.Context, f spread.Fetch) ([]spread.Section, error) {
	if f.From == nil {
		return n.readSections(ctx, f.Digests)
	}
	request := &nodev1.FetchSectionsRequest{}
	for _, d := range f.Digests {
		request.Digests = append(request.Digests, d.Bytes())
	}
	response, err := n.pool.Node(f.From.Address()).FetchSections(ctx, connect.NewRequest(request))
	n.CallCompleted(f.From.Name(), f.From.Incarnation(), err)
	if err != nil {
		return nil, err
	}
	return sectionsFromMessages(response.Msg.GetSections()), nil
}

// readSections reads sections from the object store. The process that accepted the
// change wrote them there before it accepted the change.
func (n *Node) readSections(ctx context.Context, digests []digest.Digest) ([]spread.Section, error) {
	var sections []spread.Section
	for _, d := range digests {
		data, err := n.platform.objects.Get(ctx, accept.SectionPrefix+d.String())
		if err != nil {
			return sections, eris.Wrapf(err, "section %s", d.Short())
		}
		sections = append(sections, spread.NewSection(data))
	}
	return sections, nil
}

// CallCompleted records the result of a call to a peer as direct evidence of the peer's
// reachability. An error after the context of Start is done is not evidence and is
// ignored.
func (n *Node) CallCompleted(name string, incarnation uint64, err error) {
	switch {
	case err == nil:
		n.tracker.MessageReceived(name, incarnation)
	case n.context.Err() == nil:
		n.tracker.CallFailed(name)
	}
}
