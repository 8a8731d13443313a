package placement

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the selection of entries in a failure domain.
const (
	// minEntries is the minimum number of selected entries, so that callers can try
	// another one if an entry fails.
	minEntries = 3
	// slotsPerEntry is the number of engine slots per selected entry. With this many, a
	// slot becomes free every few tens of milliseconds, so that a dozen requests can
	// wait at the entry and still meet their target. With more entries and fewer slots
	// each, one entry has no request waiting while another refuses requests.
	slotsPerEntry = 48
	// coreSecondsPerRequest is the processor time of a request at an entry.
	// requestCoreShare is the fraction of its cores that an entry should spend on requests.
	coreSecondsPerRequest = 0.002
	requestCoreShare      = 0.3
	// minActiveInFlight is the number of requests in progress from which an entry counts as
	// active although it is not selected: callers use a cached address list for a while.
	minActiveInFlight = 4
)

// Entry is an entry that takes requests.
type Entry struct {
	// Address is the address for peers, CallerAddress the one for callers.
	Address       string
	CallerAddress string
	// Domain is the failure domain.
	Domain string
	// Cores is the number of processor cores that the entry may use, 0 if unknown.
	Cores float64
	// Rate is the rate of incoming requests, per second.
	Rate float64
	// InFlight is the number of requests in progress.
	InFlight int
}

// EntrySelection is the list of entries of one failure domain, those with the most cores
// first. The first ones of them are selected.
type EntrySelection struct {
	entries  []Entry
	selected int
}

// NewEntrySelection selects the entries of a failure domain that callers are directed to:
// as few as can carry the load, in an order that is the same in all processes. The
// argument slots is the number of requests that the endpoints of the domain run
// concurrently.
func NewEntrySelection(entries []Entry, slots int) EntrySelection {
	r := EntrySelection{entries: slices.Clone(entries)}
	slices.SortFunc(r.entries, compareEntries)
	wanted := max(minEntries, (slots+slotsPerEntry-1)/slotsPerEntry)
	r.selected = min(max(wanted, r.entriesForRate()), len(r.entries))
	return r
}

// Elsewhere returns the entries for callers whose failure domain has too few: those of their
// region, else those of the regions in which their host is served, if it is restricted, else
// all. The body of a restricted request is then sent to no other region, if that can be had.
func Elsewhere(selections map[string]EntrySelection, regionOf func(domain string) string, region string, allowed []string) []Entry {
	var own, restricted, all []Entry
	for domain, s := range selections {
		all = append(all, s.Selected()...)
		switch r := regionOf(domain); {
		case r == "":
		case r == region:
			own = append(own, s.Selected()...)
		case slices.Contains(allowed, r):
			restricted = append(restricted, s.Selected()...)
		}
	}
	if allowed == nil {
		return all
	}
	if near := append(own, restricted...); len(near) > 0 {
		return near
	}
	return all
}

// compareEntries orders the entries of a failure domain: those with the most cores first.
func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
}

// entriesForRate returns how many entries, those with the most cores first, have enough
// processor time for the requests of all entries.
func (r EntrySelection) entriesForRate() int {
	rate := 0.0
	for _, e := range r.entries {
		rate += e.Rate
	}
	needed := rate * coreSecondsPerRequest
	for i, e := range r.entries {
		cores := e.Cores
		if cores <= 0 {
			cores = math.Inf(1) // unknown, so that it sets no limit
		}
		if needed -= requestCoreShare * cores; needed <= 0 {
			return i + 1
		}
	}
	return len(r.entries)
}

// Selected returns the entries that callers are directed to.
func (r EntrySelection) Selected() []Entry { return r.entries[:r.selected] }

// Active returns the entries that have requests to place: the selected ones and those
// that still have requests in progress.
func (r EntrySelection) Active() []Entry {
	active := slices.Clone(r.Selected())
	for _, e := range r.entries[r.selected:] {
		if e.InFlight >= minActiveInFlight {
			active = append(active, e)
		}
	}
	return active
}
