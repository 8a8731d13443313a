// Package entry is the process on each entry instance: it tells callers which
// addresses to use, accepts their requests and the operators' changes, chooses
// endpoints, retries, and carries out rollouts while it holds their leases.
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

// Entry is one entry process. It is safe for concurrent use.
type Entry struct {
	node     *node.Node
	reports  reports
	rollouts activeRollouts
	traffic  *traffic
	book     atomic.Pointer[addressBook]
	requests atomic.Uint64
	leaving  atomic.Bool
	inFlight sync.WaitGroup
	entering sync.RWMutex // orders the start of a request against Leave
}

// Option sets a property of an entry.
type Option func(*Entry)

// New returns the entry of the process that n is part of.
func New(n *node.Node, options ...Option) *Entry {
	e := &Entry{
		node:     n,
		traffic:  newTraffic(n),
		rollouts: activeRollouts{services: make(map[string]time.Time)},
	}
	e.reports.watches = make(map[string]*watch)
	n.OnAnnounce(func(r *nodev1.EndpointReport) { e.rollouts.note(r.GetService()) })
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

// Start runs the background work until ctx ends; the returned channel is closed
// when all of it has ended.
func (e *Entry) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { e.reportLoop(ctx) })
	wg.Go(func() { e.reapLoop(ctx) })
	wg.Go(func() { e.settleLoop(ctx) })
	wg.Go(func() { e.suspectLoop(ctx) })
	wg.Go(func() { e.rolloutLoop(ctx) })
	go func() {
		defer close(done)
		wg.Wait()
	}()
	return done
}

// Leave refuses new requests. The returned channel is closed when the requests
// in progress have ended.
func (e *Entry) Leave() <-chan struct{} {
	e.entering.Lock()
	e.leaving.Store(true)
	e.entering.Unlock()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		e.inFlight.Wait()
	}()
	return idle
}

// enter counts a request as in progress, unless the entry is leaving.
func (e *Entry) enter() bool {
	e.entering.RLock()
	defer e.entering.RUnlock()
	if e.leaving.Load() {
		return false
	}
	e.inFlight.Add(1)
	return true
}

// Ready reports whether the entry has a configuration and accepts requests.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.node.Ready()
}
