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
	e := Endpoint{name: name, address: address, limit: defaultConcurrencyLimit}
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

// WithConcurrencyLimit sets the number of requests that the endpoint admits
// concurrently.
func WithConcurrencyLimit(n int) EndpointOption {
	return func(e *Endpoint) { e.limit = n }
}

// Name returns the endpoint's name.
func (e Endpoint) Name() string { return e.name }

// table holds the endpoints of a Router. It is immutable, except for the counters
// of its endpoints.
type table struct {
	services        map[string]*serviceTable
	endpointsByName map[string]*endpointRecord
}

type serviceTable struct {
	endpoints []*endpointRecord
}

type endpointRecord struct {
	Endpoint
	hash     uint64
	local    bool
	counters *counters
}

// counters are updated in place while requests are processed. All times are Unix
// times in nanoseconds.
type counters struct {
	inFlight atomic.Int64 // requests of this entry
	// othersInFlight is the number of requests of other entries: the reported requests
	// in flight minus those of this entry when the report was recorded.
	othersInFlight atomic.Int64
	reportedAt     atomic.Int64
	// slowStartAt is the start time of the slow start; 0 means no slow start.
	slowStartAt         atomic.Int64
	consecutiveFailures atomic.Int64
	ejections           atomic.Int64 // since the last success
	ejectedUntil        atomic.Int64
}

// withService returns a copy of the table in which the service has the given endpoints.
func (t *table) withService(service string, st *serviceTable) *table {
	next := &table{services: maps.Clone(t.services), endpointsByName: map[string]*endpointRecord{}}
	next.services[service] = st
	if len(st.endpoints) == 0 {
		delete(next.services, service)
	}
	for _, s := range next.services {
		for _, e := range s.endpoints {
			next.endpointsByName[e.name] = e
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
	e := r.table.Load().endpointsByName[report.name]
	if e == nil || e.incarnation != report.incarnation {
		return false
	}
	others := int64(report.inFlight) - e.counters.inFlight.Load()
	e.counters.othersInFlight.Store(max(others, 0))
	e.counters.reportedAt.Store(r.now().UnixNano())
	return true
}

// RecordState records the state of an endpoint that was received with a response, before
// the next SetEndpoints. It does nothing if the endpoint or its incarnation is not in the
// table.
func (r *Router) RecordState(service, name string, incarnation uint64, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.Load()
	existing := old.endpointsByName[name]
	if existing == nil || existing.incarnation != incarnation || existing.state == state || old.services[service] == nil {
		return
	}
	changed := *existing
	changed.state = state
	st := &serviceTable{endpoints: slices.Clone(old.services[service].endpoints)}
	if i := slices.Index(st.endpoints, existing); i >= 0 {
		st.endpoints[i] = &changed
	}
	r.table.Store(old.withService(service, st))
}

// estimatedInFlight returns the estimated number of requests in flight at an endpoint.
func (r *Router) estimatedInFlight(e *endpointRecord, now int64) float64 {
	c := e.counters
	inFlight := c.inFlight.Load()
	if now-c.reportedAt.Load() <= int64(r.reportMaxAge) {
		inFlight += c.othersInFlight.Load()
	}
	return float64(inFlight)
}

// capacity returns the number of requests that an endpoint may have in flight now. It
// is the endpoint's limit, reduced during the slow start in proportion to the elapsed
// time.
func (r *Router) capacity(e *endpointRecord, now int64) float64 {
	limit := float64(max(e.limit, 1))
	started := e.counters.slowStartAt.Load()
	elapsed := time.Duration(now - started)
	if started == 0 || elapsed >= r.slowStart {
		return limit
	}
	fraction := max(float64(elapsed)/float64(r.slowStart), slowStartMinFraction)
	return max(limit*fraction, 1)
}
