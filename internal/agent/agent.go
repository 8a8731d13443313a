// Package agent implements the process that runs beside each endpoint instance. All
// access to the endpoint goes through the agent: it downloads and verifies weights into
// the engine's staging area, serves chunks to its peers, forwards orders to the engine,
// and admits or refuses each attempt. A response of "not run" guarantees that the
// endpoint did not run the attempt.
//
// # Usage
//
//	a := agent.New(n, engines.New(engineURL), agent.WithUploadRate(bytesPerSecond))
//	a.Register(mux)
//	done := a.Start(ctx)
//	<-a.Leave()   // graceful shutdown: waits for the attempts in progress
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
	probeInterval        = 250 * time.Millisecond
	weightsRetryInterval = 500 * time.Millisecond
	engineTimeout        = 2 * time.Second
	uploadBurstBytes     = 1 << 20 // bytes
	minLimit             = 2       // attempts in flight
	initialLimit         = 16      // attempts in flight
	defaultLimit         = 64      // attempts in flight
	chunkMessageBytes    = 256 << 10
	responseMessageBytes = 32 << 10
)

// Agent controls access to one endpoint. It is safe for concurrent use.
type Agent struct {
	node       *node.Node
	engine     *engines.Client
	controller *serving.Controller
	uploads    *rate.Limiter
	weights    weights

	downloadRate   float64 // bytes per second, 0 for no limit
	regionLinkRate float64 // bytes per second

	limiter  *limits.ConcurrencyLimiter
	suspects suspects.Isolation
	attempts attemptHistory

	incarnation atomic.Uint64 // incarnation of the engine, 0 before the first probe
	fault       atomic.Pointer[string]
	orders      chan order
	changes     changeCounter
}

// Option configures an Agent.
type Option func(*Agent)

// WithLimit limits the number of attempts in flight.
func WithLimit(n int) Option {
	return func(a *Agent) { a.controller.SetLimit(n) }
}

// WithUploadRate limits the rate at which the agent sends chunks to its peers, in bytes
// per second. A rate that is not positive is ignored.
func WithUploadRate(bytesPerSecond float64) Option {
	return func(a *Agent) {
		if bytesPerSecond > 0 {
			a.uploads.SetLimit(rate.Limit(bytesPerSecond))
		}
	}
}

// WithRegionLinkRate limits the download rate of one rollout over each link into this
// process's region, in bytes per second. The configuration may set a lower limit.
func WithRegionLinkRate(bytesPerSecond float64) Option {
	return func(a *Agent) { a.regionLinkRate = bytesPerSecond }
}

// New returns the agent of the endpoint that the client engine connects to.
func New(n *node.Node, engine *engines.Client, options ...Option) *Agent {
	a := &Agent{
		node:       n,
		engine:     engine,
		controller: serving.NewController(serving.WithLimit(defaultLimit)),
		limiter:    limits.NewConcurrencyLimiter(limits.WithLimitBounds(minLimit, defaultLimit), limits.WithInitialLimit(initialLimit)),
		uploads:    rate.NewLimiter(rate.Inf, uploadBurstBytes),
		orders:     make(chan order),

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

// Start runs the background work until ctx is done; the returned channel is closed
// after all of it has stopped.
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

// Leave starts a graceful shutdown: it permanently stops the admission of attempts. The
// returned channel is closed when no attempt is in flight.
func (a *Agent) Leave() <-chan struct{} { return a.controller.Shutdown() }

// Ready reports whether the agent admits attempts.
func (a *Agent) Ready() bool {
	p, _ := a.controller.Phase()
	return p == serving.PhaseServing
}

// probeLoop probes the endpoint's state periodically.
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

// probe stops admission if the endpoint does not respond, has restarted, or serves
// weights other than those that the controller admits attempts for. It starts admission
// for services without weights.
func (a *Agent) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	state, err := a.engine.State(ctx)
	if err != nil {
		a.controller.MarkDown()
		a.setFault("endpoint does not answer")
		return
	}
	restarted := a.incarnation.Swap(state.Incarnation()) != state.Incarnation()
	if restarted {
		a.weights.clearStaged()
	}
	if s, ok := a.service(); ok {
		a.controller.SetLimit(s.MaxConcurrency())
	}
	if a.isPlain() {
		a.controller.ServeWithoutWeights()
		a.setFault("")
		return
	}
	phase, served := a.controller.Phase()
	if phase == serving.PhaseServing && (restarted || state.Serving() != served) {
		a.controller.MarkDown()
		a.setFault("endpoint does not serve what it was ordered to")
	}
}

// isPlain reports whether the endpoint's service has no weights according to the
// configuration in force.
func (a *Agent) isPlain() bool {
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
