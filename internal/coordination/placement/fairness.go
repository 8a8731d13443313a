package placement

import (
	"maps"
	"math"
	"time"
)

// Parameters of fairness between client accounts that share permits.
const (
	// useTime is the time constant over which the permits that an account has used are
	// forgotten.
	useTime = 10 * time.Second
	// wantTime is how long an account counts as wanting permits after a request.
	wantTime = 3 * time.Second
	// useSlack is how many permits an account may be ahead of the mean.
	useSlack = 0.5
	// reserveTime is the part of a permit's validity in which it is kept for accounts
	// that have used no more than the mean. Afterwards any request may use it.
	reserveTime = 700 * time.Millisecond
)

// accountUse holds how many permits each client account has used recently. An account
// with many requests would otherwise take permits in proportion to them.
type accountUse struct {
	byAccount map[string]use
}

type use struct {
	permits  float64 // used, as of at
	at       time.Duration
	wantedAt time.Duration // last request
}

func newAccountUse() accountUse { return accountUse{byAccount: make(map[string]use)} }

// decayed returns the permits used as they count now.
func (u use) decayed(now time.Duration) float64 {
	return u.permits * math.Exp(-float64(now-u.at)/float64(useTime))
}

// want records that an account has a request.
func (a accountUse) want(now time.Duration, account string) {
	u := a.byAccount[account]
	u.wantedAt = now
	a.byAccount[account] = u
}

// take records that an account has used a permit.
func (a accountUse) take(now time.Duration, account string) {
	u := a.byAccount[account]
	u.permits, u.at = u.decayed(now)+1, now
	a.byAccount[account] = u
}

// aboveMean reports whether an account has used more permits than the mean of those that
// want some.
func (a accountUse) aboveMean(now time.Duration, account string) bool {
	total, accounts := 0.0, 0
	for _, u := range a.byAccount {
		if now-u.wantedAt < wantTime {
			total += u.decayed(now)
			accounts++
		}
	}
	return accounts > 0 && a.byAccount[account].decayed(now) > total/float64(accounts)+useSlack
}

// expire forgets accounts without requests.
func (a accountUse) expire(now time.Duration) {
	maps.DeleteFunc(a.byAccount, func(_ string, u use) bool { return now-u.wantedAt > useTime })
}
