package requests

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/limits"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/coordination/routing"
)

// Sizes and times of the service that is measured.
const (
	service        = "tally-writers"
	entryCount     = 8
	endpointCount  = 11
	accountCount   = 10
	batch          = 16 // requests that an endpoint runs without slowing down
	hitTime        = 40 * time.Millisecond
	missTime       = 160 * time.Millisecond
	decodeTime     = 200 * time.Millisecond
	requestTimeout = 2 * time.Second
	reportInterval = time.Second
	reapInterval   = 20 * time.Millisecond
	roomPause      = 10 * time.Millisecond
	cachedPrefixes = 48 // prefixes that one endpoint keeps
	// warmUp comes before what is counted, at warmLoad of the peak rate.
	warmUp          = 10 * time.Second
	warmLoad        = 0.6
	busyTries       = 100
	concurrencyTop  = 64
	concurrencyInit = 32
)

// clock runs events in virtual time.
type clock struct {
	now    time.Time
	events eventHeap
	next   int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h eventHeap) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].order < h[j].order
}

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

func (c *clock) after(d time.Duration, run func()) {
	c.next++
	heap.Push(&c.events, event{at: c.now.Add(d), order: c.next, run: run})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// request is one caller's request.
type request struct {
	account  string
	prefix   uint64
	arrived  time.Time
	deadline time.Time
	sequence *retry.Sequence
	busy     int // refusals by busy endpoints
	// saturated is set once the request found all endpoints full.
	saturated bool
	ticket    *limits.Ticket
	done      func(r *request, answered bool)
}

// endpoint is an agent with its concurrency limit before an engine whose batch
// slows down when it is overfull.
type endpoint struct {
	name    string
	limit   *limits.ConcurrencyLimiter
	running int
	cache   *prefixCache
	served  int
}

// entry is the part of an entry that decides on requests.
type entry struct {
	router *routing.Router
	gate   *limits.AdmissionController
	budget *retry.Budget
	queued []*request
}

// policy chooses an endpoint in place of the router, which a nil policy leaves
// in use.
type policy func(f *fleet, r *request) *endpoint

// fleet is all entries and endpoints of one service.
type fleet struct {
	clock
	random    *rand.Rand
	entries   []*entry
	endpoints []*endpoint
	byName    map[string]*endpoint
	policy    policy
	attempts  int
	hits      int
	misses    int
	// firstToken is told the time to the first token of each attempt.
	firstToken func(d time.Duration)
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), byName: map[string]*endpoint{}, firstToken: func(time.Duration) {}}
	f.now = time.Unix(1_700_000_000, 0)
	for i := range endpointCount {
		e := &endpoint{
			name:  fmt.Sprint("writer-", i),
			limit: limits.NewConcurrencyLimiter(limits.WithLimitBounds(2, concurrencyTop), limits.WithInitialLimit(concurrencyInit)),
			cache: newPrefixCache(cachedPrefixes),
		}
		f.endpoints = append(f.endpoints, e)
		f.byName[e.name] = e
	}
	for i := range entryCount {
		f.entries = append(f.entries, f.newEntry(seed, uint64(i)))
	}
	f.after(0, f.report)
	f.after(reapInterval, f.reap)
	return f
}

func (f *fleet) newEntry(seed, i uint64) *entry {
	random := rand.New(rand.NewPCG(seed, i+1))
	now := func() time.Time { return f.now }
	return &entry{
		router: routing.New(fmt.Sprint("entry-", i), routing.WithNow(now), routing.WithRandom(random.Uint64)),
		gate:   limits.NewAdmissionController(limits.WithNow(now), limits.WithServiceTime(missTime+decodeTime)),
		budget: retry.NewBudget(retry.WithRandom(random.Float64)),
	}
}

// report brings the endpoints' limits and loads to all entries.
func (f *fleet) report() {
	total := 0
	list := make([]routing.Endpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		total += e.limit.Limit()
		list = append(list, routing.NewEndpoint(e.name, e.name, routing.WithConcurrencyLimit(e.limit.Limit())))
	}
	for _, en := range f.entries {
		en.router.SetEndpoints(service, list)
		for _, e := range f.endpoints {
			en.router.RecordLoad(routing.NewLoadReport(e.name, 0, e.running))
		}
		en.gate.SetSlotShare(total / entryCount)
		f.collect(en)
	}
	f.after(reportInterval, f.report)
}

func (f *fleet) reap() {
	for _, en := range f.entries {
		en.gate.Expire()
		f.collect(en)
	}
	f.after(reapInterval, f.reap)
}

// offer takes a request in at an entry.
func (f *fleet) offer(en *entry, r *request) {
	r.arrived = f.now
	r.deadline = f.now.Add(requestTimeout)
	r.ticket = en.gate.Submit(limits.NewRequest(r.account, r.deadline))
	en.queued = append(en.queued, r)
	f.collect(en)
}

// collect acts on the verdicts that are there.
func (f *fleet) collect(en *entry) {
	for progress := true; progress; {
		progress = false
		waiting := en.queued
		en.queued = nil
		for _, r := range waiting {
			select {
			case v := <-r.ticket.Decision():
				progress = true
				if v.Admitted() {
					r.sequence = en.budget.Start(retry.WithIdempotent(true))
					f.attempt(en, r)
				} else {
					r.done(r, false)
				}
			default:
				en.queued = append(en.queued, r)
			}
		}
	}
}

func (f *fleet) finish(en *entry, r *request, answered bool) {
	en.gate.Release(r.ticket)
	r.done(r, answered)
	f.collect(en)
}

func (f *fleet) attempt(en *entry, r *request) {
	choice, err := en.router.Pick(routing.NewRequest(service, routing.WithPrefix(r.prefix)))
	if err != nil {
		if !routing.Saturated(err) || f.now.Add(roomPause+decodeTime).After(r.deadline) {
			f.finish(en, r, false)
			return
		}
		if !r.saturated {
			r.saturated = true
			en.gate.RecordOverload()
		}
		f.after(roomPause, func() { f.attempt(en, r) })
		return
	}
	e := f.byName[choice.Name()]
	if f.policy != nil {
		e = f.policy(f, r)
	}
	f.attempts++
	permit, ok := e.limit.Acquire()
	if !ok {
		en.router.Done(choice, routing.Refused)
		en.router.RecordLoad(routing.NewLoadReport(e.name, 0, e.running))
		f.refused(en, r, e)
		return
	}
	f.execute(en, r, choice, e, permit)
}

// refused tries again, for some times without the budget: the gate lets fewer
// requests in instead.
func (f *fleet) refused(en *entry, r *request, e *endpoint) {
	en.gate.RecordOverload()
	r.busy++
	if r.busy <= busyTries && f.now.Add(roomPause+decodeTime).Before(r.deadline) {
		f.after(roomPause, func() { f.attempt(en, r) })
		return
	}
	f.decide(en, r, retry.NeverRan(e.limit.RetryAfter()))
}

func (f *fleet) execute(en *entry, r *request, choice routing.Choice, e *endpoint, permit limits.Permit) {
	e.running++
	e.served++
	prefill := missTime
	if e.cache.use(r.prefix) {
		prefill = hitTime
		f.hits++
	} else {
		f.misses++
	}
	slowdown := max(1, float64(e.running)/batch)
	first := time.Duration(float64(prefill) * slowdown)
	whole := first + time.Duration(float64(decodeTime)*slowdown)
	f.firstToken(f.now.Sub(r.arrived) + first)
	f.after(whole, func() {
		e.running--
		e.limit.Release(permit, first)
		en.router.Done(choice, routing.Succeeded)
		en.router.RecordLoad(routing.NewLoadReport(e.name, 0, e.running))
		f.finish(en, r, !f.now.After(r.deadline))
	})
}

func (f *fleet) decide(en *entry, r *request, o retry.Outcome) {
	d := r.sequence.Decide(o, r.deadline.Sub(f.now)-decodeTime)
	if d.Kind() != retry.Retry {
		f.finish(en, r, false)
		return
	}
	f.after(d.Backoff(), func() { f.attempt(en, r) })
}

// arrivals offers requests at random times to entries in turn. The mean rate, in
// requests a second, is warmRate until start and rate from then on.
func (f *fleet) arrivals(warmRate, rate float64, start, end time.Time, next func() *request) {
	turn := 0
	gap := func() time.Duration {
		if f.now.Before(start) {
			return f.gap(warmRate)
		}
		return f.gap(rate)
	}
	var arrive func()
	arrive = func() {
		if f.now.After(end) {
			return
		}
		turn++
		f.offer(f.entries[turn%entryCount], next())
		f.after(gap(), arrive)
	}
	f.after(gap(), arrive)
}

func (f *fleet) gap(rate float64) time.Duration {
	return time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
}
