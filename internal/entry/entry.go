// Package entry implements the entry role of a process. An entry returns to callers the
// addresses to use, accepts requests and operators' configuration changes, routes each
// request to an endpoint with retries, and runs the rollouts whose leases it holds.
//
// # Usage
//
//	e := entry.New(n)
//	e.Register(mux)             // callers and operators
//	done := e.Start(ctx)
//	<-e.Leave()                 // graceful stop: waits for the requests in progress
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/primrosetally/primrosetally/internal/node"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// Entry handles the requests of callers and operators. It is safe for concurrent use.
type Entry struct {
	node     *node.Node
	reports  reports
	rollouts activeRollouts
	traffic  *traffic
	shards   atomic.Pointer[shardCache]
	requests atomic.Uint64
	draining atomic.Bool
	inFlight sync.WaitGroup
	drainMu  sync.RWMutex // makes Leave and the start of a request mutually exclusive
}

// Option sets a property of an entry.
type Option func(*Entry)

// New returns an entry that runs on the node n.
func New(n *node.Node, options ...Option) *Entry {
	e := &Entry{
		node:     n,
		traffic:  newTraffic(n),
		rollouts: activeRollouts{services: make(map[string]time.Time)},
	}
	e.reports.polls = make(map[string]*reportPoll)
	n.OnAnnounce(func(r *nodev1.EndpointReport) { e.rollouts.markActive(r.GetService()) })
	e.reports.endpoints.Store(&[]endpoint{})
	for _, o := range options {
		o(e)
	}
	return e
}

// Register adds the handlers for callers and operators to mux.
func (e *Entry) Register(mux *http.ServeMux) {
	newOperators(e).Register(mux)
	router := httprouter.New()
	router.GET("/addresses", e.serveAddresses)
	for _, m := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(m, "/s/:service/*path", e.serveRequest)
	}
	mux.Handle("/", router)
}

// Start runs the background loops until ctx is done. The returned channel is closed when
// all of them have returned.
func (e *Entry) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { e.reportLoop(ctx) })
	wg.Go(func() { e.expireLoop(ctx) })
	wg.Go(func() { e.flushLoop(ctx) })
	wg.Go(func() { e.suspectLoop(ctx) })
	wg.Go(func() { e.rolloutLoop(ctx) })
	go func() {
		defer close(done)
		wg.Wait()
	}()
	return done
}

// Leave drains the entry: new requests are refused, and the returned channel is closed
// when the requests in progress have ended.
func (e *Entry) Leave() <-chan struct{} {
	e.drainMu.Lock()
	e.draining.Store(true)
	e.drainMu.Unlock()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		e.inFlight.Wait()
	}()
	return idle
}

// beginRequest counts a request as in progress. It returns false if the entry is
// draining.
func (e *Entry) beginRequest() bool {
	e.drainMu.RLock()
	defer e.drainMu.RUnlock()
	if e.draining.Load() {
		return false
	}
	e.inFlight.Add(1)
	return true
}

// Ready reports whether the entry has a configuration and accepts requests.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.node.Ready()
}
