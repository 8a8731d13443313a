// Package rollout plans how the endpoints of a service change to the weights that
// the configuration specifies: which entries contend for the lease of the rollout,
// and which endpoints switch when.
//
// The holder of the rollout lease calls Plan with the latest reports of the
// endpoints and sends the orders that Plan returns. An order is declarative, so it
// may be repeated. The rules are:
//
//   - a service is updated only after every service that it depends on is complete;
//   - an endpoint gets an order only when it has staged all chunks;
//   - at most maxUnavailable endpoints of a service are unavailable at a time.
//     Endpoints that serve nothing, for example after a restart, get their orders
//     immediately, since this makes no further endpoint unavailable;
//   - no failure domain loses its last serving endpoint of a service, unless the
//     domain has only that one. In that case every other domain of the service keeps
//     a serving endpoint meanwhile;
//   - the second order that ends in a fault or times out halts the rollout of the
//     service, and the halt has a reason. Nothing is rolled back. A Planner resumes
//     the rollout only after a change of the service's section of the configuration.
//
// A Planner keeps its open orders in memory only to distinguish their effects from
// other changes, and with them the failure counts and the halts. A new lease holder
// starts without this state. Every unavailable endpoint counts against
// maxUnavailable, whichever holder ordered it.
//
// # Usage
//
//	for _, m := range rollout.Candidates(view, "faq") { ... }
//
//	p := rollout.New(rollout.WithLoadTimeout(10 * time.Minute))
//	d := p.Plan(now, rollout.Input{Revision: 7, Fencing: 3, Services: services, Endpoints: reports})
//	for _, o := range d.Orders { ... }
package rollout
