package entry

import (
	"github.com/primrosetally/primrosetally/internal/coordination/rollout"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// rolloutInput describes a service and those it depends on to the planner. Of a
// service that this entry does not lead it knows the endpoints that it routes to.
func (e *Entry) rolloutInput(c *configtext.Config, s configtext.Service, revision, fencing uint64) rollout.Input {
	in := rollout.Input{Revision: revision, Fencing: fencing}
	for _, name := range append(s.DependsOn(), s.Name()) {
		described, ok := c.Service(name)
		if !ok {
			continue
		}
		in.Services = append(in.Services, rolloutService(c, described, name == s.Name()))
		for _, p := range e.reports.of(name) {
			in.Endpoints = append(in.Endpoints, rolloutEndpoint(p))
		}
	}
	return in
}

func rolloutService(c *configtext.Config, s configtext.Service, led bool) rollout.Service {
	r := rollout.Service{Name: s.Name(), MaxUnavailable: s.MaxUnavailable()}
	if led {
		r.DependsOn = s.DependsOn()
	}
	if s.Kind() == configtext.KindModel {
		r.Target = s.Model().Manifest()
	}
	for _, section := range c.Sections() {
		if section.Name() == "service."+s.Name() {
			r.Section = section.Digest()
		}
	}
	return r
}

func rolloutEndpoint(p endpoint) rollout.Endpoint {
	r := rollout.Endpoint{
		Name: p.member.Name(), Service: p.member.Service(), FailureDomain: p.member.FailureDomain(),
		State: rolloutState(p), Fault: p.report.GetFault(),
	}
	copy(r.Digest[:], p.report.GetDigest())
	if total := p.report.GetChunksTotal(); total > 0 && p.report.GetChunksStaged() == total {
		copy(r.Staged[:], p.report.GetWantedDigest()[:min(digest.Size, len(p.report.GetWantedDigest()))])
	}
	return r
}

func rolloutState(p endpoint) rollout.State {
	if p.member.State() == member.StateLeaving {
		return rollout.Leaving
	}
	switch p.report.GetState() {
	case nodev1.EndpointState_ENDPOINT_STATE_EMPTY:
		return rollout.Empty
	case nodev1.EndpointState_ENDPOINT_STATE_SERVING:
		return rollout.Serving
	case nodev1.EndpointState_ENDPOINT_STATE_DRAINING:
		return rollout.Draining
	case nodev1.EndpointState_ENDPOINT_STATE_LOADING:
		return rollout.Loading
	case nodev1.EndpointState_ENDPOINT_STATE_LEAVING:
		return rollout.Leaving
	default:
		return rollout.Down
	}
}
