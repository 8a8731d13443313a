package routing

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// State is the state of an endpoint as last reported.
type State int

// The states of an endpoint. Only serving endpoints receive requests.
const (
	Serving State = iota
	Loading
	Draining
	Leaving
	Down
)

// Endpoint describes one endpoint of a service. It is immutable.
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

// WithEndpointLocality sets the region and the failure domain of the endpoint.
func WithEndpointLocality(region, failureDomain string) EndpointOption {
	return func(e *Endpoint) {
		e.region = region
		e.failureDomain = failureDomain
	}
}

// WithIncarnation sets the incarnation number of the endpoint's agent. The default
// is 0.
func WithIncarnation(n uint64) EndpointOption {
	return func(e *Endpoint) { e.incarnation = n }
}

// WithServedDigest sets the digest of the manifest that the endpoint serves.
func WithServedDigest(digest string) EndpointOption {
	return func(e *Endpoint) { e.digest = digest }
}

// WithState sets the state of the endpoint. The default is Serving.
func WithState(s State) EndpointOption {
	return func(e *Endpoint) { e.state = s }
}

// WithConcurrencyLimit sets the number of requests that the endpoint admits concurrently.
func WithConcurrencyLimit(n int) EndpointOption {
	return func(e *Endpoint) { e.limit = n }
}

// Name returns the endpoint's name.
func (e Endpoint) Name() string { return e.name }

// table holds the endpoints of a Router. It is immutable, except for the counters
// of its endpoints.
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

// counters are updated in place while requests are processed. All times are Unix
// times in nanoseconds.
type counters struct {
	inFlight atomic.Int64 // requests of this entry
	// reported is the number of requests of other entries: the reported requests in
	// flight minus those of this entry when the report was recorded.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// startedAt is the begin of the slow start; 0 means no slow start.
	startedAt    atomic.Int64
	failures     atomic.Int64 // consecutive
	ejections    atomic.Int64 // since the last success
	ejectedUntil atomic.Int64
}

// with returns a copy of the table in which the service has the given endpoints.
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

// LoadReport is the load that an endpoint reported.
type LoadReport struct {
	name        string
	incarnation uint64
	inFlight    int
}

// NewLoadReport returns a load report with the number of requests in flight at the
// endpoint.
func NewLoadReport(name string, incarnation uint64, inFlight int) LoadReport {
	return LoadReport{name: name, incarnation: incarnation, inFlight: inFlight}
}

// RecordLoad records a load report. It returns false, and records nothing, if the
// endpoint or its incarnation is not in the table.
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

// RecordState records the state of an endpoint that was received with a response, before
// the next Update. It does nothing if the endpoint or its incarnation is not in the
// table.
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

// load returns the estimated number of requests in flight at an endpoint.
func (r *Router) load(e *endpoint, now int64) float64 {
	c := e.counters
	load := c.inFlight.Load()
	if now-c.reportedAt.Load() <= int64(r.reportMaxAge) {
		load += c.reported.Load()
	}
	return float64(load)
}

// capacity returns the number of requests that an endpoint may have in flight now. It
// is the endpoint's limit, reduced during the slow start in proportion to the elapsed
// time.
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
