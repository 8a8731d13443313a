package entry

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// reportLifetime is how long the last report of an agent stays valid when newer polls
// fail. Failed attempts reveal earlier that the agent is gone.
const reportLifetime = 3 * time.Second

// lastReport is the last report received from an agent.
type lastReport struct {
	report *nodev1.EndpointReport
	at     time.Time
}

// updateEndpoints passes the endpoints and their reports to the router and sets the slot
// shares of the admission controllers.
func (t *traffic) updateEndpoints(list []endpoint, entries int) {
	byService := map[string][]routing.Endpoint{}
	limits := map[string]int{}
	now := time.Now()
	reports := make(map[string]lastReport, len(list))
	for _, p := range list {
		last := lastReport{report: p.report, at: now}
		if p.report == nil {
			last = t.lastReports[p.member.Name()]
		}
		if now.Sub(last.at) > reportLifetime {
			last.report = nil
		}
		reports[p.member.Name()] = last
		service := p.member.Service()
		byService[service] = append(byService[service], routingEndpoint(p.member, last.report))
		limits[service] += int(last.report.GetLimit())
	}
	for service := range t.lastServices {
		if byService[service] == nil {
			t.router.SetEndpoints(service, nil)
		}
	}
	t.lastReports, t.lastServices = reports, byService
	for service, endpoints := range byService {
		t.router.SetEndpoints(service, endpoints)
		t.setSlots(service, limits[service], entries)
	}
	t.reportLoads(list)
}

func (t *traffic) reportLoads(list []endpoint) {
	for _, p := range list {
		if p.report != nil {
			t.router.RecordLoad(routing.NewLoadReport(p.member.Name(), p.member.Incarnation(), int(p.report.GetInFlight())))
		}
	}
}

// recordReport applies a report that was received with the result of an attempt.
func (t *traffic) recordReport(r *nodev1.EndpointReport) {
	t.router.RecordState(r.GetService(), r.GetName(), r.GetIncarnation(), routingState(r.GetState()))
	t.router.RecordLoad(routing.NewLoadReport(r.GetName(), r.GetIncarnation(), int(r.GetInFlight())))
}

func routingEndpoint(m member.Member, r *nodev1.EndpointReport) routing.Endpoint {
	state := routing.Down
	if r != nil {
		state = routingState(r.GetState())
	}
	if m.State() == member.StateLeaving {
		state = routing.Leaving
	}
	options := []routing.EndpointOption{
		routing.WithEndpointLocality(m.Region(), m.FailureDomain()),
		routing.WithIncarnation(m.Incarnation()),
		routing.WithState(state),
	}
	if r.GetLimit() > 0 {
		options = append(options, routing.WithConcurrencyLimit(int(r.GetLimit())))
	}
	if d, err := digest.FromBytes(r.GetDigest()); err == nil && !d.IsZero() {
		options = append(options, routing.WithServedDigest(d.String()))
	}
	return routing.NewEndpoint(m.Name(), m.Address(), options...)
}

func routingState(s nodev1.EndpointState) routing.State {
	switch s {
	case nodev1.EndpointState_ENDPOINT_STATE_SERVING:
		return routing.Serving
	case nodev1.EndpointState_ENDPOINT_STATE_DRAINING:
		return routing.Draining
	case nodev1.EndpointState_ENDPOINT_STATE_LEAVING:
		return routing.Leaving
	case nodev1.EndpointState_ENDPOINT_STATE_DOWN:
		return routing.Down
	}
	return routing.Loading
}
