// Package membership merges the platform's lagging list of instances with what
// this process and its peers see first-hand.
//
// The platform's list alone adds and removes members, since it lags but is not
// mistaken by a slow link. First-hand evidence changes what a member is used
// for:
//
//   - A failed call lowers this process's own preference for the peer and nothing
//     else. One slow link therefore never removes anybody.
//   - Suspicions of several observers in more than one failure domain make a peer
//     unreachable: it gets no new work, and it stays a member.
//   - Any message from the peer itself clears all suspicion.
//   - A peer that says it is leaving gets no new work at once, whatever the list
//     says, and is kept for what is in progress. Only a higher incarnation, a
//     restarted process, may be live again.
//   - A peer that speaks with a higher incarnation than the list's replaces the
//     listed one. A peer that vanishes from the list and still speaks is kept for
//     ListGrace.
//
// Readers take the current View from an atomic pointer and never lock.
//
// # Usage
//
//	t := membership.New(self, membership.WithClock(time.Now))
//	t.ListReceived(list)                  // for each answer of the platform
//	t.Heard("agent-7", 3)                 // for each message of a peer
//	t.Failed("agent-7")                   // for each call without an answer
//	t.Suspected("entry-2", suspicions)    // for each peer's suspicions
//	for _, p := range t.View().Peers() { ... }
package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
)

const (
	// UnlistedGracePeriod is how long a peer that left the list is kept after it last spoke.
	UnlistedGracePeriod = 30 * time.Second
	// SuspicionTTL is how long one observer's suspicion counts.
	SuspicionTTL = 10 * time.Second
	// FailuresToSuspect is the number of calls in a row without an answer after
	// which this process suspects a peer.
	FailuresToSuspect = 3
	// ObserversToExclude is the number of observers that must suspect a peer before
	// it is unreachable.
	ObserversToExclude = 3
	// DomainsToExclude is the number of failure domains those observers must be in.
	DomainsToExclude = 2
	// MaxSuspicions bounds the suspicions that one message carries.
	MaxSuspicions = 8
)

// Suspicion names one start of a peer that its observer cannot reach.
type Suspicion struct {
	Name        string
	Incarnation uint64
}

// Tracker collects the evidence and publishes views. Its methods may be called
// from any goroutine.
type Tracker struct {
	self  string
	clock func() time.Time
	view  atomic.Pointer[View]

	mutex  sync.Mutex
	number uint64
	peers  map[string]*evidence
}

// evidence is everything known of one peer.
type evidence struct {
	member    member.Member
	listed    bool
	heardAt   time.Time
	failures  int
	observers map[string]observation
}

// observation is one observer's suspicion of one start of a peer.
type observation struct {
	incarnation uint64
	domain      string
	at          time.Time
}

// Option changes a default of New.
type Option func(*Tracker)

// WithClock replaces the monotonic clock.
func WithClock(clock func() time.Time) Option {
	return func(t *Tracker) { t.clock = clock }
}

// New returns a tracker whose view holds only self.
func New(self member.Member, options ...Option) *Tracker {
	t := &Tracker{
		self:  self.Name(),
		clock: time.Now,
		peers: make(map[string]*evidence),
	}
	for _, o := range options {
		o(t)
	}
	t.peers[self.Name()] = &evidence{member: self, observers: make(map[string]observation)}
	t.publish()
	return t
}

// View returns the current view; it never blocks.
func (t *Tracker) View() *View { return t.view.Load() }

// ListReceived takes the platform's list. Members that are missing from it are
// dropped unless they spoke within ListGrace. A list that says nothing new leaves
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

// MemberReceived takes what a peer says of itself: its place, its address, that it
// is leaving.
func (t *Tracker) MemberReceived(m member.Member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.merge(m)
	t.heard(t.peers[m.Name()], m.Incarnation())
	t.publish()
}

// MessageReceived notes a message from a peer. It clears all suspicion of that start.
func (t *Tracker) MessageReceived(name string, incarnation uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.peers[name]
	if e == nil || incarnation < e.member.Incarnation() {
		return
	}
	if t.heard(e, incarnation) {
		t.publish()
	}
}

// CallFailed notes a call to a peer that got no answer.
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
	t.observe(t.self, Suspicion{Name: name, Incarnation: e.member.Incarnation()})
	t.publish()
}

// SuspicionsReceived takes the suspicions that an observer sent. An observer that is not
// a member counts for nothing.
func (t *Tracker) SuspicionsReceived(observer string, suspicions []Suspicion) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed := false
	for _, s := range suspicions[:min(len(suspicions), MaxSuspicions)] {
		changed = t.observe(observer, s) || changed
	}
	if changed {
		t.publish()
	}
}

// Suspicions returns this process's own suspicions, at most MaxSuspicions, for
// its messages to peers.
func (t *Tracker) Suspicions() []Suspicion {
	var own []Suspicion
	for _, p := range t.View().Peers() {
		if p.reach != Reachable && p.ownSuspicion && len(own) < MaxSuspicions {
			own = append(own, Suspicion{Name: p.member.Name(), Incarnation: p.member.Incarnation()})
		}
	}
	return own
}

// Expire drops what has outlived its time; call it about once a second.
func (t *Tracker) Expire() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.clock()
	changed := false
	for name, e := range t.peers {
		for observer, o := range e.observers {
			if observer != t.self && now.Sub(o.at) > SuspicionTTL {
				delete(e.observers, observer)
				changed = true
			}
		}
		if name != t.self && !e.listed && now.Sub(e.heardAt) > UnlistedGracePeriod {
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// merge takes m unless something newer is known, and reports whether the view
// changes. Within one incarnation "leaving" is final.
func (t *Tracker) merge(m member.Member) bool {
	e := t.peers[m.Name()]
	if e == nil {
		t.peers[m.Name()] = &evidence{member: m, observers: make(map[string]observation)}
		return true
	}
	known := e.member
	if m.Incarnation() < known.Incarnation() {
		return false
	}
	if m.Incarnation() > known.Incarnation() {
		e.failures = 0
		clear(e.observers)
	} else if known.State() == member.StateLeaving {
		m = m.With(member.WithState(member.StateLeaving))
	}
	e.member = m
	return m != known
}

// heard clears suspicion and reports whether the view changes.
func (t *Tracker) heard(e *evidence, incarnation uint64) bool {
	if incarnation < e.member.Incarnation() {
		return false
	}
	e.heardAt = t.clock()
	changed := len(e.observers) > 0
	e.failures = 0
	clear(e.observers)
	if incarnation > e.member.Incarnation() {
		e.member = e.member.With(member.WithIncarnation(incarnation), member.WithState(member.StateLive))
		changed = true
	}
	return changed
}

// observe notes one suspicion and reports whether the view changes. A suspicion
// of an earlier start, or of a peer that spoke to this process within
// SuspicionLife, is dropped.
func (t *Tracker) observe(observer string, s Suspicion) bool {
	e := t.peers[s.Name]
	by := t.peers[observer]
	if e == nil || by == nil || s.Name == t.self || s.Incarnation != e.member.Incarnation() {
		return false
	}
	now := t.clock()
	heardLately := !e.heardAt.IsZero() && now.Sub(e.heardAt) < SuspicionTTL
	if observer != t.self && heardLately {
		return false
	}
	_, known := e.observers[observer]
	e.observers[observer] = observation{incarnation: s.Incarnation, domain: by.member.FailureDomain(), at: now}
	return !known
}

// publish replaces the view; the caller holds the mutex.
func (t *Tracker) publish() {
	now := t.clock()
	t.number++
	peers := make([]Peer, 0, len(t.peers))
	for name, e := range t.peers {
		if name != t.self && !e.listed && now.Sub(e.heardAt) > UnlistedGracePeriod {
			delete(t.peers, name)
			continue
		}
		peers = append(peers, newPeer(e, t.self))
	}
	t.view.Store(newView(t.number, peers))
}

func (e *evidence) reach() Reachability {
	if len(e.observers) == 0 {
		return Reachable
	}
	domains := make(map[string]bool)
	for _, o := range e.observers {
		domains[o.domain] = true
	}
	if len(e.observers) >= ObserversToExclude && len(domains) >= DomainsToExclude {
		return Unreachable
	}
	return Suspected
}
