package spread

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// CompareReceived handles a neighbour's comparison and returns the reply. If the
// neighbour has a newer revision, the actions include a comparison with it, whose
// reply carries the newer head.
func (n *Node) CompareReceived(now time.Time, from string, c Compare) (CompareReply, Actions) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.recordContact(now, from)
	current := n.inForce.Load()
	var a Actions
	switch {
	case c.Revision > current.revision():
		a = n.compareWith(now, n.peer(from))
	case c.Revision == current.revision():
		n.recordConfirmation(now, c.ConfirmedAge)
		a.Divergence = n.divergence(from, c.Revision, c.Digest)
	}
	return n.compareReply(now, c.Revision), a
}

// CompareCompleted handles a neighbour's reply, or the error. After an error the
// comparison is retried with another peer.
func (n *Node) CompareCompleted(now time.Time, to member.Member, r CompareReply, err error) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		n.compareFailures++
		return n.retryCompare(now)
	}
	n.compareRetries = 0
	if to.FailureDomain() == n.self.FailureDomain() {
		n.compareFailures = 0
	}
	n.recordContact(now, to.Name())
	if r.Revision > 0 {
		n.peerReplies++
	}
	current := n.inForce.Load()
	if r.Head != nil && r.Head.revision > current.revision() {
		return n.assemble(now, &incomingSnapshot{head: *r.Head, source: &to, depth: maxDepth}, nil)
	}
	var a Actions
	if r.Revision == current.revision() {
		n.recordConfirmation(now, r.ConfirmedAge)
		a.Divergence = n.divergence(to.Name(), r.Revision, r.Digest)
	}
	return a
}

// Confirmation describes how recently a process confirmed that its revision is the
// newest.
type Confirmation struct {
	// Age is the time since the table confirmed the revision, directly or relayed by
	// any number of processes; Unconfirmed if it never did.
	Age time.Duration
	// OtherRegions is the time since the last message from a process of another
	// region; Unconfirmed if there was none. If it is small, a large Age means that
	// the table is down and no change can be accepted. If it is large, the region may
	// be partitioned, and changes may have been accepted on the other side.
	OtherRegions time.Duration
}

// Confirmation returns how recently this process confirmed that its revision is the
// newest. A process keeps using the configuration in force whatever the result.
func (n *Node) Confirmation(now time.Time) Confirmation {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return Confirmation{Age: age(now, n.lastConfirmation), OtherRegions: age(now, n.otherRegionContact)}
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return Unconfirmed
	}
	return now.Sub(at)
}

// recordConfirmation records a peer's confirmation of the revision in force.
func (n *Node) recordConfirmation(now time.Time, peerAge time.Duration) {
	if peerAge == Unconfirmed || peerAge < 0 {
		return
	}
	at := now.Add(-peerAge)
	if at.After(n.lastConfirmation) {
		n.lastConfirmation = at
	}
}

func (n *Node) recordContact(now time.Time, from string) {
	p, ok := n.view().Get(from)
	if ok && p.Member().Region() != n.self.Region() {
		n.otherRegionContact = now
	}
}

func (n *Node) compareReply(now time.Time, revision uint64) CompareReply {
	current := n.inForce.Load()
	r := CompareReply{Revision: current.revision(), ConfirmedAge: age(now, n.lastConfirmation)}
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

// startCompareRound compares with the next local neighbour and, on a poller in
// every second round, with the next remote neighbour. A process without a
// configuration compares with all neighbours.
func (n *Node) startCompareRound(now time.Time) Actions {
	n.compareRetries = 0
	if n.inForce.Load() == nil {
		n.nextCompare = now.Add(JoinCompareInterval)
		a := n.compareAll(now)
		a.add(n.compareFallback(now))
		return a
	}
	n.nextCompare = now.Add(CompareInterval)
	a := n.compareLocal(now)
	if n.localIndex%roundsPerRemoteCompare == 0 {
		a.add(n.compareRemote(now))
	}
	a.add(n.compareFallback(now))
	return a
}

func (n *Node) compareLocal(now time.Time) Actions {
	neighbours := n.currentNeighbours().local
	if len(neighbours) == 0 {
		return Actions{}
	}
	n.localIndex++
	return n.compareWith(now, &neighbours[n.localIndex%len(neighbours)])
}

func (n *Node) compareRemote(now time.Time) Actions {
	neighbours := n.currentNeighbours().remote
	if len(neighbours) == 0 {
		return Actions{}
	}
	n.remoteIndex++
	return n.compareWith(now, &neighbours[n.remoteIndex%len(neighbours)])
}

// compareFallback compares with a peer of another failure domain if the local
// neighbours do not reply or there are none. The member list may not yet show that
// a whole failure domain was replaced.
func (n *Node) compareFallback(now time.Time) Actions {
	neighbours := n.currentNeighbours()
	if n.compareFailures < failuresBeforeFallback && len(neighbours.local) > 0 {
		return Actions{}
	}
	peers := neighbours.fallbackPeers(n.self)
	if len(peers) == 0 {
		return Actions{}
	}
	n.remoteIndex++
	return n.compareWith(now, &peers[n.remoteIndex%len(peers)])
}

// retryCompare replaces a failed comparison by one with another peer.
func (n *Node) retryCompare(now time.Time) Actions {
	if n.compareRetries >= maxCompareRetries {
		return Actions{}
	}
	n.compareRetries++
	a := n.compareFallback(now)
	if len(a.Compares) == 0 {
		a = n.compareLocal(now)
	}
	return a
}

// compareAll compares with every neighbour at once: after a process pause, while
// joining, and when the last revision came from a comparison and not down the push
// tree. In that case the tree missed this process and may have missed others.
func (n *Node) compareAll(now time.Time) Actions {
	neighbours := n.currentNeighbours()
	var a Actions
	for i := range neighbours.local {
		a.add(n.compareWith(now, &neighbours.local[i]))
	}
	for i := range neighbours.remote {
		a.add(n.compareWith(now, &neighbours.remote[i]))
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
		ConfirmedAge: age(now, n.lastConfirmation),
		Suspicions:   n.suspicions(),
	}
	if current != nil {
		c.Digest = current.head.digest
	}
	return Actions{Compares: []CompareTo{{To: *to, Compare: c}}}
}
