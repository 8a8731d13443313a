// Package node is the part that every process of the system has in common: its
// view of the members, the configuration in force and the exchange of both with
// other processes.
//
// # Usage
//
//	n := node.New(self, platform, node.WithLogger(logger))
//	n.Register(mux)          // serves NodeService
//	done := n.Start(ctx)     // runs until ctx ends
//	s := n.Snapshot()        // nil until a configuration is known
package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/transport/members"
	"github.com/primrosetally/primrosetally/internal/transport/nodes"
	"github.com/primrosetally/primrosetally/internal/transport/objects"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
)

// Intervals of the background work.
const (
	membersInterval = time.Second
	pollInterval    = 500 * time.Millisecond
	compareInterval = time.Second
	callTimeout     = 2 * time.Second
)

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
	self     member.Member
	platform *Platform
	pool     *nodes.Pool
	logger   *slog.Logger
	holder   snapshot.Holder
	view     atomic.Pointer[[]member.Member]
	applied  chan struct{}
}

// Option sets a property of a node.
type Option func(*Node)

// WithLogger sets the logger; the default is slog.Default.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithPool sets the clients of the other processes.
func WithPool(p *nodes.Pool) Option {
	return func(n *Node) { n.pool = p }
}

// New returns the node of the process self.
func New(self member.Member, platform *Platform, options ...Option) *Node {
	n := &Node{
		self:     self,
		platform: platform,
		logger:   slog.Default(),
		applied:  make(chan struct{}, 1),
	}
	for _, o := range options {
		o(n)
	}
	if n.pool == nil {
		n.pool = nodes.NewPool()
	}
	n.view.Store(&[]member.Member{})
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

// Snapshot returns the configuration in force, or nil before the first.
func (n *Node) Snapshot() *snapshot.Snapshot { return n.holder.Load() }

// Revision returns the revision in force, 0 before the first.
func (n *Node) Revision() uint64 {
	s := n.holder.Load()
	if s == nil {
		return 0
	}
	return s.Revision()
}

// Members returns the current view. The caller must not change it.
func (n *Node) Members() []member.Member { return *n.view.Load() }

// Register adds the NodeService handler to mux.
func (n *Node) Register(mux *http.ServeMux) {
	path, service := nodev1connect.NewNodeServiceHandler(handler{node: n})
	mux.Handle(path, service)
}

// Start runs the background work until ctx ends; the returned channel is closed
// when all of it has ended.
func (n *Node) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() { every(ctx, membersInterval, n.refreshMembers) })
	wg.Go(func() { every(ctx, pollInterval, n.pollHead) })
	wg.Go(func() { every(ctx, compareInterval, n.compareNext) })
	go func() {
		defer close(done)
		wg.Wait()
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

func (n *Node) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := n.platform.members.List(ctx)
	if err != nil {
		n.logger.Debug("membership list not available", "error", err)
		return
	}
	n.view.Store(&list)
}
