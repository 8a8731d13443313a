package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Defaults of a Planner.
const (
	defaultLoadTimeout    = 10 * time.Minute
	defaultResendInterval = 5 * time.Second
	defaultHaltAfter      = 2
)

// State is the state of an endpoint.
type State int

// The states of an endpoint.
const (
	Empty State = iota
	Serving
	Draining
	Loading
	Leaving
	Down
)

// Service is the configuration of a service. A service without weights has a zero
// Target, and its own endpoints are always up to date.
type Service struct {
	Name string
	// Section is the digest of the service's section of the configuration. A halt
	// lasts until it changes; changes of other services do not end the halt.
	Section digest.Digest
	// Target is the digest of the weights that the endpoints must serve.
	Target         digest.Digest
	MaxUnavailable int
	DependsOn      []string
}

// Endpoint is the last report of an endpoint.
type Endpoint struct {
	Name          string
	Service       string
	FailureDomain string
	State         State
	// Digest is the digest of the weights that the endpoint serves.
	Digest digest.Digest
	// Staged is the digest of the manifest whose chunks are all staged, zero if
	// there is none.
	Staged digest.Digest
	// Fault describes the last fault, empty if there was none.
	Fault string
}

// Order is an order to an endpoint to serve the weights with a digest.
type Order struct {
	Endpoint string
	Service  string
	Digest   digest.Digest
	Revision uint64
	Fencing  uint64
}

// Halt is the reason for which the rollout of a service is halted.
type Halt struct {
	Service  string
	Endpoint string
	Reason   string
}

// Decision holds the orders to send now and the halted services.
type Decision struct {
	Orders []Order
	Halts  []Halt
	// Done is set when every service is complete.
	Done bool
}

// Input is everything that a decision depends on, except for earlier orders.
type Input struct {
	Revision  uint64
	Fencing   uint64
	Services  []Service
	Endpoints []Endpoint
}

// Planner plans the orders of one lease holder. It is not safe for concurrent use.
type Planner struct {
	loadTimeout    time.Duration
	resendInterval time.Duration
	haltAfter      int
	sent           map[string]sentOrder
	failures       map[string]failureCount
	halts          map[string]sectionHalt
}

// failureCount is the number of failed orders of a service.
type failureCount struct {
	count   int
	section digest.Digest
}

// sentOrder is an order that was sent and is still open: it has neither completed nor
// become obsolete.
type sentOrder struct {
	order Order
	// stateAtSend is the state of the endpoint when the order was first sent, and
	// stateChanged reports whether a later report had another state. Until then a
	// report may be older than the order.
	stateAtSend  State
	stateChanged bool
	section      digest.Digest
	firstSent    time.Time
	lastSent     time.Time
}

// sectionHalt is a halt that lasts until the section of the service changes.
type sectionHalt struct {
	Halt
	section digest.Digest
}

// Option configures a Planner.
type Option func(*Planner)

// WithLoadTimeout sets the maximum time from the order until the endpoint serves
// the weights. It includes the time for draining.
func WithLoadTimeout(d time.Duration) Option {
	return func(p *Planner) { p.loadTimeout = d }
}

// WithResendInterval sets the interval at which an order is sent again until the
// endpoint serves the weights.
func WithResendInterval(d time.Duration) Option {
	return func(p *Planner) { p.resendInterval = d }
}

// WithHaltAfter sets the number of failed orders at which the rollout of a service
// halts. Below it, the endpoint gets a new order, since a single failure may only be
// a crashed instance.
func WithHaltAfter(n int) Option {
	return func(p *Planner) { p.haltAfter = max(n, 1) }
}

// New returns a Planner that has sent no orders.
func New(options ...Option) *Planner {
	p := &Planner{
		loadTimeout:    defaultLoadTimeout,
		resendInterval: defaultResendInterval,
		haltAfter:      defaultHaltAfter,
		failures:       make(map[string]failureCount),
		sent:           make(map[string]sentOrder),
		halts:          make(map[string]sectionHalt),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Plan returns the orders to send at now and the halted services.
func (p *Planner) Plan(now time.Time, in Input) Decision {
	d := Decision{Done: true}
	complete := make(map[string]bool)
	for _, s := range dependenciesFirst(in.Services) {
		endpoints := endpointsOf(s, in.Endpoints)
		p.updateOrders(now, s, endpoints)
		complete[s.Name] = isComplete(s, endpoints)
		for _, dependency := range s.DependsOn {
			complete[s.Name] = complete[s.Name] && complete[dependency]
		}
		if complete[s.Name] {
			continue
		}
		d.Done = false
		if h, halted := p.halts[s.Name]; halted {
			d.Halts = append(d.Halts, h.Halt)
			continue
		}
		if dependenciesComplete(s, complete) {
			d.Orders = append(d.Orders, p.batch(now, in, s, endpoints)...)
		}
	}
	return d
}

// dependenciesComplete reports whether all services that s depends on are complete.
func dependenciesComplete(s Service, complete map[string]bool) bool {
	return !slices.ContainsFunc(s.DependsOn, func(name string) bool { return !complete[name] })
}

// isComplete reports whether all endpoints of the service are up to date.
func isComplete(s Service, endpoints []Endpoint) bool {
	return !slices.ContainsFunc(endpoints, func(e Endpoint) bool { return !upToDate(s, e) })
}

// upToDate reports whether the endpoint needs no order: the service has no target,
// the endpoint is leaving, or it serves the target.
func upToDate(s Service, e Endpoint) bool {
	return s.Target.IsZero() || e.State == Leaving || e.State == Serving && e.Digest == s.Target
}

func endpointsOf(s Service, all []Endpoint) []Endpoint {
	var own []Endpoint
	for _, e := range all {
		if e.Service == s.Name {
			own = append(own, e)
		}
	}
	slices.SortFunc(own, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return own
}

// dependenciesFirst sorts the services so that each follows those it depends on.
// The configuration has no dependency cycles. If there were one, its services would
// still be returned once each, in an order that depends on which is visited first.
func dependenciesFirst(services []Service) []Service {
	byName := make(map[string]Service)
	for _, s := range services {
		byName[s.Name] = s
	}
	var ordered []Service
	visited := make(map[string]bool)
	var visit func(s Service)
	visit = func(s Service) {
		if visited[s.Name] {
			return
		}
		visited[s.Name] = true
		for _, name := range s.DependsOn {
			if dependency, found := byName[name]; found {
				visit(dependency)
			}
		}
		ordered = append(ordered, s)
	}
	for _, s := range services {
		visit(s)
	}
	return ordered
}

// updateOrders deletes orders that are complete or obsolete, and records the
// failure of an order, which may halt the service.
func (p *Planner) updateOrders(now time.Time, s Service, endpoints []Endpoint) {
	if h, halted := p.halts[s.Name]; halted && h.section != s.Section {
		delete(p.halts, s.Name)
	}
	if p.failures[s.Name].section != s.Section {
		delete(p.failures, s.Name)
	}
	present := make(map[string]bool)
	for _, e := range endpoints {
		present[e.Name] = true
		sent, ordered := p.sent[e.Name]
		if !ordered {
			continue
		}
		if upToDate(s, e) || sent.section != s.Section {
			delete(p.sent, e.Name)
			continue
		}
		sent.stateChanged = sent.stateChanged || e.State != sent.stateAtSend
		p.sent[e.Name] = sent
		if reason := p.failureReason(now, sent, e); reason != "" {
			p.recordFailure(s, e, reason)
		}
	}
	for name, sent := range p.sent {
		if sent.order.Service == s.Name && !present[name] {
			delete(p.sent, name)
		}
	}
}

// recordFailure counts a failed order and halts the service when the number of
// failures reaches haltAfter.
func (p *Planner) recordFailure(s Service, e Endpoint, reason string) {
	f := failureCount{count: p.failures[s.Name].count + 1, section: s.Section}
	p.failures[s.Name] = f
	if f.count < p.haltAfter {
		delete(p.sent, e.Name)
		return
	}
	p.halts[s.Name] = sectionHalt{
		Halt:    Halt{Service: s.Name, Endpoint: e.Name, Reason: reason},
		section: s.Section,
	}
}

// failureReason returns why the order of the endpoint failed, or "" if it has not
// failed.
func (p *Planner) failureReason(now time.Time, sent sentOrder, e Endpoint) string {
	stopped := sent.stateChanged && (e.State == Down || e.State == Empty)
	switch {
	case stopped && e.Fault != "":
		return e.Fault
	case stopped:
		return "endpoint stopped serving after the order"
	case now.Sub(sent.firstSent) >= p.loadTimeout:
		return "endpoint does not serve the weights within the load timeout"
	}
	return ""
}

// batch returns the orders to send now for one service.
func (p *Planner) batch(now time.Time, in Input, s Service, endpoints []Endpoint) []Order {
	var orders []Order
	available := p.countAvailable(s, endpoints)
	for _, e := range endpoints {
		sent, ordered := p.sent[e.Name]
		switch {
		case upToDate(s, e) || e.Staged != s.Target:
			continue
		case ordered && now.Sub(sent.lastSent) < p.resendInterval:
			continue
		case !ordered && e.State == Serving && !available.tryDisrupt(e):
			continue
		case !ordered && (e.State == Draining || e.State == Loading):
			continue
		}
		o := Order{Endpoint: e.Name, Service: s.Name, Digest: s.Target, Revision: in.Revision, Fencing: in.Fencing}
		if !ordered {
			sent.firstSent = now
			sent.stateAtSend = e.State
		}
		p.sent[e.Name] = sentOrder{order: o, stateAtSend: sent.stateAtSend, stateChanged: sent.stateChanged, section: s.Section, firstSent: sent.firstSent, lastSent: now}
		orders = append(orders, o)
	}
	return orders
}

// availability counts the serving endpoints of a service, by failure domain.
// disruptionsLeft is the number of endpoints that may still become unavailable.
type availability struct {
	disruptionsLeft int
	totalInDomain   map[string]int
	servingInDomain map[string]int
	servingTotal    int
}

// countAvailable returns the availability of a service. An endpoint with an open
// order counts as not serving, whatever state it reported, since the report may be
// older than the order.
func (p *Planner) countAvailable(s Service, endpoints []Endpoint) *availability {
	a := &availability{disruptionsLeft: max(s.MaxUnavailable, 1), totalInDomain: make(map[string]int), servingInDomain: make(map[string]int)}
	for _, e := range endpoints {
		if e.State == Leaving {
			continue
		}
		a.totalInDomain[e.FailureDomain]++
		if _, ordered := p.sent[e.Name]; e.State == Serving && !ordered {
			a.servingInDomain[e.FailureDomain]++
			a.servingTotal++
		} else {
			a.disruptionsLeft--
		}
	}
	return a
}

// tryDisrupt reports whether a serving endpoint may become unavailable. If so, it
// counts the endpoint as unavailable.
func (a *availability) tryDisrupt(e Endpoint) bool {
	if a.disruptionsLeft <= 0 || !a.domainAllowsDisruption(e.FailureDomain) {
		return false
	}
	a.disruptionsLeft--
	a.servingInDomain[e.FailureDomain]--
	a.servingTotal--
	return true
}

// domainAllowsDisruption reports whether a failure domain may lose a serving
// endpoint. It may lose its last one only if it has no other endpoint and every
// other domain has one that serves.
func (a *availability) domainAllowsDisruption(domain string) bool {
	if a.servingInDomain[domain] > 1 {
		return true
	}
	if a.totalInDomain[domain] > 1 {
		return false
	}
	if len(a.totalInDomain) == 1 {
		return true
	}
	for other := range a.totalInDomain {
		if other != domain && a.servingInDomain[other] == 0 {
			return false
		}
	}
	return true
}
