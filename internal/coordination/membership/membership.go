// Package membership merges the platform's list of instances, which may be stale,
// with what this process and its peers observe directly.
//
// Only the platform's list removes members: it may be stale, but a slow network link
// does not make it wrong. Direct observations change what a member is used for:
//
//   - A failed call lowers only this process's own preference for the peer. A single
//     slow link therefore never removes a member.
//   - Suspicions from several observers in more than one failure domain make a peer
//     unreachable: it gets no new work but remains a member.
//   - Any message from the peer itself clears all suspicions of it.
//   - A peer that announces that it is leaving gets no new work from then on, whatever
//     the list says, and remains a member for the work in progress. Only a higher
//     incarnation (a restarted process) can be live again, also after the member was
//     removed.
//   - A peer that sends a message with a higher incarnation than the listed one
//     replaces the listed one. A peer that is no longer listed remains a member until
//     it has sent no message for UnlistedGracePeriod.
//
// Readers load the current View from an atomic pointer and take no lock.
//
// # Usage
//
//	t := membership.New(self, membership.WithClock(time.Now))
//	t.ListReceived(list)                  // for each list from the platform
//	t.MessageReceived("agent-7", 3)       // for each message from a peer
//	t.CallFailed("agent-7")               // for each call without a reply
//	t.SuspicionsReceived("entry-2", ss)   // for each peer's suspicions
//	for _, p := range t.View().Peers() { ... }
package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
)

const (
	// UnlistedGracePeriod is how long a peer that is no longer listed remains a member
	// after its last message.
	UnlistedGracePeriod = 30 * time.Second
	// SuspicionTTL is how long a suspicion from another observer is valid.
	SuspicionTTL = 10 * time.Second
	// FailuresToSuspect is the number of consecutive calls without a reply after
	// which this process suspects a peer.
	FailuresToSuspect = 3
	// ObserversToExclude is the number of observers that must suspect a peer for it
	// to be unreachable.
	ObserversToExclude = 3
	// DomainsToExclude is the least number of failure domains that these observers
	// must be in.
	DomainsToExclude = 2
	// MaxSuspicions is the greatest number of suspicions in one message.
	MaxSuspicions = 8
)

// Suspicion identifies an incarnation of a peer that its observer cannot reach.
type Suspicion struct {
	Name        string
	Incarnation uint64
}

// Tracker collects lists and observations and publishes views. Its methods may be
// called from any goroutine.
type Tracker struct {
	self  string
	clock func() time.Time
	view  atomic.Pointer[View]

	mutex   sync.Mutex
	version uint64
	peers   map[string]*peerState
	left    *departures
}

// peerState is the list entry, the observations and the suspicions of one peer.
type peerState struct {
	member      member.Member
	listed      bool
	lastContact time.Time
	failures    int
	suspicions  map[string]observedSuspicion
}

// observedSuspicion is one observer's suspicion of one incarnation of a peer.
type observedSuspicion struct {
	incarnation uint64
	domain      string
	receivedAt  time.Time
}

// Option changes a default of New.
type Option func(*Tracker)

// WithClock replaces the monotonic clock.
func WithClock(clock func() time.Time) Option {
	return func(t *Tracker) { t.clock = clock }
}

// New returns a tracker whose view contains only self.
func New(self member.Member, options ...Option) *Tracker {
	t := &Tracker{
		self:  self.Name(),
		clock: time.Now,
		peers: make(map[string]*peerState),
		left:  newDepartures(),
	}
	for _, o := range options {
		o(t)
	}
	t.peers[self.Name()] = &peerState{member: self, suspicions: make(map[string]observedSuspicion)}
	t.publish()
	return t
}

// View returns the current view; it never blocks.
func (t *Tracker) View() *View { return t.view.Load() }

// ListReceived merges the platform's list. Members that are not on it are removed
// unless they sent a message within UnlistedGracePeriod. A list without changes leaves
// the view as it is.
func (t *Tracker) ListReceived(list []member.Member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed := false
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.Name()] = true
		changed = t.merge(m) || changed
	}
	for name, e := range t.peers {
		changed = changed || e.listed != listed[name]
		e.listed = listed[name]
	}
	if changed {
		t.publish()
	}
}

// MemberReceived merges a peer's own description of itself: its region and failure
// domain, its address, and whether it is leaving. A peer that is not listed becomes a
// member for at least UnlistedGracePeriod.
func (t *Tracker) MemberReceived(m member.Member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.merge(m)
	t.recordContact(t.peers[m.Name()], m.Incarnation())
	t.publish()
}

// MessageReceived records a message from a peer, which clears all suspicions of that
// incarnation. A message from an earlier incarnation is ignored.
func (t *Tracker) MessageReceived(name string, incarnation uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.peers[name]
	if e == nil || incarnation < e.member.Incarnation() {
		return
	}
	if t.recordContact(e, incarnation) {
		t.publish()
	}
}

// CallFailed records a call to a peer that got no reply.
func (t *Tracker) CallFailed(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.peers[name]
	if e == nil || name == t.self {
		return
	}
	e.failures++
	if e.failures != FailuresToSuspect {
		return
	}
	t.recordSuspicion(t.self, Suspicion{Name: name, Incarnation: e.member.Incarnation()})
	t.publish()
}

// SuspicionsReceived records the suspicions that an observer sent, at most
// MaxSuspicions of them. Suspicions from an observer that is not a member are ignored.
func (t *Tracker) SuspicionsReceived(observer string, suspicions []Suspicion) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed := false
	for _, s := range suspicions[:min(len(suspicions), MaxSuspicions)] {
		changed = t.recordSuspicion(observer, s) || changed
	}
	if changed {
		t.publish()
	}
}

// Suspicions returns this process's own suspicions, at most MaxSuspicions, to be
// sent in its messages to peers.
func (t *Tracker) Suspicions() []Suspicion {
	var own []Suspicion
	for _, p := range t.View().Peers() {
		if p.reachability != Reachable && p.ownSuspicion && len(own) < MaxSuspicions {
			own = append(own, Suspicion{Name: p.member.Name(), Incarnation: p.member.Incarnation()})
		}
	}
	return own
}

// Expire removes suspicions of other observers older than SuspicionTTL and unlisted
// members whose UnlistedGracePeriod has passed. The caller must call it about once a
// second.
func (t *Tracker) Expire() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.clock()
	changed := false
	for name, e := range t.peers {
		for observer, o := range e.suspicions {
			if observer != t.self && now.Sub(o.receivedAt) > SuspicionTTL {
				delete(e.suspicions, observer)
				changed = true
			}
		}
		if name != t.self && !e.listed && now.Sub(e.lastContact) > UnlistedGracePeriod {
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// merge records m unless a higher incarnation is recorded, and reports whether the
// view changes. Within one incarnation the leaving state is final.
func (t *Tracker) merge(m member.Member) bool {
	m = t.left.apply(m)
	e := t.peers[m.Name()]
	if e == nil {
		t.peers[m.Name()] = &peerState{member: m, suspicions: make(map[string]observedSuspicion)}
		return true
	}
	current := e.member
	if m.Incarnation() < current.Incarnation() {
		return false
	}
	if m.Incarnation() > current.Incarnation() {
		e.failures = 0
		clear(e.suspicions)
	} else if current.State() == member.StateLeaving {
		m = m.With(member.WithState(member.StateLeaving))
	}
	e.member = m
	return m != current
}

// recordContact records a message from a peer, clears the suspicions of it, and
// reports whether the view changes.
func (t *Tracker) recordContact(e *peerState, incarnation uint64) bool {
	if incarnation < e.member.Incarnation() {
		return false
	}
	e.lastContact = t.clock()
	changed := len(e.suspicions) > 0
	e.failures = 0
	clear(e.suspicions)
	if incarnation > e.member.Incarnation() {
		e.member = t.left.apply(e.member.With(member.WithIncarnation(incarnation), member.WithState(member.StateLive)))
		changed = true
	}
	return changed
}

// recordSuspicion records one suspicion and reports whether the view changes. It
// ignores a suspicion of another incarnation, and one from another observer of a
// peer that sent this process a message within SuspicionTTL.
func (t *Tracker) recordSuspicion(observer string, s Suspicion) bool {
	e := t.peers[s.Name]
	observerState := t.peers[observer]
	if e == nil || observerState == nil || s.Name == t.self || s.Incarnation != e.member.Incarnation() {
		return false
	}
	now := t.clock()
	contactedRecently := !e.lastContact.IsZero() && now.Sub(e.lastContact) < SuspicionTTL
	if observer != t.self && contactedRecently {
		return false
	}
	_, alreadyRecorded := e.suspicions[observer]
	e.suspicions[observer] = observedSuspicion{incarnation: s.Incarnation, domain: observerState.member.FailureDomain(), receivedAt: now}
	return !alreadyRecorded
}

// publish replaces the view. The caller must hold the mutex.
func (t *Tracker) publish() {
	now := t.clock()
	t.version++
	peers := make([]Peer, 0, len(t.peers))
	for name, e := range t.peers {
		if name != t.self && !e.listed && now.Sub(e.lastContact) > UnlistedGracePeriod {
			delete(t.peers, name)
			t.left.add(e.member)
			continue
		}
		peers = append(peers, newPeer(e, t.self))
	}
	t.view.Store(newView(t.version, peers))
}

func (e *peerState) reachability() Reachability {
	if len(e.suspicions) == 0 {
		return Reachable
	}
	domains := make(map[string]bool)
	for _, o := range e.suspicions {
		domains[o.domain] = true
	}
	if len(e.suspicions) >= ObserversToExclude && len(domains) >= DomainsToExclude {
		return Unreachable
	}
	return Suspected
}
