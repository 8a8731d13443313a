package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Times of what entries tell each other.
const (
	// nearInterval is how often entries of the own region are told: an endpoint ends
	// one of its requests in about that time. Entries of other regions that speak are
	// told every farInterval, or less often where there are many, so that an entry
	// sends no more datagrams a second than one every peerInterval.
	nearInterval = 100 * time.Millisecond
	farInterval  = 300 * time.Millisecond
	peerInterval = 12 * time.Millisecond
	// nearPeerInterval bounds in the same way what entries of the own region are told
	// of which one side does not speak.
	nearPeerInterval = 6 * time.Millisecond
	// quietInterval is how often two entries of a region tell each other of which none
	// speaks, or one every quietPeerInterval: they hear from those that speak what
	// they need, and only count each other.
	quietInterval     = 600 * time.Millisecond
	quietPeerInterval = 30 * time.Millisecond
	// idleFactor lengthens the interval of an entry that carries no requests: there is
	// little to tell of it.
	idleFactor = 2
	// seldomInterval is how often all other entries are told, or one every
	// seldomPeerInterval: they hear the same sooner from those of their own region.
	seldomInterval     = 2 * time.Second
	seldomPeerInterval = 60 * time.Millisecond
	// speakers is the number of entries of a region that speak to other regions for it,
	// beside those that place requests: the one that follows the store and the next.
	speakers = 2
	// silentAfter summaries, and at least silentTime, a peer is left out.
	silentAfter = 4
	silentTime  = 1200 * time.Millisecond
	// nearSilent is the time after which an entry of the own region does not count in
	// the rank of those that follow the store. An endpoint that leaves must be known
	// to have left within two seconds, also when the one that follows is frozen.
	nearSilent = 450 * time.Millisecond
	// forgottenAfter a silent peer is not sent to any more.
	forgottenAfter = 60 * time.Second
	// farPatience is how long rows that only another region has are waited for, by the
	// first of a region.
	farPatience = 400 * time.Millisecond
	// tellPeersEvery summaries to the own region, and those to all, carry addresses of
	// peers, toldPeers of them at a time.
	tellPeersEvery = 24
	toldPeers      = 16
)

// peer is another entry.
type peer struct {
	summary *nodev1.EntrySummary // nil before the first
	near    bool                 // in the own region
	heard   time.Duration
	learned time.Duration
	work    map[uint32]placement.Load // part of peers.sum
}

// peers are the other entries. They are safe for concurrent use.
type peers struct {
	self        string
	region      string
	incarnation uint64

	mu          sync.Mutex
	speaks      bool // this entry speaks for its region
	speaksSince time.Duration
	known       map[string]*peer
	sum         map[uint32]placement.Load // of the peers that were alive at their last summary
	sent        int
	near        int           // number of known peers in the own region
	toldNear    time.Duration // when the own region was told, of which one side speaks
	toldQuiet   time.Duration // when all peers of the own region were told
	toldFar     time.Duration // when those that speak for other regions were told
	toldAll     time.Duration // when all peers were told
	confirmedV  int64         // version of the best confirmation
	confirmedT  time.Duration
	confirmedW  []*nodev1.NamedWeights // newest versions of weights that it is about
	copies      map[nodev1.Table]*copyState
}

func newPeers(self, region string, incarnation uint64) *peers {
	return &peers{
		self: self, region: region, incarnation: incarnation, speaks: true,
		known: make(map[string]*peer), sum: make(map[uint32]placement.Load), copies: make(map[nodev1.Table]*copyState),
	}
}

// learn adds addresses to send summaries to.
func (p *peers) learn(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		if a != p.self && a != "" && p.known[a] == nil {
			p.known[a] = &peer{}
		}
	}
}

// farInterval returns how often an entry that speaks tells those that speak for other
// regions, and any entry those of which it has not heard.
func (p *peers) farInterval(carried uint32) time.Duration {
	spoken := 0
	for _, q := range p.known {
		if q.summary == nil || q.summary.GetSpeaks() {
			spoken++
		}
	}
	interval := max(farInterval, time.Duration(spoken)*peerInterval)
	if carried == 0 {
		interval *= idleFactor
	}
	return interval
}

// nearInterval returns how often an entry that speaks tells all of its region, and is
// told by them.
func (p *peers) nearInterval() time.Duration {
	return max(nearInterval, time.Duration(p.near)*nearPeerInterval)
}

// quietInterval returns how often entries of a region that do not speak tell each other.
func (p *peers) quietInterval() time.Duration {
	return max(quietInterval, time.Duration(p.near)*quietPeerInterval)
}

// seldomInterval returns how often an entry tells all others.
func (p *peers) seldomInterval() time.Duration {
	return max(seldomInterval, time.Duration(len(p.known))*seldomPeerInterval)
}

// alive reports whether a peer was heard from lately.
func (p *peers) alive(q *peer, now time.Duration) bool {
	if q.summary == nil {
		return false
	}
	silent := now - q.heard
	return silent < silentTime || silent < silentAfter*p.interval(q, now)
}

// interval returns how often this entry is told by a peer. Those that would tell it more
// often while it speaks do so only once they have learned that it does.
func (p *peers) interval(q *peer, now time.Duration) time.Duration {
	spokenFor := func(d time.Duration) bool {
		return p.speaks && (p.speaksSince == 0 || now-p.speaksSince >= d)
	}
	if !q.near {
		interval := time.Duration(q.summary.GetFarIntervalMs()) * time.Millisecond
		if seldom := p.seldomInterval(); !spokenFor(seldom) {
			interval = max(interval, seldom)
		}
		return interval
	}
	if quiet := p.quietInterval(); !q.summary.GetSpeaks() && !spokenFor(quiet) {
		return quiet
	}
	return p.nearInterval()
}

// count returns how many peers have ever been heard from and are not forgotten.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, q := range p.known {
		if q.summary != nil {
			n++
		}
	}
	return n
}

// ready returns the peers that take requests.
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

// confirmed returns the time at which a peer knew that no version newer than the
// given one was in force, 0 for never.
func (p *peers) confirmed(version int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.confirmedV > version {
		return 0
	}
	return p.confirmedT
}

// rank is the place of this entry by address among those that were heard just now.
type rank struct {
	region  int // in the own region
	all     int
	regions int // that have an entry
}

// rank returns the place of this entry among the live ones.
func (g *Gateway) rank() rank {
	now := g.now()
	p := g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	var r rank
	heard := map[string]bool{g.self.Region: true}
	for address, q := range p.known {
		late := q.near && q.summary.GetSpeaks() && now-q.heard >= nearSilent
		if late || !p.alive(q, now) {
			continue
		}
		heard[q.summary.GetRegion()] = true
		if address >= p.self {
			continue
		}
		r.all++
		if q.near {
			r.region++
		}
	}
	r.regions = len(heard)
	return r
}

// addresses returns the peer addresses of live peers: those that speak, and those of a
// region, in which all do.
func (p *peers) addresses(now time.Duration, region string, speaking bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, q := range p.known {
		if p.alive(q, now) && (q.summary.GetRegion() == region || speaking && q.summary.GetSpeaks()) {
			list = append(list, address)
		}
	}
	return list
}

// LiveEntries returns the peer addresses of the live entries of a region.
func (g *Gateway) LiveEntries(region string) []string {
	list := g.peers.addresses(g.now(), region, false)
	if region == g.self.Region {
		list = append(list, g.self.PeerAddress)
	}
	return list
}

// AddPeer adds the address of another entry.
func (g *Gateway) AddPeer(address string) { g.peers.learn(address) }

// ReceiveSummary takes in a summary of another entry.
func (g *Gateway) ReceiveSummary(ctx context.Context, m *nodev1.EntrySummary) {
	now := g.now()
	if m.GetAddress() == g.self.PeerAddress || m.GetAddress() == "" {
		return
	}
	g.peers.learn(m.GetAddress())
	g.peers.learn(m.GetPeers()...)
	returned, loaded := g.peers.hear(m, now)
	if returned {
		telemetry.PeerHeard.Log(ctx, g.logger, "peer", m.GetAddress(), "domain", m.GetFailureDomain())
	}
	for i, f := range m.GetSuspects() {
		if i < len(m.GetCrashes()) {
			g.traffic.suspects.told(m.GetAddress(), f, m.GetCrashes()[i], now)
		}
	}
	g.traffic.refusals.told(m.GetRefused(), m.GetRefusedAgeMs(), now)
	g.hearWeights(m, now)
	if loaded {
		g.loadsChanged(now)
	}
	g.catchUp(ctx, m, nodev1.Table_TABLE_OPERATOR, m.GetOperatorContent(), now)
	g.catchUp(ctx, m, nodev1.Table_TABLE_ENDPOINTS, m.GetEndpointsContent(), now)
}

// hear records a summary. Returned tells that the sender was not alive before, loaded
// that it has work at endpoints, or had.
func (p *peers) hear(m *nodev1.EntrySummary, now time.Duration) (returned, loaded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.known[m.GetAddress()]
	returned = !p.alive(q, now)
	if q.summary.GetIncarnation() == m.GetIncarnation() && m.GetStamp() < q.summary.GetStamp() {
		return false, false // overtaken by a newer datagram
	}
	q.summary = m
	q.near = m.GetRegion() == p.region
	q.heard = now
	p.confirm(m, now)
	work := workOf(m)
	loaded = len(work)+len(q.work) > 0
	p.setWork(q, work)
	return returned, loaded
}

// confirm dates what the sender knew. The sender echoes a stamp of this process,
// so it wrote the summary after that stamp, and its confirmation was then as old
// as it says. However long the summary was under way, that date holds.
func (p *peers) confirm(m *nodev1.EntrySummary, now time.Duration) {
	if !p.echoes(m, now) || m.ConfirmedAgeUs == nil {
		return
	}
	at := time.Duration(m.GetEcho()) - time.Duration(m.GetConfirmedAgeUs())*time.Microsecond
	if at > p.confirmedT {
		p.confirmedT = at
		p.confirmedV = m.GetConfigurationVersion()
		p.confirmedW = m.GetWeights()
	}
}

// confirmedWithout returns the time at which a peer knew that the version of weights
// was not named yet, 0 for never. A summary's weights are read after the age of its
// confirmation, so they are not older than that.
func (p *peers) confirmedWithout(model string, version int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.confirmedW {
		if n.GetModel() == model && n.GetVersion() >= version {
			return 0
		}
	}
	return p.confirmedT
}

// echoes reports whether a summary was written after a stamp of this process.
func (p *peers) echoes(m *nodev1.EntrySummary, now time.Duration) bool {
	return m.GetEcho() != 0 && m.GetEchoIncarnation() == p.incarnation && m.GetEcho() <= uint64(now)
}

// catchUp brings a copy up to date with that of a peer that has newer rows. One of
// another region is only asked when the own region has not had them for a while, by one
// entry after the other.
func (g *Gateway) catchUp(ctx context.Context, m *nodev1.EntrySummary, table nodev1.Table, content int64, now time.Duration) {
	if content <= g.content(table) {
		return
	}
	patience := time.Duration(0)
	if m.GetRegion() != g.self.Region {
		patience = farPatience + time.Duration(g.rank().region)*listStep
	}
	if !g.peers.begin(table, patience, now) {
		return
	}
	go func() {
		if err := g.sync(ctx, m.GetAddress(), table); err != nil {
			telemetry.PeerCopyNotFetched.Log(ctx, g.logger, "peer", m.GetAddress(), "table", table.String(), "error", err)
		}
		g.peers.end(table)
	}()
}

// copyState is what is known of one table's copy in relation to the peers.
type copyState struct {
	fetching bool
	behind   time.Duration // since when a peer has newer rows, 0 if none has
}

// begin decides whether to fetch the newer rows of a peer now, which must have been
// missing for as long as the patience.
func (p *peers) begin(table nodev1.Table, patience, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.copies[table]
	if c == nil {
		c = &copyState{}
		p.copies[table] = c
	}
	if c.behind == 0 || now-c.behind > 4*max(patience, farPatience) {
		c.behind = now
	}
	if c.fetching || now-c.behind < patience {
		return false
	}
	c.fetching = true
	return true
}

func (p *peers) end(table nodev1.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copies[table].fetching = false
	p.copies[table].behind = 0
}
