// Package placement decides, for one service at one entry, which endpoint a
// request goes to, how long it may wait for room, and when it is turned away.
//
// A Pool knows its own requests in flight exactly and those of the other entries
// from the sums that they send around. A request goes to the endpoint at which its
// answer should begin soonest, in its own failure domain where that is equal.
//
// While no endpoint has room a request waits, more urgent ones first and in order of
// arrival among equals, as long as it can still be answered within its target. One
// that can't, or whose caller comes back too late for that, waits behind all others
// and not for long. What is not expected to be placed by then is refused at once,
// with a time to come back that spreads the returns.
//
// A Roster is the choice of the entries that callers of a failure domain are sent to.
//
// The package has no I/O and no clock of its own: its owner passes the time, so
// that the processes, the tests and the measurements run the same decisions.
//
// # Usage
//
//	p := placement.New(placement.WithDomain("riga-a"))
//	p.SetEndpoints(now, candidates)
//	ticket := p.Offer(now, placement.Request{...})
//	verdict := <-ticket.Verdict()
//	if verdict.Placed() {
//		...
//		p.Release(time, verdict.Choice(), placement.Succeeded)
//	}
//	p.Expire(now) // called every few milliseconds while requests wait
package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Pool places the requests of one service. It is safe for concurrent use.
type Pool struct {
	domain   string
	overfill int
	random   func() float64
	model    LatencyModel

	mu        sync.Mutex
	endpoints map[string]*endpoint
	order     []*endpoint
	waiting   queue   // for an answer in time
	late      queue   // their targets have passed
	sinceLate int     // placements since the last late one
	homeLag   lag     // of the first events
	awayLag   lag     // what others have just sent there is not known
	slack     float64 // share of placements for which nobody else waited
	held      time.Duration
	usualGap  time.Duration // median over the endpoints
	inFlight  int
}

// Option sets a property of a Pool.
type Option func(*Pool)

// WithDomain sets the own failure domain.
func WithDomain(domain string) Option { return func(p *Pool) { p.domain = domain } }

// WithOvercommit sets how many requests beyond its slots an endpoint is given, so
// that it has the next one at hand when one ends.
func WithOvercommit(n int) Option { return func(p *Pool) { p.overfill = n } }

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option { return func(p *Pool) { p.random = random } }

// SetLatencyModel sets how the endpoints work.
func (p *Pool) SetLatencyModel(m LatencyModel) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model = m
}

// New returns a Pool without endpoints.
func New(options ...Option) *Pool {
	p := &Pool{random: rand.Float64, slack: 1, endpoints: make(map[string]*endpoint)}
	for _, o := range options {
		o(p)
	}
	return p
}

// Times of the decisions.
const (
	// defaultHeld is the time that a request holds its place before any is known.
	defaultHeld = time.Second
	// shortestReturn and longestReturn bound what a refused caller is told. Callers
	// keep to a third of the time that they have left.
	shortestReturn = 300 * time.Millisecond
	longestReturn  = 1800 * time.Millisecond
)

// SetEndpoints replaces the endpoints that may be used. What is in flight at the
// others is still counted when it ends.
func (p *Pool) SetEndpoints(now time.Duration, candidates []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(candidates))
	p.order = p.order[:0]
	for _, c := range candidates {
		listed[c.ID] = true
		e := p.endpoints[c.ID]
		if e == nil {
			e = &endpoint{}
			p.endpoints[c.ID] = e
		}
		if e.Candidate.Address != c.Address || e.Version != c.Version {
			e.failures, e.misplaced, e.closedUntil = 0, 0, 0
		}
		if e.Candidate.Started != c.Started {
			e.hold = hold{}
		}
		e.Candidate = c
		e.hold.extend(c.HeldUntil)
		p.order = append(p.order, e)
	}
	p.shuffle()
	for id, e := range p.endpoints {
		if !listed[id] && e.own.InFlight == 0 {
			delete(p.endpoints, id)
		}
	}
	p.pump(now)
}

// shuffle puts the endpoints into an order of this entry's own, so that a sample
// taken from a random place on has endpoints of every failure domain.
func (p *Pool) shuffle() {
	for i := len(p.order) - 1; i > 0; i-- {
		j := int(p.random() * float64(i+1))
		p.order[i], p.order[j] = p.order[j], p.order[i]
	}
}

// SetPeerLoad replaces the work of the other entries, by endpoint.
func (p *Pool) SetPeerLoad(now time.Duration, work func(id string) Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.order {
		e.others = work(e.ID)
	}
	p.pump(now)
}

// EntryCounts are the entries that may use an endpoint beside those whose home it is.
type EntryCounts struct {
	// SameRegion is the number of entries in a region, OtherRegions that of all others.
	SameRegion, OtherRegions int
}

// GrantQuota allows this entry a share of the room that it believes the other entries'
// homes to have, until the next call: the entries do not know what the others place
// in between. Far endpoints are allotted with far set, which follows the longer
// interval at which regions tell each other.
func (p *Pool) GrantQuota(now time.Duration, n EntryCounts, far bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usualGap = p.medianGap()
	for _, e := range p.order {
		switch {
		case e.Preferred:
		case e.SameRegion:
			e.allowance = e.share(nearShare, n.SameRegion, p.overfill, p.random())
		case far:
			e.allowance = e.share(1-nearShare, n.OtherRegions, p.overfill, p.random())
		}
	}
	p.pump(now)
}

// medianGap returns the median pause between events over the endpoints that have
// answered, 0 for none.
func (p *Pool) medianGap() time.Duration {
	var gaps []time.Duration
	for _, e := range p.order {
		if e.gap > 0 {
			gaps = append(gaps, e.gap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}

// nearShare of the room goes to the entries of the endpoint's region.
const nearShare = 0.7

// Submit asks for an endpoint.
func (p *Pool) Submit(now time.Duration, r Request) *Ticket {
	t := &Ticket{request: r, offered: now, verdict: make(chan Decision, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump(now)
	p.schedule(now, t)
	if t.queued = p.waiting.ahead(t); t.queued == 0 {
		e, first := p.best(now, r)
		if e != nil && p.admits(now, t, e, first) {
			p.place(now, t, e, first)
			return t
		}
	}
	p.enqueue(now, t, ReasonOverload)
	return t
}

// lagOf returns the lag of the own homes, or of other entries' homes.
func (p *Pool) lagOf(home bool) *lag {
	if home {
		return &p.homeLag
	}
	return &p.awayLag
}

// admits reports whether a request that has just come may take the place at which
// its answer would begin after first.
func (p *Pool) admits(now time.Duration, t *Ticket, e *endpoint, first time.Duration) bool {
	if p.meets(now, t, e, first) {
		return true
	}
	return p.late.ahead(t) == 0 && p.lateFits(t.request, first)
}

// Cancel withdraws a request that waits.
func (p *Pool) Cancel(t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiting.remove(t) {
		p.late.remove(t)
	}
}

// Release ends the work of a request at its endpoint.
func (p *Pool) Release(now time.Duration, c Choice, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[c.ID]
	if e == nil {
		return
	}
	e.own.InFlight--
	e.own.PrefillTokens -= c.unreadLeft()
	p.inFlight--
	e.learn(now, outcome)
	if outcome == Succeeded {
		p.learnHeld(now - c.placed)
		e.hold.answered(c.placed)
	} else {
		e.hold.unanswered(c.placed)
	}
	p.pump(now)
}

// Hold keeps requests from an endpoint until a time. What is in flight there goes on.
func (p *Pool) Hold(now time.Duration, id string, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.hold.extend(until)
	}
	p.refuseHeld(now)
}

// HoldRemaining returns how long no endpoint takes requests because all are held, 0 where one
// is not.
func (p *Pool) HoldRemaining(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opens(now)
}

// opens is Opens for a caller that holds the mutex.
func (p *Pool) opens(now time.Duration) time.Duration {
	if len(p.order) == 0 {
		return 0
	}
	first := p.order[0].hold.until
	for _, e := range p.order {
		first = min(first, e.hold.until)
	}
	return max(first-now, 0)
}

// learnHeld keeps a moving mean over about 32 requests.
func (p *Pool) learnHeld(d time.Duration) {
	if p.held == 0 {
		p.held = d
	}
	p.held += (d - p.held) / 32
}

// Expire ends the waits that are over, and places what found room since an endpoint
// was closed for a time.
func (p *Pool) Expire(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump(now)
	p.expire(now)
	p.demote(now)
}

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) + len(p.late)
}

// Loads returns the own requests in flight at each endpoint that has any.
func (p *Pool) Loads() []EndpointLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []EndpointLoad
	for id, e := range p.endpoints {
		if e.own.InFlight > 0 {
			loads = append(loads, EndpointLoad{ID: id, Load: e.own})
		}
	}
	return loads
}

// RecordFirstEvent records that the answer of a request has begun.
func (p *Pool) RecordFirstEvent(now time.Duration, c *Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[c.ID]; e != nil {
		e.own.PrefillTokens -= c.unreadLeft()
		e.hold.answered(c.placed)
	}
	if p.model.Step > 0 && !c.began {
		p.lagOf(c.Preferred).learn(now - c.placed - c.first)
	}
	c.began = true
	p.pump(now)
}

// RecordEventInterval records the time between two events of a stream at an endpoint.
func (p *Pool) RecordEventInterval(c Choice, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[c.ID]; e != nil {
		e.learnGap(gap)
	}
}

func (p *Pool) place(now time.Duration, t *Ticket, e *endpoint, first time.Duration) {
	choice := Choice{
		Candidate: e.Candidate,
		placed:    now,
		prompt:    t.request.Prompt,
		first:     first,
		inFlight:  e.own.InFlight + e.others.InFlight,
		unread:    e.own.PrefillTokens + e.others.PrefillTokens,
	}
	e.own.InFlight++
	e.own.PrefillTokens += t.request.Prompt
	e.allowance--
	e.hold.probed++
	p.inFlight++
	p.sinceLate++
	p.noteSlack()
	t.verdict <- Decision{choice: choice, placed: true, waited: now - t.offered, queued: t.queued}
}

func (p *Pool) refuse(now time.Duration, t *Ticket, reason Reason) {
	t.verdict <- Decision{
		reason:     reason,
		retryAfter: p.retryAfter(now, reason),
		waited:     now - t.offered,
		queued:     t.queued,
	}
}

// retryAfter spreads returns evenly, so that those who were refused together do
// not meet again. While no endpoint can take work at all, they come late: endpoints
// come back one after the other. While all are held, nobody returns before the first
// hold ends.
func (p *Pool) retryAfter(now time.Duration, reason Reason) time.Duration {
	shortest := shortestReturn
	if reason == ReasonNoEndpoint {
		shortest = longestReturn / 2
	}
	return p.opens(now) + shortest + time.Duration(p.random()*float64(longestReturn-shortest))
}

// usualLoad returns the mean number of requests at an endpoint.
func (p *Pool) usualLoad() int {
	n := 0
	for _, e := range p.order {
		n += e.own.InFlight + e.others.InFlight
	}
	return n / max(len(p.order), 1)
}

// awaySample is how many endpoints that are other entries' homes are looked at for
// one request. What is known of them is old, so that the best of all would be the
// best for every entry at the same moment.
const awaySample = 3

// best returns the endpoint at which the answer should begin soonest, and when; nil
// where all are full.
func (p *Pool) best(now time.Duration, r Request) (*endpoint, time.Duration) {
	var best *endpoint
	var bestScore, bestFirst time.Duration
	away := 0
	start := int(p.random() * float64(len(p.order)))
	for i := range p.order {
		e := p.order[(start+i)%len(p.order)]
		if !e.Preferred && away >= awaySample || !e.room(now, p.overfill) || r.excludes(e.ID) {
			continue
		}
		if !e.Preferred {
			away++
		}
		first := e.first(p.model, p.usualGap, r.Prompt)
		score := e.score(first, p.domain, p.random())
		if best == nil || score < bestScore {
			best, bestScore, bestFirst = e, score, first
		}
	}
	return best, bestFirst
}
