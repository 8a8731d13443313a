// Package serving decides which attempts an endpoint may run and when it may
// change the weights that it serves.
//
// A Controller is in one epoch at a time: empty, serving one digest, draining,
// loading, down or shutting down. A switch waits for all attempts that were admitted
// before it, and no attempt is admitted between the start of a drain and the
// confirmed read-back of the new digest. Admission takes no lock.
//
// # Usage
//
//	c := serving.NewController(serving.WithLimit(64))
//	a, err := c.Admit(pinned)      // errors.Is(err, serving.ErrRefused)
//	defer a.Done()
//
//	s, err := c.BeginSwitch(fencing)
//	<-s.Drained()
//	s.StartLoading()
//	s.Complete(readBack)           // or s.Fail()
package serving

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Errors of Admit; each wraps ErrRefused. A refused attempt has not run and will not
// run.
var (
	ErrRefused        = eris.New("attempt refused")
	ErrNotServing     = eris.Wrap(ErrRefused, "endpoint serves no weights")
	ErrDigestMismatch = eris.Wrap(ErrRefused, "endpoint serves another digest")
	ErrBusy           = eris.Wrap(ErrRefused, "endpoint is at its concurrency limit")
	ErrShuttingDown   = eris.Wrap(ErrRefused, "endpoint is leaving")
)

// Errors of BeginSwitch, which may also return ErrShuttingDown.
var (
	ErrStaleFencing = eris.New("order has a stale fencing number")
	ErrSwitching    = eris.New("another switch is in progress")
)

// Phase is the state of an endpoint during an epoch.
type Phase int

// Phases of an endpoint.
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

// epoch is a period with one phase and one digest.
type epoch struct {
	phase  Phase
	digest digest.Digest
}

func newEpoch(p Phase, d digest.Digest) *epoch {
	return &epoch{phase: p, digest: d}
}

// drain waits for the attempts of all epochs before a switch, including those admitted
// before the endpoint was marked down, since it may still be running them.
type drain struct {
	done chan struct{}
	once sync.Once
}

// Controller admits attempts and serializes switches. It is safe for concurrent use.
type Controller struct {
	current  atomic.Pointer[epoch]
	inFlight atomic.Int64
	limit    atomic.Int64
	drain    atomic.Pointer[drain] // of the last switch

	mu        sync.Mutex // serializes changes of the epoch
	fencing   uint64
	switching bool
	idle      chan struct{} // closed when shutting down with no attempt in flight
	idleOnce  sync.Once
}

// Option configures a Controller.
type Option func(*Controller)

// WithLimit limits the attempts in flight; 0 means no limit.
func WithLimit(n int) Option {
	return func(c *Controller) { c.limit.Store(int64(n)) }
}

// NewController returns a Controller in the empty phase.
func NewController(options ...Option) *Controller {
	c := &Controller{idle: make(chan struct{})}
	c.current.Store(newEpoch(PhaseEmpty, digest.Digest{}))
	for _, o := range options {
		o(c)
	}
	return c
}

// Admission is an admitted attempt.
type Admission struct {
	controller *Controller
	epoch      *epoch
	once       sync.Once
}

// Digest returns the digest that the endpoint serves during the attempt.
func (a *Admission) Digest() digest.Digest { return a.epoch.digest }

// Done ends the attempt. Further calls have no effect.
func (a *Admission) Done() {
	a.once.Do(func() {
		a.controller.inFlight.Add(-1)
		a.controller.signalIfIdle()
	})
}

// Admit admits an attempt, pinned to a digest unless pinned is zero. Its errors wrap
// ErrRefused.
func (c *Controller) Admit(pinned digest.Digest) (*Admission, error) {
	e := c.current.Load()
	if err := e.refusal(pinned); err != nil {
		return nil, err
	}
	if n := c.inFlight.Add(1); c.limit.Load() > 0 && n > c.limit.Load() {
		c.inFlight.Add(-1)
		c.signalIfIdle()
		return nil, ErrBusy
	}
	a := &Admission{controller: c, epoch: e}
	// The epoch may have been replaced between its load and the increment. With the
	// second load either the drain counts this attempt or the attempt is refused.
	if c.current.Load() != e {
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
func (c *Controller) Phase() (Phase, digest.Digest) {
	e := c.current.Load()
	return e.phase, e.digest
}

// InFlight returns the number of attempts in flight.
func (c *Controller) InFlight() int { return int(c.inFlight.Load()) }

// Limit returns the limit on attempts in flight, 0 for none.
func (c *Controller) Limit() int { return int(c.limit.Load()) }

// SetLimit changes the limit on attempts in flight.
func (c *Controller) SetLimit(n int) { c.limit.Store(int64(n)) }

// Fencing returns the highest fencing number recorded.
func (c *Controller) Fencing() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fencing
}

// RaiseFencing records a fencing number read from the lease row.
func (c *Controller) RaiseFencing(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fencing = max(c.fencing, n)
}

// Switch is a change of weights in progress.
type Switch struct {
	controller *Controller
	drained    <-chan struct{}
}

// Drained returns a channel that is closed when no attempt admitted before the switch
// is in flight.
func (s *Switch) Drained() <-chan struct{} { return s.drained }

// BeginSwitch stops admission and starts to drain. It records the fencing number of the
// order, and rejects an order whose number is lower than the recorded one.
func (c *Controller) BeginSwitch(fencing uint64) (*Switch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fencing < c.fencing {
		return nil, ErrStaleFencing
	}
	if c.current.Load().phase == PhaseShuttingDown {
		return nil, ErrShuttingDown
	}
	if c.switching {
		return nil, ErrSwitching
	}
	c.fencing = fencing
	c.switching = true
	c.setEpoch(newEpoch(PhaseDraining, digest.Digest{}))
	d := &drain{done: make(chan struct{})}
	c.drain.Store(d)
	c.signalIfIdle()
	return &Switch{controller: c, drained: d.done}, nil
}

// StartLoading ends the drain and enters the loading phase.
func (s *Switch) StartLoading() {
	s.controller.setEpochUnlessShuttingDown(newEpoch(PhaseLoading, digest.Digest{}))
}

// Complete ends the switch and admits attempts for the digest that was read back
// from the engine.
func (s *Switch) Complete(readBack digest.Digest) {
	s.controller.finishSwitch(newEpoch(PhaseServing, readBack))
}

// Fail ends the switch; the endpoint serves nothing.
func (s *Switch) Fail() {
	s.controller.finishSwitch(newEpoch(PhaseEmpty, digest.Digest{}))
}

// ServeWithoutWeights admits attempts for an endpoint without weights. It has no effect
// during a switch or a shutdown.
func (c *Controller) ServeWithoutWeights() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.current.Load().phase; p == PhaseServing || p == PhaseShuttingDown || c.switching {
		return
	}
	c.setEpoch(newEpoch(PhaseServing, digest.Digest{}))
}

// MarkDown stops admission because the endpoint crashed or no longer serves the digest
// of the epoch. It has no effect during a switch or a shutdown.
func (c *Controller) MarkDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.current.Load().phase; p == PhaseShuttingDown || c.switching {
		return
	}
	c.setEpoch(newEpoch(PhaseDown, digest.Digest{}))
}

// Shutdown stops admission permanently. The returned channel is closed when no attempt
// is in flight.
func (c *Controller) Shutdown() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Load().phase != PhaseShuttingDown {
		c.setEpoch(newEpoch(PhaseShuttingDown, digest.Digest{}))
	}
	c.signalIfIdle()
	return c.idle
}

// signalIfIdle closes the channels on which a switch or a shutdown waits if no attempt
// is in flight.
func (c *Controller) signalIfIdle() {
	if c.inFlight.Load() != 0 {
		return
	}
	if d := c.drain.Load(); d != nil {
		d.once.Do(func() { close(d.done) })
	}
	if c.current.Load().phase == PhaseShuttingDown {
		c.idleOnce.Do(func() { close(c.idle) })
	}
}

// setEpochUnlessShuttingDown replaces the epoch unless the controller is shutting down.
func (c *Controller) setEpochUnlessShuttingDown(e *epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Load().phase != PhaseShuttingDown {
		c.setEpoch(e)
	}
}

func (c *Controller) finishSwitch(e *epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.switching = false
	if c.current.Load().phase != PhaseShuttingDown {
		c.setEpoch(e)
	}
}

func (c *Controller) setEpoch(e *epoch) { c.current.Store(e) }
