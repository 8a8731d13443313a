package placement

import "time"

// Bounds of what is concluded from failures and from the pace of an endpoint.
const (
	// ejectAfter is the number of broken attempts in a row that close an endpoint.
	ejectAfter = 2
	// firstClosed doubles with each further failure up to longestClosed.
	firstClosed   = 400 * time.Millisecond
	longestClosed = 4 * time.Second
	// fullClosed keeps work from an endpoint that has just said that it is full:
	// about the time in which one of its requests ends.
	fullClosed = 120 * time.Millisecond
	// misplacedClosed is the time in which the platform's list corrects a wrong
	// belief about an endpoint. It doubles up to longestClosed while that does not
	// happen: the list may show what a restarted endpoint no longer has.
	misplacedClosed = 600 * time.Millisecond
	// remotePenalty and awayPenalty are added to what is predicted for an endpoint
	// of another failure domain, and for one that another entry uses first: what
	// that entry has just sent there is not known yet.
	remotePenalty = 25 * time.Millisecond
	awayPenalty   = 45 * time.Millisecond
	// failurePenalty is added for each failure in a row.
	failurePenalty = 200 * time.Millisecond
	// tieBreak spreads requests over endpoints of about equal load.
	tieBreak = 8 * time.Millisecond
	// standsOut is the ratio to the usual pause from which an endpoint counts as slow,
	// maxSlowness the most that is believed.
	standsOut   = 2.0
	maxSlowness = 8.0
	// gapWeight is the weight of one pause in the moving mean.
	gapWeight = 1.0 / 16
)

// endpoint is what the pool knows of an endpoint.
type endpoint struct {
	Candidate
	own         Load
	others      Load
	failures    int
	misplaced   int // times in a row that it was not what the list says
	closedUntil time.Duration
	gap         time.Duration
	allowance   int // requests that may still be placed before the next allotment
	hold        hold
}

// probes is how many requests an endpoint is given after a hold until one of them is
// being answered: all who waited for it at once would overload it again.
const probes = 2

// hold is a time in which an endpoint wants no requests.
type hold struct {
	until   time.Duration
	probing bool // it is over, and no request placed since is being answered yet
	probed  int  // requests placed since
}

// extend holds the endpoint until a time at least.
func (h *hold) extend(until time.Duration) {
	if until > h.until {
		*h = hold{until: until, probing: true}
	}
}

// admits reports whether the hold lets another request through.
func (h *hold) admits(now time.Duration) bool {
	return now >= h.until && (!h.probing || h.probed < probes)
}

// answered ends the probing where the answer is to a request placed after the hold.
func (h *hold) answered(placed time.Duration) {
	if placed >= h.until {
		h.probing = false
	}
}

// unanswered makes room for the next probe.
func (h *hold) unanswered(placed time.Duration) {
	if h.probing && placed >= h.until && h.probed > 0 {
		h.probed--
	}
}

// Load is what an endpoint has to do for some requests.
type Load struct {
	// InFlight is the number of requests that were placed and have not ended.
	InFlight int
	// PrefillTokens are the prompt tokens of those whose answer has not begun.
	PrefillTokens int
}

// room reports whether another request may be placed.
func (e *endpoint) room(now time.Duration, overfill int) bool {
	if now < e.closedUntil || !e.hold.admits(now) {
		return false
	}
	if e.MaxInFlight > 0 && e.own.InFlight >= e.MaxInFlight {
		return false
	}
	if !e.Preferred && e.allowance <= 0 {
		return false
	}
	return e.free(overfill) > 0
}

// free returns how many more requests fit.
func (e *endpoint) free(overfill int) int {
	return e.Slots + overfill - e.own.InFlight - e.others.InFlight
}

// share returns a part of the room, divided between entries that do not know of
// each other's placements. Fractions are drawn, so that the sum over all entries is
// right on the average.
func (e *endpoint) share(part float64, entries, overfill int, draw float64) int {
	free := max(e.free(overfill), 0)
	return int(part*float64(free)/float64(max(entries, 1)) + draw)
}

// first predicts the time until the answer of a request begins, from the usual pause
// between the events of all endpoints.
func (e *endpoint) first(m LatencyModel, usual time.Duration, prompt int) time.Duration {
	first := m.FirstEventDelay(e.own.InFlight+e.others.InFlight, e.own.PrefillTokens+e.others.PrefillTokens, prompt)
	return time.Duration(float64(first) * e.slowness(usual))
}

// slowness returns how many times longer than usual the endpoint takes, 1 unless it
// stands out: pauses also grow with what is read beside an answer.
func (e *endpoint) slowness(usual time.Duration) float64 {
	if usual == 0 || float64(e.gap) < standsOut*float64(usual) {
		return 1
	}
	return min(float64(e.gap)/float64(usual), maxSlowness)
}

// score orders the endpoints that have room; the smallest is best.
func (e *endpoint) score(first time.Duration, domain string, draw float64) time.Duration {
	score := first + time.Duration(draw*float64(tieBreak)) + time.Duration(e.failures)*failurePenalty
	if e.Domain != domain {
		score += remotePenalty
	}
	if !e.Preferred {
		score += awayPenalty
	}
	return score
}

// learn takes the end of a request in.
func (e *endpoint) learn(now time.Duration, outcome Outcome) {
	switch outcome {
	case Succeeded:
		e.failures, e.misplaced = 0, 0
	case Broken, Unreachable:
		e.failures++
		if outcome == Unreachable || e.failures >= ejectAfter {
			closed := min(firstClosed<<min(max(e.failures-ejectAfter, 0), 8), longestClosed)
			e.closedUntil = max(e.closedUntil, now+closed)
		}
	case Full:
		e.closedUntil = max(e.closedUntil, now+fullClosed)
	case Misdirected:
		e.closedUntil = max(e.closedUntil, now+min(misplacedClosed<<min(e.misplaced, 8), longestClosed))
		e.misplaced++
	}
}

func (e *endpoint) learnGap(gap time.Duration) {
	if e.gap == 0 {
		e.gap = gap
	}
	e.gap += time.Duration(gapWeight * float64(gap-e.gap))
}
