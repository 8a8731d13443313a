package routing

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// State is what is known of an endpoint.
type State int

// The states. Only a serving endpoint gets work.
const (
	Serving State = iota
	Loading
	Draining
	Leaving
	Down
)

// Endpoint is what the entry knows of one endpoint. It is immutable.
type Endpoint struct {
	name          string
	address       string
	incarnation   uint64
	region        string
	failureDomain string
	digest        string
	state         State
	limit         int
}

// EndpointOption sets an optional property of an endpoint.
type EndpointOption func(*Endpoint)

// NewEndpoint returns a serving endpoint whose agent listens at address.
func NewEndpoint(name, address string, options ...EndpointOption) Endpoint {
	e := Endpoint{name: name, address: address, limit: defaultLimit}
	for _, o := range options {
		o(&e)
	}
	return e
}

// WithEndpointLocality sets the region and the failure domain.
func WithEndpointLocality(region, failureDomain string) EndpointOption {
	return func(e *Endpoint) {
		e.region = region
		e.failureDomain = failureDomain
	}
}

// WithIncarnation sets the number of the agent's start.
func WithIncarnation(n uint64) EndpointOption {
	return func(e *Endpoint) { e.incarnation = n }
}

// WithServedDigest sets the manifest that the endpoint serves.
func WithServedDigest(digest string) EndpointOption {
	return func(e *Endpoint) { e.digest = digest }
}

// WithState sets the state.
func WithState(s State) EndpointOption {
	return func(e *Endpoint) { e.state = s }
}

// WithConcurrencyLimit sets the number of requests that the endpoint admits at once.
func WithConcurrencyLimit(n int) EndpointOption {
	return func(e *Endpoint) { e.limit = n }
}

// Name returns the name.
func (e Endpoint) Name() string { return e.name }

// table is the immutable state of a Router.
type table struct {
	services map[string]*serviceTable
	names    map[string]*endpoint
}

type serviceTable struct {
	endpoints []*endpoint
}

type endpoint struct {
	Endpoint
	hash     uint64
	local    bool
	counters *counters
}

// counters change in place on the path of a request.
type counters struct {
	inFlight atomic.Int64
	// reported is the load of others: the reported requests in flight less the
	// own ones at that moment.
	reported   atomic.Int64
	reportedAt atomic.Int64 // nanoseconds
	// startedAt is when a fresh or readmitted endpoint began, 0 for long ago.
	startedAt    atomic.Int64
	failures     atomic.Int64
	ejections    atomic.Int64
	ejectedUntil atomic.Int64
}

func (t *table) with(service string, st *serviceTable) *table {
	next := &table{services: maps.Clone(t.services), names: map[string]*endpoint{}}
	next.services[service] = st
	if len(st.endpoints) == 0 {
		delete(next.services, service)
	}
	for _, s := range next.services {
		for _, e := range s.endpoints {
			next.names[e.name] = e
		}
	}
	return next
}

// LoadReport is the load that an endpoint gave of itself.
type LoadReport struct {
	name        string
	incarnation uint64
	inFlight    int
}

// NewLoadReport returns a report.
func NewLoadReport(name string, incarnation uint64, inFlight int) LoadReport {
	return LoadReport{name: name, incarnation: incarnation, inFlight: inFlight}
}

// RecordLoad takes in a load report, and returns false for an endpoint or
// incarnation that the entry does not use.
func (r *Router) RecordLoad(report LoadReport) bool {
	e := r.table.Load().names[report.name]
	if e == nil || e.incarnation != report.incarnation {
		return false
	}
	others := int64(report.inFlight) - e.counters.inFlight.Load()
	e.counters.reported.Store(max(others, 0))
	e.counters.reportedAt.Store(r.now().UnixNano())
	return true
}

// RecordState takes in the state of an endpoint that came with an answer, ahead of
// the next Update. Nothing changes for an endpoint or incarnation that the entry
// does not use.
func (r *Router) RecordState(service, name string, incarnation uint64, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.Load()
	known := old.names[name]
	if known == nil || known.incarnation != incarnation || known.state == state || old.services[service] == nil {
		return
	}
	changed := *known
	changed.state = state
	st := &serviceTable{endpoints: slices.Clone(old.services[service].endpoints)}
	if i := slices.Index(st.endpoints, known); i >= 0 {
		st.endpoints[i] = &changed
	}
	r.table.Store(old.with(service, st))
}

// load estimates the requests in flight at an endpoint.
func (r *Router) load(e *endpoint, now int64) float64 {
	c := e.counters
	load := c.inFlight.Load()
	if now-c.reportedAt.Load() <= int64(r.reportMaxAge) {
		load += c.reported.Load()
	}
	return float64(load)
}

// capacity returns the share of the endpoint's limit that may be used now: less
// for an endpoint that has just started or come back.
func (r *Router) capacity(e *endpoint, now int64) float64 {
	full := float64(max(e.limit, 1))
	started := e.counters.startedAt.Load()
	age := time.Duration(now - started)
	if started == 0 || age >= r.slowStart {
		return full
	}
	share := max(float64(age)/float64(r.slowStart), slowStartFloor)
	return max(full*share, 1)
}
