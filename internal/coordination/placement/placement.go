// Package placement decides, for one service at one entry, on which endpoint a request
// is placed, how long it may wait for capacity, and when it is refused.
//
// A Pool counts its own requests in flight exactly. The load from other entries is taken
// from the sums that they exchange. A request is placed on the endpoint with the earliest
// predicted first event of the response, and in its own failure domain if endpoints are
// equal.
//
// While no endpoint has capacity, requests wait in order of priority, then of arrival, as
// long as they can meet their target for the first event. A request that can no longer
// meet it, for example because its caller retried too late, waits behind all others for
// a short time. A request that is not expected to be placed in that time is refused at
// once, with a random retry-after time that spreads the retries.
//
// An EntrySelection holds the entries that the callers of a failure domain are directed
// to.
//
// The package does no I/O and reads no clock. The caller passes the time, so that the
// processes, the tests and the measurements run the same decisions.
//
// # Usage
//
//	p := placement.New(placement.WithDomain("riga-a"))
//	p.SetEndpoints(now, candidates)
//	ticket := p.Submit(now, placement.Request{...})
//	decision := <-ticket.Decision()
//	if decision.Placed() {
//		...
//		p.Release(time, decision.Choice(), placement.Succeeded)
//	}
//	p.Expire(now) // call every few milliseconds while requests wait
package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/locality"
)

// Pool places the requests of one service. It is safe for concurrent use.
type Pool struct {
	domain     string
	overcommit int
	random     func() float64
	model      LatencyModel

	mu               sync.Mutex
	endpoints        map[string]*endpoint
	listed           []*endpoint // those that may be used, shuffled
	begun            queue       // requests whose response has begun
	onTime           queue       // requests that can meet their target
	late             queue       // requests that can no longer meet it
	placedSinceLate  int         // placements since the last one from the late queue
	preferredLag     lag         // of first events at preferred endpoints
	otherLag         lag         // of first events at others, where the latest load is not known
	uncontendedShare float64     // share of placements made while no on-time request waited
	serviceTime      serviceTime
	afterFirstEvent  duration      // from the predicted first event to the end of a request
	medianInterval   time.Duration // median event interval of the endpoints
	inFlight         int
	limitedCount     int           // endpoints with a rate limit
	boundedCount     int           // endpoints where requests have to begin before some time
	arrivalRate      float64       // submitted requests a second, as of arrivedAt
	arrivedAt        time.Duration // last submitted request
	use              accountUse    // of permits
	permitsWanted    func()
	unlistedWaits    unlistedWaits
	distant          bool // some endpoint is at a known distance
	urgencies        urgencies
	need             locality.Need // of requests that found no room in the own failure domain
}

// Option sets a property of a Pool.
type Option func(*Pool)

// WithDomain sets the failure domain of the entry.
func WithDomain(domain string) Option { return func(p *Pool) { p.domain = domain } }

// WithOvercommit sets how many requests beyond its slots may be placed on an endpoint, so
// that the next one is already there when one ends.
func WithOvercommit(n int) Option { return func(p *Pool) { p.overcommit = n } }

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option { return func(p *Pool) { p.random = random } }

// SetLatencyModel sets the latency model of the endpoints.
func (p *Pool) SetLatencyModel(m LatencyModel) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model = m
}

// New returns a Pool without endpoints.
func New(options ...Option) *Pool {
	p := &Pool{random: rand.Float64, uncontendedShare: 1, endpoints: make(map[string]*endpoint), unlistedWaits: make(unlistedWaits), use: newAccountUse()}
	for _, o := range options {
		o(p)
	}
	return p
}

// Parameters of predicted waits and of retries by callers.
const (
	// minRetryAfter and maxRetryAfter bound the retry-after time of refused requests,
	// apart from the time until a hold ends. Callers wait no longer than a third of the
	// time that they have left.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1800 * time.Millisecond
)

// SetEndpoints replaces the endpoints that may be used. Requests in flight at removed
// endpoints are still counted until they end.
func (p *Pool) SetEndpoints(now time.Duration, candidates []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(candidates))
	p.listed = p.listed[:0]
	p.limitedCount, p.boundedCount, p.distant = 0, 0, false
	for _, c := range candidates {
		if c.Limited {
			p.limitedCount++
		}
		if c.BeginBefore > 0 {
			p.boundedCount++
		}
		p.distant = p.distant || c.Distance > 0
		listed[c.ID] = true
		e := p.endpoints[c.ID]
		if e == nil {
			e = &endpoint{waits: p.unlistedWaits.take(c.ID)}
			p.endpoints[c.ID] = e
		}
		if e.Candidate.Address != c.Address || e.Version != c.Version {
			e.failures, e.misdirected, e.ejectedUntil = 0, 0, 0
		}
		if e.Candidate.Started != c.Started {
			e.hold = hold{}
		}
		e.keepPermits(c)
		e.Candidate = c
		e.hold.extend(c.HeldUntil)
		p.listed = append(p.listed, e)
	}
	p.shuffle()
	p.unlistedWaits.expire(now)
	for id, e := range p.endpoints {
		if !listed[id] && e.ownLoad.InFlight == 0 {
			p.unlistedWaits.add(now, e)
			delete(p.endpoints, id)
		}
	}
	p.placeQueued(now)
}

// shuffle puts the endpoints into a random order, so that consecutive endpoints from a
// random position are a sample of all failure domains.
func (p *Pool) shuffle() {
	for i := len(p.listed) - 1; i > 0; i-- {
		j := int(p.random() * float64(i+1))
		p.listed[i], p.listed[j] = p.listed[j], p.listed[i]
	}
}

// SetPeerLoad replaces the load from other entries. The function load returns it by
// endpoint ID.
func (p *Pool) SetPeerLoad(now time.Duration, load func(id string) Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.listed {
		e.peerLoad = load(e.ID)
	}
	p.placeQueued(now)
}

// medianEventInterval returns the median event interval of the endpoints for which one
// has been recorded, 0 if there are none.
func (p *Pool) medianEventInterval() time.Duration {
	var intervals []time.Duration
	for _, e := range p.listed {
		if e.eventInterval > 0 {
			intervals = append(intervals, e.eventInterval)
		}
	}
	if len(intervals) == 0 {
		return 0
	}
	slices.Sort(intervals)
	return intervals[len(intervals)/2]
}

// Submit places the request, queues it or refuses it. The ticket delivers the decision.
func (p *Pool) Submit(now time.Duration, r Request) *Ticket {
	t := &Ticket{request: r, submittedAt: now, decision: make(chan Decision, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordArrival(now, r)
	defer p.requestPermits(now)
	p.placeQueued(now)
	p.setWaitLimits(now, t)
	if t.ahead = p.queueOf(r).countAhead(t); t.ahead == 0 {
		e, delay := p.bestEndpoint(now, r)
		p.recordNeed(now, r, e)
		if e != nil && p.admits(now, t, e, delay) {
			p.urgencies.record(now, r, false)
			p.place(now, t, e, delay)
			return t
		}
	} else {
		p.recordNeed(now, r, nil)
	}
	p.urgencies.record(now, r, true)
	p.enqueue(now, t)
	return t
}

// queueOf returns the queue in which a request that has just arrived would wait first.
func (p *Pool) queueOf(r Request) queue {
	if r.Begun {
		return p.begun
	}
	return p.onTime
}

// lagOf returns the lag of preferred endpoints, or of other endpoints.
func (p *Pool) lagOf(preferred bool) *lag {
	if preferred {
		return &p.preferredLag
	}
	return &p.otherLag
}

// admits reports whether a request that has just arrived may be placed on an endpoint
// with the given predicted time to the first event.
func (p *Pool) admits(now time.Duration, t *Ticket, e *endpoint, delay time.Duration) bool {
	if t.request.tooLate(now) {
		return false
	}
	if p.meetsTarget(now, t, e, delay) {
		return true
	}
	return p.late.countAhead(t) == 0 && p.lateFits(t.request, delay)
}

// Cancel removes a waiting request from its queue.
func (p *Pool) Cancel(t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range []*queue{&p.begun, &p.onTime, &p.late} {
		if q.remove(t) {
			return
		}
	}
}

// Release records that a request has ended at its endpoint, and how.
func (p *Pool) Release(now time.Duration, c Choice, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[c.ID]
	if e == nil {
		return
	}
	e.ownLoad.InFlight--
	e.ownLoad.PrefillTokens -= c.pendingPrefill()
	e.waits.end(now, &c, outcome)
	p.inFlight--
	e.recordOutcome(now, outcome)
	if outcome == Stale || outcome == Unreachable {
		e.returnPermit(now, c.permitUntil)
	}
	if outcome == Succeeded {
		p.serviceTime.record(now - c.placed)
		p.afterFirstEvent.record(max(now-c.placed-c.firstEventDelay, 0))
		e.hold.recordResponse(c.placed)
	} else {
		e.hold.recordFailure(c.placed)
	}
	p.placeQueued(now)
}

// Expire places waiting requests for which there is capacity, for example since an
// ejection has ended, moves those that can no longer meet their target to the late
// queue, and refuses those whose wait is over.
func (p *Pool) Expire(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placeQueued(now)
	p.expire(now)
	p.demote(now)
	p.refuseUnpermitted(now)
	p.use.expire(now)
}

// Waiting returns the number of waiting requests.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.begun) + len(p.onTime) + len(p.late)
}

// Loads returns the entry's own load on each endpoint where it has requests in flight.
func (p *Pool) Loads() []EndpointLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []EndpointLoad
	for id, e := range p.endpoints {
		if e.ownLoad.InFlight > 0 {
			loads = append(loads, EndpointLoad{ID: id, Load: e.ownLoad})
		}
	}
	return loads
}

// RecordFirstEvent records the first event of the response to a request.
func (p *Pool) RecordFirstEvent(now time.Duration, c *Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[c.ID]; e != nil {
		e.ownLoad.PrefillTokens -= c.pendingPrefill()
		e.hold.recordResponse(c.placed)
		e.waits.begin(now, c)
	}
	if p.model.Step > 0 && !c.began {
		p.lagOf(c.Preferred).record(now - c.placed - c.firstEventDelay)
	}
	c.began = true
	p.placeQueued(now)
}

// RecordEventInterval records the interval between two events of a response stream.
func (p *Pool) RecordEventInterval(c Choice, interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[c.ID]; e != nil {
		e.recordEventInterval(interval)
	}
}

func (p *Pool) place(now time.Duration, t *Ticket, e *endpoint, delay time.Duration) {
	choice := Choice{
		Candidate:       e.Candidate,
		placed:          now,
		prompt:          t.request.Prompt,
		firstEventDelay: delay,
		inFlight:        e.ownLoad.InFlight + e.peerLoad.InFlight,
		prefillTokens:   e.ownLoad.PrefillTokens + e.peerLoad.PrefillTokens,
	}
	e.ownLoad.InFlight++
	e.ownLoad.PrefillTokens += t.request.Prompt
	e.waits.add(now)
	if e.Limited {
		choice.permitUntil = e.takePermit()
		p.use.take(now, t.request.Account)
	} else {
		e.quota--
	}
	e.hold.probesPlaced++
	p.inFlight++
	p.urgencies.placed(t.request.Priority)
	p.placedSinceLate++
	p.recordContention()
	t.decision <- Decision{choice: choice, placed: true, waited: t.waited(now), ahead: t.ahead}
}

func (p *Pool) refuse(now time.Duration, t *Ticket, reason Reason) {
	t.decision <- Decision{
		reason:     reason,
		retryAfter: p.retryAfter(now, reason),
		waited:     t.waited(now),
		ahead:      t.ahead,
	}
}

// retryAfter returns a uniformly distributed time, so that callers that were refused
// together do not retry together. While no endpoint can take requests at all, the times
// are longer, since endpoints recover one after the other. While all endpoints are held,
// no caller retries before the first hold ends.
func (p *Pool) retryAfter(now time.Duration, reason Reason) time.Duration {
	minimum := minRetryAfter
	if reason == ReasonNoEndpoint {
		minimum = maxRetryAfter / 2
	}
	if reason == ReasonRateLimited {
		minimum = max(minRetryAfter, p.permitRetryAfter(now))
		return p.holdRemaining(now) + minimum + time.Duration(p.random()*float64(maxRetryAfter))
	}
	return p.holdRemaining(now) + minimum + time.Duration(p.random()*float64(maxRetryAfter-minimum))
}

// meanInFlight returns the mean number of requests in flight at an endpoint without a rate
// limit, or at all if every endpoint has one.
func (p *Pool) meanInFlight() int {
	n, counted := 0, 0
	for _, e := range p.listed {
		if e.Limited && p.limitedCount < len(p.listed) {
			continue
		}
		n += e.ownLoad.InFlight + e.peerLoad.InFlight
		counted++
	}
	return n / max(counted, 1)
}

// resumedFactor is how many mean service times must be left before the bound of an endpoint's
// weights for a stream to go on there.
const resumedFactor = 2

// endsAgain reports whether the bound of an endpoint's weights could end a stream once more
// that has broken off.
func (p *Pool) endsAgain(now time.Duration, e *endpoint) bool {
	return e.BeginBefore > 0 && now+resumedFactor*p.serviceTime.average() > e.BeginBefore
}

// otherSampleSize is the number of endpoints other than the preferred ones that are
// considered for one request. Their reported load is old, so that the best of all of them
// would be chosen by every entry at the same time.
const otherSampleSize = 3

// bestEndpoint returns the endpoint with the lowest score that can take the request, and
// the predicted time to the first event there. The endpoint is nil if there is none.
func (p *Pool) bestEndpoint(now time.Duration, r Request) (*endpoint, time.Duration) {
	var home, away offer
	sampled := 0
	w := p.withheldFrom(now, &r)
	start := int(p.random() * float64(len(p.listed)))
	for i := range p.listed {
		e := p.listed[(start+i)%len(p.listed)]
		sample := !e.Preferred && !e.Limited
		if sample && sampled >= otherSampleSize || p.obstacle(now, &r, w, e) != NoObstacle {
			continue
		}
		if sample {
			sampled++
		}
		delay := e.firstEventDelay(p.model, p.medianInterval, r.Prompt)
		if !p.beginsInTime(now, e, delay) {
			continue
		}
		score := e.score(delay, p.domain, p.random())
		if e.Distance > 0 {
			away.take(e, score, delay)
		} else {
			home.take(e, score, delay)
		}
	}
	if p.leaves(now, r, home, away) {
		return away.endpoint, away.delay
	}
	return home.endpoint, home.delay
}
