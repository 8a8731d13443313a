package gateway

import (
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
)

// Shares of the repeats that the operators allow. The rest covers entries that
// count each other wrongly and windows that begin in mid-burst.
const (
	requestShare = 0.75
	savedShare   = 0.4
	refillShare  = 0.35
	// budgetWindow is the span over which the operators count repeats.
	budgetWindow = 10 * time.Second
)

// serviceTraffic is the state of one service on the path of requests.
type serviceTraffic struct {
	placement *placement.Pool
	budget    *retry.Budget
}

// traffic holds the services and the requests that crash endpoints.
type traffic struct {
	mu       sync.RWMutex
	services map[string]*serviceTraffic
	suspects *suspectList
	refusals *refusalList
	refilled time.Duration
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

// forget drops what is known of requests that do not come again.
func (t *traffic) forget(now time.Duration) {
	t.suspects.forget(now)
	t.refusals.forget(now)
}

// refill gives each budget its share of what all entries may repeat without
// requests that pay for it.
func (t *traffic) refill(now time.Duration, reserve float64, entries int) {
	t.mu.Lock()
	since := min(now-t.refilled, time.Second)
	t.refilled = now
	t.mu.Unlock()
	own := reserve / float64(max(entries, 1))
	added := own * refillShare * since.Seconds() / budgetWindow.Seconds()
	t.each(func(_ string, s *serviceTraffic) { s.budget.Refill(added, own*savedShare) })
}

func (g *Gateway) newBudget() *retry.Budget {
	return retry.NewBudget(retry.WithRatio(g.ratio*requestShare), retry.WithReserve(1))
}
