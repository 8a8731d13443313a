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
	reapInterval   = 20 * time.Millisecond
	settleInterval = time.Second
	// suspectReads bounds the reads a second of suspect rows by all entries.
	suspectReads       = 100
	minSuspectInterval = 250 * time.Millisecond
)

// traffic is what an entry keeps to decide on requests.
type traffic struct {
	router   *routing.Router
	claims   *claims.Claims
	suspects *suspects.Registry
	alone    suspects.Isolation

	mu       sync.Mutex
	services map[string]*serviceTraffic

	// Used by the collection of reports alone.
	lastReports  map[string]lastReport
	lastServices map[string][]routing.Endpoint
}

// serviceTraffic is the part of traffic that belongs to one service.
type serviceTraffic struct {
	gate     *limits.AdmissionController
	budget   *retry.Budget
	revision uint64 // of the configuration that the gate's shares come from
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

// service returns the traffic of a service under the configuration in force.
func (t *traffic) service(s *snapshot.Snapshot, name string) *serviceTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.services[name]
	if st == nil {
		st = &serviceTraffic{gate: limits.NewAdmissionController(), budget: retry.NewBudget()}
		t.services[name] = st
	}
	if st.revision != s.Revision() {
		st.revision = s.Revision()
		st.setShares(s)
	}
	return st
}

func (st *serviceTraffic) setShares(s *snapshot.Snapshot) {
	for _, a := range s.Config().Accounts() {
		st.gate.SetAccountLimits(a.Name(), limits.NewAccountLimits(float64(max(a.Weight(), 1)),
			limits.WithRateLimit(a.RequestsPerSecond(), int(a.RequestsPerSecond())),
			limits.WithInFlightLimit(a.MaxInFlight())))
	}
}

// setSlots gives the gate of a service this entry's even share of what the
// endpoints admit together.
func (t *traffic) setSlots(service string, limit, entries int) {
	t.mu.Lock()
	st := t.services[service]
	t.mu.Unlock()
	if st != nil {
		st.gate.SetSlotShare(max(limit/max(entries, 1), 1))
	}
}

func (t *traffic) reap() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, st := range t.services {
		st.gate.Expire()
	}
}

// reapLoop refuses requests that wait and can no longer be reached in time.
func (e *Entry) reapLoop(ctx context.Context) {
	repeat(ctx, func() time.Duration {
		e.traffic.reap()
		return reapInterval
	})
}

// settleLoop writes outcomes of claims that the table did not take before.
func (e *Entry) settleLoop(ctx context.Context) {
	repeat(ctx, func() time.Duration {
		if left := e.traffic.claims.Flush(ctx); left > 0 {
			telemetry.OutcomesWait.Log(ctx, e.node.Logger(), "claims", left)
		}
		return settleInterval
	})
}

// suspectLoop reads the suspects that other entries found.
func (e *Entry) suspectLoop(ctx context.Context) {
	repeat(ctx, func() time.Duration {
		interval := max(time.Duration(e.liveEntries())*time.Second/suspectReads, minSuspectInterval)
		e.traffic.suspects.SetPropagationDelay(interval)
		if err := e.traffic.suspects.Refresh(ctx); err != nil {
			telemetry.SuspectsNotRead.Log(ctx, e.node.Logger(), "error", err)
		}
		return interval
	})
}

// repeat calls work until ctx ends, after the interval that work returns.
func repeat(ctx context.Context, work func() time.Duration) {
	for pause(ctx, work()) {
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
