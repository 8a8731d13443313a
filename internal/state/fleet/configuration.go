package fleet

import (
	"slices"
	"strings"
	"time"
)

// Limits bound what a caller may send.
type Limits struct {
	headerBytes int
	bodyBytes   int64
	idleTimeout time.Duration
}

// NewLimits returns limits of the header and the body, in bytes, and of the
// time that a connection may stay idle.
func NewLimits(headerBytes int, bodyBytes int64, idleTimeout time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, idleTimeout: idleTimeout}
}

// HeaderBytes returns the largest header, 0 for no limit.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the largest body, 0 for no limit.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// IdleTimeout returns how long a connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Account is a client account.
type Account struct {
	name     string
	priority int
	ranked   bool
	regions  *Regions
}

// NewAccount returns an account without a rank of its own.
func NewAccount(name string) Account { return Account{name: name} }

// NewRankedAccount returns an account whose priority goes before that of routes.
func NewRankedAccount(name string, priority int) Account {
	return Account{name: name, priority: priority, ranked: true}
}

// Within returns the account with the regions in which its requests may be served.
func (a Account) Within(r *Regions) Account {
	a.regions = r
	return a
}

// Name returns the name.
func (a Account) Name() string { return a.name }

// Regions returns the regions in which its requests may be served.
func (a Account) Regions() *Regions { return a.regions }

// Rank is the urgency of a request: that of its account goes first, and among accounts of the
// same one that of its route.
type Rank struct {
	// Account is the priority of the account, that of the route if the account has none.
	Account int
	// Route is the priority of the route.
	Route int
}

// maxPriority bounds the priorities that are told apart.
const maxPriority = 1 << 10

// Order returns a number that is lower for a more urgent rank.
func (r Rank) Order() int {
	bounded := func(p int) int { return min(max(p, 0), maxPriority-1) }
	return bounded(r.Account)*maxPriority + bounded(r.Route)
}

// RankOf returns the rank of the requests of a route that need no account.
func RankOf(r *Route) Rank { return Rank{Account: r.Priority(), Route: r.Priority()} }

// Rank returns the rank of a request of this account on a route.
func (a Account) Rank(r *Route) Rank {
	if a.ranked {
		return Rank{Account: a.priority, Route: r.Priority()}
	}
	return RankOf(r)
}

// Configuration is one version of the operators' text. It is immutable.
type Configuration struct {
	version  int64
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	retained map[string]*Service // services that it dropped while requests were in progress
	accounts map[string]Account  // by key
	keyed    bool                // requests need a key, whether or not an account has one
	regional bool                // some route or account is restricted to regions
	limits   Limits
}

// ConfigurationOption sets a property of a configuration.
type ConfigurationOption func(*Configuration)

// WithRoutes adds routes.
func WithRoutes(routes ...*Route) ConfigurationOption {
	return func(c *Configuration) {
		for _, r := range routes {
			c.hosts[r.Host()] = append(c.hosts[r.Host()], r)
			c.regional = c.regional || r.Regions().Restricts()
		}
	}
}

// WithServices adds services.
func WithServices(services ...*Service) ConfigurationOption {
	return func(c *Configuration) {
		for _, s := range services {
			c.services[s.Name()] = s
		}
	}
}

// WithKeyed makes requests need a key. Until an account has one, none is allowed.
func WithKeyed() ConfigurationOption {
	return func(c *Configuration) { c.keyed = true }
}

// WithAccount adds an account and its keys, of which there may be none, and makes requests
// need a key. An empty key is none: it is that of a request without a key.
func WithAccount(a Account, keys ...string) ConfigurationOption {
	return func(c *Configuration) {
		c.keyed = true
		c.regional = c.regional || a.Regions().Restricts()
		for _, k := range keys {
			if k != "" {
				c.accounts[k] = a
			}
		}
	}
}

// WithLimits sets the limits.
func WithLimits(l Limits) ConfigurationOption {
	return func(c *Configuration) { c.limits = l }
}

// NewConfiguration returns a configuration of the given version.
func NewConfiguration(version int64, options ...ConfigurationOption) *Configuration {
	c := &Configuration{
		version:  version,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service),
		accounts: make(map[string]Account),
	}
	for _, o := range options {
		o(c)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	return c
}

// Version returns the version; versions only grow.
func (c *Configuration) Version() int64 { return c.version }

// Limits returns what callers may send.
func (c *Configuration) Limits() Limits { return c.limits }

// Services returns the services by name. The caller must not change it.
func (c *Configuration) Services() map[string]*Service { return c.services }

// Retaining returns the configuration with services that it dropped. No route leads to
// them; requests that were accepted before may go on there.
func (c *Configuration) Retaining(services ...*Service) *Configuration {
	next := *c
	next.retained = make(map[string]*Service, len(services))
	for _, s := range services {
		if next.services[s.Name()] == nil {
			next.retained[s.Name()] = s
		}
	}
	return &next
}

// Retained returns the dropped services that are retained, by name. The caller must not
// change it.
func (c *Configuration) Retained() map[string]*Service { return c.retained }

// Service returns a service, also one that is retained, nil if there is none.
func (c *Configuration) Service(name string) *Service {
	if s := c.services[name]; s != nil {
		return s
	}
	return c.retained[name]
}

// Route returns the route with the longest prefix that begins the path, nil
// where none does.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r
		}
	}
	return nil
}

// Regional reports whether a route or an account is restricted to regions.
func (c *Configuration) Regional() bool { return c.regional }

// RestrictedRegions calls visit with the name of each route and account that is restricted, and
// with its regions.
func (c *Configuration) RestrictedRegions(visit func(name string, r *Regions)) {
	for _, routes := range c.hosts {
		for _, r := range routes {
			if r.Regions().Restricts() {
				visit(r.Name(), r.Regions())
			}
		}
	}
	for _, a := range c.accounts {
		if a.Regions().Restricts() {
			visit(a.Name(), a.Regions())
		}
	}
}

// HostRegions returns the regions in which all restricted routes of a host may be served, nil
// if the host has none.
func (c *Configuration) HostRegions(host string) []string {
	var common []string
	for _, r := range c.hosts[host] {
		if !r.Regions().Restricts() {
			continue
		}
		if common == nil {
			common = append([]string{}, r.Regions().Names()...)
		}
		common = slices.DeleteFunc(common, func(name string) bool { return !r.Regions().Admits(name) })
	}
	return common
}

// Account returns the account that holds a key.
func (c *Configuration) Account(key string) (Account, bool) {
	a, found := c.accounts[key]
	return a, found
}

// AccountNamed returns the account of a name.
func (c *Configuration) AccountNamed(name string) (Account, bool) {
	for _, a := range c.accounts {
		if a.name == name {
			return a, true
		}
	}
	return Account{}, false
}

// Keyed reports whether requests need a key at all. They do also where no account has one.
func (c *Configuration) Keyed() bool { return c.keyed }
