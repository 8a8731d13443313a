package placement

import "time"

// Bounds of the lag.
const (
	// leastLag covers the way of the first event to the caller.
	leastLag = 40 * time.Millisecond
	// lagQuantile of the answers begin within the lag after their prediction. Under
	// overload an engine also reads prompts that come after: with less, many of those that
	// are placed are late, with more, places wait for somebody who may take them.
	lagQuantile = 0.8
	// lagStep is how far one answer moves the lag.
	lagStep = 4 * time.Millisecond
	// maxLagShare of its target a request allows for the lag.
	maxLagShare = 0.4
)

// lag follows the time by which answers begin later than predicted.
type lag struct {
	beyond time.Duration // above leastLag
}

// learn takes in by how much an answer began later than predicted.
func (l *lag) learn(late time.Duration) {
	if late > leastLag+l.beyond {
		l.beyond += time.Duration(lagQuantile * float64(lagStep))
	} else {
		l.beyond -= time.Duration((1 - lagQuantile) * float64(lagStep))
	}
	l.beyond = max(l.beyond, 0)
}

// margin returns what a request with a target allows for the lag.
func (l *lag) margin(target time.Duration) time.Duration {
	share := time.Duration(maxLagShare * float64(target))
	return max(min(leastLag+l.beyond, share), leastLag)
}
