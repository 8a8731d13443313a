package placement

import "time"

// Parameters of the lag estimate.
const (
	// minLag is the lower bound of the lag. It covers the transfer of the first event to
	// the caller.
	minLag = 40 * time.Millisecond
	// lagQuantile is the share of responses that begin within the lag after their
	// predicted time. Under overload an engine also prefills prompts that arrive later.
	// With a lower quantile many placed requests are late; with a higher one slots stay
	// free until a request arrives that may take them.
	lagQuantile = 0.8
	// lagStep scales the change of the lag by one response.
	lagStep = 4 * time.Millisecond
	// maxLagShare is the largest margin for the lag, as a fraction of a request's target.
	maxLagShare = 0.4
)

// lag estimates a quantile of the time by which responses begin later than predicted.
// Each response moves the estimate up or down by a constant amount.
type lag struct {
	excess time.Duration // excess over minLag
}

// record records by how much a response began later than predicted.
func (l *lag) record(late time.Duration) {
	if late > minLag+l.excess {
		l.excess += time.Duration(lagQuantile * float64(lagStep))
	} else {
		l.excess -= time.Duration((1 - lagQuantile) * float64(lagStep))
	}
	l.excess = max(l.excess, 0)
}

// margin returns the time that a request with the given target reserves for the lag.
func (l *lag) margin(target time.Duration) time.Duration {
	share := time.Duration(maxLagShare * float64(target))
	return max(min(minLag+l.excess, share), minLag)
}
