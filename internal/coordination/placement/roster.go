package placement

import (
	"cmp"
	"math"
	"slices"
)

// Bounds of the entries that callers of a failure domain are sent to.
const (
	// fewestEntries lets callers try others when one fails.
	fewestEntries = 3
	// slotsPerEntry is the number of slots at engines that one entry should place
	// requests on. With this many a place comes free every few tens of milliseconds,
	// so that a dozen requests can wait at the entry and still be answered in time;
	// over more entries with fewer slots each, one has nobody waiting while another
	// turns callers away.
	slotsPerEntry = 48
	// coresPerRate is the processor time of a request, in core-seconds, and
	// coreShare the part of its cores that an entry should spend on requests.
	coresPerRate = 0.002
	coreShare    = 0.3
	// fewCarried requests in progress make an entry count that callers are no longer
	// sent to: they keep an older answer for a while.
	fewCarried = 4
)

// Entry is an entry that takes requests.
type Entry struct {
	// Address is where peers reach it, CallerAddress where callers do.
	Address       string
	CallerAddress string
	Domain        string
	// Cores is its share of the processor.
	Cores float64
	// Rate is the number of requests a second that it takes.
	Rate float64
	// InFlight is the number of requests in progress there.
	InFlight int
}

// EntrySelection are the entries of one failure domain, the strongest first.
type EntrySelection struct {
	entries []Entry
	listed  int
}

// NewEntrySelection chooses which of the entries of a failure domain callers are sent to:
// as few as carry the load, in an order that all processes derive alike. Slots is
// the number of requests that the endpoints of the domain run at a time.
func NewEntrySelection(entries []Entry, slots int) EntrySelection {
	r := EntrySelection{entries: slices.Clone(entries)}
	slices.SortFunc(r.entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
	})
	wanted := max(fewestEntries, (slots+slotsPerEntry-1)/slotsPerEntry)
	r.listed = min(max(wanted, r.entriesForRate()), len(r.entries))
	return r
}

// entriesForRate returns how many of the strongest entries have the processor time
// for the requests of all.
func (r EntrySelection) entriesForRate() int {
	rate := 0.0
	for _, e := range r.entries {
		rate += e.Rate
	}
	needed := rate * coresPerRate
	for i, e := range r.entries {
		cores := e.Cores
		if cores <= 0 {
			cores = math.Inf(1) // not known, so it does not bind
		}
		if needed -= coreShare * cores; needed <= 0 {
			return i + 1
		}
	}
	return len(r.entries)
}

// Selected returns the entries that callers are sent to.
func (r EntrySelection) Selected() []Entry { return r.entries[:r.listed] }

// Active returns the entries that have requests to place: those that callers are
// sent to, and those that still carry some.
func (r EntrySelection) Active() []Entry {
	takers := slices.Clone(r.Selected())
	for _, e := range r.entries[r.listed:] {
		if e.InFlight >= fewCarried {
			takers = append(takers, e)
		}
	}
	return takers
}
