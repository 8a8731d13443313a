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

// Intervals of the polling of reports. An agent responds to a long poll as soon as its
// report has changed; reportWait only bounds how long a dead agent goes undetected.
const (
	pollUpdateInterval = 200 * time.Millisecond
	reportWait         = 10 * time.Second
	reportTimeout      = time.Second // added to reportWait
	reportRetryDelay   = 500 * time.Millisecond
	minReportInterval  = 50 * time.Millisecond
)

// errNoReport is recorded for an agent whose report could not be fetched.
var errNoReport = eris.New("no report received from the agent")

// endpoint is an agent with its last report. The report is nil if the last poll failed.
type endpoint struct {
	member member.Member
	report *nodev1.EndpointReport
	polled bool // polled at least once
}

// admits reports whether the endpoint admitted attempts as of its last report.
func (e endpoint) admits() bool {
	return e.report.GetState() == nodev1.EndpointState_ENDPOINT_STATE_SERVING && e.member.State() == member.StateLive
}

// reports holds the last reports of the agents that this entry polls: the subset that
// it routes to, and all agents of a service with an active rollout here.
type reports struct {
	endpoints atomic.Pointer[[]endpoint]

	mu      sync.Mutex
	polls   map[string]*reportPoll
	pollers sync.WaitGroup
}

// reportPoll is the polling of one incarnation of an agent.
type reportPoll struct {
	endpoint endpoint // guarded by the mutex of reports
	stop     context.CancelFunc
}

func (r *reports) ofService(service string) []endpoint {
	var list []endpoint
	for _, p := range *r.endpoints.Load() {
		if p.member.Service() == service {
			list = append(list, p)
		}
	}
	return list
}

// reportLoop keeps a poll running for each agent whose reports this entry needs.
func (e *Entry) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(pollUpdateInterval)
	defer ticker.Stop()
	for {
		e.updatePolls(ctx)
		select {
		case <-ctx.Done():
			e.reports.pollers.Wait()
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) updatePolls(ctx context.Context) {
	polled := e.polledAgents()
	r := &e.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, w := range r.polls {
		if m, ok := polled[name]; !ok || !sameProcess(m, w.endpoint.member) {
			w.stop()
			delete(r.polls, name)
		}
	}
	for name, m := range polled {
		if w, ok := r.polls[name]; ok {
			w.endpoint.member = m
			continue
		}
		e.startPoll(ctx, m)
	}
	e.publishReports()
}

// sameProcess reports whether a and b have the same incarnation and address, so that the
// poll of one can continue for the other. Both are compared because the new incarnation
// of a restarted agent may become known before the platform's list has its new address.
func sameProcess(a, b member.Member) bool {
	return a.Incarnation() == b.Incarnation() && a.Address() == b.Address()
}

func (e *Entry) startPoll(ctx context.Context, m member.Member) {
	ctx, cancel := context.WithCancel(ctx)
	w := &reportPoll{endpoint: endpoint{member: m}, stop: cancel}
	e.reports.polls[m.Name()] = w
	e.reports.pollers.Go(func() { e.pollReports(ctx, w, m) })
}

// polledAgents returns the agents whose reports this entry needs, by name.
func (e *Entry) polledAgents() map[string]member.Member {
	byService := make(map[string][]member.Member)
	for _, m := range e.node.Members() {
		if m.Role() == member.RoleAgent {
			byService[m.Service()] = append(byService[m.Service()], m)
		}
	}
	polled := make(map[string]member.Member)
	for service, list := range byService {
		if !e.rollouts.active(service) {
			list = e.subset(list)
		}
		for _, m := range list {
			polled[m.Name()] = m
		}
	}
	return polled
}

// subset returns the members that the router selects for this entry.
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

// pollReports polls the agent for its report until ctx is done.
func (e *Entry) pollReports(ctx context.Context, w *reportPoll, m member.Member) {
	known := uint64(0)
	for ctx.Err() == nil {
		report := e.pollReport(ctx, m, known)
		known = report.GetChange()
		e.reports.mu.Lock()
		w.endpoint.report = report
		w.endpoint.polled = true
		if ctx.Err() == nil {
			e.publishReports()
		}
		e.reports.mu.Unlock()
		if report == nil {
			sleep(ctx, reportRetryDelay)
		} else {
			sleep(ctx, minReportInterval)
		}
	}
}

// pollReport fetches a report and records the success or failure of the call with the
// node's membership.
func (e *Entry) pollReport(ctx context.Context, m member.Member, known uint64) *nodev1.EndpointReport {
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
	response, err := e.node.Pool().AgentControl(address).Report(ctx, connect.NewRequest(request))
	if err != nil {
		return nil
	}
	return response.Msg
}

// publishReports replaces the published list of endpoints and updates the router. The
// caller must hold the mutex of reports.
func (e *Entry) publishReports() {
	list := make([]endpoint, 0, len(e.reports.polls))
	for _, w := range e.reports.polls {
		list = append(list, w.endpoint)
	}
	slices.SortFunc(list, func(a, b endpoint) int { return strings.Compare(a.member.Name(), b.member.Name()) })
	e.reports.endpoints.Store(&list)
	e.traffic.updateEndpoints(list, e.liveEntries())
}

// activeRollouts holds the services whose rollouts this entry may have to lead.
type activeRollouts struct {
	mu       sync.Mutex
	services map[string]time.Time // when an endpoint was last known to wait for an order
}

// rolloutIdleTimeout is how long a rollout stays active after an endpoint was last known
// to wait for an order.
const rolloutIdleTimeout = 5 * time.Second

// markActive records that an endpoint of the service waits for an order.
func (a *activeRollouts) markActive(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.services[service] = time.Now()
}

func (a *activeRollouts) active(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.services[service]
	return ok && time.Since(at) < rolloutIdleTimeout
}

// names returns all services that have been active at this entry.
func (a *activeRollouts) names() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.services))
}
