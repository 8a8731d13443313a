// Package node is the part that every process of the system has in common: its
// view of the members, the configuration in force and the exchange of both with
// other processes. What is exchanged when is decided by the packages membership
// and spread; this package does the I/O that they ask for.
//
// # Usage
//
//	n := node.New(self, platform, node.WithLogger(logger))
//	n.Register(mux)          // serves NodeService
//	done := n.Start(ctx)     // runs until ctx ends
//	s := n.Snapshot()        // nil until a configuration is in force
package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/members"
	"github.com/primrosetally/primrosetally/internal/transport/nodes"
	"github.com/primrosetally/primrosetally/internal/transport/objects"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
	"github.com/primrosetally/primrosetally/internal/transport/tcp"
)

// Intervals of the background work.
const (
	// The membership list is read each memberShare for every member, within the
	// bounds: a small deployment sees changes soon, a large one spares its links.
	memberShare        = 10 * time.Millisecond
	minMembersInterval = 500 * time.Millisecond
	maxMembersInterval = 10 * time.Second
	expireInterval     = time.Second
	listTimeout        = 2 * time.Second
)

// maxCalls bounds the calls to other processes that are open at a time.
const maxCalls = 64

// Platform holds the clients of the platform's services.
type Platform struct {
	tables  *tables.Client
	objects *objects.Client
	origin  *objects.Client
	members *members.Client
}

// NewPlatform returns the clients for the services at the given base URLs.
func NewPlatform(tablesURL, objectsURL, originURL, membersURL string) *Platform {
	return &Platform{
		tables:  tables.New(tablesURL),
		objects: objects.New(objectsURL),
		origin:  objects.New(originURL),
		members: members.New(membersURL),
	}
}

// Tables returns the client of the table service.
func (p *Platform) Tables() *tables.Client { return p.tables }

// Objects returns the client of the object store.
func (p *Platform) Objects() *objects.Client { return p.objects }

// Origin returns the client of the origin of weights.
func (p *Platform) Origin() *objects.Client { return p.origin }

// Node is the common part of one process. It is safe for concurrent use.
type Node struct {
	self      member.Member
	platform  *Platform
	pool      *nodes.Pool
	logger    *slog.Logger
	telemetry *telemetry.Telemetry
	tracker   *membership.Tracker
	spread    *spread.Node
	holder    snapshot.Holder
	applied   chan struct{}
	slots     chan struct{}
	context   context.Context // of the calls; ends with Start's
	calls     sync.WaitGroup

	announced func(*nodev1.EndpointReport)

	callsMu sync.Mutex // guards stopped, so that no call starts during the last wait
	stopped bool
}

// OnAnnounce sets the function that takes the announcements of agents. It is
// called before Start.
func (n *Node) OnAnnounce(f func(*nodev1.EndpointReport)) { n.announced = f }

// Option sets a property of a node.
type Option func(*Node)

// WithLogger sets the logger; the default is slog.Default.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithTelemetry sets what the process shows of itself; the default exports no
// spans.
func WithTelemetry(t *telemetry.Telemetry) Option {
	return func(n *Node) { n.telemetry = t }
}

// WithPool sets the clients of the other processes.
func WithPool(p *nodes.Pool) Option {
	return func(n *Node) { n.pool = p }
}

// New returns the node of the process self.
func New(self member.Member, platform *Platform, options ...Option) *Node {
	n := &Node{
		self:      self,
		platform:  platform,
		logger:    slog.Default(),
		tracker:   membership.New(self),
		applied:   make(chan struct{}, 1),
		slots:     make(chan struct{}, maxCalls),
		context:   context.Background(),
		announced: func(*nodev1.EndpointReport) {},
	}
	for _, o := range options {
		o(n)
	}
	if n.telemetry == nil {
		n.telemetry = telemetry.New()
	}
	if n.pool == nil {
		carry := connect.WithInterceptors(n.telemetry.Tracing().NewInterceptor(nil))
		n.pool = nodes.NewPool(nodes.WithClientOptions(carry))
	}
	n.spread = spread.New(self, n.tracker.View, spread.WithSuspicions(n.tracker.Suspicions))
	return n
}

// Self returns the member that this process is.
func (n *Node) Self() member.Member { return n.self }

// Pool returns the clients of the other processes.
func (n *Node) Pool() *nodes.Pool { return n.pool }

// Platform returns the clients of the platform's services.
func (n *Node) Platform() *Platform { return n.platform }

// Logger returns the logger of the process.
func (n *Node) Logger() *slog.Logger { return n.logger }

// Telemetry returns what the process shows of itself.
func (n *Node) Telemetry() *telemetry.Telemetry { return n.telemetry }

// View returns what is known of the members; it takes no lock.
func (n *Node) View() *membership.View { return n.tracker.View() }

// Members returns the members that may be given new work or that are leaving. A
// peer that is neither on the platform's list nor answers is left out at once.
func (n *Node) Members() []member.Member {
	peers := n.View().Peers()
	list := make([]member.Member, 0, len(peers))
	for _, p := range peers {
		gone := !p.Listed() && p.Reachability() != membership.Reachable && p.Name() != n.self.Name()
		if p.Reachability() != membership.Unreachable && !gone {
			list = append(list, p.Member())
		}
	}
	return list
}

// Snapshot returns the configuration in force, or nil before the first. It takes
// no lock.
func (n *Node) Snapshot() *snapshot.Snapshot { return n.holder.Load() }

// Revision returns the revision in force, 0 before the first.
func (n *Node) Revision() uint64 {
	s := n.holder.Load()
	if s == nil {
		return 0
	}
	return s.Revision()
}

// Ready reports whether the process may take work: it has a configuration, and
// the table or its neighbours had the chance to name a newer one.
func (n *Node) Ready() bool {
	return n.holder.Load() != nil && n.spread.Ready(time.Now())
}

// Applied delivers a value after a configuration came into force.
func (n *Node) Applied() <-chan struct{} { return n.applied }

// Register adds the NodeService handler to mux.
func (n *Node) Register(mux *http.ServeMux) {
	path, service := nodev1connect.NewNodeServiceHandler(handler{node: n}, connect.WithReadMaxBytes(tcp.MaxMessage))
	mux.Handle(path, service)
}

// Start runs the background work until ctx ends; the returned channel is closed
// when all of it has ended. It is called once, before the handlers are served.
func (n *Node) Start(ctx context.Context) <-chan struct{} {
	n.context = ctx
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { n.membersLoop(ctx) })
	wg.Go(func() { every(ctx, expireInterval, func(context.Context) { n.tracker.Expire() }) })
	wg.Go(func() { every(ctx, spread.TickInterval, func(context.Context) { n.do(n.spread.Tick(time.Now())) }) })
	go func() {
		defer close(done)
		wg.Wait()
		n.callsMu.Lock()
		n.stopped = true
		n.callsMu.Unlock()
		n.calls.Wait()
	}()
	return done
}

// every calls work at once and then after each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// membersLoop reads the membership list until ctx ends.
func (n *Node) membersLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.refreshMembers(ctx)
		wait := time.Duration(n.View().Len()) * memberShare
		select {
		case <-ctx.Done():
		case <-time.After(min(max(wait, minMembersInterval), maxMembersInterval)):
		}
	}
}

func (n *Node) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := n.platform.members.List(ctx)
	if err != nil {
		telemetry.MembershipUnavailable.Log(ctx, n.logger, "error", err)
		return
	}
	n.tracker.ListReceived(list)
}

// From returns what identifies this process in its messages.
func (n *Node) From() *nodev1.Origin {
	return &nodev1.Origin{Name: n.self.Name(), Incarnation: n.self.Incarnation()}
}

// MessageReceived notes a message from another process.
func (n *Node) MessageReceived(from *nodev1.Origin) {
	n.tracker.MessageReceived(from.GetName(), from.GetIncarnation())
}
