package swarm

import "time"

// Backoff of a source after strikes.
const (
	firstBackoff = time.Second
	maxBackoff   = 32 * time.Second
)

// mark remembers how a source behaved.
type mark struct {
	strikes int
	until   time.Time
}

// strike rests the source, twice as long with every strike in a row.
func (m *mark) strike(now time.Time) {
	pause := min(firstBackoff<<min(m.strikes, 10), maxBackoff)
	m.strikes++
	m.until = now.Add(pause)
}

// rest leaves the source alone for a while without a strike.
func (m *mark) rest(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(m.until) {
		m.until = until
	}
}

// credit forgives strikes after the source gave a verified chunk.
func (m *mark) credit() { m.strikes = 0 }

// usable reports whether the source may be asked.
func (m *mark) usable(now time.Time) bool { return !now.Before(m.until) }
