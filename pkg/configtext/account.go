package configtext

import (
	"crypto/subtle"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Account is one client account. It is immutable.
type Account struct {
	name              string
	team              string
	weight            int
	priority          int
	requestsPerSecond float64
	maxInFlight       int
	keyDigest         digest.Digest
}

// Name returns the name of the account.
func (a Account) Name() string { return a.name }

// Team returns the team that owns the account.
func (a Account) Team() string { return a.team }

// Weight returns the account's share of a contended service relative to other
// accounts.
func (a Account) Weight() int { return a.weight }

// Priority returns the priority that engines are given; higher goes first.
func (a Account) Priority() int { return a.priority }

// RequestsPerSecond returns the rate of requests that is let through.
func (a Account) RequestsPerSecond() float64 { return a.requestsPerSecond }

// MaxInFlight returns how many requests of the account may be in flight.
func (a Account) MaxInFlight() int { return a.maxInFlight }

// KeyDigest returns the SHA-256 sum of the account's secret, or the zero digest
// where none is demanded.
func (a Account) KeyDigest() digest.Digest { return a.keyDigest }

// Admits reports whether secret is the account's, or none is demanded.
func (a Account) Admits(secret string) bool {
	if a.keyDigest.IsZero() {
		return true
	}
	sum := digest.Of([]byte(secret))
	return subtle.ConstantTimeCompare(sum[:], a.keyDigest[:]) == 1
}

// Team owns sections of the text. It is immutable.
type Team struct {
	name          string
	tokenDigest   digest.Digest
	administrator bool
}

// Name returns the name of the team.
func (t Team) Name() string { return t.name }

// TokenDigest returns the SHA-256 sum of the team's token.
func (t Team) TokenDigest() digest.Digest { return t.tokenDigest }

// Administrator reports whether the team owns the sections that no single team
// owns: the deployment, the regions and the teams.
func (t Team) Administrator() bool { return t.administrator }

// TeamOfToken returns the team whose token it is. The comparison takes the same
// time for every token of one Config.
func (c *Config) TeamOfToken(token string) (Team, bool) {
	sum := digest.Of([]byte(token))
	found := -1
	for i, t := range c.teams {
		if subtle.ConstantTimeCompare(sum[:], t.tokenDigest[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Team{}, false
	}
	return c.teams[found], true
}
