// Package spread brings an accepted configuration in force on every process
// within seconds, and never an older one after a newer one.
//
// A Node is the decisions of one process. It does no I/O: each input returns the
// Actions that the caller must do, and the caller reports how they ended as
// further inputs. So the process, the tests and the measurement run the same code.
//
//   - The process that accepts a change pushes it at once down a tree which every
//     process derives from a hash over the revision and its view of the members.
//   - The first few processes of each failure domain poll the head in the table,
//     which finds what a killed process accepted and did not push.
//   - Every process compares its revision with a few fixed neighbours in turn,
//     which repairs what pushes missed.
//   - Only changed sections travel. A snapshot comes in force only if its revision
//     is greater and all its sections fit the digests in its head.
//
// A process that cannot confirm that its revision is the newest goes on with it:
// while the table is down nobody can accept a change, and in a cut-off region
// stopping would turn a lost link into lost requests. Confirmation says how old the
// last confirmation is. What must not rest on freshness (weights, fencing, claims)
// has guards of its own.
//
// # Usage
//
//	n := spread.New(self, tracker.View)
//	do := func(a spread.Actions) { ... }   // send, then report the answers
//	do(n.Tick(now))                        // every TickInterval
//	do(n.Accepted(now, snapshot))          // after the compare-and-set
//	revision, actions, err := n.PushReceived(now, from, push)
//	reply, actions := n.CompareReceived(now, from, compare)
//	if n.Ready(now) { use n.InForce() }
package spread

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

const (
	// TickInterval is how often the caller must call Tick.
	TickInterval = 100 * time.Millisecond
	// CallTimeout bounds every call that an action asks for; after it the caller
	// reports an error.
	CallTimeout = 300 * time.Millisecond
	// PollInterval is the time between two reads of the head by one poller.
	PollInterval = 2 * time.Second
	// CompareInterval is the time between two comparisons by one process.
	CompareInterval = 2500 * time.Millisecond
	// MinPushInterval is the shortest time between two revisions that one process
	// starts down the tree; a burst of changes travels as its last.
	MinPushInterval = 250 * time.Millisecond
	// PauseThreshold is the time without a Tick after which a process takes itself for
	// thawed and asks at once what it missed.
	PauseThreshold = 3 * time.Second
	// JoinTimeout is how long a new process without the table waits for more answers
	// before it takes work with the highest revision it heard.
	JoinTimeout = time.Second
	// JoinPollInterval is the mean time between two polls by a new process that is
	// no poller and has heard of no configuration.
	JoinPollInterval = 5 * time.Second
	// JoinCompareInterval is the time between two rounds of comparisons by a process
	// that has no configuration.
	JoinCompareInterval = 500 * time.Millisecond
	// MinJoinReplies is the number of neighbours' answers that make JoinWait needless.
	MinJoinReplies = 2
	// pushesAlone is the number of further pushes to a delegate that did not answer.
	pushesAlone = 3
	// compareRetries bounds the comparisons in a row made up for lost ones.
	compareRetries = 3
	// farRounds is the number of rounds of comparisons to one in which a poller asks
	// another failure domain.
	farRounds = 2
	// silentToAskElsewhere is the number of comparisons in a row without an answer
	// after which a process asks other failure domains too.
	silentToAskElsewhere = 2
	// turnSpread is the range from which the first turns are drawn.
	turnSpread = 1 << 16
)

// Node is the decisions of one process. Its methods may be called from any
// goroutine; InForce takes no lock.
type Node struct {
	self   member.Member
	view   func() *membership.View
	random func() float64

	suspicions func() []membership.Suspicion
	inForce    atomic.Pointer[Snapshot]

	mutex  sync.Mutex
	around *neighbourhood

	started  time.Time
	lastTick time.Time
	ready    bool

	nextPoll     time.Time
	joinPoll     time.Time
	tableAnswers int

	nextCompare  time.Time
	nearTurn     int
	farTurn      int
	retries      int
	silent       int
	peerAnswers  int
	confirmedAt  time.Time
	otherRegions time.Time

	// covered is the least depth that this process has answered for in the
	// revision in force; maxDepth when it forwarded nothing.
	covered uint32
	// base is the snapshot against which the changed sections are sent.
	base     *Snapshot
	rootDue  time.Time
	lastRoot time.Time
	pushes   map[string]*delegation
	wanted   *assembly
}

// delegation is a push in progress: the subtree and whom it was tried with.
type delegation struct {
	subtree  subtree
	revision uint64
	tried    map[string]bool
	// alone counts the pushes that were for the peer alone and not for a subtree.
	alone int
}

// Option changes a default of New.
type Option func(*Node)

// WithRandom replaces the source of jitter, which returns values in [0, 1).
func WithRandom(random func() float64) Option {
	return func(n *Node) { n.random = random }
}

// WithSnapshot starts the node with a configuration in force.
func WithSnapshot(s *Snapshot) Option {
	return func(n *Node) { n.inForce.Store(s) }
}

// WithSuspicions sets where comparisons take this process's suspicions from.
func WithSuspicions(suspicions func() []membership.Suspicion) Option {
	return func(n *Node) { n.suspicions = suspicions }
}

// New returns the node of self, which sees the members through view.
func New(self member.Member, view func() *membership.View, options ...Option) *Node {
	n := &Node{
		self:       self,
		view:       view,
		random:     rand.Float64,
		suspicions: func() []membership.Suspicion { return nil },
		covered:    maxDepth,
		pushes:     make(map[string]*delegation),
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// InForce returns the configuration in force, nil for none yet.
func (n *Node) InForce() *Snapshot { return n.inForce.Load() }

// Ready reports whether the process may take work: it has a configuration, and
// either the table or enough neighbours had the chance to name a newer one. Once
// ready it stays so.
func (n *Node) Ready(now time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.ready {
		n.ready = n.joined(now)
	}
	return n.ready
}

func (n *Node) joined(now time.Time) bool {
	if n.inForce.Load() == nil {
		return false
	}
	if n.wanted == nil && (n.tableAnswers > 0 || n.peerAnswers >= MinJoinReplies) {
		return true
	}
	return !n.started.IsZero() && now.Sub(n.started) >= JoinTimeout
}

// Tick starts what is due: polls, comparisons, and a revision held back by
// RootInterval.
func (n *Node) Tick(now time.Time) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var a Actions
	around := n.neighbourhood()
	switch {
	case n.started.IsZero():
		n.start(now)
	case now.Sub(n.lastTick) > PauseThreshold:
		n.thaw(now)
		a.add(n.compareAll(now))
	}
	n.lastTick = now
	a.Poll = n.pollDue(now, around.poller)
	if !now.Before(n.nextCompare) {
		a.add(n.compareDue(now))
	}
	if !n.rootDue.IsZero() && !now.Before(n.rootDue) {
		a.add(n.root(now))
	}
	return a
}

// ChangeAccepted takes a change that this process wrote to the table, and starts its
// push.
func (n *Node) ChangeAccepted(now time.Time, s *Snapshot) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.confirmedAt = now
	a, ok := n.apply(s)
	if ok {
		a.add(n.scheduleRoot(now))
	}
	return a
}

// PollCompleted takes the head that the table answered, or the error. A head that
// is newer is fetched from the table and pushed as if it were accepted here.
func (n *Node) PollCompleted(now time.Time, head Head, err error) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		return Actions{}
	}
	n.tableAnswers++
	current := n.inForce.Load()
	if head.revision <= current.revision() {
		n.confirmedAt = now
		return Actions{}
	}
	return n.adopt(now, &assembly{head: head, from: n.firstSource(current), root: true}, nil)
}

// firstSource returns whom to ask for the sections of a head from the table. A
// process that lacks them all asks a neighbour first, to spare the table.
func (n *Node) firstSource(current *Snapshot) *member.Member {
	around := n.neighbourhood()
	if current != nil || len(around.far) == 0 {
		return nil
	}
	return &around.far[n.farTurn%len(around.far)]
}

// start spreads the first polls and comparisons over their intervals. A process
// without a configuration asks at once.
func (n *Node) start(now time.Time) {
	n.started = now
	n.nearTurn = int(n.jitter(turnSpread))
	n.farTurn = int(n.jitter(turnSpread))
	n.joinPoll = now.Add(JoinTimeout + n.jitter(JoinPollInterval))
	if n.inForce.Load() == nil {
		n.nextPoll = now
		n.nextCompare = now
		return
	}
	n.nextPoll = now.Add(n.jitter(PollInterval))
	n.nextCompare = now.Add(n.jitter(CompareInterval))
}

// pollDue reports whether to poll now. A new process that is no poller leaves the
// table to those that are for JoinWait, and then polls seldom, so that a whole
// failure domain that starts at once does not load the table.
func (n *Node) pollDue(now time.Time, poller bool) bool {
	joining := n.inForce.Load() == nil && !now.Before(n.joinPoll)
	if now.Before(n.nextPoll) || !poller && !joining {
		return false
	}
	interval := PollInterval
	if !poller {
		interval = JoinPollInterval/2 + n.jitter(JoinPollInterval)
	}
	n.nextPoll = now.Add(interval)
	return true
}

// thaw forgets what was in progress before the process stood still.
func (n *Node) thaw(now time.Time) {
	n.nextPoll = now
	n.nextCompare = now.Add(n.jitter(CompareInterval))
	n.wanted = nil
	clear(n.pushes)
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.random() * float64(d))
}

// neighbourhood returns the one of the current view.
func (n *Node) neighbourhood() *neighbourhood {
	view := n.view()
	if n.around == nil || n.around.view != view {
		n.around = neighbourhoodOf(view, n.self)
	}
	return n.around
}
