package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// An attempt that waits at an endpoint begins there without any further check of this
// entry. So an attempt that may begin too late is withdrawn, and, because a withdrawal does
// not reach an endpoint that is suspended or cut off, its time left ends at the bound of its
// weights where it is expected to be complete by then or can go on at another endpoint.
const (
	// withdrawMargin is the time before the end of the bound at which an attempt that has
	// not begun is withdrawn. It covers the way of the withdrawal to the endpoint.
	withdrawMargin = 100 * time.Millisecond
	// endMargin is the time before the end of the bound at which the time left of an attempt
	// ends. It is longer than withdrawMargin, since an endpoint that refuses the request as
	// not run by then allows any request to be sent again.
	endMargin = 200 * time.Millisecond
	// completeFactor is how many mean service times must be left before the bound for an
	// attempt to count as likely to be complete by then.
	completeFactor = 4
	// targetInterval is how often the bound is looked up again for an attempt that has not
	// begun: a newer version may be set, or the time of one corrected, after it was sent.
	targetInterval = time.Second
)

// errWithdrawn is the cause of the end of an attempt at its limit.
var errWithdrawn = eris.New("weights of the endpoint may not be used any longer")

// attemptLimit ends an attempt whose endpoint has weights that may not be used later. It is
// safe for concurrent use.
type attemptLimit struct {
	gateway   *Gateway
	service   *fleet.Service
	candidate placement.Candidate
	cancel    context.CancelCauseFunc
	// end is the time by which the attempt has to be complete, 0 if it need only begin in
	// time.
	end time.Duration
	// promise is that of a resumption; it is used only by the goroutine of the request.
	promise *retry.Promise

	mu    sync.Mutex
	timer *time.Timer
	begun bool
	ended bool
}

// limitAttempt returns the limit of an attempt that is sent now. It calls cancel when the
// attempt must be withdrawn. It must be released when the attempt has ended.
func (g *Gateway) limitAttempt(q *request, c placement.Choice, cancel context.CancelCauseFunc) *attemptLimit {
	l := &attemptLimit{gateway: g, service: q.service, candidate: c.Candidate, cancel: cancel}
	if q.service.Engine() == nil || g.targets.bound == 0 {
		return l
	}
	l.shorten(q)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(l.next(), l.check)
	return l
}

// shorten sets the end of an attempt that may not go on beyond the bound of its weights: one
// that is likely to be complete by then, or that can go on at another endpoint. For the latter
// there must be an attempt left, an endpoint that has the new version, and the promise of a
// resumption, which the former gets too if there is one.
func (l *attemptLimit) shorten(q *request) {
	if q.usableUntil == 0 || q.usableUntil >= q.deadline {
		return
	}
	end := q.usableUntil - endMargin
	mean, known := q.traffic.placement.KnownServiceTime()
	likely := known && end-q.sentAt >= completeFactor*mean
	resumable := q.route.Resumable() && len(q.tried) < max(q.route.MaxAttempts(), 1)
	if resumable && (likely || q.traffic.renewed.Load()) {
		l.promise = q.traffic.budget.Promise()
	}
	if likely || l.promise != nil {
		l.end = end
	}
}

// takePromise returns the promise of a resumption of the attempt, nil if there is none or it
// was taken. The caller must use or refund it.
func (l *attemptLimit) takePromise() *retry.Promise {
	if l == nil {
		return nil
	}
	p := l.promise
	l.promise = nil
	return p
}

// check withdraws the attempt if its limit has passed, and otherwise waits for it. The bound
// is looked up again, since a version may have been set, or its time corrected, after the
// attempt was sent.
func (l *attemptLimit) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	d := l.next()
	if d <= 0 {
		l.cancel(errWithdrawn)
		return
	}
	l.timer.Reset(d)
}

// next returns the time until the attempt must be withdrawn, or until the bound is to be
// looked up again. The caller holds the mutex.
func (l *attemptLimit) next() time.Duration {
	if l.begun {
		return l.end + endMargin - withdrawMargin - l.gateway.now()
	}
	until := l.gateway.usableUntil(l.service, l.candidate)
	if until == 0 {
		return targetInterval
	}
	return min(until-withdrawMargin-l.gateway.now(), targetInterval)
}

// begin records that the attempt has begun.
func (l *attemptLimit) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun = true
	if l.end == 0 && l.timer != nil {
		l.ended = true
		l.timer.Stop()
	}
}

// release ends the limit.
func (l *attemptLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.timer != nil {
		l.timer.Stop()
	}
}

// timeLeft returns the time that the endpoint may take for an attempt of a request.
func (l *attemptLimit) timeLeft(q *request, now time.Duration) time.Duration {
	left := q.remaining(now)
	if l.end > 0 {
		left = min(left, l.end-now)
	}
	return left
}

// shortened returns the time left with which the attempt was sent, 0 if it is that of the
// request or if nothing was sent.
func (l *attemptLimit) shortened(q *request) time.Duration {
	if l == nil || l.end == 0 {
		return 0
	}
	return l.end - q.sentAt
}

// reached reports whether an attempt of a request has come to its end, by this entry's clock
// or, shortly before, by that of the endpoint.
func (l *attemptLimit) reached(ctx context.Context, q *request) bool {
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		return true
	}
	return l.end > 0 && q.pastEndpointDeadline(l.gateway.now())
}
