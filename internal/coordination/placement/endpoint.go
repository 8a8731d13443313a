package placement

import "time"

// Parameters of outlier ejection and of scoring.
const (
	// ejectionThreshold is the number of consecutive failed attempts after which an
	// endpoint is ejected: no requests are placed on it for a time.
	ejectionThreshold = 2
	// baseEjectionTime is the first ejection time. It doubles with each further failure up
	// to maxEjectionTime.
	baseEjectionTime = 400 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// fullEjectionTime is the ejection time of an endpoint that has reported that it is
	// full, about the time in which one of its requests ends.
	fullEjectionTime = 120 * time.Millisecond
	// misdirectedEjectionTime is the first ejection time of an endpoint that is another
	// one than the platform's list shows, or has other weights. In this time the list is
	// usually corrected. It doubles up to maxEjectionTime while the list stays wrong,
	// since the list may still show what a restarted endpoint no longer has.
	misdirectedEjectionTime = 600 * time.Millisecond
	// crossDomainPenalty is added to the score of an endpoint in another failure domain at an
	// unknown distance. nonPreferredPenalty is added to that of an endpoint that other entries prefer, since
	// the requests that they have just placed there are not reported yet.
	crossDomainPenalty  = 25 * time.Millisecond
	nonPreferredPenalty = 45 * time.Millisecond
	// failurePenalty is added to the score for each consecutive failure.
	failurePenalty = 200 * time.Millisecond
	// maxScoreJitter bounds a random addition to the score, which spreads requests over
	// endpoints of about equal load.
	maxScoreJitter = 8 * time.Millisecond
	// slowThreshold is the ratio of an endpoint's event interval to the median interval
	// from which the endpoint counts as slow. maxSlowdown caps the slowdown that is
	// applied.
	slowThreshold = 2.0
	maxSlowdown   = 8.0
	// intervalWeight is the weight of one event interval in the moving average.
	intervalWeight = 1.0 / 16
)

// endpoint is the state that a Pool keeps for an endpoint.
type endpoint struct {
	Candidate
	ownLoad       Load
	peerLoad      Load
	failures      int
	misdirected   int // consecutive Misdirected outcomes
	ejectedUntil  time.Duration
	eventInterval time.Duration
	quota         int // requests that may still be placed before the next grant
	hold          hold
	waits         waits
	permits       []permit
	share         float64 // permits a second that this entry can expect, as of shareAt
	shareAt       time.Duration
}

// Load is the load that a set of requests puts on an endpoint.
type Load struct {
	// InFlight is the number of requests that were placed and have not ended.
	InFlight int
	// PrefillTokens is the number of prompt tokens that wait for prefill: those of the
	// requests in flight whose response has not begun.
	PrefillTokens int
}

// isAvailable reports whether the endpoint takes requests of this entry at all.
func (e *endpoint) isAvailable(now time.Duration) bool {
	if now < e.ejectedUntil || !e.hold.admits(now) {
		return false
	}
	return e.MaxInFlight == 0 || e.ownLoad.InFlight < e.MaxInFlight
}

// freeSlots returns the number of free slots, those by overcommit included.
func (e *endpoint) freeSlots(overcommit int) int {
	return e.Slots + overcommit - e.ownLoad.InFlight - e.peerLoad.InFlight
}

// firstEventDelay predicts the time from placement to the first event of the response.
// The prediction of the model is scaled by the slowdown relative to the median event
// interval.
func (e *endpoint) firstEventDelay(m LatencyModel, medianInterval time.Duration, prompt int) time.Duration {
	delay := m.FirstEventDelay(e.ownLoad.InFlight+e.peerLoad.InFlight, e.ownLoad.PrefillTokens+e.peerLoad.PrefillTokens, prompt)
	return time.Duration(float64(delay) * e.slowdown(medianInterval))
}

// slowdown returns the ratio of the endpoint's event interval to the median, capped, or
// 1 below the threshold: intervals also grow while an engine prefills other prompts.
func (e *endpoint) slowdown(medianInterval time.Duration) float64 {
	if medianInterval == 0 || float64(e.eventInterval) < slowThreshold*float64(medianInterval) {
		return 1
	}
	return min(float64(e.eventInterval)/float64(medianInterval), maxSlowdown)
}

// score ranks the endpoints that have capacity. The lowest score is best.
func (e *endpoint) score(delay time.Duration, domain string, random float64) time.Duration {
	score := delay + time.Duration(random*float64(maxScoreJitter)) + time.Duration(e.failures)*failurePenalty
	switch {
	case e.Distance > 0:
		score += e.Distance
	case e.Domain != domain:
		score += crossDomainPenalty
	}
	if !e.Preferred && !e.Limited {
		score += nonPreferredPenalty
	}
	return score
}

// recordOutcome records the outcome of a request.
func (e *endpoint) recordOutcome(now time.Duration, outcome Outcome) {
	switch outcome {
	case Succeeded:
		e.failures, e.misdirected = 0, 0
	case Broken, Unreachable:
		e.failures++
		if outcome == Unreachable || e.failures >= ejectionThreshold {
			ejectionTime := min(baseEjectionTime<<min(max(e.failures-ejectionThreshold, 0), 8), maxEjectionTime)
			e.ejectedUntil = max(e.ejectedUntil, now+ejectionTime)
		}
	case Full:
		e.ejectedUntil = max(e.ejectedUntil, now+fullEjectionTime)
	case Misdirected:
		e.ejectedUntil = max(e.ejectedUntil, now+min(misdirectedEjectionTime<<min(e.misdirected, 8), maxEjectionTime))
		e.misdirected++
	}
}

// recordEventInterval updates the moving average of the event interval.
func (e *endpoint) recordEventInterval(interval time.Duration) {
	if e.eventInterval == 0 {
		e.eventInterval = interval
	}
	e.eventInterval += time.Duration(intervalWeight * float64(interval-e.eventInterval))
}
