// Package serving decides which attempts an endpoint may run and when it may
// change the weights that it serves.
//
// A Gate is in one epoch at a time: empty, serving one digest, draining,
// loading, down or leaving. A switch waits for all attempts that were admitted
// before it, and no attempt is admitted between the start of a drain and the
// confirmed read-back of the new digest. Admission takes no lock.
//
// # Usage
//
//	g := serving.NewGate(serving.WithLimit(64))
//	a, err := g.Admit(pinned)      // errors.Is(err, serving.ErrRefused)
//	defer a.Done()
//
//	sw, err := g.BeginSwitch(order)
//	<-sw.Drained()
//	sw.Loading()
//	sw.Open(readBack)              // or sw.Fail()
package serving

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Reasons for which an attempt is refused; each wraps ErrRefused. A refused
// attempt has not run and will not run.
var (
	ErrRefused     = eris.New("attempt refused")
	ErrNotServing  = eris.Wrap(ErrRefused, "endpoint serves no weights")
	ErrDigestMismatch = eris.Wrap(ErrRefused, "endpoint serves another digest")
	ErrBusy        = eris.Wrap(ErrRefused, "endpoint is at its concurrency limit")
	ErrShuttingDown     = eris.Wrap(ErrRefused, "endpoint is leaving")
)

// Reasons for which an order is refused.
var (
	ErrStaleFencing = eris.New("order carries an old fencing number")
	ErrSwitching  = eris.New("another switch is in progress")
)

// Phase is what an endpoint does in an epoch.
type Phase int

// The phases.
const (
	PhaseEmpty Phase = iota
	PhaseServing
	PhaseDraining
	PhaseLoading
	PhaseDown
	PhaseShuttingDown
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"empty", "serving", "draining", "loading", "down", "leaving"}
	return names[p]
}

// epoch is a stretch of time with one phase and one digest.
type epoch struct {
	phase  Phase
	digest digest.Digest
}

func newEpoch(p Phase, d digest.Digest) *epoch {
	return &epoch{phase: p, digest: d}
}

// drain waits for the attempts of all epochs before a switch: also those of an
// endpoint that was taken for down in between, since it may be running them.
type drain struct {
	done chan struct{}
	once sync.Once
}

// Controller admits attempts and orders switches. It is safe for concurrent use.
type Controller struct {
	current  atomic.Pointer[epoch]
	inFlight atomic.Int64
	limit    atomic.Int64
	drain    atomic.Pointer[drain] // of the last switch

	mu        sync.Mutex // serializes changes of epoch
	fencing   uint64
	switching bool
	idle      chan struct{} // closed when leaving and nothing is in flight
	idleOnce  sync.Once
}

// Option sets a property of a gate.
type Option func(*Controller)

// WithLimit bounds the attempts in flight; 0 means no bound.
func WithLimit(n int) Option {
	return func(g *Controller) { g.limit.Store(int64(n)) }
}

// NewController returns a gate in the empty phase.
func NewController(options ...Option) *Controller {
	g := &Controller{idle: make(chan struct{})}
	g.current.Store(newEpoch(PhaseEmpty, digest.Digest{}))
	for _, o := range options {
		o(g)
	}
	return g
}

// Admission is the permission to run one attempt.
type Admission struct {
	gate  *Controller
	epoch *epoch
	once  sync.Once
}

// Digest returns the digest that the endpoint serves during the attempt.
func (a *Admission) Digest() digest.Digest { return a.epoch.digest }

// Done ends the attempt. Further calls have no effect.
func (a *Admission) Done() {
	a.once.Do(func() {
		a.gate.inFlight.Add(-1)
		a.gate.settle()
	})
}

// Admit admits an attempt, pinned to a digest unless pinned is zero.
func (g *Controller) Admit(pinned digest.Digest) (*Admission, error) {
	e := g.current.Load()
	if err := e.refusal(pinned); err != nil {
		return nil, err
	}
	if n := g.inFlight.Add(1); g.limit.Load() > 0 && n > g.limit.Load() {
		g.inFlight.Add(-1)
		g.settle()
		return nil, ErrBusy
	}
	a := &Admission{gate: g, epoch: e}
	// The epoch may have been retired between the load and the count. The
	// second look makes sure that a drain sees this attempt or refuses it.
	if g.current.Load() != e {
		a.Done()
		return nil, ErrNotServing
	}
	return a, nil
}

func (e *epoch) refusal(pinned digest.Digest) error {
	switch {
	case e.phase == PhaseShuttingDown:
		return ErrShuttingDown
	case e.phase != PhaseServing:
		return ErrNotServing
	case !pinned.IsZero() && pinned != e.digest:
		return ErrDigestMismatch
	}
	return nil
}

// Phase returns the current phase and digest.
func (g *Controller) Phase() (Phase, digest.Digest) {
	e := g.current.Load()
	return e.phase, e.digest
}

// InFlight returns the number of attempts in flight.
func (g *Controller) InFlight() int { return int(g.inFlight.Load()) }

// Limit returns the bound on attempts in flight, 0 for none.
func (g *Controller) Limit() int { return int(g.limit.Load()) }

// SetLimit changes the bound on attempts in flight.
func (g *Controller) SetLimit(n int) { g.limit.Store(int64(n)) }

// Fencing returns the highest fencing number seen.
func (g *Controller) Fencing() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fencing
}

// RaiseFencing records a fencing number read from the lease row.
func (g *Controller) RaiseFencing(n uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fencing = max(g.fencing, n)
}

// Switch is a change of weights in progress.
type Switch struct {
	gate    *Controller
	drained <-chan struct{}
}

// Drained is closed when no attempt admitted before the switch is in flight.
func (s *Switch) Drained() <-chan struct{} { return s.drained }

// BeginSwitch stops admission and starts to drain, under the fencing number of
// the order.
func (g *Controller) BeginSwitch(fencing uint64) (*Switch, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fencing < g.fencing {
		return nil, ErrStaleFencing
	}
	if g.current.Load().phase == PhaseShuttingDown {
		return nil, ErrShuttingDown
	}
	if g.switching {
		return nil, ErrSwitching
	}
	g.fencing = fencing
	g.switching = true
	g.replace(newEpoch(PhaseDraining, digest.Digest{}))
	d := &drain{done: make(chan struct{})}
	g.drain.Store(d)
	g.settle()
	return &Switch{gate: g, drained: d.done}, nil
}

// StartLoading marks the end of the drain.
func (s *Switch) StartLoading() {
	s.gate.advance(newEpoch(PhaseLoading, digest.Digest{}))
}

// Complete ends the switch and admits attempts for the digest that was read back
// from the engine.
func (s *Switch) Complete(readBack digest.Digest) {
	s.gate.finishSwitch(newEpoch(PhaseServing, readBack))
}

// Fail ends the switch with an endpoint that serves nothing.
func (s *Switch) Fail() {
	s.gate.finishSwitch(newEpoch(PhaseEmpty, digest.Digest{}))
}

// ServeWithoutWeights admits attempts for an endpoint without weights.
func (g *Controller) ServeWithoutWeights() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.current.Load().phase; p == PhaseServing || p == PhaseShuttingDown || g.switching {
		return
	}
	g.replace(newEpoch(PhaseServing, digest.Digest{}))
}

// MarkDown stops admission because the endpoint died or no longer serves what it
// was admitted for. A switch in progress goes on.
func (g *Controller) MarkDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.current.Load().phase; p == PhaseShuttingDown || g.switching {
		return
	}
	g.replace(newEpoch(PhaseDown, digest.Digest{}))
}

// Shutdown stops admission for good. The returned channel is closed when nothing
// is in flight any more.
func (g *Controller) Shutdown() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current.Load().phase != PhaseShuttingDown {
		g.replace(newEpoch(PhaseShuttingDown, digest.Digest{}))
	}
	g.settle()
	return g.idle
}

// settle reports to a switch or a leave that nothing is in flight any more.
func (g *Controller) settle() {
	if g.inFlight.Load() != 0 {
		return
	}
	if d := g.drain.Load(); d != nil {
		d.once.Do(func() { close(d.done) })
	}
	if g.current.Load().phase == PhaseShuttingDown {
		g.idleOnce.Do(func() { close(g.idle) })
	}
}

// advance replaces the epoch unless the gate is leaving.
func (g *Controller) advance(e *epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current.Load().phase != PhaseShuttingDown {
		g.replace(e)
	}
}

func (g *Controller) finishSwitch(e *epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.switching = false
	if g.current.Load().phase != PhaseShuttingDown {
		g.replace(e)
	}
}

func (g *Controller) replace(e *epoch) { g.current.Store(e) }
