// Package configtext reads the text in which operators describe a deployment:
// its regions, teams, services with their models and dependencies, and client
// accounts. The text is TOML with keys in camel case; docs/CONFIG.md specifies
// every key.
//
// A Config is immutable and may be read by any number of goroutines. It divides
// into sections, one a TOML table such as `service.shop-pages`, each with a
// canonical text and the digest of it. Processes that already hold a revision
// fetch only the sections whose digests differ and rebuild the Config with
// FromSections. A section omits keys that have their default, so a default is
// part of the format and never changes.
//
// # Usage
//
//	cfg, err := configtext.Parse("daugava.toml", text)
//	var faults configtext.Faults
//	if errors.As(err, &faults) {
//		for _, f := range faults {
//			fmt.Println(f) // daugava.toml:12: service.a.kind: is required
//		}
//	}
//	pages, found := cfg.Service("shop-pages")
//	same, err := configtext.FromSections(cfg.Sections())
//
// Check looks up beyond the text, such as whether a manifest exists, and
// Authorize tells whether a team may make a change.
package configtext

import (
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// ErrInvalid is matched by the error of a text with faults.
var ErrInvalid = tomltext.ErrInvalid

// Fault is one error in a text, with file, line, key and reason.
type Fault = tomltext.Fault

// Faults holds every error found in one text, ordered by line.
type Faults = tomltext.Faults

// Bounds of a text.
const (
	MaxTextBytes = 1 << 20
	MaxServices  = 10_000
	MaxAccounts  = 100_000
	MaxTeams     = 1_000
	MaxRegions   = 64
)

// Config is one whole and consistent configuration. It is immutable.
type Config struct {
	file       string
	deployment Deployment
	regions    []Region
	teams      []Team
	services   []Service
	accounts   []Account

	serviceIndex map[string]int
	accountIndex map[string]int
	teamIndex    map[string]int
	lines        map[string]int
	sections     []Section
	head         digest.Digest
}

// Parse reads a text. The error is Faults with every fault found; file is the
// name that the faults carry.
func Parse(file string, text []byte) (*Config, error) {
	doc, ok := tomltext.Parse(file, text, MaxTextBytes)
	if !ok {
		return nil, doc.Err()
	}
	r := reader{doc: doc}
	cfg := r.config()
	doc.RefuseUnknown()
	r.checkReferences(cfg)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	cfg.seal()
	if n := len(cfg.Text()); n > MaxTextBytes {
		doc.Fault(0, "", tooLong(n))
		return nil, doc.Err()
	}
	return cfg, nil
}

// Deployment returns the name of the deployment.
func (c *Config) Deployment() string { return c.deployment.name }

// Properties returns what the text says of the deployment as a whole.
func (c *Config) Properties() Deployment { return c.deployment }

// Regions returns the regions sorted by name.
func (c *Config) Regions() []Region { return slices.Clone(c.regions) }

// Teams returns the teams sorted by name.
func (c *Config) Teams() []Team { return slices.Clone(c.teams) }

// Team returns the team of that name.
func (c *Config) Team(name string) (Team, bool) {
	i, found := c.teamIndex[name]
	if !found {
		return Team{}, false
	}
	return c.teams[i], true
}

// Services returns the services sorted by name. It copies the list; the path
// of a request uses Service.
func (c *Config) Services() []Service { return slices.Clone(c.services) }

// Service returns the service of that name.
func (c *Config) Service(name string) (Service, bool) {
	i, found := c.serviceIndex[name]
	if !found {
		return Service{}, false
	}
	return c.services[i], true
}

// Accounts returns the client accounts sorted by name. It copies the list; the
// path of a request uses Account.
func (c *Config) Accounts() []Account { return slices.Clone(c.accounts) }

// Account returns the client account of that name.
func (c *Config) Account(name string) (Account, bool) {
	i, found := c.accountIndex[name]
	if !found {
		return Account{}, false
	}
	return c.accounts[i], true
}

// Equal reports whether both configurations say the same.
func (c *Config) Equal(other *Config) bool { return c.head == other.head }

// Deployment is what the text says of the deployment as a whole.
type Deployment struct {
	name                 string
	storeRegion          string
	entryInstances       int
	failureDomainLatency time.Duration
	regionLatency        time.Duration
	clientLatency        time.Duration
	originLinkCopies     float64
	instanceLinkCopies   float64
	addressTimeToLive    time.Duration
}

// Name returns the name of the deployment.
func (d Deployment) Name() string { return d.name }

// StoreRegion returns the region of the weight store and the origin, empty
// where the text doesn't say.
func (d Deployment) StoreRegion() string { return d.storeRegion }

// EntryInstances returns the number of entry instances that are planned.
func (d Deployment) EntryInstances() int { return d.entryInstances }

// FailureDomainLatency returns the one-way latency between failure domains.
func (d Deployment) FailureDomainLatency() time.Duration { return d.failureDomainLatency }

// RegionLatency returns the one-way latency between regions.
func (d Deployment) RegionLatency() time.Duration { return d.regionLatency }

// ClientLatency returns the one-way latency to clients.
func (d Deployment) ClientLatency() time.Duration { return d.clientLatency }

// OriginLinkCopies returns how many copies of a model the origin's link
// carries within the time of a rollout.
func (d Deployment) OriginLinkCopies() float64 { return d.originLinkCopies }

// InstanceLinkCopies returns how many copies of a model an instance's link
// carries within the time of a rollout.
func (d Deployment) InstanceLinkCopies() float64 { return d.instanceLinkCopies }

// AddressTimeToLive returns how long callers may keep the addresses that they
// were told to use.
func (d Deployment) AddressTimeToLive() time.Duration { return d.addressTimeToLive }

// Region is one region with its failure domains. It is immutable.
type Region struct {
	name              string
	failureDomains    []string
	linkBitsPerSecond int64
}

// Name returns the name of the region.
func (r Region) Name() string { return r.name }

// FailureDomains returns the names of the region's failure domains.
func (r Region) FailureDomains() []string { return slices.Clone(r.failureDomains) }

// LinkBitsPerSecond returns the rate of the link to each other region, each
// way, which all traffic shares.
func (r Region) LinkBitsPerSecond() int64 { return r.linkBitsPerSecond }
