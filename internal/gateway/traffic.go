package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
)

// Fractions of the retries that the operators allow. The rest is a margin for entries
// that miscount their peers and for windows that start within a burst.
const (
	ratioFraction     = 0.75
	maxTokensFraction = 0.4
	refillFraction    = 0.35
	// promiseFraction is the fraction of the ratio up to which resumptions may be promised
	// beyond the retry tokens.
	promiseFraction = 0.2
	// budgetWindow is the window in which the operators count retries.
	budgetWindow = 10 * time.Second
)

// serviceTraffic is the request-path state of one service.
type serviceTraffic struct {
	placement *placement.Pool
	budget    *retry.Budget
	// renewed is set while an endpoint has the newest target version, so that a stream that
	// ends at the bound of an older one can go on there.
	renewed atomic.Bool
	// requests is the number of requests in progress.
	requests atomic.Int64
}

// traffic holds the request-path state: the services, the refused requests, and the
// evidence on requests that crash endpoints.
type traffic struct {
	mu         sync.RWMutex
	services   map[string]*serviceTraffic
	suspects   *suspects.Evidence
	refusals   *refusalList
	refilledAt time.Duration
}

func (t *traffic) service(name string, create func() *serviceTraffic) *serviceTraffic {
	t.mu.RLock()
	s := t.services[name]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[name] == nil {
		t.services[name] = create()
	}
	return t.services[name]
}

func (t *traffic) each(visit func(name string, s *serviceTraffic)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for name, s := range t.services {
		visit(name, s)
	}
}

func (t *traffic) expire(now time.Duration) {
	t.each(func(_ string, s *serviceTraffic) { s.placement.Expire(now) })
}

// expireRecords removes the records of requests that are no longer expected to be
// repeated.
func (t *traffic) expireRecords(now time.Duration) {
	t.suspects.Expire(now)
	t.refusals.expire(now)
}

// refill adds to each retry budget this entry's share of the reserve, the retries
// that all entries together may make without requests that add to the budget.
func (t *traffic) refill(now time.Duration, reserve float64, entries int) {
	t.mu.Lock()
	since := min(now-t.refilledAt, time.Second)
	t.refilledAt = now
	t.mu.Unlock()
	own := reserve / float64(max(entries, 1))
	added := own * refillFraction * since.Seconds() / budgetWindow.Seconds()
	t.each(func(_ string, s *serviceTraffic) {
		s.budget.Refill(added, own*maxTokensFraction)
		s.budget.Advance(now, budgetWindow)
	})
}

func (g *Gateway) newBudget() *retry.Budget {
	return retry.NewBudget(retry.WithRatio(g.retryRatio*ratioFraction), retry.WithReserve(1),
		retry.WithPromiseRatio(g.retryRatio*promiseFraction))
}
