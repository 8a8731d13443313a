// Package limits decides which requests an entry takes, in which order, and how
// many an agent admits at once.
//
// A Gate stands in the entry before each service. It has a number of slots, a
// bounded queue for each client account, and weighted fairness between the
// accounts by virtual time: a free slot goes to the account that has had the
// least slot time for its weight. A request that cannot be reached in time is
// refused at once and told when to come back, on arrival as well as while it
// waits; none is held until its deadline.
//
// A Concurrency limits what one agent admits, by the gradient of the latency.
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
	// The shortest time moves down by quickFall and up by quickRise of the
	// distance to a sample.
	quickFall = 0.1
	quickRise = 0.005
	// The margin grows by lateRise of the quick time with each request that ends
	// after its deadline and shrinks by lateFall with each other one, so that
	// about one in a hundred ends late.
	lateRise = 0.1
	lateFall = 0.001
	// creditRequests is the credit of an account that used less than its share.
	creditRequests = 4
	minRetryAfter  = 50 * time.Millisecond
	maxRetryAfter  = 30 * time.Second
)

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	ReasonRateLimit     Reason = "account over its requests a second"
	ReasonQueueFull    Reason = "account's queue full"
	ReasonDeadline Reason = "cannot be reached before the deadline"
	ReasonCanceled Reason = "given up by the caller"
)

// AdmissionController admits requests to one service at one entry. It is safe for concurrent
// use.
type AdmissionController struct {
	now          func() time.Time
	queueLength  int
	defaultShare AccountLimits

	mu          sync.Mutex
	window      window
	busy        int
	virtualTime float64 // seconds of slot time at weight 1
	serviceTime float64 // seconds, moving average over all accounts
	quickTime   float64 // seconds, what short requests take
	margin      float64 // seconds beyond the quick time that a deadline needs
	accounts    map[string]*account
	waiting     int
}

// Option sets an optional property of a Gate.
type Option func(*AdmissionController)

// WithSlots sets how many requests are in progress at once.
func WithSlots(n int) Option {
	return func(g *AdmissionController) {
		g.window.share = float64(n)
		g.window.size = float64(n)
	}
}

// WithQueueLength sets how many requests of one account wait at most.
func WithQueueLength(n int) Option {
	return func(g *AdmissionController) { g.queueLength = n }
}

// WithServiceTime sets the expected time of a request until one was measured.
func WithServiceTime(d time.Duration) Option {
	return func(g *AdmissionController) { g.serviceTime = d.Seconds() }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(g *AdmissionController) { g.now = now }
}

// WithAccountLimits sets an account's share and limits.
func WithAccountLimits(name string, s AccountLimits) Option {
	return func(g *AdmissionController) { g.accounts[name] = newAccount(s) }
}

// WithDefaultAccountLimits sets the share of accounts that were not named.
func WithDefaultAccountLimits(s AccountLimits) Option {
	return func(g *AdmissionController) { g.defaultShare = s }
}

// NewAdmissionController returns an idle gate.
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

// Submit takes a request in. The ticket's verdict is there at once if the
// request is admitted or refused on arrival, later if it waits.
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

// Release gives the slot of an admitted ticket back and lets the next request
// in.
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

func (g *AdmissionController) learnMargin(late bool) {
	if late {
		g.margin += lateRise * g.quickTime
		return
	}
	g.margin *= 1 - lateFall
}

// RecordOverload tells the gate that an endpoint refused a request that it let
// through, because the endpoint runs as many as it can.
func (g *AdmissionController) RecordOverload() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window.refused()
}

// sample takes in how long a request held its slot.
func (g *AdmissionController) sample(held float64) {
	g.serviceTime += serviceTimeGain * (held - g.serviceTime)
	gain := quickRise
	if held < g.quickTime {
		gain = quickFall
	}
	g.quickTime += gain * (held - g.quickTime)
}

// Cancel takes a waiting ticket out, or releases an admitted one.
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

// Expire refuses each waiting request that can no longer be reached in time.
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

// SetSlotShare changes the even share of the endpoints' limits that this entry has.
// The slots move between half of it and a multiple, with the demand here and at
// the other entries.
func (g *AdmissionController) SetSlotShare(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window.set(n)
	g.dispatch(g.now())
}

// SetAccountLimits changes an account's share and limits. Its queue stays.
func (g *AdmissionController) SetAccountLimits(name string, s AccountLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account(name).setShare(s)
}

// Waiting returns the number of requests in the queues.
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

func (g *AdmissionController) account(name string) *account {
	a := g.accounts[name]
	if a == nil {
		a = newAccount(g.defaultShare)
		g.accounts[name] = a
	}
	return a
}

// dispatch hands free slots to the accounts that have had the least.
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

// next returns the account whose turn it is. An account that used less than its
// share has credit for a few requests, so that those which come close together
// do not wait for each other, and for no more.
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

// late reports whether a request that has ahead requests of its account before
// it will not finish by its deadline. It is taken for a short one: beside streams
// of minutes the mean would refuse every request with less time than that.
func (g *AdmissionController) late(t *Ticket, ahead int, now time.Time) bool {
	wait := 0.0
	if g.busy >= g.window.slots() || t.account.full() {
		wait = g.expectedWait(t.account, ahead)
	}
	left := t.request.deadline.Sub(now).Seconds()
	return left < wait+g.quickTime+g.margin
}

// tooLate reports whether a request can no longer finish by its deadline even
// if it starts now.
func (g *AdmissionController) tooLate(t *Ticket, now time.Time) bool {
	return t.request.deadline.Sub(now).Seconds() < g.quickTime+g.margin
}

// expectedWait returns the seconds until the request behind ahead others of its
// account gets a slot, with the slots shared by weight among the accounts that
// use the gate now.
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

func (g *AdmissionController) retryAfter(a *account) time.Duration {
	wait := g.expectedWait(a, len(a.queue))
	if math.IsInf(wait, 1) {
		return maxRetryAfter
	}
	d := time.Duration(wait * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}
