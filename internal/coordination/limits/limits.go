// Package limits implements the admission control of entries and the adaptive
// concurrency limit of agents.
//
// An entry has one AdmissionController for each service. It has a number of slots, a
// bounded queue for each client account, and weighted fair queueing between the
// accounts: a free slot goes to the account with the least virtual time, which is the
// slot time that the account has used, divided by its weight. A request that is not
// expected to finish by its deadline is refused with a retry delay, on arrival or while
// it is queued, rather than kept in the queue until its deadline.
//
// A ConcurrencyLimiter limits the attempts that one agent admits, by the gradient of the
// latency.
//
// # Usage
//
//	c := limits.NewAdmissionController(
//		limits.WithSlots(88),
//		limits.WithAccountLimits("shop-1", limits.NewAccountLimits(2)),
//	)
//	ticket := c.Submit(limits.NewRequest("shop-1", deadline))
//	decision := <-ticket.Decision()          // admitted, or refused with RetryAfter
//	if decision.Admitted() {
//		defer c.Release(ticket)
//	}
//	c.Expire()                               // called every few milliseconds
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
	// difference: shortTimeFallGain for a shorter sample, shortTimeRiseGain for a longer
	// one.
	shortTimeFallGain = 0.1
	shortTimeRiseGain = 0.005
	// The safety margin for deadlines grows by marginIncrease times the service time of
	// short requests with each request that ends after its deadline, and shrinks by the
	// fraction marginDecay with each other one. In equilibrium about 1 % of the requests
	// end late.
	marginIncrease = 0.1
	marginDecay    = 0.001
	// maxCreditRequests is the maximum credit, in requests, of an account that has used
	// less than its share.
	maxCreditRequests = 4
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
)

// Reason is the reason why a request was refused. Its text is sent to the caller.
type Reason string

// The reasons for a refusal.
const (
	ReasonRateLimit Reason = "account over its requests a second"
	ReasonQueueFull Reason = "account's queue full"
	ReasonDeadline  Reason = "cannot be reached before the deadline"
	ReasonCanceled  Reason = "given up by the caller"
)

// AdmissionController admits, queues or refuses the requests to one service at one
// entry. It is safe for concurrent use.
type AdmissionController struct {
	now           func() time.Time
	queueLength   int
	defaultLimits AccountLimits

	mu               sync.Mutex
	window           window
	slotsInUse       int
	virtualTime      float64 // seconds of slot time at weight 1
	serviceTime      float64 // seconds, moving average over all accounts
	shortServiceTime float64 // seconds, service time of short requests
	deadlineMargin   float64 // seconds, added to shortServiceTime to check a deadline
	accounts         map[string]*account
	waiting          int // requests in the queues of all accounts
}

// Option sets an optional property of an AdmissionController.
type Option func(*AdmissionController)

// WithSlots sets the equal share of slots, with which the slot window starts. The
// default is 64.
func WithSlots(n int) Option {
	return func(c *AdmissionController) {
		c.window.share = float64(n)
		c.window.size = float64(n)
	}
}

// WithQueueLength sets the maximum number of queued requests of one account. The
// default is 128.
func WithQueueLength(n int) Option {
	return func(c *AdmissionController) { c.queueLength = n }
}

// WithServiceTime sets the initial estimate of the service time. The default is
// 100 ms.
func WithServiceTime(d time.Duration) Option {
	return func(c *AdmissionController) { c.serviceTime = d.Seconds() }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(c *AdmissionController) { c.now = now }
}

// WithAccountLimits sets the weight and the limits of an account.
func WithAccountLimits(name string, s AccountLimits) Option {
	return func(c *AdmissionController) { c.accounts[name] = newAccount(s) }
}

// WithDefaultAccountLimits sets the weight and the limits of accounts without an
// explicit setting.
func WithDefaultAccountLimits(s AccountLimits) Option {
	return func(c *AdmissionController) { c.defaultLimits = s }
}

// NewAdmissionController returns an admission controller without requests.
func NewAdmissionController(options ...Option) *AdmissionController {
	c := &AdmissionController{
		now:           time.Now,
		queueLength:   defaultQueueLength,
		defaultLimits: NewAccountLimits(1),
		serviceTime:   defaultServiceTime.Seconds(),
		accounts:      map[string]*account{},
		window:        newWindow(defaultSlots),
	}
	for _, o := range options {
		o(c)
	}
	c.shortServiceTime = c.serviceTime
	return c
}

// Submit admits, refuses or queues a request. The decision of the ticket is available
// immediately if the request was admitted or refused, and later if it was queued.
func (c *AdmissionController) Submit(r Request) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	t := &Ticket{request: r, decision: make(chan Decision, 1)}
	t.account = c.account(r.account)
	if wait := t.account.takeToken(now); wait > 0 {
		t.refuse(ReasonRateLimit, wait)
		return t
	}
	if len(t.account.queue) >= c.queueLength {
		t.refuse(ReasonQueueFull, c.retryAfter(t.account))
		return t
	}
	if c.missesDeadline(t, len(t.account.queue), now) {
		t.refuse(ReasonDeadline, c.retryAfter(t.account))
		return t
	}
	t.account.push(t)
	c.waiting++
	c.dispatch(now)
	return t
}

// Release frees the slot of an admitted ticket and admits queued requests. It does
// nothing for a ticket that holds no slot.
func (c *AdmissionController) Release(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.state != admitted {
		return
	}
	t.state = finished
	now := c.now()
	held := now.Sub(t.admittedAt).Seconds()
	c.window.recordRelease(c.slotsInUse)
	c.updateMargin(now.After(t.request.deadline))
	t.account.charge(held - t.charged)
	t.account.inFlight--
	c.slotsInUse--
	c.updateServiceTime(held)
	c.dispatch(now)
}

// updateMargin updates the safety margin with a request that ended before or after its
// deadline.
func (c *AdmissionController) updateMargin(late bool) {
	if late {
		c.deadlineMargin += marginIncrease * c.shortServiceTime
		return
	}
	c.deadlineMargin *= 1 - marginDecay
}

// RecordOverload records that an admitted request found no capacity, because an endpoint
// at its concurrency limit refused it or all endpoints were at capacity. This shrinks
// the slot window.
func (c *AdmissionController) RecordOverload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window.recordOverload()
}

// updateServiceTime updates the estimated service times with the seconds that a request
// held its slot.
func (c *AdmissionController) updateServiceTime(held float64) {
	c.serviceTime += serviceTimeGain * (held - c.serviceTime)
	gain := shortTimeRiseGain
	if held < c.shortServiceTime {
		gain = shortTimeFallGain
	}
	c.shortServiceTime += gain * (held - c.shortServiceTime)
}

// Cancel removes a queued request, or releases the slot of an admitted one.
func (c *AdmissionController) Cancel(t *Ticket) {
	c.mu.Lock()
	if t.state == queued {
		t.account.remove(t)
		c.waiting--
		t.refuse(ReasonCanceled, minRetryAfter)
	}
	c.mu.Unlock()
	c.Release(t)
}

// Expire refuses all queued requests that are no longer expected to finish by their
// deadline.
func (c *AdmissionController) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, a := range c.accounts {
		c.expireAccount(a, now)
	}
}

func (c *AdmissionController) expireAccount(a *account, now time.Time) {
	kept := a.queue[:0]
	for _, t := range a.queue {
		if !c.missesDeadline(t, len(kept), now) {
			kept = append(kept, t)
			continue
		}
		c.waiting--
		t.refuse(ReasonDeadline, c.retryAfter(a))
	}
	clear(a.queue[len(kept):])
	a.queue = kept
}

// SetSlotShare sets this entry's equal share of the sum of the endpoints' concurrency
// limits. The slot window varies between multiples of the share, by default 0.5 and 4,
// with the demand at this and the other entries.
func (c *AdmissionController) SetSlotShare(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window.setShare(n)
	c.dispatch(c.now())
}

// SetAccountLimits sets the weight and the limits of an account. Its queue is kept.
func (c *AdmissionController) SetAccountLimits(name string, s AccountLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account(name).setLimits(s)
}

// Waiting returns the number of queued requests.
func (c *AdmissionController) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// InFlight returns the number of slots in use.
func (c *AdmissionController) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slotsInUse
}

// account returns the state of an account, which it creates for a new name.
func (c *AdmissionController) account(name string) *account {
	a := c.accounts[name]
	if a == nil {
		a = newAccount(c.defaultLimits)
		c.accounts[name] = a
	}
	return a
}

// dispatch admits queued requests while slots are free, the account with the least
// virtual time first. It refuses requests that can't finish by their deadline.
func (c *AdmissionController) dispatch(now time.Time) {
	for c.slotsInUse < c.window.slots() {
		a := c.nextAccount()
		if a == nil {
			return
		}
		t := a.pop()
		c.waiting--
		if c.missesDeadlineIfAdmitted(t, now) {
			t.refuse(ReasonDeadline, c.retryAfter(a))
			continue
		}
		c.admit(t, now)
	}
}

// admit charges the account with the mean service time in advance; Release corrects the
// charge by the time that the request took.
func (c *AdmissionController) admit(t *Ticket, now time.Time) {
	a := t.account
	c.virtualTime = max(c.virtualTime, a.virtualTime)
	t.charged = c.serviceTime
	a.charge(t.charged)
	a.inFlight++
	c.slotsInUse++
	t.admittedAt = now
	t.state = admitted
	t.decision <- Decision{admitted: true}
}

// nextAccount returns the account whose request is admitted next, or nil if no account
// has a request that may be admitted. An account that has used less than its share keeps
// credit for maxCreditRequests requests, so that a short burst is not delayed. The credit
// is limited because an account that was idle for a long time would otherwise get every
// free slot until its virtual time reached that of the other accounts.
func (c *AdmissionController) nextAccount() *account {
	var best *account
	for _, a := range c.accounts {
		if len(a.queue) == 0 || a.atInFlightLimit() {
			continue
		}
		credit := maxCreditRequests * c.serviceTime / a.limits.weight
		a.virtualTime = max(a.virtualTime, c.virtualTime-credit)
		if best == nil || a.precedes(best) {
			best = a
		}
	}
	return best
}

// missesDeadline reports whether a request with ahead requests of its account before it
// in the queue is expected to miss its deadline. It assumes the service time of a short
// request: the mean includes streams that last minutes, and would cause the refusal of
// every request with less time left than that.
func (c *AdmissionController) missesDeadline(t *Ticket, ahead int, now time.Time) bool {
	wait := 0.0
	if c.slotsInUse >= c.window.slots() || t.account.atInFlightLimit() {
		wait = c.expectedWait(t.account, ahead)
	}
	timeLeft := t.request.deadline.Sub(now).Seconds()
	return timeLeft < wait+c.shortServiceTime+c.deadlineMargin
}

// missesDeadlineIfAdmitted reports whether a request is expected to miss its deadline
// even if it is admitted now.
func (c *AdmissionController) missesDeadlineIfAdmitted(t *Ticket, now time.Time) bool {
	return t.request.deadline.Sub(now).Seconds() < c.shortServiceTime+c.deadlineMargin
}

// expectedWait returns the expected seconds until a request with ahead requests of its
// account before it gets a slot. The slots are divided by weight among the accounts
// that have queued or admitted requests. The result is infinite without slots.
func (c *AdmissionController) expectedWait(a *account, ahead int) float64 {
	if c.window.slots() <= 0 {
		return math.Inf(1)
	}
	totalWeight := a.limits.weight
	for _, other := range c.accounts {
		if other != a && (len(other.queue) > 0 || other.inFlight > 0) {
			totalWeight += other.limits.weight
		}
	}
	slots := max(float64(c.window.slots())*a.limits.weight/totalWeight, 1)
	if a.limits.maxInFlight > 0 {
		slots = min(slots, float64(a.limits.maxInFlight))
	}
	return float64(ahead+1) * c.serviceTime / slots
}

// retryAfter returns the retry delay for a refused request of an account: the expected
// wait at the end of its queue, between minRetryAfter and maxRetryAfter.
func (c *AdmissionController) retryAfter(a *account) time.Duration {
	wait := c.expectedWait(a, len(a.queue))
	if math.IsInf(wait, 1) {
		return maxRetryAfter
	}
	d := time.Duration(wait * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}
