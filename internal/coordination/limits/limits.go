// Package limits implements the admission control of entries and the adaptive
// concurrency limit of agents.
//
// An entry has one Gate for each service. It has a number of slots, a bounded queue
// for each client account, and weighted fair queueing between the accounts: a free
// slot goes to the account with the least virtual time, which is the slot time that
// the account has used, divided by its weight. A request that is not expected to
// finish by its deadline is refused with a retry delay as soon as that is known, on
// arrival or while it is queued. Requests don't stay in the queue until their deadline.
//
// A Concurrency limits the attempts that one agent admits, by the gradient of the
// latency.
//
// # Usage
//
//	g := limits.NewGate(limits.WithSlots(88), limits.WithAccount("shop-1", limits.NewShare(2)))
//	ticket := g.Offer(limits.NewRequest("shop-1", deadline))
//	verdict := <-ticket.Verdict()            // admitted, or refused with RetryAfter
//	if verdict.Admitted() {
//		defer g.Release(ticket)
//	}
//	g.Reap()                                 // called every few milliseconds
package limits

import (
	"math"
	"sync"
	"time"
)

const (
	defaultSlots       = 64
	defaultQueueLength = 128
	defaultServiceTime = 100 * time.Millisecond
	serviceTimeGain    = 0.1 // weight of a new sample in the moving average
	// The service time of short requests moves towards a sample by this fraction of the
	// difference: quickFall for a shorter sample, quickRise for a longer one.
	quickFall = 0.1
	quickRise = 0.005
	// The safety margin for deadlines grows by lateRise times the service time of short
	// requests with each request that ends after its deadline, and shrinks by the
	// fraction lateFall with each other one. In equilibrium about 1 % of the requests
	// end late.
	lateRise = 0.1
	lateFall = 0.001
	// creditRequests is the maximum credit, in requests, of an account that has used
	// less than its share.
	creditRequests = 4
	minRetryAfter  = 50 * time.Millisecond
	maxRetryAfter  = 30 * time.Second
)

// Reason is the reason why a request was refused. Its text is sent to the caller.
type Reason string

// The reasons for a refusal.
const (
	ReasonRateLimit     Reason = "account over its requests a second"
	ReasonQueueFull    Reason = "account's queue full"
	ReasonDeadline Reason = "cannot be reached before the deadline"
	ReasonCanceled Reason = "given up by the caller"
)

// AdmissionController is the admission controller of one entry for one service. It is safe for
// concurrent use.
type AdmissionController struct {
	now          func() time.Time
	queueLength  int
	defaultShare AccountLimits

	mu          sync.Mutex
	window      window
	busy        int
	virtualTime float64 // seconds of slot time at weight 1
	serviceTime float64 // seconds, moving average over all accounts
	quickTime   float64 // seconds, service time of short requests
	margin      float64 // seconds, added to quickTime to check a deadline
	accounts    map[string]*account
	waiting     int // requests in the queues of all accounts
}

// Option sets an optional property of a Gate.
type Option func(*AdmissionController)

// WithSlots sets the equal share of slots, with which the slot window starts. The
// default is 64.
func WithSlots(n int) Option {
	return func(g *AdmissionController) {
		g.window.share = float64(n)
		g.window.size = float64(n)
	}
}

// WithQueueLength sets the maximum number of queued requests of one account. The
// default is 128.
func WithQueueLength(n int) Option {
	return func(g *AdmissionController) { g.queueLength = n }
}

// WithServiceTime sets the initial estimate of the service time. The default is
// 100 ms.
func WithServiceTime(d time.Duration) Option {
	return func(g *AdmissionController) { g.serviceTime = d.Seconds() }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(g *AdmissionController) { g.now = now }
}

// WithAccountLimits sets the weight and the limits of an account.
func WithAccountLimits(name string, s AccountLimits) Option {
	return func(g *AdmissionController) { g.accounts[name] = newAccount(s) }
}

// WithDefaultAccountLimits sets the weight and the limits of accounts without an explicit
// setting.
func WithDefaultAccountLimits(s AccountLimits) Option {
	return func(g *AdmissionController) { g.defaultShare = s }
}

// NewAdmissionController returns an admission controller without requests.
func NewAdmissionController(options ...Option) *AdmissionController {
	g := &AdmissionController{
		now:          time.Now,
		queueLength:  defaultQueueLength,
		defaultShare: NewAccountLimits(1),
		serviceTime:  defaultServiceTime.Seconds(),
		accounts:     map[string]*account{},
		window:       newWindow(defaultSlots),
	}
	for _, o := range options {
		o(g)
	}
	g.quickTime = g.serviceTime
	return g
}

// Submit admits, refuses or queues a request. The decision of the ticket is available
// immediately if the request was admitted or refused, and later if it was queued.
func (g *AdmissionController) Submit(r Request) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	t := &Ticket{request: r, verdict: make(chan Decision, 1)}
	t.account = g.account(r.account)
	if wait := t.account.takeToken(now); wait > 0 {
		t.refuse(ReasonRateLimit, wait)
		return t
	}
	if len(t.account.queue) >= g.queueLength {
		t.refuse(ReasonQueueFull, g.retryAfter(t.account))
		return t
	}
	if g.late(t, len(t.account.queue), now) {
		t.refuse(ReasonDeadline, g.retryAfter(t.account))
		return t
	}
	t.account.push(t)
	g.waiting++
	g.dispatch(now)
	return t
}

// Release frees the slot of an admitted ticket and admits queued requests. It does
// nothing for a ticket that holds no slot.
func (g *AdmissionController) Release(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != admitted {
		return
	}
	t.state = finished
	now := g.now()
	held := now.Sub(t.admittedAt).Seconds()
	g.window.released(g.busy)
	g.learnMargin(now.After(t.request.deadline))
	t.account.charge(held - t.charged)
	t.account.inFlight--
	g.busy--
	g.sample(held)
	g.dispatch(now)
}

// learnMargin updates the safety margin with a request that ended before or after its
// deadline.
func (g *AdmissionController) learnMargin(late bool) {
	if late {
		g.margin += lateRise * g.quickTime
		return
	}
	g.margin *= 1 - lateFall
}

// RecordOverload records that an admitted request found no capacity, because an endpoint
// at its concurrency limit refused it or all endpoints were at capacity. This shrinks
// the slot window.
func (g *AdmissionController) RecordOverload() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window.refused()
}

// sample updates the estimated service times with the seconds that a request held its
// slot.
func (g *AdmissionController) sample(held float64) {
	g.serviceTime += serviceTimeGain * (held - g.serviceTime)
	gain := quickRise
	if held < g.quickTime {
		gain = quickFall
	}
	g.quickTime += gain * (held - g.quickTime)
}

// Cancel removes a queued request, or releases the slot of an admitted one.
func (g *AdmissionController) Cancel(t *Ticket) {
	g.mu.Lock()
	if t.state == queued {
		t.account.remove(t)
		g.waiting--
		t.refuse(ReasonCanceled, minRetryAfter)
	}
	g.mu.Unlock()
	g.Release(t)
}

// Expire refuses all queued requests that are no longer expected to finish by their
// deadline.
func (g *AdmissionController) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, a := range g.accounts {
		g.reapAccount(a, now)
	}
}

func (g *AdmissionController) reapAccount(a *account, now time.Time) {
	kept := a.queue[:0]
	for _, t := range a.queue {
		if !g.late(t, len(kept), now) {
			kept = append(kept, t)
			continue
		}
		g.waiting--
		t.refuse(ReasonDeadline, g.retryAfter(a))
	}
	clear(a.queue[len(kept):])
	a.queue = kept
}

// SetSlotShare sets this entry's equal share of the sum of the endpoints' concurrency
// limits. The slot window varies between multiples of the share, by default 0.5 and 4,
// with the demand at this and the other entries.
func (g *AdmissionController) SetSlotShare(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window.set(n)
	g.dispatch(g.now())
}

// SetAccountLimits sets the weight and the limits of an account. Its queue is kept.
func (g *AdmissionController) SetAccountLimits(name string, s AccountLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account(name).setShare(s)
}

// Waiting returns the number of queued requests.
func (g *AdmissionController) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// InFlight returns the number of slots in use.
func (g *AdmissionController) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.busy
}

// account returns the state of an account, which it creates for a new name.
func (g *AdmissionController) account(name string) *account {
	a := g.accounts[name]
	if a == nil {
		a = newAccount(g.defaultShare)
		g.accounts[name] = a
	}
	return a
}

// dispatch admits queued requests while slots are free, the account with the least
// virtual time first. It refuses requests that can't finish by their deadline.
func (g *AdmissionController) dispatch(now time.Time) {
	for g.busy < g.window.slots() {
		a := g.next()
		if a == nil {
			return
		}
		t := a.pop()
		g.waiting--
		if g.tooLate(t, now) {
			t.refuse(ReasonDeadline, g.retryAfter(a))
			continue
		}
		g.admit(t, now)
	}
}

// admit charges the account with the mean service time in advance; Release corrects the
// charge by the time that the request took.
func (g *AdmissionController) admit(t *Ticket, now time.Time) {
	a := t.account
	g.virtualTime = max(g.virtualTime, a.virtualTime)
	t.charged = g.serviceTime
	a.charge(t.charged)
	a.inFlight++
	g.busy++
	t.admittedAt = now
	t.state = admitted
	t.verdict <- Decision{admitted: true}
}

// next returns the account whose request is admitted next, or nil if no account has a
// request that may be admitted. An account that has used less than its share keeps
// credit for creditRequests requests, so that a short burst is not delayed. The credit
// is limited because an account that was idle for long would otherwise take all slots.
func (g *AdmissionController) next() *account {
	var best *account
	for _, a := range g.accounts {
		if len(a.queue) == 0 || a.full() {
			continue
		}
		credit := creditRequests * g.serviceTime / a.share.weight
		a.virtualTime = max(a.virtualTime, g.virtualTime-credit)
		if best == nil || a.before(best) {
			best = a
		}
	}
	return best
}

// late reports whether a request with ahead requests of its account before it in the
// queue is expected to miss its deadline. It assumes the service time of a short
// request: the mean includes streams that last minutes, and would cause the refusal of
// every request with less time left than that.
func (g *AdmissionController) late(t *Ticket, ahead int, now time.Time) bool {
	wait := 0.0
	if g.busy >= g.window.slots() || t.account.full() {
		wait = g.expectedWait(t.account, ahead)
	}
	left := t.request.deadline.Sub(now).Seconds()
	return left < wait+g.quickTime+g.margin
}

// tooLate reports whether a request is expected to miss its deadline even if it is
// admitted now.
func (g *AdmissionController) tooLate(t *Ticket, now time.Time) bool {
	return t.request.deadline.Sub(now).Seconds() < g.quickTime+g.margin
}

// expectedWait returns the expected seconds until a request with ahead requests of its
// account before it gets a slot. The slots are divided by weight among the accounts
// that have queued or admitted requests. The result is infinite without slots.
func (g *AdmissionController) expectedWait(a *account, ahead int) float64 {
	if g.window.slots() <= 0 {
		return math.Inf(1)
	}
	weights := a.share.weight
	for _, other := range g.accounts {
		if other != a && (len(other.queue) > 0 || other.inFlight > 0) {
			weights += other.share.weight
		}
	}
	slots := max(float64(g.window.slots())*a.share.weight/weights, 1)
	if a.share.inFlight > 0 {
		slots = min(slots, float64(a.share.inFlight))
	}
	return float64(ahead+1) * g.serviceTime / slots
}

// retryAfter returns the retry delay for a refused request of an account: the expected
// wait at the end of its queue, between minRetryAfter and maxRetryAfter.
func (g *AdmissionController) retryAfter(a *account) time.Duration {
	wait := g.expectedWait(a, len(a.queue))
	if math.IsInf(wait, 1) {
		return maxRetryAfter
	}
	d := time.Duration(wait * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}
