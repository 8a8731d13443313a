package standin

import (
	"context"
	"sync"
	"time"
)

// maxAdmittedNames bounds the record of admitted requests.
const maxAdmittedNames = 256

// batch admits a bounded number of requests and lets the rest wait in the order
// of their priority and arrival.
type batch struct {
	capacity int
	lag      time.Duration
	now      func() time.Time

	mu      sync.Mutex
	running int
	queue   []*waiter
	cancels map[string]context.CancelFunc
	samples []loadSample // oldest first
	// admitted holds the IDs of the requests admitted last, in order.
	admitted []string
}

type waiter struct {
	name     string
	priority int
	admitted chan struct{}
}

// loadSample is the load from a moment on.
type loadSample struct {
	since   time.Time
	running int
	waiting int
}

func newBatch(capacity int, lag time.Duration, now func() time.Time) *batch {
	return &batch{capacity: capacity, lag: lag, now: now, cancels: map[string]context.CancelFunc{}}
}

// enter waits for a place and returns the function that gives it back. The
// request can be cancelled by its ID until then.
func (b *batch) enter(ctx context.Context, cancel context.CancelFunc, q CompletionRequest) (func(), error) {
	w := b.join(cancel, q)
	select {
	case <-w.admitted:
		return func() { b.leave(q.RequestID) }, nil
	case <-ctx.Done():
		b.giveUp(w, q.RequestID)
		return nil, ctx.Err()
	}
}

func (b *batch) join(cancel context.CancelFunc, q CompletionRequest) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.RequestID != "" {
		b.cancels[q.RequestID] = cancel
	}
	w := &waiter{name: q.RequestID, priority: q.Priority, admitted: make(chan struct{})}
	b.queue = append(b.queue, w)
	b.fill()
	return w
}

func (b *batch) leave(requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cancels, requestID)
	b.running--
	b.fill()
}

// giveUp takes a waiter out, which may have been admitted in the meantime.
func (b *batch) giveUp(w *waiter, requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cancels, requestID)
	for i, other := range b.queue {
		if other == w {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			b.sample()
			return
		}
	}
	b.running--
	b.fill()
}

func (b *batch) cancel(requestID string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cancel, found := b.cancels[requestID]
	if found {
		cancel()
	}
	return found
}

func (b *batch) fill() {
	for b.running < b.capacity && len(b.queue) > 0 {
		best := 0
		for i, w := range b.queue {
			if w.priority > b.queue[best].priority {
				best = i
			}
		}
		b.admit(b.queue[best])
		b.queue = append(b.queue[:best], b.queue[best+1:]...)
		b.running++
	}
	b.sample()
}

func (b *batch) admit(w *waiter) {
	close(w.admitted)
	b.admitted = append(b.admitted, w.name)
	if len(b.admitted) > maxAdmittedNames {
		b.admitted = b.admitted[1:]
	}
}

func (b *batch) admittedNames() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.admitted...)
}

// sample records the load and forgets what is older than the lag needs.
func (b *batch) sample() {
	now := b.now()
	b.samples = append(b.samples, loadSample{since: now, running: b.running, waiting: len(b.queue)})
	for len(b.samples) > 1 && !b.samples[1].since.After(now.Add(-b.lag)) {
		b.samples = b.samples[1:]
	}
}

// reported returns the load as it was the lag ago.
func (b *batch) reported() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.now().Add(-b.lag)
	for _, s := range b.samples {
		if s.since.After(limit) {
			break
		}
		running, waiting = s.running, s.waiting
	}
	return running, waiting
}
