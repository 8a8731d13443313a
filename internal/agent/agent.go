// Package agent is the process in the slot of each endpoint instance. It is the
// only way to the endpoint: it brings verified weights into the engine's staging
// area, serves chunks to its peers, passes orders on, and admits or refuses each
// attempt. When it says "not run", the attempt did not run.
//
// # Usage
//
//	a := agent.New(n, engines.New(engineURL), agent.WithUploadRate(bytesPerSecond))
//	a.Register(mux)
//	done := a.Start(ctx)
//	<-a.Leave()   // graceful stop: waits for the attempts in progress
package agent

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"github.com/primrosetally/primrosetally/internal/coordination/limits"
	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/node"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
	"github.com/primrosetally/primrosetally/internal/transport/tcp"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Intervals and bounds of the agent.
const (
	probeInterval = 250 * time.Millisecond
	weightsRetry  = 500 * time.Millisecond
	engineTimeout = 2 * time.Second
	uploadBurst   = 1 << 20 // bytes
	minLimit      = 2       // attempts in flight
	initialLimit  = 16      // attempts in flight
	defaultLimit  = 64      // attempts in flight
	chunkMessage  = 256 << 10
	answerMessage = 32 << 10
)

// Agent stands before one endpoint. It is safe for concurrent use.
type Agent struct {
	node    *node.Node
	engine  *engines.Client
	gate    *serving.Controller
	uploads *rate.Limiter
	weights weights

	downloadRate   float64 // bytes a second, 0 for no bound
	regionLinkRate float64 // bytes a second

	limit    *limits.ConcurrencyLimiter
	suspects suspects.Isolation
	attempts attempts

	incarnation atomic.Uint64 // of the engine, 0 before the first probe
	fault       atomic.Pointer[string]
	orders      chan order
	changes     changes
}

// Option sets a property of an agent.
type Option func(*Agent)

// WithLimit bounds the attempts in flight.
func WithLimit(n int) Option {
	return func(a *Agent) { a.gate.SetLimit(n) }
}

// WithUploadRate bounds what the agent sends to its peers, in bytes a second.
func WithUploadRate(bytesPerSecond float64) Option {
	return func(a *Agent) {
		if bytesPerSecond > 0 {
			a.uploads.SetLimit(rate.Limit(bytesPerSecond))
		}
	}
}

// WithRegionLinkRate bounds what one rollout draws over each link into this
// process's region, in bytes a second. The configuration may set less.
func WithRegionLinkRate(bytesPerSecond float64) Option {
	return func(a *Agent) { a.regionLinkRate = bytesPerSecond }
}

// New returns the agent of the endpoint that engine reaches.
func New(n *node.Node, engine *engines.Client, options ...Option) *Agent {
	a := &Agent{
		node:    n,
		engine:  engine,
		gate:    serving.NewController(serving.WithLimit(defaultLimit)),
		limit:   limits.NewConcurrencyLimiter(limits.WithLimitBounds(minLimit, defaultLimit), limits.WithInitialLimit(initialLimit)),
		uploads: rate.NewLimiter(rate.Inf, uploadBurst),
		orders:  make(chan order),

		regionLinkRate: math.MaxFloat64,
	}
	a.weights.staged = make(map[digest.Digest]bool)
	a.changes.next = make(chan struct{})
	for _, o := range options {
		o(a)
	}
	return a
}

// Register adds the AgentService handler to mux.
func (a *Agent) Register(mux *http.ServeMux) {
	names := map[string]string{nodev1connect.AgentServiceAttemptProcedure: telemetry.SpanAgent}
	spans := connect.WithInterceptors(a.node.Telemetry().Tracing().NewInterceptor(names))
	path, service := nodev1connect.NewAgentServiceHandler(handler{agent: a}, spans, connect.WithReadMaxBytes(tcp.MaxMessage))
	mux.Handle(path, service)
}

// Start runs the background work until ctx ends; the returned channel is closed
// when all of it has ended.
func (a *Agent) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { a.probeLoop(ctx) })
	wg.Go(func() { a.weightsLoop(ctx) })
	wg.Go(func() { a.orderLoop(ctx) })
	wg.Go(func() { a.changeLoop(ctx) })
	wg.Go(func() { a.announceLoop(ctx) })
	go func() {
		defer close(done)
		wg.Wait()
	}()
	return done
}

// Leave stops admission for good. The returned channel is closed when no
// attempt is in flight any more.
func (a *Agent) Leave() <-chan struct{} { return a.gate.Shutdown() }

// Ready reports whether the agent admits attempts.
func (a *Agent) Ready() bool {
	p, _ := a.gate.Phase()
	return p == serving.PhaseServing
}

// probeLoop watches the endpoint's own state.
func (a *Agent) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		a.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe closes the gate when the endpoint restarted or serves something other
// than what the gate admits for, and opens it for plain services.
func (a *Agent) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	state, err := a.engine.State(ctx)
	if err != nil {
		a.gate.MarkDown()
		a.setFault("endpoint does not answer")
		return
	}
	restarted := a.incarnation.Swap(state.Incarnation()) != state.Incarnation()
	if restarted {
		a.weights.forget()
	}
	if s, ok := a.service(); ok {
		a.gate.SetLimit(s.MaxConcurrency())
	}
	if a.plain() {
		a.gate.ServeWithoutWeights()
		a.setFault("")
		return
	}
	phase, served := a.gate.Phase()
	if phase == serving.PhaseServing && (restarted || state.Serving() != served) {
		a.gate.MarkDown()
		a.setFault("endpoint does not serve what it was ordered to")
	}
}

// plain reports whether the configuration in force names the endpoint's service
// as one without weights.
func (a *Agent) plain() bool {
	s, ok := a.service()
	return ok && s.Kind() == configtext.KindPlain
}

func (a *Agent) setFault(text string) {
	a.fault.Store(&text)
}

func (a *Agent) faultText() string {
	if p := a.fault.Load(); p != nil {
		return *p
	}
	return ""
}
