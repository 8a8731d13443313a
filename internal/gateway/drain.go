package gateway

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// reasonStopping is the reason of the final response to a request that a draining entry
	// refuses or ends.
	reasonStopping = "the entry stops"
	// reasonTimeOver is that of a request whose deadline has passed.
	reasonTimeOver = "time is over"
	// stoppingRetryAfter is short since other entries take the request at once.
	stoppingRetryAfter = 100 * time.Millisecond
	// repeatableDeviations and unrepeatableDeviations are the mean deviations above the mean
	// service time that a request is expected to take at most. A repeatable request that is
	// ended after all costs its caller time only.
	repeatableDeviations   = 2
	unrepeatableDeviations = 4
	// unlimited is the last start of a request that no planned stop limits.
	unlimited = time.Duration(math.MaxInt64)
)

// drain is the state of the planned stop of an entry.
type drain struct {
	endAt    atomic.Int64 // boottime nanoseconds at which all requests end, 0 without a stop
	closedAt atomic.Int64 // boottime nanoseconds from which arriving requests are refused, 0 before
	// begun is done when the stop begins, ended when all requests must end.
	begun, ended context.Context
	begin, end   context.CancelFunc
}

func newDrain() *drain {
	d := &drain{}
	d.begun, d.begin = context.WithCancel(context.Background())
	d.ended, d.end = context.WithCancel(context.Background())
	return d
}

// Drain begins the planned stop of the entry: the gateway is not ready, notifies the other
// entries, and closes each caller's connection after its next response. It refuses requests
// that can't be expected to end within the timeout, after which EndRequests must be called.
func (g *Gateway) Drain(timeout time.Duration) {
	g.drain.endAt.Store(int64(g.now() + timeout))
	g.draining.Store(true)
	g.drain.begin()
	g.sendSummaries(true)
}

// StopAccepting makes the gateway refuse the requests that arrive from now on. It must be
// called before connections are closed: a request that crosses the close of its connection
// is then not sent to an endpoint.
func (g *Gateway) StopAccepting() { g.drain.closedAt.Store(int64(g.now())) }

// EndRequests ends the requests in progress. Those that were not sent are refused. Those
// that may have run get a response that says so, unless their response has begun.
func (g *Gateway) EndRequests() { g.drain.end() }

// shorten moves the deadline of a request that arrives during a planned stop to the end of
// the stop.
func (d *drain) shorten(q *request) {
	if end := time.Duration(d.endAt.Load()); end > 0 && q.deadline > end {
		q.deadline = end
		q.shortened = true
	}
}

// requestContext returns the context of a request, which also ends with EndRequests.
func (d *drain) requestContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	unregister := context.AfterFunc(d.ended, cancel)
	return ctx, func() {
		unregister()
		cancel()
	}
}

// interruptRead makes EndRequests end the read of a request's body.
func (d *drain) interruptRead(control *http.ResponseController) (release func() bool) {
	return context.AfterFunc(d.ended, func() { _ = control.SetReadDeadline(time.Now()) })
}

// hasEnded reports whether EndRequests was called.
func (d *drain) hasEnded() bool { return d.ended.Err() != nil }

// lastStart returns the time until which a request may be sent to an endpoint.
func (g *Gateway) lastStart(q *request) time.Duration {
	end, closed := time.Duration(g.drain.endAt.Load()), time.Duration(g.drain.closedAt.Load())
	if closed > 0 && q.arrived >= closed {
		return 0
	}
	if end == 0 || q.deadline <= end && !q.shortened {
		return unlimited
	}
	deviations := unrepeatableDeviations
	if q.route.Repeatable() {
		deviations = repeatableDeviations
	}
	return end - q.traffic.placement.ServiceTime(deviations)
}

// mustNotStart reports whether a planned stop leaves a request too little time to be sent.
// A response that has begun goes on while the entry runs.
func (g *Gateway) mustNotStart(q *request, out *responseWriter) bool {
	return g.draining.Load() && !out.headerWritten && g.now() > g.lastStart(q)
}

// placementContext returns the context in which a request waits for an endpoint. It ends at
// the last start of the request.
func (g *Gateway) placementContext(ctx context.Context, q *request, out *responseWriter) (context.Context, context.CancelFunc) {
	if out.mayBeWhole() {
		return context.WithTimeout(ctx, confirmWait)
	}
	if out.headerWritten {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	unregister := context.AfterFunc(g.drain.begun, func() {
		defer cancel()
		g.awaitLastStart(ctx, q)
	})
	return ctx, func() {
		unregister()
		cancel()
	}
}

// awaitLastStart waits until ctx is done or the request may not be sent any more.
func (g *Gateway) awaitLastStart(ctx context.Context, q *request) {
	last := g.lastStart(q)
	if last == unlimited {
		<-ctx.Done()
		return
	}
	timer := time.NewTimer(last - g.now())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
