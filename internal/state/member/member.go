// Package member describes one process of the system as the platform's
// membership list or the process itself names it.
//
// # Usage
//
//	m := member.New("entry-1", member.RoleEntry, "127.0.0.1:7001",
//		member.WithPlace("riga", "riga-a"), member.WithIncarnation(3))
package member

import "encoding/json"

// Role tells what a process does.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is what the platform says of an instance.
type State string

// The states of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Member is one process of the system. It is immutable.
type Member struct {
	wire wireMember
}

// Option sets an optional property of a member.
type Option func(*wireMember)

// New returns a live member that listens at address, an IP number with a port.
func New(name string, role Role, address string, options ...Option) Member {
	w := wireMember{Name: name, Role: role, Address: address, State: StateLive}
	for _, o := range options {
		o(&w)
	}
	return Member{wire: w}
}

// WithPlace sets the region and the failure domain.
func WithPlace(region, failureDomain string) Option {
	return func(w *wireMember) {
		w.Region = region
		w.FailureDomain = failureDomain
	}
}

// WithService sets the service whose endpoint an agent stands before.
func WithService(service string) Option {
	return func(w *wireMember) { w.Service = service }
}

// WithCallerAddress sets the IP number and port that an entry serves callers at.
func WithCallerAddress(address string) Option {
	return func(w *wireMember) { w.CallerAddress = address }
}

// WithIncarnation sets the number that tells a restarted process from the one
// before it; it grows with every start.
func WithIncarnation(n uint64) Option {
	return func(w *wireMember) { w.Incarnation = n }
}

// WithState sets the state.
func WithState(s State) Option {
	return func(w *wireMember) { w.State = s }
}

// With returns a copy of m with the options applied.
func (m Member) With(options ...Option) Member {
	for _, o := range options {
		o(&m.wire)
	}
	return m
}

// Name returns the name of the process, unique in the deployment.
func (m Member) Name() string { return m.wire.Name }

// Role returns what the process does.
func (m Member) Role() Role { return m.wire.Role }

// Address returns the IP number and port for the system's own processes.
func (m Member) Address() string { return m.wire.Address }

// CallerAddress returns the IP number and port for callers, empty for agents.
func (m Member) CallerAddress() string { return m.wire.CallerAddress }

// Region returns the region.
func (m Member) Region() string { return m.wire.Region }

// FailureDomain returns the failure domain.
func (m Member) FailureDomain() string { return m.wire.FailureDomain }

// Service returns the service of an agent's endpoint, empty for entries.
func (m Member) Service() string { return m.wire.Service }

// Incarnation returns the number of the start.
func (m Member) Incarnation() uint64 { return m.wire.Incarnation }

// State returns what is known of the instance.
func (m Member) State() State { return m.wire.State }

// MarshalJSON implements json.Marshaler.
func (m Member) MarshalJSON() ([]byte, error) { return json.Marshal(m.wire) }

// UnmarshalJSON implements json.Unmarshaler.
func (m *Member) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &m.wire) }

type wireMember struct {
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	Address       string `json:"address"`
	CallerAddress string `json:"callerAddress,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Service       string `json:"service,omitempty"`
	Incarnation   uint64 `json:"incarnation"`
	State         State  `json:"state"`
}
