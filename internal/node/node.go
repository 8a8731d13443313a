// Package node implements the part that every process of the system shares: the
// membership view, the configuration in force and the exchange of both with other
// processes. The packages membership and spread decide what is exchanged and when;
// this package performs the I/O that they request.
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
	// The interval between reads of the membership list is intervalPerMember times the
	// number of members, within the bounds: a small deployment sees changes soon, and a
	// large one limits its network traffic.
	intervalPerMember  = 10 * time.Millisecond
	minMembersInterval = 500 * time.Millisecond
	maxMembersInterval = 10 * time.Second
	expireInterval     = time.Second
	listTimeout        = 2 * time.Second
)

// maxConcurrentCalls limits the concurrent calls to other processes.
const maxConcurrentCalls = 64

// Platform contains the clients of the platform's services.
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

// Origin returns the client of the origin, the store that weights are downloaded from.
func (p *Platform) Origin() *objects.Client { return p.origin }

// Node is the part of a process that all roles share. It is safe for concurrent use.
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
	callSlots chan struct{}
	context   context.Context // parent of the contexts of calls; the context passed to Start
	calls     sync.WaitGroup

	announced func(*nodev1.EndpointReport)

	callsMu sync.Mutex // guards stopped, so that no call starts during the final calls.Wait
	stopped bool
}

// OnAnnounce sets the function that receives the announcements of agents. It must be
// called before Start.
func (n *Node) OnAnnounce(f func(*nodev1.EndpointReport)) { n.announced = f }

// Option sets a property of a node.
type Option func(*Node)

// WithLogger sets the logger; the default is slog.Default.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithTelemetry sets the metrics and tracing of the process; the default exports no
// spans.
func WithTelemetry(t *telemetry.Telemetry) Option {
	return func(n *Node) { n.telemetry = t }
}

// WithPool sets the pool of clients for other processes.
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
		callSlots: make(chan struct{}, maxConcurrentCalls),
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
		tracing := connect.WithInterceptors(n.telemetry.Tracing().NewInterceptor(nil))
		n.pool = nodes.NewPool(nodes.WithClientOptions(tracing))
	}
	n.spread = spread.New(self, n.tracker.View, spread.WithSuspicions(n.tracker.Suspicions))
	return n
}

// Self returns the member that represents this process.
func (n *Node) Self() member.Member { return n.self }

// Pool returns the pool of clients for other processes.
func (n *Node) Pool() *nodes.Pool { return n.pool }

// Platform returns the clients of the platform's services.
func (n *Node) Platform() *Platform { return n.platform }

// Logger returns the logger of the process.
func (n *Node) Logger() *slog.Logger { return n.logger }

// Telemetry returns the metrics and tracing of the process.
func (n *Node) Telemetry() *telemetry.Telemetry { return n.telemetry }

// View returns the current membership view. It takes no lock.
func (n *Node) View() *membership.View { return n.tracker.View() }

// Members returns the members that are reachable or only suspected, including members
// that are draining. A peer that is not on the platform's list is omitted as soon as it
// is not reachable.
func (n *Node) Members() []member.Member {
	peers := n.View().Peers()
	list := make([]member.Member, 0, len(peers))
	for _, p := range peers {
		removed := !p.Listed() && p.Reachability() != membership.Reachable && p.Name() != n.self.Name()
		if p.Reachability() != membership.Unreachable && !removed {
			list = append(list, p.Member())
		}
	}
	return list
}

// Snapshot returns the configuration in force, or nil if none has been applied. It
// takes no lock.
func (n *Node) Snapshot() *snapshot.Snapshot { return n.holder.Load() }

// Revision returns the revision in force, or 0 if no configuration has been applied.
func (n *Node) Revision() uint64 {
	s := n.holder.Load()
	if s == nil {
		return 0
	}
	return s.Revision()
}

// Ready reports whether the process may accept work: it has a configuration, and the
// table or its peers have had the chance to report a newer one.
func (n *Node) Ready() bool {
	return n.holder.Load() != nil && n.spread.Ready(time.Now())
}

// Applied returns a channel that receives a value after a configuration takes effect.
// Changes in quick succession may be reported by one value.
func (n *Node) Applied() <-chan struct{} { return n.applied }

// Register adds the NodeService handler to mux.
func (n *Node) Register(mux *http.ServeMux) {
	path, service := nodev1connect.NewNodeServiceHandler(handler{node: n}, connect.WithReadMaxBytes(tcp.MaxMessage))
	mux.Handle(path, service)
}

// Start runs the background work until ctx is done; the returned channel is closed
// after all of it has stopped. Start must be called once, before the handlers are served.
func (n *Node) Start(ctx context.Context) <-chan struct{} {
	n.context = ctx
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { n.membersLoop(ctx) })
	wg.Go(func() { runEvery(ctx, expireInterval, func(context.Context) { n.tracker.Expire() }) })
	wg.Go(func() {
		runEvery(ctx, spread.TickInterval, func(context.Context) { n.execute(n.spread.Tick(time.Now())) })
	})
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

// runEvery calls work immediately and then once per interval until ctx is done.
func runEvery(ctx context.Context, interval time.Duration, work func(context.Context)) {
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

// membersLoop reads the membership list periodically until ctx is done.
func (n *Node) membersLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.refreshMembers(ctx)
		wait := time.Duration(n.View().Len()) * intervalPerMember
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

// From returns the origin that identifies this process in its messages.
func (n *Node) From() *nodev1.Origin {
	return &nodev1.Origin{Name: n.self.Name(), Incarnation: n.self.Incarnation()}
}

// MessageReceived records that another process sent a message, which shows that it is
// reachable.
func (n *Node) MessageReceived(from *nodev1.Origin) {
	n.tracker.MessageReceived(from.GetName(), from.GetIncarnation())
}
