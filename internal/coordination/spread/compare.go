package spread

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// CompareReceived takes a neighbour's comparison and returns the answer to it. A
// neighbour with a newer revision is asked for it in turn.
func (n *Node) CompareReceived(now time.Time, from string, c Compare) (CompareReply, Actions) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.heard(now, from)
	current := n.inForce.Load()
	var a Actions
	switch {
	case c.Revision > current.revision():
		a = n.compareWith(now, n.peer(from))
	case c.Revision == current.revision():
		n.confirm(now, c.ConfirmedAge)
		a.Divergence = n.divergence(from, c.Revision, c.Digest)
	}
	return n.replyTo(now, c.Revision), a
}

// CompareCompleted takes a neighbour's answer, or the error, after which the next
// neighbour is asked in its place.
func (n *Node) CompareCompleted(now time.Time, to member.Member, r CompareReply, err error) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		n.silent++
		return n.compareInstead(now)
	}
	n.retries = 0
	if to.FailureDomain() == n.self.FailureDomain() {
		n.silent = 0
	}
	n.heard(now, to.Name())
	if r.Revision > 0 {
		n.peerAnswers++
	}
	current := n.inForce.Load()
	if r.Head != nil && r.Head.revision > current.revision() {
		return n.adopt(now, &assembly{head: *r.Head, from: &to, depth: maxDepth}, nil)
	}
	var a Actions
	if r.Revision == current.revision() {
		n.confirm(now, r.ConfirmedAge)
		a.Divergence = n.divergence(to.Name(), r.Revision, r.Digest)
	}
	return a
}

// Confirmation tells how well a process knows that its revision is the newest.
type Confirmation struct {
	// Age is the time since the table confirmed the revision, through however many
	// processes; Unconfirmed when it never did.
	Age time.Duration
	// OtherRegions is the time since a process of another region was heard from;
	// Unconfirmed when none was. With a fresh one, an old Age means that the table
	// is down and nobody can accept a change. With an old one, a link may be cut,
	// behind which changes may have been accepted.
	OtherRegions time.Duration
}

// Confirmation returns how well this process knows that its revision is the
// newest. A process goes on with what is in force whatever the answer is.
func (n *Node) Confirmation(now time.Time) Confirmation {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return Confirmation{Age: age(now, n.confirmedAt), OtherRegions: age(now, n.otherRegions)}
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return Unconfirmed
	}
	return now.Sub(at)
}

// confirm takes a peer's confirmation of the revision in force.
func (n *Node) confirm(now time.Time, peerAge time.Duration) {
	if peerAge == Unconfirmed || peerAge < 0 {
		return
	}
	at := now.Add(-peerAge)
	if at.After(n.confirmedAt) {
		n.confirmedAt = at
	}
}

func (n *Node) heard(now time.Time, from string) {
	p, ok := n.view().Get(from)
	if ok && p.Member().Region() != n.self.Region() {
		n.otherRegions = now
	}
}

func (n *Node) replyTo(now time.Time, revision uint64) CompareReply {
	current := n.inForce.Load()
	r := CompareReply{Revision: current.revision(), ConfirmedAge: age(now, n.confirmedAt)}
	if current == nil {
		return r
	}
	r.Digest = current.head.digest
	if current.revision() > revision {
		head := current.head
		r.Head = &head
	}
	return r
}

func (n *Node) divergence(peer string, revision uint64, d digest.Digest) *Divergence {
	current := n.inForce.Load()
	if current == nil || current.head.digest == d {
		return nil
	}
	return &Divergence{Peer: peer, Revision: revision}
}

// compareDue asks the next neighbour in turn, and a poller in every other round
// the next one of another failure domain as well. A process without a
// configuration asks all.
func (n *Node) compareDue(now time.Time) Actions {
	n.retries = 0
	if n.inForce.Load() == nil {
		n.nextCompare = now.Add(JoinCompareInterval)
		a := n.compareAll(now)
		a.add(n.compareElsewhere(now))
		return a
	}
	n.nextCompare = now.Add(CompareInterval)
	a := n.compareNear(now)
	if n.nearTurn%farRounds == 0 {
		a.add(n.compareFar(now))
	}
	a.add(n.compareElsewhere(now))
	return a
}

func (n *Node) compareNear(now time.Time) Actions {
	near := n.neighbourhood().near
	if len(near) == 0 {
		return Actions{}
	}
	n.nearTurn++
	return n.compareWith(now, &near[n.nearTurn%len(near)])
}

func (n *Node) compareFar(now time.Time) Actions {
	far := n.neighbourhood().far
	if len(far) == 0 {
		return Actions{}
	}
	n.farTurn++
	return n.compareWith(now, &far[n.farTurn%len(far)])
}

// compareElsewhere asks a peer of another failure domain if the near neighbours
// are silent: the list may lag behind the replacement of a whole failure domain.
func (n *Node) compareElsewhere(now time.Time) Actions {
	around := n.neighbourhood()
	if n.silent < silentToAskElsewhere && len(around.near) > 0 {
		return Actions{}
	}
	others := around.elsewhere(n.self)
	if len(others) == 0 {
		return Actions{}
	}
	n.farTurn++
	return n.compareWith(now, &others[n.farTurn%len(others)])
}

// compareInstead makes up for a comparison that got no answer.
func (n *Node) compareInstead(now time.Time) Actions {
	if n.retries >= compareRetries {
		return Actions{}
	}
	n.retries++
	a := n.compareElsewhere(now)
	if len(a.Compares) == 0 {
		a = n.compareNear(now)
	}
	return a
}

// compareAll asks every neighbour at once: after a freeze, while joining, and
// when a comparison and not a push brought the last revision, which means that
// the tree missed this process and may have missed others.
func (n *Node) compareAll(now time.Time) Actions {
	around := n.neighbourhood()
	var a Actions
	for i := range around.near {
		a.add(n.compareWith(now, &around.near[i]))
	}
	for i := range around.far {
		a.add(n.compareWith(now, &around.far[i]))
	}
	return a
}

func (n *Node) compareWith(now time.Time, to *member.Member) Actions {
	if to == nil {
		return Actions{}
	}
	current := n.inForce.Load()
	c := Compare{
		Revision:     current.revision(),
		ConfirmedAge: age(now, n.confirmedAt),
		Suspicions:   n.suspicions(),
	}
	if current != nil {
		c.Digest = current.head.digest
	}
	return Actions{Compares: []CompareTo{{To: *to, Compare: c}}}
}
