package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	second   = time.Second
	limitTTL = second // of permits in these tests
)

func limitedCandidates(n int) []Candidate {
	list := candidates(n, 4, true)
	for i := range list {
		list[i].Limited, list[i].RateLimit = true, 1
	}
	return list
}

func plainRequest(account string) Request {
	return Request{Target: 300 * time.Millisecond, Deadline: 3 * time.Second, Account: account}
}

// placed reports whether a ticket has been decided, and how.
func placed(ticket *Ticket) (d Decision, decided bool) {
	select {
	case d = <-ticket.Decision():
		return d, true
	default:
		return d, false
	}
}

// Each request to an endpoint with a rate limit uses one permit, which must be valid.
func TestPermits(t *testing.T) {
	for _, test := range []struct {
		name    string
		granted int
		at      time.Duration // of the requests
		placed  int           // of three
		wanted  bool          // more permits
	}{
		{"none", 0, 0, 0, true},
		{"one", 1, 0, 1, true},
		{"as many as requests", 3, 0, 3, true},
		{"more than requests", 5, 0, 3, false},
		{"just valid", 5, limitTTL - 1, 3, false},
		{"expired", 5, limitTTL, 0, true},
	} {
		wanted := 0
		list := limitedCandidates(1)
		p := New(WithRandom(func() float64 { return 0 }), WithPermitsWanted(func() { wanted++ }))
		p.SetEndpoints(0, list)
		p.GrantPermits(0, []Permits{{ID: list[0].ID, Count: test.granted, Until: limitTTL, Share: 1}})
		got := 0
		for range 3 {
			r := plainRequest("shop")
			r.Arrived, r.Deadline = test.at, test.at+3*time.Second
			if d, decided := placed(p.Submit(test.at, r)); decided && d.Placed() {
				got++
				require.Equal(t, limitTTL, d.Choice().PermitUntil(), test.name)
			}
		}
		require.Equal(t, test.placed, got, test.name)
		require.Equal(t, test.wanted, wanted > 0, test.name)
	}
}

// A permit is given back if the request was not sent, and not otherwise.
func TestPermitIsReturned(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcome  Outcome
		at       time.Duration
		returned bool
	}{
		{"stale", Stale, limitTTL / 2, true},
		{"stale after its end", Stale, limitTTL, false},
		{"answered", Succeeded, limitTTL / 2, false},
		{"broken off", Broken, limitTTL / 2, false},
		{"refused", Full, limitTTL / 2, false},
		{"caller left", Cancelled, limitTTL / 2, false},
	} {
		list := limitedCandidates(1)
		p := New()
		p.SetEndpoints(0, list)
		p.GrantPermits(0, []Permits{{ID: list[0].ID, Count: 1, Until: limitTTL, Share: 1}})
		d := decisionOf(t, p.Submit(0, plainRequest("shop")))
		require.True(t, d.Placed(), test.name)
		p.Release(test.at, d.Choice(), test.outcome)
		require.Equal(t, test.returned, p.endpoints[list[0].ID].hasPermit(test.at, false), test.name)
	}
}

// A request that no permit is expected for is refused at once, with the time after which
// one is. Without knowledge of the share it waits for the answer to its request, no longer.
func TestRefusalWithoutPermit(t *testing.T) {
	for _, test := range []struct {
		name       string
		share      float64
		waits      bool
		retryAfter time.Duration
	}{
		{"share is not known", 0, true, 0},
		{"soon enough", 10, true, 0},
		{"too late", 0.5, false, 2 * time.Second},
		{"far too late", 0.001, false, maxPermitRetryAfter},
	} {
		list := limitedCandidates(2)
		p := New(WithRandom(func() float64 { return 0 }))
		p.SetEndpoints(0, list)
		if test.share > 0 {
			p.GrantPermits(second, []Permits{{ID: list[0].ID, Share: test.share}, {ID: list[1].ID}})
		}
		r := plainRequest("shop")
		r.Arrived, r.Deadline = second, 4*second
		ticket := p.Submit(second, r)
		d, decided := placed(ticket)
		require.Equal(t, !test.waits, decided, test.name)
		if decided {
			require.Equal(t, ReasonRateLimited, d.Reason(), test.name)
			require.Equal(t, test.retryAfter, d.RetryAfter(), test.name)
		}
		p.Expire(second + permitWait)
		if test.share == 0 {
			d, decided = placed(ticket)
			require.True(t, decided && !d.Placed(), test.name)
		}
	}
}

// A retried request may use any endpoint but those that it was sent to. Where another one
// has no limit, it does not wait for permits.
func TestRetryAmongLimitedEndpoints(t *testing.T) {
	list := limitedCandidates(3)
	list[2].Limited = false
	p := New()
	p.SetEndpoints(0, list)
	r := plainRequest("shop")
	r.Exclude, r.PlacedBefore, r.Target = []string{list[0].ID}, true, 0
	require.Equal(t, list[2].ID, decisionOf(t, p.Submit(0, r)).Choice().ID)
	r.Exclude = []string{list[0].ID, list[2].ID}
	ticket := p.Submit(0, r)
	_, decided := placed(ticket)
	require.False(t, decided)
	demands := p.WantedPermits(0)
	require.Equal(t, 1, demands.Total)
	p.GrantPermits(0, []Permits{{ID: list[0].ID, Count: 1, Until: limitTTL, Share: 1}})
	_, decided = placed(ticket)
	require.False(t, decided, "it was sent to that endpoint before")
	p.GrantPermits(0, []Permits{{ID: list[1].ID, Count: 1, Until: limitTTL, Share: 1}})
	d, decided := placed(ticket)
	require.True(t, decided)
	require.Equal(t, list[1].ID, d.Choice().ID)
}

// A limit that is lifted, lowered or belongs to another incarnation.
func TestChangedLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(c *Candidate)
		permits int
		takes   bool // a request without a permit
	}{
		{"unchanged", func(*Candidate) {}, 3, false},
		{"raised", func(c *Candidate) { c.RateLimit = 5 }, 3, false},
		{"lowered", func(c *Candidate) { c.RateLimit = 0.5 }, 1, false},
		{"lifted", func(c *Candidate) { c.Limited = false }, 0, true},
		{"another incarnation", func(c *Candidate) { c.Started = 2000 }, 0, false},
	} {
		list := limitedCandidates(1)
		p := New()
		p.SetEndpoints(0, list)
		p.GrantPermits(0, []Permits{{ID: list[0].ID, Count: 3, Until: limitTTL, Share: 1}})
		test.change(&list[0])
		p.SetEndpoints(0, list)
		require.Len(t, p.endpoints[list[0].ID].permits, test.permits, test.name)
		r := plainRequest("shop")
		r.Arrived, r.Deadline = limitTTL, limitTTL+3*time.Second
		d, decided := placed(p.Submit(limitTTL, r))
		require.Equal(t, test.takes, decided && d.Placed(), test.name)
	}
}

// A permit is kept for some time for accounts that have used no more than the others.
func TestPermitsAreReservedForOtherAccounts(t *testing.T) {
	list := limitedCandidates(1)
	p := New(WithRandom(func() float64 { return 0 }))
	p.SetEndpoints(0, list)
	grant := func(now time.Duration, n int) {
		p.GrantPermits(now, []Permits{{ID: list[0].ID, Count: n, Until: now + limitTTL, Share: 0.1}})
	}
	submit := func(now time.Duration, account string) bool {
		r := plainRequest(account)
		r.Arrived, r.Deadline = now, now+3*time.Second
		d, decided := placed(p.Submit(now, r))
		if decided && d.Placed() {
			p.Release(now, d.Choice(), Succeeded)
		}
		return decided && d.Placed()
	}
	grant(second, 3)
	for range 3 {
		require.True(t, submit(second, "large"), "nobody else has a request")
	}
	require.False(t, submit(second, "small"), "there is no permit")
	grant(2*second, 1)
	require.False(t, submit(2*second, "large"), "the small account has a request and has used none")
	require.True(t, submit(2*second, "small"))
	grant(3*second, 1)
	require.False(t, submit(3*second, "large"))
	require.True(t, submit(3*second+reserveTime, "large"), "rather than nobody")
}

// Endpoints with a rate limit are distributed among the entries apart from others.
func TestPreferredEndpointsWithLimits(t *testing.T) {
	entries := map[string][]string{"a": {"1", "2"}}
	preferred := func(self string) (limited, others int) {
		list := candidates(8, 4, false)
		for i := range list {
			list[i].Domain = "a"
			list[i].Limited = i%2 == 0
		}
		MarkPreferred(list, entries, "a", self)
		for _, c := range list {
			switch {
			case c.Preferred && c.Limited:
				limited++
			case c.Preferred:
				others++
			}
		}
		return limited, others
	}
	for _, self := range []string{"1", "2"} {
		limited, others := preferred(self)
		require.Equal(t, 2, limited, self)
		require.Equal(t, 2, others, self)
	}
}
