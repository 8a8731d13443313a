package gateway

import "time"

// Times and ranks that decide which entries call the store, and how long what they know
// is of use.
const (
	// revocationMargin covers a store whose change feed lags by a second, and the
	// time between the check and the first byte at the endpoint.
	revocationMargin = 1300 * time.Millisecond
	// minWatchers is the minimum number of entries that watch the store, so that the
	// failure of one leaves no gap.
	minWatchers = 2
	// staleAge is the age of the confirmation from which an entry watches the store
	// itself. Each rank adds staleStep, up to maxStaleDelay, so that the entries do
	// not all start at once.
	staleAge      = 1700 * time.Millisecond
	staleStep     = 60 * time.Millisecond
	maxStaleDelay = 600 * time.Millisecond
	// discoveryTime is the time in which a starting process receives summaries from
	// the entries of its region. After it, the entries read what none of them has one
	// by one, readStagger apart, which is about the duration of one read between
	// regions.
	discoveryTime = 150 * time.Millisecond
	readStagger   = 250 * time.Millisecond
	// startSpread is the time over which the first reads are spread of entries that
	// start together and have not discovered each other. One read and the
	// notification of the others take a few tenths of it.
	startSpread = time.Second
	// retryDelayStep times its rank is the delay of an entry after a failed call, up
	// to maxRetryDelay. If the store serves only some machines, a few of the entries
	// that call it must be among these before keys may no longer be used.
	retryDelayStep = 100 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
	// outageAge is the age of the confirmation from which the store counts as
	// unreachable: by then every entry has called it.
	outageAge = 2 * time.Second
)

// fresh returns the age of the configuration's last confirmation and reports whether
// it is recent enough for requests with a key.
func (g *Gateway) fresh() (age time.Duration, fresh bool) {
	age, known := g.age()
	switch {
	case g.revocationBound == 0:
		return age, true
	case !known || g.unreadable.Load():
		return age, false
	}
	return age, age < g.revocationBound-revocationMargin
}

// age returns how long ago the store confirmed the configuration in force, to this
// entry or to another one.
func (g *Gateway) age() (age time.Duration, known bool) {
	confirmedAt := max(g.confirmedAt(), g.peers.confirmed(g.snapshot.Load().version()))
	return g.now() - confirmedAt, confirmedAt > 0
}

// LastStoreOutage returns the last time at which the store was unreachable both for
// this entry and for all others, 0 for never.
func (g *Gateway) LastStoreOutage() time.Duration {
	return time.Duration(g.lastOutage.Load())
}

// recordOutage records an outage of the store if no entry has had a recent confirmation of a
// configuration. One of a version that this entry has not fetched yet shows that the store is
// there, too.
func (g *Gateway) recordOutage(now time.Duration) {
	confirmedAt := max(g.confirmedAt(), g.peers.lastConfirmed())
	if confirmedAt > 0 && now-confirmedAt > outageAge {
		g.lastOutage.Store(int64(now))
	}
}

// LeadsRegion reports whether this entry is the first live one of its region in the
// order of addresses.
func (g *Gateway) LeadsRegion() bool {
	return g.rank().region == 0
}

// Watching reports whether this entry watches the store itself. One entry of each
// region does, or two if there is only one region. The others copy rows and
// confirmations from them, and watch the store too if these become stale.
func (g *Gateway) Watching() bool {
	if g.snapshot.Load().configuration == nil {
		return g.startDelayPassed()
	}
	age, known := g.age()
	r := g.rank()
	watchers := 1
	if r.regions == 1 {
		watchers = minWatchers
	}
	if !known || r.region < watchers {
		return true
	}
	return age > staleAge+min(time.Duration(r.region)*staleStep, maxStaleDelay)
}

// WatchingEndpoints reports whether this entry watches the store's list of endpoints.
func (g *Gateway) WatchingEndpoints() bool {
	if g.snapshot.Load().listed {
		return g.Watching()
	}
	return g.startDelayPassed()
}

// StoreRetryDelay returns the minimum delay after a failed call to the store. During an
// outage the first entries of each region detect the store's return and notify the
// others at once.
func (g *Gateway) StoreRetryDelay() time.Duration {
	r := g.rank()
	if r.region < minWatchers {
		return 0
	}
	return min(time.Duration(r.region)*retryDelayStep, maxRetryDelay)
}

// startDelayPassed reports whether an entry without a copy of a table may read it
// from the store. Until then it waits for a copy from another entry of its region. If
// all entries of a large fleet read the tables when they start together, the link to
// the store's region would be saturated for many times the duration of one read.
// Entries that have not discovered each other yet are kept apart by a start delay of
// their own.
func (g *Gateway) startDelayPassed() bool {
	delay := max(time.Duration(g.rank().region)*readStagger, g.StartDelay())
	return g.now()-g.started >= discoveryTime+delay
}

// StartDelay returns the delay after the start before this entry reads what all
// entries need that start together. It is derived from a hash of the entry's own
// address.
func (g *Gateway) StartDelay() time.Duration {
	fraction := float64(endpointHash(g.self.PeerAddress)) / (1 << 32)
	return time.Duration(fraction * float64(startSpread))
}

// TableChanged notifies the other entries at once that a copy of a table has changed, if
// this entry watches the store.
func (g *Gateway) TableChanged() {
	if g.Watching() {
		g.wake()
	}
}
