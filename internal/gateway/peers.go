package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Intervals and limits of the summaries that entries send to each other.
const (
	// regionInterval is how often summaries are sent within the region: an endpoint
	// completes one of its requests in about this time. Reporting entries of other
	// regions get one every crossRegionInterval. With many of them the interval
	// grows, so that an entry sends no more than one datagram every
	// crossRegionPeerInterval.
	regionInterval          = 100 * time.Millisecond
	crossRegionInterval     = 300 * time.Millisecond
	crossRegionPeerInterval = 12 * time.Millisecond
	// regionPeerInterval limits in the same way the summaries between entries of the
	// region of which at least one is reporting.
	regionPeerInterval = 6 * time.Millisecond
	// heartbeatInterval is how often two entries of a region send each other
	// summaries if neither is reporting; with many entries, one every
	// heartbeatPeerInterval. They get the data they need from the reporting entries
	// and use these summaries only for liveness.
	heartbeatInterval     = 600 * time.Millisecond
	heartbeatPeerInterval = 30 * time.Millisecond
	// idleFactor lengthens the interval of an entry without requests in progress,
	// whose summaries change little.
	idleFactor = 2
	// broadcastInterval is how often summaries are sent to all other entries; with
	// many entries, one every broadcastPeerInterval. The recipients get the same data
	// sooner from entries of their own region.
	broadcastInterval     = 2 * time.Second
	broadcastPeerInterval = 60 * time.Millisecond
	// minReporters is the number of entries of a region that report to other regions
	// in addition to those that place requests: the one that watches the store and
	// the next.
	minReporters = 2
	// A peer is treated as dead after deadIntervals without a summary, and not before
	// minDeadTime.
	deadIntervals = 4
	minDeadTime   = 1200 * time.Millisecond
	// watcherTimeout is the time without a summary after which a reporting entry of
	// the own region is left out of the rank that decides who watches the store. All
	// entries must learn within two seconds that an endpoint drains, even if the
	// process of the watching entry is paused.
	watcherTimeout = 450 * time.Millisecond
	// forgetAfter is the time without a summary after which a peer is removed.
	forgetAfter = 60 * time.Second
	// crossRegionFetchDelay is how long the first entry of a region waits for rows that
	// only another region has, before it fetches them from there.
	crossRegionFetchDelay = 400 * time.Millisecond
	// Every advertisePeersEvery-th round, and every broadcast, carries addresses of
	// peers, at most maxAdvertisedPeers of them.
	advertisePeersEvery = 24
	maxAdvertisedPeers  = 16
)

// peer is another entry.
type peer struct {
	summary    *nodev1.EntrySummary // nil before the first summary
	sameRegion bool                 // in the region of this entry
	receivedAt time.Duration
	addedAt    time.Duration
	informedAt time.Duration             // last time that this entry sent it the evidence of quarantines
	load       map[uint32]placement.Load // included in peers.totalLoad
}

// peers tracks the other entries. It is safe for concurrent use.
type peers struct {
	self        string
	region      string
	incarnation uint64

	mu                sync.Mutex
	reporting         bool // this entry reports to other regions
	reportingSince    time.Duration
	known             map[string]*peer
	totalLoad         map[uint32]placement.Load // sum over the peers that were alive at their last summary
	rounds            int
	regionPeers       int           // number of known peers in the region of this entry
	regionSentAt      time.Duration // last round to the region, for pairs of which one is reporting
	heartbeatSentAt   time.Duration // last round to all peers of the region
	crossRegionSentAt time.Duration // last round to the reporting entries of other regions
	broadcastSentAt   time.Duration // last round to all peers
	confirmedVersion  int64         // configuration version of the most recent confirmation
	confirmedAt       time.Duration
	earlierVersions   []confirmation         // last confirmations of the versions before, oldest first
	confirmedWeights  []*nodev1.NamedWeights // newest target versions of weights at that confirmation
	fetches           map[nodev1.Table]*fetchState
}

func newPeers(self, region string, incarnation uint64) *peers {
	return &peers{
		self: self, region: region, incarnation: incarnation, reporting: true,
		known: make(map[string]*peer), totalLoad: make(map[uint32]placement.Load), fetches: make(map[nodev1.Table]*fetchState),
	}
}

// add adds addresses of peers to send summaries to. Texts that can't be addresses are
// ignored.
func (p *peers) add(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		if a != p.self && validAddress(a) && p.known[a] == nil {
			p.known[a] = &peer{}
		}
	}
}

// crossRegionInterval returns how often this entry sends summaries to the reporting
// entries of other regions, if it is reporting itself, and to entries of which it has
// received no summary yet.
func (p *peers) crossRegionInterval(inFlight uint32) time.Duration {
	recipients := 0
	for _, q := range p.known {
		if q.summary == nil || q.summary.GetSpeaks() {
			recipients++
		}
	}
	interval := max(crossRegionInterval, time.Duration(recipients)*crossRegionPeerInterval)
	if inFlight == 0 {
		interval *= idleFactor
	}
	return interval
}

// regionInterval returns how often a reporting entry exchanges summaries with all
// entries of its region.
func (p *peers) regionInterval() time.Duration {
	return max(regionInterval, time.Duration(p.regionPeers)*regionPeerInterval)
}

// heartbeatInterval returns how often entries of a region that are not reporting send
// each other summaries.
func (p *peers) heartbeatInterval() time.Duration {
	return max(heartbeatInterval, time.Duration(p.regionPeers)*heartbeatPeerInterval)
}

// broadcastInterval returns how often an entry sends summaries to all others.
func (p *peers) broadcastInterval() time.Duration {
	return max(broadcastInterval, time.Duration(len(p.known))*broadcastPeerInterval)
}

// alive reports whether a summary of the peer was received recently.
func (p *peers) alive(q *peer, now time.Duration) bool {
	if q.summary == nil {
		return false
	}
	age := now - q.receivedAt
	return age < minDeadTime || age < deadIntervals*p.interval(q, now)
}

// interval returns how often a peer is expected to send summaries to this entry. A
// peer that sends more often to reporting entries does so only after it has learned
// that this entry is one.
func (p *peers) interval(q *peer, now time.Duration) time.Duration {
	reportingFor := func(d time.Duration) bool {
		return p.reporting && (p.reportingSince == 0 || now-p.reportingSince >= d)
	}
	if !q.sameRegion {
		interval := min(time.Duration(q.summary.GetFarIntervalMs())*time.Millisecond, maxSummaryInterval)
		if broadcast := p.broadcastInterval(); !reportingFor(broadcast) {
			interval = max(interval, broadcast)
		}
		return interval
	}
	if heartbeat := p.heartbeatInterval(); !q.summary.GetSpeaks() && !reportingFor(heartbeat) {
		return heartbeat
	}
	return p.regionInterval()
}

// newPeerTime is how long a peer that was not heard of yet counts as an entry.
const newPeerTime = 5 * time.Second

// entries returns the number of entries that may be running, this one included: those
// that were heard of in the last forgetAfter, and those that others have just named.
func (p *peers) entries(now time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, q := range p.known {
		if q.summary != nil || q.addedAt == 0 || now-q.addedAt < newPeerTime {
			n++
		}
	}
	return n
}

// entriesTold returns the largest number of entries that a peer has reported.
func (p *peers) entriesTold() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, q := range p.known {
		n = max(n, int(min(q.summary.GetEntries(), maxEntries)))
	}
	return n
}

// heard returns the peers that were heard of in the last forgetAfter.
func (p *peers) heard() []placement.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []placement.Entry
	for address, q := range p.known {
		if q.summary != nil {
			list = append(list, q.entry(address))
		}
	}
	return list
}

// live returns the addresses of the live peers.
func (p *peers) live(now time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, q := range p.known {
		if p.alive(q, now) {
			list = append(list, address)
		}
	}
	return list
}

// all returns the addresses of all known peers.
func (p *peers) all() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.known))
}

// ready returns the live peers that accept requests.
func (p *peers) ready(now time.Duration) []placement.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []placement.Entry
	for address, q := range p.known {
		if p.alive(q, now) && q.summary.GetReady() {
			list = append(list, q.entry(address))
		}
	}
	return list
}

func (q *peer) entry(address string) placement.Entry {
	m := q.summary
	return placement.Entry{
		Address:       address,
		CallerAddress: m.GetCallerAddress(),
		Domain:        m.GetFailureDomain(),
		Cores:         float64(m.GetMilliCores()) / 1000,
		Rate:          float64(m.GetRequestRate()),
		InFlight:      int(m.GetActive()),
	}
}

// rank is the position of this entry, by address, among the live entries.
type rank struct {
	region  int // in its own region
	all     int // in all regions
	regions int // number of regions with a live entry
}

// rank returns the position of this entry among the live ones.
func (g *Gateway) rank() rank {
	now := g.now()
	p := g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	var r rank
	liveRegions := map[string]bool{g.self.Region: true}
	for address, q := range p.known {
		overdue := q.sameRegion && q.summary.GetSpeaks() && now-q.receivedAt >= watcherTimeout
		if overdue || !p.alive(q, now) {
			continue
		}
		liveRegions[q.summary.GetRegion()] = true
		if address >= p.self {
			continue
		}
		r.all++
		if q.sameRegion {
			r.region++
		}
	}
	r.regions = len(liveRegions)
	return r
}

// addresses returns the addresses of live peers: all of the given region, and the
// reporting ones of other regions if reporting is set.
func (p *peers) addresses(now time.Duration, region string, reporting bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, q := range p.known {
		if p.alive(q, now) && (q.summary.GetRegion() == region || reporting && q.summary.GetSpeaks()) {
			list = append(list, address)
		}
	}
	return list
}

// LiveEntries returns the peer addresses of the live entries of a region, including this
// one.
func (g *Gateway) LiveEntries(region string) []string {
	list := g.peers.addresses(g.now(), region, false)
	if region == g.self.Region {
		list = append(list, g.self.PeerAddress)
	}
	return list
}

// AddPeer adds the peer address of another entry.
func (g *Gateway) AddPeer(address string) { g.peers.add(address) }

// ReceiveSummary processes a summary from another entry.
func (g *Gateway) ReceiveSummary(ctx context.Context, m *nodev1.EntrySummary) {
	now := g.now()
	if m.GetAddress() == g.self.PeerAddress || !validAddress(m.GetAddress()) {
		return
	}
	g.peers.add(m.GetAddress())
	g.peers.add(m.GetPeers()...)
	returned, loaded := g.peers.receive(m, now)
	if returned {
		telemetry.PeerHeard.Log(ctx, g.logger, "peer", m.GetAddress(), "domain", m.GetFailureDomain())
	}
	g.informOfCrashes(m, now)
	g.traffic.refusals.addRemote(m.GetRefused(), m.GetRefusedAgeMs(), now)
	g.receiveTargets(m, now)
	g.observeConfiguration(m, now)
	if loaded {
		g.peerLoadsChanged(now)
	}
	g.catchUp(ctx, m, nodev1.Table_TABLE_OPERATOR, peerState(m.GetOperatorContent(), m.GetOperatorCopy()), now)
	g.catchUp(ctx, m, nodev1.Table_TABLE_ENDPOINTS, peerState(m.GetEndpointsContent(), m.GetEndpointsCopy()), now)
}

// receive records a summary. Returned reports whether the sender was not alive
// before, loaded whether the sender has or had load at endpoints.
func (p *peers) receive(m *nodev1.EntrySummary, now time.Duration) (returned, loaded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.known[m.GetAddress()]
	if q == nil { // forgotten since it was added
		q = &peer{}
		p.known[m.GetAddress()] = q
	}
	returned = !p.alive(q, now)
	if q.summary.GetIncarnation() == m.GetIncarnation() && m.GetStamp() < q.summary.GetStamp() {
		return false, false // a newer datagram arrived before this one
	}
	q.summary = m
	q.sameRegion = m.GetRegion() == p.region
	q.receivedAt = now
	p.confirm(m, now)
	load := loadOf(m)
	loaded = len(load)+len(q.load) > 0
	p.setLoad(q, load)
	return returned, loaded
}
