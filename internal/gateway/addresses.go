package gateway

import (
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
)

// maxAddresses bounds the addresses in one directory response; callers use no more.
const maxAddresses = 64

// minDomainEntries is the number of ready entries in a failure domain from which its
// callers get only the addresses of that domain.
const minDomainEntries = 2

// addressTTL is how long callers cache a directory response: long enough that lookups
// cost little, and a third of the time in which an entry shuts down.
const addressTTL = 2 * time.Second

// Lookup is what a caller looks addresses up for.
type Lookup struct {
	// Host is the host of its requests.
	Host string
	// Region and Domain are the region and the failure domain of the caller.
	Region, Domain string
}

// Addresses returns the addresses that a caller should connect to, and how long it may cache
// them. The list is never empty: an entry without ready peers returns its own address.
func (g *Gateway) Addresses(l Lookup) ([]string, time.Duration) {
	selections := g.selections(g.now(), g.Ready())
	chosen := selections[l.Domain].Selected()
	if len(chosen) < minDomainEntries {
		chosen = placement.Elsewhere(selections, g.region, l.Region, g.hostRegions(l.Host))
	}
	list := make([]string, 0, len(chosen))
	for _, e := range chosen {
		list = append(list, e.CallerAddress)
	}
	if len(list) == 0 {
		list = []string{g.self.CallerAddress}
	}
	return list[:min(len(list), maxAddresses)], min(addressTTL, g.maxTTL)
}

// hostRegions returns the regions in which all restricted routes of a host may be served, nil
// if there are none or if no configuration is known.
func (g *Gateway) hostRegions(host string) []string {
	c := g.snapshot.Load().configuration
	if c == nil || !c.Regional() {
		return nil
	}
	return c.HostRegions(hostOf(host))
}

// selections returns the live and ready entries by failure domain, and this entry too
// if withSelf is set.
func (g *Gateway) selections(now time.Duration, withSelf bool) map[string]placement.EntrySelection {
	byDomain := make(map[string][]placement.Entry)
	for _, e := range g.peers.ready(now) {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	if withSelf {
		byDomain[g.self.FailureDomain] = append(byDomain[g.self.FailureDomain], g.selfEntry())
	}
	slots := make(map[string]int)
	for _, e := range g.snapshot.Load().endpoints {
		if !e.Draining() {
			slots[e.FailureDomain()] += e.Slots()
		}
	}
	selections := make(map[string]placement.EntrySelection, len(byDomain))
	for domain, entries := range byDomain {
		selections[domain] = placement.NewEntrySelection(entries, slots[domain])
	}
	return selections
}

func (g *Gateway) selfEntry() placement.Entry {
	return placement.Entry{
		Address:       g.self.PeerAddress,
		CallerAddress: g.self.CallerAddress,
		Domain:        g.self.FailureDomain,
		Cores:         float64(milliCores(g.self)) / 1000,
		Rate:          g.rate.value(),
		InFlight:      int(g.active.Load()),
	}
}

// activeByDomain returns the sorted peer addresses of the entries that have requests
// to place, by failure domain. A draining entry is included while it has requests in
// progress: it places the last ones on the endpoints it used before.
func (g *Gateway) activeByDomain(now time.Duration) map[string][]string {
	byDomain := make(map[string][]string)
	for domain, r := range g.selections(now, g.joined()) {
		for _, e := range r.Active() {
			byDomain[domain] = append(byDomain[domain], e.Address)
		}
	}
	own := byDomain[g.self.FailureDomain]
	if g.active.Load() > 0 && !slices.Contains(own, g.self.PeerAddress) {
		byDomain[g.self.FailureDomain] = append(own, g.self.PeerAddress)
	}
	for _, list := range byDomain {
		slices.Sort(list)
	}
	return byDomain
}
