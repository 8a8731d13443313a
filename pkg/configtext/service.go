package configtext

import (
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Kind tells what the endpoints of a service are.
type Kind string

// The kinds of services.
const (
	// KindModel services have model engines as endpoints.
	KindModel Kind = "model"
	// KindPlain services have ordinary HTTP servers as endpoints.
	KindPlain Kind = "plain"
)

// Service is one service. It is immutable.
type Service struct {
	name                  string
	team                  string
	kind                  Kind
	servers               int
	models                []ModelVersion
	wanted                int
	serve                 string
	dependsOn             []string
	maxUnavailable        int
	honoursFencing        bool
	idempotentCompletions bool
	calls                 []callRule
	maxOriginCopies       float64
	requestTimeout        time.Duration
	maxConcurrency        int
	keyRetention          time.Duration
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Team returns the team that owns the service.
func (s Service) Team() string { return s.team }

// Kind returns what the endpoints are.
func (s Service) Kind() Kind { return s.kind }

// Servers returns the number of endpoint instances that are planned.
func (s Service) Servers() int { return s.servers }

// Models returns the model versions that the text lists for the service, in
// the order of the text. It is empty for plain services.
func (s Service) Models() []ModelVersion { return slices.Clone(s.models) }

// Model returns the version that every endpoint of the service is to serve, or
// the zero value for a plain service.
func (s Service) Model() ModelVersion {
	if s.kind != KindModel {
		return ModelVersion{}
	}
	return s.models[s.wanted]
}

// DependsOn returns the names of the services that must serve before s does.
func (s Service) DependsOn() []string { return slices.Clone(s.dependsOn) }

// MaxUnavailable returns how many endpoints a rollout may take out of service
// at a time.
func (s Service) MaxUnavailable() int { return s.maxUnavailable }

// HonoursFencing reports whether the endpoints refuse an order that carries a
// fencing number below the highest they have seen.
func (s Service) HonoursFencing() bool { return s.honoursFencing }

// MaxOriginCopies returns how many copies of a model each region may draw from
// the origin: 1 spends the fewest origin bytes, more shorten the time.
func (s Service) MaxOriginCopies() float64 { return s.maxOriginCopies }

// RequestTimeout returns the longest time from a request's arrival to the end
// of its answer.
func (s Service) RequestTimeout() time.Duration { return s.requestTimeout }

// MaxConcurrency returns the upper bound of requests in flight at an endpoint.
func (s Service) MaxConcurrency() int { return s.maxConcurrency }

// KeyRetention returns how long the outcome of a request with an idempotency
// key is kept. A key older than that is never run.
func (s Service) KeyRetention() time.Duration { return s.keyRetention }

// ModelVersion names the weights of one version of a model.
type ModelVersion struct {
	name     string
	version  string
	manifest digest.Digest
	line     int
	key      string
}

// Name returns the name of the model.
func (m ModelVersion) Name() string { return m.name }

// Version returns the version of the model.
func (m ModelVersion) Version() string { return m.version }

// Manifest returns the digest of the encoded manifest.
func (m ModelVersion) Manifest() digest.Digest { return m.manifest }

// String returns "NAME@VERSION", the form in which `serve` names a version.
func (m ModelVersion) String() string { return m.name + "@" + m.version }
