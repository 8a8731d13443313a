package spread

import (
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// assembly is a newer revision whose sections are being gathered.
type assembly struct {
	head    Head
	given   map[digest.Digest]Section
	missing map[digest.Digest]bool
	// from is whom the missing sections are asked of; nil stands for the table.
	from *member.Member
	// depth is the part of the tree to answer for once the revision is in force.
	depth uint32
	// root tells that this process found the revision in the table.
	root     bool
	attempts int
}

// fetchAttempts is the number of times missing sections are asked of one peer
// before the table is asked.
const fetchAttempts = 2

// PushReceived takes a push and returns the revision in force afterwards, which
// is older than the pushed one while sections are still missing.
func (n *Node) PushReceived(now time.Time, from string, p Push) (revision uint64, a Actions) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.heard(now, from)
	current := n.inForce.Load()
	switch {
	case p.Head.revision > current.revision():
		a = n.adopt(now, &assembly{head: p.Head, from: n.peer(from), depth: p.Depth}, p.Sections)
	case p.Head.revision == current.revision() && current != nil:
		a = n.extend(p)
		a.Divergence = n.divergence(from, p.Head.revision, p.Head.digest)
	}
	return n.inForce.Load().revision(), a
}

// PushCompleted takes the revision in force at the delegate, or the error, after
// which the next delegate of the subtree is tried.
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
	n.heard(now, to)
	delete(n.pushes, to)
	if revision > n.inForce.Load().revision() {
		return n.compareWith(now, n.peer(to))
	}
	return Actions{}
}

// FetchCompleted takes the sections that a Fetch got, or the error.
func (n *Node) FetchCompleted(now time.Time, f Fetch, sections []Section, err error) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	w := n.wanted
	if w == nil || w.head.revision != f.Revision {
		return Actions{}
	}
	if err == nil && f.From != nil {
		n.heard(now, f.From.Name())
	}
	w.take(sections)
	if len(w.missing) == 0 {
		return n.complete(now, w)
	}
	return n.fetchAgain(w)
}

// adopt gathers a newer revision. One that is already being gathered gets the
// sections and the part of the tree added.
func (n *Node) adopt(now time.Time, w *assembly, sections []Section) Actions {
	if n.wanted != nil && n.wanted.head.revision > w.head.revision {
		return Actions{}
	}
	fresh := n.wanted == nil || n.wanted.head.revision < w.head.revision
	if fresh {
		w.begin(n.inForce.Load())
		n.wanted = w
	} else {
		n.wanted.depth = min(n.wanted.depth, w.depth)
		n.wanted.root = n.wanted.root || w.root
	}
	n.wanted.take(sections)
	if len(n.wanted.missing) == 0 {
		return n.complete(now, n.wanted)
	}
	if !fresh {
		return Actions{}
	}
	return n.fetch(n.wanted)
}

// complete puts a gathered revision in force and answers for its subtree.
func (n *Node) complete(now time.Time, w *assembly) Actions {
	n.wanted = nil
	a, ok := n.apply(&Snapshot{head: w.head, sections: w.given})
	if !ok {
		return a
	}
	switch {
	case w.root:
		n.confirmedAt = now
		a.add(n.scheduleRoot(now))
	case w.depth < maxDepth:
		a.add(n.forward(w.depth))
	default:
		a.add(n.compareAll(now))
	}
	return a
}

// apply puts s in force if it is newer.
func (n *Node) apply(s *Snapshot) (Actions, bool) {
	current := n.inForce.Load()
	if s.revision() <= current.revision() {
		return Actions{}, false
	}
	if n.rootDue.IsZero() {
		n.base = current
	}
	n.inForce.Store(s)
	n.covered = maxDepth
	if n.wanted != nil && n.wanted.head.revision <= s.revision() {
		n.wanted = nil
	}
	return Actions{Applied: s}, true
}

// scheduleRoot starts the revision in force down the tree, at once or when
// RootInterval has passed.
func (n *Node) scheduleRoot(now time.Time) Actions {
	due := n.lastRoot.Add(MinPushInterval)
	if n.lastRoot.IsZero() || !now.Before(due) {
		return n.root(now)
	}
	n.rootDue = due
	return Actions{}
}

func (n *Node) root(now time.Time) Actions {
	n.rootDue = time.Time{}
	n.lastRoot = now
	return n.forward(0)
}

// extend answers for a larger part of the tree of the revision in force.
func (n *Node) extend(p Push) Actions {
	if p.Depth >= n.covered || p.Head.digest != n.inForce.Load().head.digest {
		return Actions{}
	}
	return n.forward(p.Depth)
}

// forward pushes the revision in force to the delegates of the subtrees from
// depth on that it has not answered for yet.
func (n *Node) forward(depth uint32) Actions {
	s := n.inForce.Load()
	plan := forwardPlan(n.view(), n.self, s.revision(), depth, n.covered)
	n.covered = depth
	var a Actions
	for _, t := range plan {
		d := &delegation{subtree: t, revision: s.revision(), tried: make(map[string]bool)}
		a.add(n.pushNext(d))
	}
	return a
}

// pushNext pushes to the next delegate of a subtree, if one is left.
func (n *Node) pushNext(d *delegation) Actions {
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

// retryPush goes on after a push that got no answer. The rest of the subtree goes
// to the next delegate at once, since the silent one may be dead; that one is
// pushed to again for itself alone, since it may be alive. A newer revision has a
// tree of its own, so an older one is given up.
func (n *Node) retryPush(to string, d *delegation) Actions {
	delete(n.pushes, to)
	if d.revision != n.inForce.Load().revision() {
		return Actions{}
	}
	var a Actions
	if d.alone == 0 {
		a.add(n.pushNext(d))
	}
	p, ok := n.view().Get(to)
	if !ok || d.alone == pushesAlone {
		return a
	}
	again := &delegation{subtree: subtree{depth: maxDepth}, revision: d.revision, alone: d.alone + 1}
	n.pushes[to] = again
	a.add(n.push(p.Member(), again))
	return a
}

func (n *Node) fetch(w *assembly) Actions {
	w.attempts++
	return Actions{Fetches: []Fetch{{From: w.from, Revision: w.head.revision, Digests: w.missingInOrder()}}}
}

// fetchAgain asks the same peer again, then the table. After that the revision is
// dropped, and the next comparison or poll finds it anew.
func (n *Node) fetchAgain(w *assembly) Actions {
	if w.attempts >= fetchAttempts {
		if w.from == nil {
			n.wanted = nil
			return Actions{}
		}
		w.from = nil
		w.attempts = 0
	}
	return n.fetch(w)
}

// peer returns the member called name, nil if the view does not have it.
func (n *Node) peer(name string) *member.Member {
	p, ok := n.view().Get(name)
	if !ok {
		return nil
	}
	m := p.Member()
	return &m
}

// begin takes the sections that the snapshot in force has already.
func (w *assembly) begin(current *Snapshot) {
	w.given = make(map[digest.Digest]Section, len(w.head.refs))
	w.missing = make(map[digest.Digest]bool)
	for _, r := range w.head.refs {
		if current != nil {
			if section, ok := current.sections[r.digest]; ok {
				w.given[r.digest] = section
				continue
			}
		}
		w.missing[r.digest] = true
	}
}

// take adds the sections that are missing; others are ignored.
func (w *assembly) take(sections []Section) {
	for _, s := range sections {
		if w.missing[s.digest] {
			w.given[s.digest] = s
			delete(w.missing, s.digest)
		}
	}
}

// missingInOrder returns the digests of the missing sections in the order of the
// head, each once.
func (w *assembly) missingInOrder() []digest.Digest {
	var missing []digest.Digest
	for _, r := range w.head.refs {
		if w.missing[r.digest] && !slices.Contains(missing, r.digest) {
			missing = append(missing, r.digest)
		}
	}
	return missing
}
