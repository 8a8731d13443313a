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
	// belief about an endpoint.
	misplacedClosed = 600 * time.Millisecond
	// remotePenalty is the load that an endpoint of another failure domain counts
	// as having in addition, in requests for each slot.
	remotePenalty = 0.06
	// tieBreak spreads requests over endpoints of about equal load.
	tieBreak = 0.04
	// gapWeight is the weight of one pause in the moving mean.
	gapWeight = 1.0 / 16
)

// endpoint is what the pool knows of an endpoint.
type endpoint struct {
	Candidate
	own         int
	others      int
	failures    int
	closedUntil time.Duration
	pace        float64 // 1 is usual, 2 is half as fast
	gap         time.Duration
}

// room reports whether another request may be placed.
func (e *endpoint) room(now time.Duration, overfill int) bool {
	if now < e.closedUntil {
		return false
	}
	if e.MaxInFlight > 0 && e.own >= e.MaxInFlight {
		return false
	}
	return e.own+e.others < e.Slots+overfill
}

// score orders the endpoints that have room; the smallest is best.
func (e *endpoint) score(domain string, draw float64) float64 {
	score := float64(e.own+e.others) / float64(max(e.Slots, 1)) * e.pace
	if e.Domain != domain {
		score += remotePenalty
	}
	return score + tieBreak*draw + 0.25*float64(e.failures)
}

// learn takes the end of a request in.
func (e *endpoint) learn(now time.Duration, outcome Outcome) {
	switch outcome {
	case Succeeded:
		e.failures = 0
	case Broken, Unreachable:
		e.failures++
		if outcome == Unreachable || e.failures >= ejectAfter {
			closed := min(firstClosed<<min(e.failures-1, 8), longestClosed)
			e.closedUntil = max(e.closedUntil, now+closed)
		}
	case Full:
		e.closedUntil = max(e.closedUntil, now+fullClosed)
	case Misplaced:
		e.closedUntil = max(e.closedUntil, now+misplacedClosed)
	}
}

func (e *endpoint) learnGap(gap time.Duration) {
	if e.gap == 0 {
		e.gap = gap
	}
	e.gap += time.Duration(gapWeight * float64(gap-e.gap))
}
