package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Defaults of a Planner.
const (
	defaultLoadTimeout = 10 * time.Minute
	defaultRepeatAfter = 5 * time.Second
	defaultHaltAfter   = 2
)

// State is what an endpoint does.
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

// Service is what the configuration says of a service. A service without weights
// has the zero digest and is always settled.
type Service struct {
	Name string
	// Section is the digest of the service's part of the configuration. A halt
	// lasts until it changes; changes of other services do not end it.
	Section        digest.Digest
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
	// Digest is what it serves.
	Digest digest.Digest
	// Staged is the manifest of which all chunks are staged, zero for none.
	Staged digest.Digest
	// Fault is what went wrong last, empty for nothing.
	Fault string
}

// Order tells an endpoint to serve a digest.
type Order struct {
	Endpoint string
	Service  string
	Digest   digest.Digest
	Revision uint64
	Fencing  uint64
}

// Halt is why a service does not move on.
type Halt struct {
	Service  string
	Endpoint string
	Reason   string
}

// Decision is what to do now.
type Decision struct {
	Orders []Order
	Halts  []Halt
	// Done tells that every endpoint serves what its service wants.
	Done bool
}

// Input is all that a decision depends on, besides earlier orders.
type Input struct {
	Revision  uint64
	Fencing   uint64
	Services  []Service
	Endpoints []Endpoint
}

// Planner decides for one lease holder, from one goroutine.
type Planner struct {
	loadTimeout time.Duration
	repeatAfter time.Duration
	haltAfter   int
	ordered     map[string]given
	failures    map[string]failures
	halts       map[string]halted
}

// failures counts the orders of a service that went bad.
type failures struct {
	count   int
	section digest.Digest
}

type given struct {
	order Order
	// before is the state when the order was given, and left tells that the
	// endpoint was seen in another one since: a report may be older than the order.
	before  State
	left    bool
	section digest.Digest
	first   time.Time
	last    time.Time
}

type halted struct {
	Halt
	section digest.Digest
}

// Option changes a property of a Planner.
type Option func(*Planner)

// WithLoadTimeout sets how long an endpoint may take from its order until it
// serves; draining is part of it.
func WithLoadTimeout(d time.Duration) Option {
	return func(p *Planner) { p.loadTimeout = d }
}

// WithResendInterval sets when an order is repeated that shows no effect.
func WithResendInterval(d time.Duration) Option {
	return func(p *Planner) { p.repeatAfter = d }
}

// WithHaltAfter sets how many orders of a service may go bad before it halts; below
// that the endpoint is ordered again. One is no more than an instance that dies.
func WithHaltAfter(n int) Option {
	return func(p *Planner) { p.haltAfter = max(n, 1) }
}

// New returns a Planner that has given no orders.
func New(options ...Option) *Planner {
	p := &Planner{
		loadTimeout: defaultLoadTimeout,
		repeatAfter: defaultRepeatAfter,
		haltAfter:   defaultHaltAfter,
		failures:    make(map[string]failures),
		ordered:     make(map[string]given),
		halts:       make(map[string]halted),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Plan returns what to do at now.
func (p *Planner) Plan(now time.Time, in Input) Decision {
	d := Decision{Done: true}
	settled := make(map[string]bool)
	for _, s := range dependenciesFirst(in.Services) {
		endpoints := endpointsOf(s, in.Endpoints)
		p.review(now, s, endpoints)
		settled[s.Name] = isSettled(s, endpoints)
		for _, dependency := range s.DependsOn {
			settled[s.Name] = settled[s.Name] && settled[dependency]
		}
		if settled[s.Name] {
			continue
		}
		d.Done = false
		if h, stopped := p.halts[s.Name]; stopped {
			d.Halts = append(d.Halts, h.Halt)
			continue
		}
		if ready(s, settled) {
			d.Orders = append(d.Orders, p.wave(now, in, s, endpoints)...)
		}
	}
	return d
}

// ready reports whether all that the service depends on has moved.
func ready(s Service, settled map[string]bool) bool {
	return !slices.ContainsFunc(s.DependsOn, func(name string) bool { return !settled[name] })
}

func isSettled(s Service, endpoints []Endpoint) bool {
	return !slices.ContainsFunc(endpoints, func(e Endpoint) bool { return !moved(s, e) })
}

// moved reports whether the endpoint needs no order. One that leaves gets none.
func moved(s Service, e Endpoint) bool {
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

// dependenciesFirst orders the services. The configuration has no cycles; in one
// that has, the services of the cycle keep their order.
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

// review forgets the orders that are carried out or obsolete and halts a service
// of which an order went bad.
func (p *Planner) review(now time.Time, s Service, endpoints []Endpoint) {
	if h, stopped := p.halts[s.Name]; stopped && h.section != s.Section {
		delete(p.halts, s.Name)
	}
	if p.failures[s.Name].section != s.Section {
		delete(p.failures, s.Name)
	}
	present := make(map[string]bool)
	for _, e := range endpoints {
		present[e.Name] = true
		g, ordered := p.ordered[e.Name]
		if !ordered {
			continue
		}
		if moved(s, e) || g.section != s.Section {
			delete(p.ordered, e.Name)
			continue
		}
		g.left = g.left || e.State != g.before
		p.ordered[e.Name] = g
		if reason := p.fault(now, g, e); reason != "" {
			p.fail(s, e, reason)
		}
	}
	for name, g := range p.ordered {
		if g.order.Service == s.Name && !present[name] {
			delete(p.ordered, name)
		}
	}
}

// fail counts an order that went bad and halts the service when there are enough.
func (p *Planner) fail(s Service, e Endpoint, reason string) {
	f := failures{count: p.failures[s.Name].count + 1, section: s.Section}
	p.failures[s.Name] = f
	if f.count < p.haltAfter {
		delete(p.ordered, e.Name)
		return
	}
	p.halts[s.Name] = halted{
		Halt:    Halt{Service: s.Name, Endpoint: e.Name, Reason: reason},
		section: s.Section,
	}
}

// fault returns why the order of the endpoint went bad, empty if it has not.
func (p *Planner) fault(now time.Time, g given, e Endpoint) string {
	stopped := g.left && (e.State == Down || e.State == Empty)
	switch {
	case stopped && e.Fault != "":
		return e.Fault
	case stopped:
		return "endpoint stopped serving after the order"
	case now.Sub(g.first) >= p.loadTimeout:
		return "endpoint does not serve the weights within the load timeout"
	}
	return ""
}

// wave returns the orders for one service.
func (p *Planner) wave(now time.Time, in Input, s Service, endpoints []Endpoint) []Order {
	var orders []Order
	c := p.census(s, endpoints)
	for _, e := range endpoints {
		g, ordered := p.ordered[e.Name]
		switch {
		case moved(s, e) || e.Staged != s.Target:
			continue
		case ordered && now.Sub(g.last) < p.repeatAfter:
			continue
		case !ordered && e.State == Serving && !c.take(e):
			continue
		case !ordered && (e.State == Draining || e.State == Loading):
			continue
		}
		o := Order{Endpoint: e.Name, Service: s.Name, Digest: s.Target, Revision: in.Revision, Fencing: in.Fencing}
		if !ordered {
			g.first = now
			g.before = e.State
		}
		p.ordered[e.Name] = given{order: o, before: g.before, left: g.left, section: s.Section, first: g.first, last: now}
		orders = append(orders, o)
	}
	return orders
}

// census counts the endpoints of a service that serve.
type census struct {
	allowed  int
	total    map[string]int
	serving  map[string]int
	anywhere int
}

// census counts an ordered endpoint as one that does not serve, whatever its
// report says, which may be older than the order.
func (p *Planner) census(s Service, endpoints []Endpoint) *census {
	c := &census{allowed: max(s.MaxUnavailable, 1), total: make(map[string]int), serving: make(map[string]int)}
	for _, e := range endpoints {
		if e.State == Leaving {
			continue
		}
		c.total[e.FailureDomain]++
		if _, ordered := p.ordered[e.Name]; e.State == Serving && !ordered {
			c.serving[e.FailureDomain]++
			c.anywhere++
		} else {
			c.allowed--
		}
	}
	return c
}

// take reports whether a serving endpoint may become unavailable, and counts it
// as such.
func (c *census) take(e Endpoint) bool {
	if c.allowed <= 0 || !c.domainAllows(e.FailureDomain) {
		return false
	}
	c.allowed--
	c.serving[e.FailureDomain]--
	c.anywhere--
	return true
}

func (c *census) domainAllows(domain string) bool {
	if c.serving[domain] > 1 {
		return true
	}
	if c.total[domain] > 1 {
		return false
	}
	if len(c.total) == 1 {
		return true
	}
	for other := range c.total {
		if other != domain && c.serving[other] == 0 {
			return false
		}
	}
	return true
}
