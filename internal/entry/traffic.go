package entry

import (
	"context"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/claims"
	"github.com/primrosetally/primrosetally/internal/coordination/limits"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/node"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Intervals of the background work on requests.
const (
	expireInterval = 20 * time.Millisecond
	flushInterval  = time.Second
	// suspectReadsPerSecond bounds the reads of the suspect rows by all entries together.
	suspectReadsPerSecond = 100
	minSuspectInterval    = 250 * time.Millisecond
)

// traffic holds the state that an entry uses to admit, route and retry requests.
type traffic struct {
	router    *routing.Router
	claims    *claims.Claims
	suspects  *suspects.Registry
	isolation suspects.Isolation

	mu       sync.Mutex
	services map[string]*serviceTraffic

	// Used by updateEndpoints only, under the mutex of reports.
	lastReports  map[string]lastReport
	lastServices map[string][]routing.Endpoint
}

// serviceTraffic is the traffic state of one service.
type serviceTraffic struct {
	admission *limits.AdmissionController
	budget    *retry.Budget
	revision  uint64 // of the configuration that the account limits come from
}

func newTraffic(n *node.Node) *traffic {
	self := n.Self()
	rows := tableRows{client: n.Platform().Tables()}
	objects := n.Platform().Objects()
	return &traffic{
		router: routing.New(self.Name(), routing.WithLocality(self.Region(), self.FailureDomain())),
		claims: claims.New(self.Name(), self.Incarnation(), rows.get, rows.claimCompareAndSet,
			claims.WithObjects(objects.Put, objects.Get)),
		suspects: suspects.New(rows.get, rows.suspectCompareAndSet, rows.suspectList),
		services: map[string]*serviceTraffic{},
	}
}

// service returns the traffic state of a service, with the account limits of s.
func (t *traffic) service(s *snapshot.Snapshot, name string) *serviceTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.services[name]
	if st == nil {
		st = &serviceTraffic{admission: limits.NewAdmissionController(), budget: retry.NewBudget()}
		t.services[name] = st
	}
	if st.revision != s.Revision() {
		st.revision = s.Revision()
		st.setAccountLimits(s)
	}
	return st
}

func (st *serviceTraffic) setAccountLimits(s *snapshot.Snapshot) {
	for _, a := range s.Config().Accounts() {
		st.admission.SetAccountLimits(a.Name(), limits.NewAccountLimits(float64(max(a.Weight(), 1)),
			limits.WithRateLimit(a.RequestsPerSecond(), int(a.RequestsPerSecond())),
			limits.WithInFlightLimit(a.MaxInFlight())))
	}
}

// setSlots sets the slots of a service's admission controller to this entry's equal
// share of the total concurrency limit of the endpoints.
func (t *traffic) setSlots(service string, limit, entries int) {
	t.mu.Lock()
	st := t.services[service]
	t.mu.Unlock()
	if st != nil {
		st.admission.SetSlotShare(max(limit/max(entries, 1), 1))
	}
}

func (t *traffic) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, st := range t.services {
		st.admission.Expire()
	}
}

// expireLoop refuses queued requests that can no longer meet their deadline.
func (e *Entry) expireLoop(ctx context.Context) {
	runPeriodically(ctx, func() time.Duration {
		e.traffic.expire()
		return expireInterval
	})
}

// flushLoop retries the writes of claim outcomes that the table has not accepted yet.
func (e *Entry) flushLoop(ctx context.Context) {
	runPeriodically(ctx, func() time.Duration {
		if left := e.traffic.claims.Flush(ctx); left > 0 {
			telemetry.OutcomesWait.Log(ctx, e.node.Logger(), "claims", left)
		}
		return flushInterval
	})
}

// suspectLoop reads the suspects that other entries have recorded.
func (e *Entry) suspectLoop(ctx context.Context) {
	runPeriodically(ctx, func() time.Duration {
		interval := max(time.Duration(e.liveEntries())*time.Second/suspectReadsPerSecond, minSuspectInterval)
		e.traffic.suspects.SetPropagationDelay(interval)
		if err := e.traffic.suspects.Refresh(ctx); err != nil {
			telemetry.SuspectsNotRead.Log(ctx, e.node.Logger(), "error", err)
		}
		return interval
	})
}

// runPeriodically calls work until ctx is done, and waits after each call for the
// interval that work returns.
func runPeriodically(ctx context.Context, work func() time.Duration) {
	for sleep(ctx, work()) {
	}
}

func (e *Entry) liveEntries() int {
	n := 0
	for _, m := range e.node.Members() {
		if m.Role() == member.RoleEntry && m.State() == member.StateLive {
			n++
		}
	}
	return n
}
