package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Intervals of the collection of reports. An agent answers at once when its
// report has changed; the wait only bounds how long a dead peer goes unnoticed.
const (
	watchInterval  = 200 * time.Millisecond
	reportWait     = 10 * time.Second
	reportTimeout  = time.Second // beyond the wait
	reportRetry    = 500 * time.Millisecond
	minReportPause = 50 * time.Millisecond
)

// errNoReport is noted for an agent that gave no report.
var errNoReport = eris.New("agent gave no report")

// endpoint is one agent with its last report; the report is nil if the agent did
// not answer the last time it was asked.
type endpoint struct {
	member   member.Member
	report   *nodev1.EndpointReport
	observed bool // asked at least once
}

// admits reports whether the endpoint admitted attempts when it last reported.
func (e endpoint) admits() bool {
	return e.report.GetState() == nodev1.EndpointState_ENDPOINT_STATE_SERVING && e.member.State() == member.StateLive
}

// reports holds the last reports of the agents that this entry watches: the
// subset that it routes to, and all of a service whose rollout it leads.
type reports struct {
	endpoints atomic.Pointer[[]endpoint]

	mu       sync.Mutex
	watches  map[string]*watch
	watchers sync.WaitGroup
}

// watch is the observation of one start of one agent.
type watch struct {
	endpoint endpoint // guarded by the mutex of reports
	end      context.CancelFunc
}

func (r *reports) of(service string) []endpoint {
	var list []endpoint
	for _, p := range *r.endpoints.Load() {
		if p.member.Service() == service {
			list = append(list, p)
		}
	}
	return list
}

// reportLoop keeps a watch on each agent whose reports this entry needs.
func (e *Entry) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		e.updateWatches(ctx)
		select {
		case <-ctx.Done():
			e.reports.watchers.Wait()
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) updateWatches(ctx context.Context) {
	wanted := e.watched()
	r := &e.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, w := range r.watches {
		if m, ok := wanted[name]; !ok || !sameStart(m, w.endpoint.member) {
			w.end()
			delete(r.watches, name)
		}
	}
	for name, m := range wanted {
		if w, ok := r.watches[name]; ok {
			w.endpoint.member = m
			continue
		}
		e.startWatch(ctx, m)
	}
	e.publishReports()
}

// sameStart reports whether a watch of one member serves for the other. A restarted
// agent that is heard from before the platform's list names its new address has the
// new incarnation first and the new address later.
func sameStart(a, b member.Member) bool {
	return a.Incarnation() == b.Incarnation() && a.Address() == b.Address()
}

func (e *Entry) startWatch(ctx context.Context, m member.Member) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{endpoint: endpoint{member: m}, end: cancel}
	e.reports.watches[m.Name()] = w
	e.reports.watchers.Go(func() { e.followReports(ctx, w, m) })
}

// watched returns the agents whose reports this entry needs, by name.
func (e *Entry) watched() map[string]member.Member {
	byService := make(map[string][]member.Member)
	for _, m := range e.node.Members() {
		if m.Role() == member.RoleAgent {
			byService[m.Service()] = append(byService[m.Service()], m)
		}
	}
	wanted := make(map[string]member.Member)
	for service, list := range byService {
		if !e.rollouts.active(service) {
			list = e.subset(list)
		}
		for _, m := range list {
			wanted[m.Name()] = m
		}
	}
	return wanted
}

// subset returns the members that the router would use.
func (e *Entry) subset(list []member.Member) []member.Member {
	byName := make(map[string]member.Member, len(list))
	endpoints := make([]routing.Endpoint, len(list))
	for i, m := range list {
		byName[m.Name()] = m
		endpoints[i] = routing.NewEndpoint(m.Name(), m.Address(), routing.WithEndpointLocality(m.Region(), m.FailureDomain()))
	}
	var chosen []member.Member
	for _, p := range e.traffic.router.Subset(endpoints) {
		chosen = append(chosen, byName[p.Name()])
	}
	return chosen
}

// followReports asks the agent for its report over and over until ctx ends.
func (e *Entry) followReports(ctx context.Context, w *watch, m member.Member) {
	known := uint64(0)
	for ctx.Err() == nil {
		report := e.watchReport(ctx, m, known)
		known = report.GetChange()
		e.reports.mu.Lock()
		w.endpoint.report = report
		w.endpoint.observed = true
		if ctx.Err() == nil {
			e.publishReports()
		}
		e.reports.mu.Unlock()
		if report == nil {
			pause(ctx, reportRetry)
		} else {
			pause(ctx, minReportPause)
		}
	}
}

// watchReport fetches a report and takes the answer as evidence that the agent is
// there, or not.
func (e *Entry) watchReport(ctx context.Context, m member.Member, known uint64) *nodev1.EndpointReport {
	report := e.fetchReport(ctx, m.Address(), known)
	switch {
	case report != nil:
		e.node.CallCompleted(m.Name(), m.Incarnation(), nil)
	case ctx.Err() == nil:
		e.node.CallCompleted(m.Name(), m.Incarnation(), errNoReport)
	}
	return report
}

func (e *Entry) fetchReport(ctx context.Context, address string, known uint64) *nodev1.EndpointReport {
	ctx, cancel := context.WithTimeout(ctx, reportWait+reportTimeout)
	defer cancel()
	request := &nodev1.ReportRequest{KnownChange: known, WaitMs: uint32(reportWait.Milliseconds())}
	answer, err := e.node.Pool().AgentControl(address).Report(ctx, connect.NewRequest(request))
	if err != nil {
		return nil
	}
	return answer.Msg
}

// publishReports replaces the list that readers see; the caller holds the mutex.
func (e *Entry) publishReports() {
	list := make([]endpoint, 0, len(e.reports.watches))
	for _, w := range e.reports.watches {
		list = append(list, w.endpoint)
	}
	slices.SortFunc(list, func(a, b endpoint) int { return strings.Compare(a.member.Name(), b.member.Name()) })
	e.reports.endpoints.Store(&list)
	e.traffic.update(list, e.liveEntries())
}

// activeRollouts names the services whose rollout this entry has to look after.
type activeRollouts struct {
	mu       sync.Mutex
	services map[string]time.Time // last sign that an endpoint waits
}

// rolloutLinger is how long a rollout stays active after the last sign.
const rolloutLinger = 5 * time.Second

// note records a sign that an endpoint of the service waits for an order.
func (a *activeRollouts) note(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.services[service] = time.Now()
}

func (a *activeRollouts) active(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.services[service]
	return ok && time.Since(at) < rolloutLinger
}

// names returns the services that were ever active here.
func (a *activeRollouts) names() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.services))
}
