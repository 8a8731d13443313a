// Package rollout decides in which order the endpoints of the services change to
// the weights that the configuration names.
//
// The holder of the rollout lease calls Next with the reports it has and carries
// out the orders it gets. An order is declarative, so it may be repeated. The
// rules:
//
//   - a service moves only after every service that it depends on has moved;
//   - an endpoint is ordered only when it has all chunks staged;
//   - at most maxUnavailable endpoints of a service are unavailable at a time;
//     endpoints that serve nothing, as after a restart, are ordered at once, since
//     that takes nothing away;
//   - no failure domain loses its last serving endpoint of a service, unless the
//     domain has only that one; then no second domain is without one meanwhile,
//     and another domain serves, if the service has any;
//   - the second order that ends in a fault or takes too long halts the service,
//     with the reason. Nothing moves back: only a change of the service's section of
//     the configuration starts it again.
//
// What a Planner remembers only tells its own orders from other changes. A new
// holder starts without it; until then unavailable endpoints count against
// maxUnavailable whoever ordered them.
//
// # Usage
//
//	p := rollout.New(rollout.WithLoadTimeout(10 * time.Minute))
//	d := p.Next(now, rollout.Input{Revision: 7, Fencing: 3, Services: services, Endpoints: reports})
//	for _, o := range d.Orders { ... }
package rollout
