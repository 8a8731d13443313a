package spread

import (
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// incomingSnapshot is a newer revision whose missing sections are being fetched.
type incomingSnapshot struct {
	head     Head
	sections map[digest.Digest]Section
	missing  map[digest.Digest]bool
	// source is the peer that the missing sections are fetched from; nil is the
	// table.
	source *member.Member
	// depth is the depth from which to forward the revision once it is in force.
	depth uint32
	// fromTable is set when this process found the revision in the table.
	fromTable bool
	attempts  int
}

// maxFetchAttempts is the number of times missing sections are requested from one
// source before the next one is used.
const maxFetchAttempts = 2

// PushReceived handles a push and returns the revision in force afterwards, which
// is older than the pushed one while sections are still missing.
func (n *Node) PushReceived(now time.Time, from string, p Push) (revision uint64, a Actions) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.recordContact(now, from)
	current := n.inForce.Load()
	switch {
	case p.Head.revision > current.revision():
		a = n.assemble(now, &incomingSnapshot{head: p.Head, source: n.peer(from), depth: p.Depth}, p.Sections)
	case p.Head.revision == current.revision() && current != nil:
		a = n.extendForwarding(p)
		a.Divergence = n.divergence(from, p.Head.revision, p.Head.digest)
	}
	return n.inForce.Load().revision(), a
}

// PushCompleted handles the reply to a push, which is the revision in force at the
// delegate, or the error. After an error the next delegate of the subtree is tried.
func (n *Node) PushCompleted(now time.Time, to string, pushed, revision uint64, err error) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	d := n.pushes[to]
	if d == nil || d.revision != pushed {
		return Actions{}
	}
	if err != nil {
		return n.retryPush(to, d)
	}
	n.recordContact(now, to)
	delete(n.pushes, to)
	if revision > n.inForce.Load().revision() {
		return n.compareWith(now, n.peer(to))
	}
	return Actions{}
}

// FetchCompleted handles the sections that a Fetch returned, or the error.
func (n *Node) FetchCompleted(now time.Time, f Fetch, sections []Section, err error) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	in := n.incoming
	if in == nil || in.head.revision != f.Revision {
		return Actions{}
	}
	if err == nil && f.From != nil {
		n.recordContact(now, f.From.Name())
	}
	in.addSections(sections)
	if len(in.missing) == 0 {
		return n.complete(now, in)
	}
	return n.retryFetch(in)
}

// assemble starts to assemble a newer revision. If that revision is already being
// assembled, it adds the sections and widens the part of the tree to forward to.
func (n *Node) assemble(now time.Time, in *incomingSnapshot, sections []Section) Actions {
	if n.incoming != nil && n.incoming.head.revision > in.head.revision {
		return Actions{}
	}
	isNew := n.incoming == nil || n.incoming.head.revision < in.head.revision
	if isNew {
		in.reuseSections(n.inForce.Load())
		n.incoming = in
	} else {
		n.incoming.depth = min(n.incoming.depth, in.depth)
		n.incoming.fromTable = n.incoming.fromTable || in.fromTable
	}
	n.incoming.addSections(sections)
	if len(n.incoming.missing) == 0 {
		return n.complete(now, n.incoming)
	}
	if !isNew {
		return Actions{}
	}
	return n.fetch(n.incoming)
}

// complete applies a revision whose sections are all present and forwards it.
func (n *Node) complete(now time.Time, in *incomingSnapshot) Actions {
	n.incoming = nil
	a, ok := n.apply(&Snapshot{head: in.head, sections: in.sections})
	if !ok {
		return a
	}
	switch {
	case in.fromTable:
		n.lastConfirmation = now
		a.add(n.schedulePush(now))
	case in.depth < maxDepth:
		a.add(n.forward(in.depth))
	default:
		a.add(n.compareAll(now))
	}
	return a
}

// apply replaces the snapshot in force with s if s is newer, and reports whether it
// did.
func (n *Node) apply(s *Snapshot) (Actions, bool) {
	current := n.inForce.Load()
	if s.revision() <= current.revision() {
		return Actions{}, false
	}
	if n.nextPush.IsZero() {
		n.base = current
	}
	n.inForce.Store(s)
	n.forwardedDepth = maxDepth
	if n.incoming != nil && n.incoming.head.revision <= s.revision() {
		n.incoming = nil
	}
	return Actions{Applied: s}, true
}

// schedulePush starts to push the revision in force down the tree, at once or when
// MinPushInterval has passed since the last such push.
func (n *Node) schedulePush(now time.Time) Actions {
	due := n.lastPush.Add(MinPushInterval)
	if n.lastPush.IsZero() || !now.Before(due) {
		return n.startPush(now)
	}
	n.nextPush = due
	return Actions{}
}

func (n *Node) startPush(now time.Time) Actions {
	n.nextPush = time.Time{}
	n.lastPush = now
	return n.forward(0)
}

// extendForwarding forwards the revision in force to a larger part of the tree if
// the push makes this process responsible for it.
func (n *Node) extendForwarding(p Push) Actions {
	if p.Depth >= n.forwardedDepth || p.Head.digest != n.inForce.Load().head.digest {
		return Actions{}
	}
	return n.forward(p.Depth)
}

// forward pushes the revision in force to a delegate of each subtree from depth on
// that it has not been forwarded to yet.
func (n *Node) forward(depth uint32) Actions {
	s := n.inForce.Load()
	plan := forwardPlan(n.view(), n.self, s.revision(), depth, n.forwardedDepth)
	n.forwardedDepth = depth
	var a Actions
	for _, t := range plan {
		d := &delegation{subtree: t, revision: s.revision(), tried: make(map[string]bool)}
		a.add(n.pushToNextDelegate(d))
	}
	return a
}

// pushToNextDelegate pushes to the next untried delegate of a subtree, if any.
func (n *Node) pushToNextDelegate(d *delegation) Actions {
	p, ok := d.subtree.delegate(d.revision, d.tried)
	if !ok {
		return Actions{}
	}
	d.tried[p.Name()] = true
	n.pushes[p.Name()] = d
	return n.push(p.Member(), d)
}

func (n *Node) push(to member.Member, d *delegation) Actions {
	s := n.inForce.Load()
	p := Push{Head: s.head, Sections: s.changedSince(n.base), Depth: d.subtree.depth}
	return Actions{Pushes: []PushTo{{To: to, Push: p}}}
}

// retryPush handles a push without a reply. The rest of the subtree is delegated to
// the next delegate at once, since the unresponsive one may have failed. That one
// gets up to maxDirectRetries further pushes without a subtree, since it may still
// be running. If a newer revision is in force, its own tree covers all members and
// the older push is abandoned.
func (n *Node) retryPush(to string, d *delegation) Actions {
	delete(n.pushes, to)
	if d.revision != n.inForce.Load().revision() {
		return Actions{}
	}
	var a Actions
	if d.directRetries == 0 {
		a.add(n.pushToNextDelegate(d))
	}
	p, ok := n.view().Get(to)
	if !ok || d.directRetries == maxDirectRetries {
		return a
	}
	retry := &delegation{subtree: subtree{depth: maxDepth}, revision: d.revision, directRetries: d.directRetries + 1}
	n.pushes[to] = retry
	a.add(n.push(p.Member(), retry))
	return a
}

func (n *Node) fetch(in *incomingSnapshot) Actions {
	in.attempts++
	return Actions{Fetches: []Fetch{{From: in.source, Revision: in.head.revision, Digests: in.missingDigests()}}}
}

// retryFetch requests the missing sections from the same peer again and then from
// the table. After that the revision is dropped; a later comparison or poll finds it
// again.
func (n *Node) retryFetch(in *incomingSnapshot) Actions {
	if in.attempts >= maxFetchAttempts {
		if in.source == nil {
			n.incoming = nil
			return Actions{}
		}
		in.source = nil
		in.attempts = 0
	}
	return n.fetch(in)
}

// peer returns the named member, or nil if it is not in the view.
func (n *Node) peer(name string) *member.Member {
	p, ok := n.view().Get(name)
	if !ok {
		return nil
	}
	m := p.Member()
	return &m
}

// reuseSections copies the sections that the snapshot in force already has and
// records the others as missing.
func (in *incomingSnapshot) reuseSections(current *Snapshot) {
	in.sections = make(map[digest.Digest]Section, len(in.head.refs))
	in.missing = make(map[digest.Digest]bool)
	for _, r := range in.head.refs {
		if current != nil {
			if section, ok := current.sections[r.digest]; ok {
				in.sections[r.digest] = section
				continue
			}
		}
		in.missing[r.digest] = true
	}
}

// addSections adds the sections that are missing and ignores all others.
func (in *incomingSnapshot) addSections(sections []Section) {
	for _, s := range sections {
		if in.missing[s.digest] {
			in.sections[s.digest] = s
			delete(in.missing, s.digest)
		}
	}
}

// missingDigests returns the digests of the missing sections in the order of the
// head, without duplicates.
func (in *incomingSnapshot) missingDigests() []digest.Digest {
	var missing []digest.Digest
	for _, r := range in.head.refs {
		if in.missing[r.digest] && !slices.Contains(missing, r.digest) {
			missing = append(missing, r.digest)
		}
	}
	return missing
}
