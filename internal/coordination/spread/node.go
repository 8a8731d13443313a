// Package spread distributes an accepted configuration to every process within
// seconds. A process never replaces a newer configuration with an older one.
//
// A Node is the state machine of one process. It does no I/O: each input returns
// the Actions that the caller must carry out, and the caller reports their results
// as further inputs. The process, the tests and the measurement therefore run the
// same code.
//
//   - The process that accepts a change pushes it at once down a fan-out tree that
//     every process derives from a hash of the member names and the revision.
//   - The first few processes of each failure domain poll the head in the table.
//     This finds a change that a process accepted but did not push before it was
//     killed.
//   - Every process compares its revision with a few fixed neighbours in turn
//     (anti-entropy), which repairs missed pushes.
//   - Only changed sections are sent. A snapshot takes effect only if its revision
//     is greater than the current one and every section matches the digest in its
//     head.
//
// A process that cannot confirm that its revision is the newest keeps using it:
// while the table is down no change can be accepted, and in a partitioned region
// stopping would turn a network fault into failed requests. Confirmation returns
// the age of the last confirmation. Anything that must not depend on a fresh
// configuration (weights, fencing, claims) has its own protection.
//
// # Usage
//
//	n := spread.New(self, tracker.View)
//	do := func(a spread.Actions) { ... }   // send, then report the replies
//	do(n.Tick(now))                        // every TickInterval
//	do(n.ChangeAccepted(now, snapshot))    // after the compare-and-set
//	revision, actions := n.PushReceived(now, from, push)
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
	// CallTimeout bounds every call that an action requests; after it the caller
	// reports an error.
	CallTimeout = 300 * time.Millisecond
	// PollInterval is the time between two reads of the head by one poller.
	PollInterval = 2 * time.Second
	// CompareInterval is the time between two comparisons by one process.
	CompareInterval = 2500 * time.Millisecond
	// MinPushInterval is the shortest time between two pushes that one process starts
	// down the tree. Only the last revision of a burst of changes is pushed.
	MinPushInterval = 250 * time.Millisecond
	// PauseThreshold is the time between two Ticks above which a process concludes that
	// it was paused. It then polls and compares at once to catch up.
	PauseThreshold = 3 * time.Second
	// JoinTimeout is how long a new process that cannot reach the table waits for
	// further replies before it takes work with the highest revision it received.
	JoinTimeout = time.Second
	// JoinPollInterval is the mean time between two polls by a new process that is
	// not a poller and has received no configuration.
	JoinPollInterval = 5 * time.Second
	// JoinCompareInterval is the time between two rounds of comparisons by a process
	// that has no configuration.
	JoinCompareInterval = 500 * time.Millisecond
	// MinJoinReplies is the number of replies from neighbours after which a new process
	// does not wait for JoinTimeout.
	MinJoinReplies = 2
	// maxDirectRetries is the number of further pushes to a delegate that did not
	// reply.
	maxDirectRetries = 3
	// maxCompareRetries bounds the consecutive retries of failed comparisons.
	maxCompareRetries = 3
	// roundsPerRemoteCompare is the number of comparison rounds per comparison of a
	// poller with another failure domain.
	roundsPerRemoteCompare = 2
	// failuresBeforeFallback is the number of consecutive failed comparisons after
	// which a process also compares with other failure domains.
	failuresBeforeFallback = 2
	// startIndexRange is the range from which the first neighbour indexes are drawn.
	startIndexRange = 1 << 16
)

// Node is the state machine of one process. Its methods may be called from any
// goroutine; InForce takes no lock.
type Node struct {
	self   member.Member
	view   func() *membership.View
	random func() float64

	suspicions func() []membership.Suspicion
	inForce    atomic.Pointer[Snapshot]

	mutex      sync.Mutex
	neighbours *neighbourSet

	started  time.Time
	lastTick time.Time
	ready    bool

	nextPoll     time.Time
	joinPoll     time.Time
	tableReplies int

	nextCompare        time.Time
	localIndex         int
	remoteIndex        int
	compareRetries     int
	compareFailures    int
	peerReplies        int
	lastConfirmation   time.Time
	otherRegionContact time.Time

	// forwardedDepth is the least depth from which this process has forwarded the
	// revision in force; maxDepth when it has forwarded nothing.
	forwardedDepth uint32
	// base is the snapshot relative to which the changed sections are pushed.
	base     *Snapshot
	nextPush time.Time
	lastPush time.Time
	pushes   map[string]*delegation
	incoming *incomingSnapshot
}

// delegation is a push in progress: the subtree and the delegates already tried.
type delegation struct {
	subtree  subtree
	revision uint64
	tried    map[string]bool
	// directRetries counts the pushes addressed to the peer only, without a subtree.
	directRetries int
}

// Option changes a default of New.
type Option func(*Node)

// WithRandom replaces the source of jitter, which must return values in [0, 1).
func WithRandom(random func() float64) Option {
	return func(n *Node) { n.random = random }
}

// WithSnapshot sets the configuration that is in force at the start.
func WithSnapshot(s *Snapshot) Option {
	return func(n *Node) { n.inForce.Store(s) }
}

// WithSuspicions sets the source of this process's suspicions, which comparisons
// carry to the neighbours.
func WithSuspicions(suspicions func() []membership.Suspicion) Option {
	return func(n *Node) { n.suspicions = suspicions }
}

// New returns the node of self. The view function returns the current members.
func New(self member.Member, view func() *membership.View, options ...Option) *Node {
	n := &Node{
		self:           self,
		view:           view,
		random:         rand.Float64,
		suspicions:     func() []membership.Suspicion { return nil },
		forwardedDepth: maxDepth,
		pushes:         make(map[string]*delegation),
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// InForce returns the configuration in force, or nil before the first.
func (n *Node) InForce() *Snapshot { return n.inForce.Load() }

// Ready reports whether the process may take work. It must have a configuration. Then
// it is ready when the table or MinJoinReplies neighbours have replied and no newer
// revision is being assembled, or when JoinTimeout has passed since the first Tick.
// Once ready, a process stays ready.
func (n *Node) Ready(now time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.ready {
		n.ready = n.joinComplete(now)
	}
	return n.ready
}

func (n *Node) joinComplete(now time.Time) bool {
	if n.inForce.Load() == nil {
		return false
	}
	if n.incoming == nil && (n.tableReplies > 0 || n.peerReplies >= MinJoinReplies) {
		return true
	}
	return !n.started.IsZero() && now.Sub(n.started) >= JoinTimeout
}

// Tick starts the polls, comparisons and pushes that are due, including a push
// that was delayed by MinPushInterval. The caller must call it every TickInterval.
func (n *Node) Tick(now time.Time) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var a Actions
	neighbours := n.currentNeighbours()
	switch {
	case n.started.IsZero():
		n.start(now)
	case now.Sub(n.lastTick) > PauseThreshold:
		n.resume(now)
		a.add(n.compareAll(now))
	}
	n.lastTick = now
	a.Poll = n.pollDue(now, neighbours.poller)
	if !now.Before(n.nextCompare) {
		a.add(n.startCompareRound(now))
	}
	if !n.nextPush.IsZero() && !now.Before(n.nextPush) {
		a.add(n.startPush(now))
	}
	return a
}

// ChangeAccepted applies a change that this process wrote to the table and starts its
// push.
func (n *Node) ChangeAccepted(now time.Time, s *Snapshot) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lastConfirmation = now
	a, ok := n.apply(s)
	if ok {
		a.add(n.schedulePush(now))
	}
	return a
}

// PollCompleted handles the head read from the table, or the error. A newer head is
// fetched and then pushed as if this process had accepted it.
func (n *Node) PollCompleted(now time.Time, head Head, err error) Actions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		return Actions{}
	}
	n.tableReplies++
	current := n.inForce.Load()
	if head.revision <= current.revision() {
		n.lastConfirmation = now
		return Actions{}
	}
	return n.assemble(now, &incomingSnapshot{head: head, source: n.initialSource(current), fromTable: true}, nil)
}

// initialSource returns the first source for the sections of a head that was read
// from the table; nil is the table. A process without a configuration lacks all
// sections and requests them from a remote neighbour first, to reduce the load on the
// table.
func (n *Node) initialSource(current *Snapshot) *member.Member {
	neighbours := n.currentNeighbours()
	if current != nil || len(neighbours.remote) == 0 {
		return nil
	}
	return &neighbours.remote[n.remoteIndex%len(neighbours.remote)]
}

// start schedules the first poll and comparison at random times within their
// intervals. A process without a configuration starts both at once.
func (n *Node) start(now time.Time) {
	n.started = now
	n.localIndex = int(n.jitter(startIndexRange))
	n.remoteIndex = int(n.jitter(startIndexRange))
	n.joinPoll = now.Add(JoinTimeout + n.jitter(JoinPollInterval))
	if n.inForce.Load() == nil {
		n.nextPoll = now
		n.nextCompare = now
		return
	}
	n.nextPoll = now.Add(n.jitter(PollInterval))
	n.nextCompare = now.Add(n.jitter(CompareInterval))
}

// pollDue reports whether to poll now, and schedules the next poll. A new process
// that is not a poller waits at least JoinTimeout and then polls at JoinPollInterval,
// so that a whole failure domain that starts at once does not overload the table.
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

// resume drops the calls that were in progress before a process pause and makes a
// poll due at once.
func (n *Node) resume(now time.Time) {
	n.nextPoll = now
	n.nextCompare = now.Add(n.jitter(CompareInterval))
	n.incoming = nil
	clear(n.pushes)
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.random() * float64(d))
}

// currentNeighbours returns the neighbours derived from the current view.
func (n *Node) currentNeighbours() *neighbourSet {
	view := n.view()
	if n.neighbours == nil || n.neighbours.view != view {
		n.neighbours = newNeighbourSet(view, n.self)
	}
	return n.neighbours
}
