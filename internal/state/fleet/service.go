package fleet

import "time"

// Engine describes how the model engines of a service work. Times are those of
// an engine at its usual pace.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// Capacity is the memory for requests, in tokens.
	Capacity int
	// Stride is the number of token steps in one pass.
	Stride int
	// Step is the time of a token step, StepPerRequest what each request of the
	// batch adds, StepPerContext what 1,000 tokens of context add.
	Step, StepPerRequest, StepPerContext time.Duration
	// PrefillPerSecond is the rate at which prompts are read, in tokens.
	PrefillPerSecond float64
	// PrefillChunk is the most prompt tokens read in one pass.
	PrefillChunk int
	// UsualPrompt and UsualOutput are mean sizes of a request, in tokens.
	UsualPrompt, UsualOutput float64
	// Models are the names of the models that the engines run.
	Models []string
	// Layers and Chunks are the layers of the model and the chunks of its weights.
	Layers, Chunks int
	// ChunkBytes is the size of a chunk.
	ChunkBytes int64
	// Load is the time to load staged weights.
	Load time.Duration
	// Delays are the known times of a way between failure domains.
	Delays []Delay
}

// Delay is the time of a way between two failure domains, which is the same in both directions.
type Delay struct {
	From, To string
	Time     time.Duration
}

// RoundTrip returns the time of a way from one failure domain to another and back, 0 if it is
// unknown.
func (e *Engine) RoundTrip(from, to string) time.Duration {
	for _, d := range e.Delays {
		if d.From == from && d.To == to || d.From == to && d.To == from {
			return 2 * d.Time
		}
	}
	return 0
}

// Service is a set of endpoints that do the same work.
type Service struct {
	name           string
	maxConnections int
	engine         *Engine
	origin         string
	originDomain   string
	warmup         Warmup
}

// Warmup is what the endpoints of a service take while they are cold. The zero value stands
// for endpoints that are never cold.
type Warmup struct {
	// Time is how long an endpoint is cold after its start.
	Time time.Duration
	// PerSecond is the number of requests a second that a cold endpoint takes from all
	// entries together.
	PerSecond float64
}

// Limited reports whether cold endpoints take fewer requests than others.
func (w Warmup) Limited() bool { return w.Time > 0 && w.PerSecond > 0 }

// ServiceOption sets a property of a service.
type ServiceOption func(*Service)

// WithEngine makes the endpoints model engines.
func WithEngine(e *Engine) ServiceOption { return func(s *Service) { s.engine = e } }

// WithMaxConnections sets how many connections one endpoint accepts from all
// entries together.
func WithMaxConnections(n int) ServiceOption {
	return func(s *Service) { s.maxConnections = n }
}

// WithOrigin makes the service the origin of weights at an address.
func WithOrigin(address, failureDomain string) ServiceOption {
	return func(s *Service) {
		s.origin = address
		s.originDomain = failureDomain
	}
}

// WithWarmup sets what cold endpoints take.
func WithWarmup(w Warmup) ServiceOption { return func(s *Service) { s.warmup = w } }

// NewService returns a service.
func NewService(name string, options ...ServiceOption) *Service {
	s := &Service{name: name}
	for _, o := range options {
		o(s)
	}
	return s
}

// Name returns the name.
func (s *Service) Name() string { return s.name }

// MaxConnections returns how many connections one endpoint accepts, 0 for no
// limit.
func (s *Service) MaxConnections() int { return s.maxConnections }

// Engine returns how the endpoints work, nil for plain endpoints.
func (s *Service) Engine() *Engine { return s.engine }

// Origin returns the address of an origin of weights and its failure domain;
// both are empty for other services.
func (s *Service) Origin() (address, failureDomain string) { return s.origin, s.originDomain }

// Warmup returns what cold endpoints take.
func (s *Service) Warmup() Warmup { return s.warmup }
