package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Obstacle is why a request is not placed on an endpoint now.
type Obstacle uint8

// The obstacles.
const (
	NoObstacle Obstacle = iota
	ObstacleEjected
	ObstacleHeld
	ObstacleConnected
	ObstaclePermit
	ObstacleQuota
	ObstacleFull
	ObstacleKept
	ObstacleRegion
	ObstacleTried
	ObstacleBound
)

var obstacleTexts = [...]string{
	NoObstacle:        "",
	ObstacleEjected:   "attempts there have failed",
	ObstacleHeld:      "the endpoint has asked for no requests",
	ObstacleConnected: "this entry has no further connection to it",
	ObstaclePermit:    "the endpoint has a rate limit and there is no permit",
	ObstacleQuota:     "this entry has no share left of the room that others use first",
	ObstacleFull:      "no slot is free",
	ObstacleKept:      "the free slots are kept for more urgent requests",
	ObstacleRegion:    "it is outside of the allowed regions",
	ObstacleTried:     "the request was sent there before",
	ObstacleBound:     "its weights may not be used long enough",
}

// String returns the reason, empty for NoObstacle.
func (o Obstacle) String() string { return obstacleTexts[o] }

// withheld is what is kept from a request for others.
type withheld struct {
	// unreserved is set if it may use only permits that are not reserved for other accounts.
	unreserved bool
	// kept is the part of an endpoint's slots that is kept for more urgent requests.
	kept float64
}

func (p *Pool) withheldFrom(now time.Duration, r *Request) withheld {
	return withheld{
		unreserved: p.limitedCount > 0 && p.needsUnreserved(now, *r),
		kept:       p.keptShare(now, r),
	}
}

// obstacle returns why a request must not be placed on an endpoint now.
func (p *Pool) obstacle(now time.Duration, r *Request, w withheld, e *endpoint) Obstacle {
	switch {
	case now < e.ejectedUntil:
		return ObstacleEjected
	case !e.hold.admits(now):
		return ObstacleHeld
	case e.MaxInFlight > 0 && e.ownLoad.InFlight >= e.MaxInFlight:
		return ObstacleConnected
	case e.Limited && !e.hasPermit(now, w.unreserved):
		return ObstaclePermit
	case !e.Limited && !e.Preferred && e.quota <= 0:
		return ObstacleQuota
	}
	free := e.freeSlots(p.overcommit)
	switch {
	case free <= 0:
		return ObstacleFull
	case w.kept > 0 && free <= int(math.Round(w.kept*float64(e.Slots))):
		return ObstacleKept
	case !r.Regions.Admits(e.Region):
		return ObstacleRegion
	case len(r.Exclude) > 0 && r.excludes(e):
		return ObstacleTried
	case r.Begun && p.endsAgain(now, e):
		return ObstacleBound
	}
	return NoObstacle
}

// View is what placement knows of an endpoint, and how it judges it for a request.
type View struct {
	Candidate
	// Obstacle is why the request would not be placed there now.
	Obstacle Obstacle
	// FirstEventDelay is the predicted time to the first event there, InTime whether that is
	// within the target.
	FirstEventDelay time.Duration
	InTime          bool
	// InFlight and PrefillTokens are the load there, of which Own is this entry's.
	InFlight, PrefillTokens, Own int
}

// Explanation is where a request would go now.
type Explanation struct {
	// Endpoints are all that are listed for the service, in the order of their IDs.
	Endpoints []View
	// Chosen is the ID of the endpoint that the request would be placed on, empty if it would
	// wait or be refused.
	Chosen string
	// Waits is set if it would wait for room, Late if it would do so without a chance to meet
	// its target. ExpectedWait is for how long then.
	Waits, Late  bool
	ExpectedWait time.Duration
	// Reason is why it would be refused.
	Reason Reason
}

// Explain returns where a request would go if it were submitted now. It decides as Submit does
// and changes nothing. Endpoints of other entries are chosen at random among those that are
// equal, so the next request may go elsewhere.
func (p *Pool) Explain(now time.Duration, r Request) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := Explanation{Endpoints: p.views(now, r)}
	t := &Ticket{request: r, submittedAt: now, decision: make(chan Decision, 1)}
	p.setWaitLimits(now, t)
	if t.ahead = p.queueOf(r).countAhead(t); t.ahead == 0 {
		e, delay := p.bestEndpoint(now, r)
		if e != nil && p.admits(now, t, e, delay) {
			x.Chosen = e.ID
			return x
		}
	}
	x.Reason, x.Late = p.waitOf(now, t)
	switch {
	case x.Reason != "":
	case x.Late:
		x.Waits, x.ExpectedWait = true, p.expectedLateWait(p.late.countAhead(t))
	default:
		x.Waits, x.ExpectedWait = true, p.expectedWaitOf(t, p.onTime)
	}
	return x
}

func (p *Pool) views(now time.Duration, r Request) []View {
	w := p.withheldFrom(now, &r)
	list := make([]View, 0, len(p.listed))
	for _, e := range p.listed {
		delay := e.firstEventDelay(p.model, p.medianInterval, r.Prompt)
		list = append(list, View{
			Candidate: e.Candidate, Obstacle: p.obstacle(now, &r, w, e),
			FirstEventDelay: delay, InTime: p.inTime(now, r, e, delay),
			InFlight: e.ownLoad.InFlight + e.peerLoad.InFlight, PrefillTokens: e.ownLoad.PrefillTokens + e.peerLoad.PrefillTokens, Own: e.ownLoad.InFlight,
		})
	}
	slices.SortFunc(list, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return list
}
