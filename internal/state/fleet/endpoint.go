package fleet

import "time"

// Weights is a version of a model's weights, as an endpoint holds it.
type Weights struct {
	model   string
	version int64
	whole   bool
}

// NewWeights returns a version of a model; whole tells that every layer is there.
func NewWeights(model string, version int64, whole bool) Weights {
	return Weights{model: model, version: version, whole: whole}
}

// Model returns the name of the model.
func (w Weights) Model() string { return w.model }

// Version returns the version.
func (w Weights) Version() int64 { return w.version }

// Whole reports whether every layer is held.
func (w Weights) Whole() bool { return w.whole }

// Endpoint is one start of a back end, as the platform's list shows it. It is
// immutable.
type Endpoint struct {
	id            string
	service       string
	address       string
	failureDomain string
	slots         int
	draining      bool
	started       int64
	weights       []Weights
	cold          ColdReport
}

// ColdReport is what the row of an endpoint says of how long it stays cold.
type ColdReport struct {
	// Known is set if the row says anything that can be read.
	Known bool
	// Remaining is how long the endpoint stays cold from when it wrote the row.
	Remaining time.Duration
	// RowVersion is the version of the row, 0 if unknown.
	RowVersion int64
}

// EndpointOption sets a property of an endpoint.
type EndpointOption func(*Endpoint)

// WithPlace sets the failure domain.
func WithPlace(failureDomain string) EndpointOption {
	return func(e *Endpoint) { e.failureDomain = failureDomain }
}

// WithSlots sets how many requests run at a time.
func WithSlots(n int) EndpointOption { return func(e *Endpoint) { e.slots = n } }

// WithDraining marks an endpoint that takes no new work.
func WithDraining(draining bool) EndpointOption {
	return func(e *Endpoint) { e.draining = draining }
}

// WithStarted sets the start of the process, in Unix milliseconds.
func WithStarted(ms int64) EndpointOption { return func(e *Endpoint) { e.started = ms } }

// WithWeights sets the weights that are loaded.
func WithWeights(w ...Weights) EndpointOption {
	return func(e *Endpoint) { e.weights = w }
}

// WithCold sets what its row says of how long it stays cold.
func WithCold(r ColdReport) EndpointOption { return func(e *Endpoint) { e.cold = r } }

// NewEndpoint returns an endpoint of a service.
func NewEndpoint(id, service, address string, options ...EndpointOption) *Endpoint {
	e := &Endpoint{id: id, service: service, address: address}
	for _, o := range options {
		o(e)
	}
	return e
}

// ID returns the identity of the endpoint.
func (e *Endpoint) ID() string { return e.id }

// Service returns the name of its service.
func (e *Endpoint) Service() string { return e.service }

// Address returns where it listens, as IP:PORT.
func (e *Endpoint) Address() string { return e.address }

// FailureDomain returns where it stands.
func (e *Endpoint) FailureDomain() string { return e.failureDomain }

// Slots returns how many requests run at a time.
func (e *Endpoint) Slots() int { return e.slots }

// Draining reports whether it takes no new work.
func (e *Endpoint) Draining() bool { return e.draining }

// Started returns the start of the process in Unix milliseconds, 0 if unknown.
func (e *Endpoint) Started() int64 { return e.started }

// Cold returns what its row says of how long it stays cold.
func (e *Endpoint) Cold() ColdReport { return e.cold }

// Version returns the version of the model that is loaded whole, 0 for none.
func (e *Endpoint) Version(model string) int64 {
	for _, w := range e.weights {
		if w.model == model && w.whole {
			return w.version
		}
	}
	return 0
}
