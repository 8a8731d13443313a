package gateway

import (
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
)

// maxAddresses is the most that callers take from one answer.
const maxAddresses = 64

// minNear is the number of ready entries from which the callers of a failure
// domain are only given its own.
const minNear = 2

// addressTTL is how long callers keep an answer: long enough that the questions
// cost little, and a third of the time in which an entry stops.
const addressTTL = 2 * time.Second

// Addresses returns where callers of a failure domain should connect, and how
// long they may keep the answer. The list is never empty: an entry that knows of
// no other names itself.
func (g *Gateway) Addresses(domain string) ([]string, time.Duration) {
	rosters := g.rosters(g.now())
	chosen := rosters[domain].Selected()
	if len(chosen) < minNear {
		chosen = nil
		for _, r := range rosters {
			chosen = append(chosen, r.Selected()...)
		}
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

// rosters returns the live ready entries by failure domain, the own one included.
func (g *Gateway) rosters(now time.Duration) map[string]placement.EntrySelection {
	byDomain := make(map[string][]placement.Entry)
	for _, e := range g.peers.ready(now) {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	if g.Ready() {
		byDomain[g.self.FailureDomain] = append(byDomain[g.self.FailureDomain], g.selfEntry())
	}
	slots := make(map[string]int)
	for _, e := range g.view.Load().endpoints {
		if !e.Draining() {
			slots[e.FailureDomain()] += e.Slots()
		}
	}
	rosters := make(map[string]placement.EntrySelection, len(byDomain))
	for domain, entries := range byDomain {
		rosters[domain] = placement.NewEntrySelection(entries, slots[domain])
	}
	return rosters
}

func (g *Gateway) selfEntry() placement.Entry {
	return placement.Entry{
		Address:       g.self.PeerAddress,
		CallerAddress: g.self.CallerAddress,
		Domain:        g.self.FailureDomain,
		Cores:         g.self.Cores,
		Rate:          g.rate.value(),
		InFlight:       int(g.active.Load()),
	}
}

// takersByDomain returns the peer addresses of the entries that have requests to
// place, by failure domain and in order. An entry that leaves places its last ones
// on the endpoints that it had.
func (g *Gateway) takersByDomain(now time.Duration) map[string][]string {
	byDomain := make(map[string][]string)
	for domain, r := range g.rosters(now) {
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
