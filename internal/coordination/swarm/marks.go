package swarm

import "time"

// backoff is how long a source rests after a strike, at first and at most.
type backoff struct {
	first, longest time.Duration
}

// defaultBackoff suits models of minutes.
var defaultBackoff = backoff{first: time.Second, longest: 32 * time.Second}

// mark remembers how a source behaved.
type mark struct {
	strikes int
	until   time.Time
}

// strike rests the source, twice as long with every strike in a row.
func (m *mark) strike(now time.Time, b backoff) {
	pause := min(b.first<<min(m.strikes, 10), b.longest)
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
