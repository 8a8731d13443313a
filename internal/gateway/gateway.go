// Package gateway is the entry of a deployment whose platform keeps the
// configuration and whose endpoints check for themselves which request they are
// sent: the callers' requests go to the endpoints without the agent's hop.
//
// What a gateway believes is one immutable view: the configuration, the endpoints
// and the versions of weights. The request path reads it with one atomic load.
// Where requests go, wait and are turned away is decided by package placement.
//
// A request is sent once, unless its route lets it run again or the answer proves
// that it did not run. The gateway says "not run" only then. A stream that breaks
// goes on at another endpoint after its last whole event where its route allows
// that.
//
// A request with a key is sent only while the configuration is confirmed to be
// younger than the revocation bound, by the store or by another entry.
//
// # Usage
//
//	g := gateway.New(gateway.Identity{...}, codec, gateway.WithLogger(logger))
//	ended := g.Start(ctx)
//	g.ApplyOperator(configuration, text, versions)
//	g.ApplyEndpoints(list)
//	http.Serve(listener, g)
package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/coordination/admission"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/endpoints"
)

// RequestHead is what a request says of itself.
type RequestHead struct {
	// ID is unique for each try of a caller.
	ID string
	// Key is the secret of a client account.
	Key string
	// TimeLeft is how long the caller waits; Timed tells that it said so.
	TimeLeft time.Duration
	HasTimeLeft    bool
	// PromptTokens is the size of a generation's prompt, 0 if unknown. Prompt names
	// its parts.
	PromptTokens int
	Prompt       string
	// LastEvent is the last event that the caller has of a stream.
	LastEvent string
}

// ForwardHead is what an attempt tells the endpoint.
type ForwardHead struct {
	EndpointID string
	Account    string
	TimeLeft   time.Duration
	// Version is the version of the weights that the endpoint must have, 0 for any.
	Version   int64
	LastEvent string
}

// ResponseHead is what the head of an endpoint's answer says.
type ResponseHead struct {
	// NotExecuted proves that the request did not run.
	NotExecuted bool
	// Misdirected tells that the endpoint is another one or has other weights.
	Misdirected bool
	// Authenticated tells that the answer is an endpoint's own.
	Authenticated bool
	// Version is the version of the weights that made the answer, 0 if unknown.
	Version int64
	// Backpressure is what the endpoint asks of this entry for the requests to come.
	Backpressure admission.Backpressure
}

// Codec is how requests and answers are written where the gateway runs.
type Codec struct {
	ReadRequest     func(h http.Header) (RequestHead, error)
	WriteForward func(h http.Header, f ForwardHead)
	ReadResponse   func(status int, h http.Header) ResponseHead
	// Match tells whether an answer belongs to the request with an ID.
	Match func(h http.Header, id string) endpoints.Match
}

// Identity says which entry this is.
type Identity struct {
	Name          string
	Region        string
	FailureDomain string
	// PeerAddress is where other entries reach it, CallerAddress where callers do.
	PeerAddress   string
	CallerAddress string
	Incarnation   uint64
	// Cores is the share of the processor that it may use, 0 if that is not known.
	Cores float64
}

// Gateway is the state of an entry.
type Gateway struct {
	self       Identity
	codec      Codec
	logger     *slog.Logger
	metrics    *telemetry.Metrics
	now        func() time.Duration
	send       func(address string, m *nodev1.Datagram) error
	sync       func(ctx context.Context, address string, table nodev1.Table) error
	content    func(table nodev1.Table) int64
	agent      func(endpoint string) string
	region     func(failureDomain string) string
	confirmed  func() time.Duration
	revocation time.Duration
	record     func(v TargetVersion)
	ratio      float64
	reserve    float64
	maxTTL     time.Duration

	view     atomic.Pointer[view]
	viewMu   sync.Mutex // held by writers of view
	weights  *weightsBook
	notices  *noticeList
	asked    *admission.Tracker
	pool     *endpoints.Pool
	traffic  traffic
	peers    *peers
	kick     chan struct{}
	busy     chan struct{} // the first request came
	tellNow  atomic.Bool   // a version was named that agents do not know
	told     time.Duration // when agents were told last; used by run alone
	started  time.Duration
	leaving  atomic.Bool
	lastAway atomic.Int64 // boottime nanoseconds at which the store was away
	active   atomic.Int64
	// loadsStale tells that placement does not know the newest work of other entries.
	loadsStale atomic.Bool
	rate       rateMeter
}

// New returns a gateway that knows no configuration and is not ready.
func New(self Identity, codec Codec, options ...Option) *Gateway {
	g := &Gateway{
		self:      self,
		codec:     codec,
		logger:    slog.New(slog.DiscardHandler),
		metrics:   telemetry.New().Metrics(),
		now:       boottime.Now,
		send:      func(string, *nodev1.Datagram) error { return nil },
		sync:      func(context.Context, string, nodev1.Table) error { return nil },
		content:   func(nodev1.Table) int64 { return 0 },
		agent:     func(string) string { return "" },
		region:    func(string) string { return "" },
		kick:      make(chan struct{}, 1),
		busy:      make(chan struct{}, 1),
		record:    func(TargetVersion) {},
		weights:   newWeightsBook(),
		notices:   newNoticeList(),
		asked:     admission.NewTracker(),
		confirmed: func() time.Duration { return 0 },
		ratio:     defaultRatio,
		maxTTL:    defaultTTL,
		pool:      endpoints.NewPool(endpoints.WithLimit(maxConnections)),
		peers:     newPeers(self.PeerAddress, self.Region, self.Incarnation),
	}
	g.view.Store(&view{})
	g.traffic.services = make(map[string]*serviceTraffic)
	g.traffic.suspects = newSuspects()
	g.traffic.refusals = newRefusals()
	for _, o := range options {
		o(g)
	}
	g.started = g.now()
	return g
}

// Intervals of the background work.
const (
	// expireInterval bounds how late a waiting request is refused.
	expireInterval = 25 * time.Millisecond
	sweepInterval  = 2 * time.Second
)

// Start begins the background work; the channel is closed when it has ended.
func (g *Gateway) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var work sync.WaitGroup
		work.Go(func() { g.run(ctx) })
		work.Go(func() { g.expire(ctx) })
		work.Wait()
	}()
	return done
}

// expire ends the waits that are over. An entry without requests sleeps.
func (g *Gateway) expire(ctx context.Context) {
	tick := time.NewTimer(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-g.busy:
			tick.Reset(expireInterval)
			continue
		}
		g.traffic.expire(g.now())
		if g.active.Load() > 0 {
			tick.Reset(expireInterval)
		}
	}
}

// enter counts a request in.
func (g *Gateway) enter() {
	if g.active.Add(1) > 1 {
		return
	}
	select {
	case g.busy <- struct{}{}:
	default:
	}
}

func (g *Gateway) run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	summary := time.NewTimer(0)
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			g.pool.Sweep()
			g.traffic.forget(g.now())
			g.asked.Expire(g.now())
		case <-summary.C:
			g.sendSummaries(false)
			g.tellAgents()
			summary.Reset(g.pace())
		case <-g.kick:
			g.sendSummaries(true)
			g.tellAgents()
			summary.Reset(g.pace())
		}
	}
}

// Ready reports whether callers should be sent here. Without the list of endpoints
// every request would be refused.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	return !g.leaving.Load() && v.configuration != nil && v.listed
}

// Drain makes the gateway not ready, tells the other entries, and closes each
// caller's connection after its next answer.
func (g *Gateway) Drain() {
	g.leaving.Store(true)
	g.sendSummaries(true)
}

// Active returns how many requests are in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Fresh reports whether the configuration is known to be young enough for
// requests with a key, and its age.
func (g *Gateway) fresh() (age time.Duration, fresh bool) {
	age, known := g.age()
	if !known {
		return age, g.revocation == 0
	}
	return age, g.revocation == 0 || age < g.revocation-revocationMargin
}

// age returns how long ago the store confirmed the configuration in force, to this
// entry or to another one.
func (g *Gateway) age() (age time.Duration, known bool) {
	confirmed := max(g.confirmed(), g.peers.confirmed(g.view.Load().version()))
	return g.now() - confirmed, confirmed > 0
}

// LastStoreOutage returns when the store was last known to have been away, to this
// entry and to all others, 0 for never.
func (g *Gateway) LastStoreOutage() time.Duration {
	return time.Duration(g.lastAway.Load())
}

// noteOutage records that nobody confirms the configuration.
func (g *Gateway) noteOutage(now time.Duration) {
	if age, known := g.age(); known && age > outageAge {
		g.lastAway.Store(int64(now))
	}
}

// LeadsRegion reports whether this entry is the first of its region that is alive.
func (g *Gateway) LeadsRegion() bool {
	return g.rank().region == 0
}

// Watching reports whether this entry follows the store itself. One entry of each
// region does, and two where there is one region; the others take rows and
// confirmations over from them, and follow the store too when those become old.
func (g *Gateway) Watching() bool {
	if g.view.Load().configuration == nil {
		return g.inTurn()
	}
	age, known := g.age()
	r := g.rank()
	watchers := 1
	if r.regions == 1 {
		watchers = fewestWatchers
	}
	if !known || r.region < watchers {
		return true
	}
	return age > staleAge+min(time.Duration(r.region)*staleStep, staleSteps)
}

// WatchingEndpoints reports whether this entry follows the store's list of endpoints.
func (g *Gateway) WatchingEndpoints() bool {
	if g.view.Load().listed {
		return g.Watching()
	}
	return g.inTurn()
}

// StoreRetryDelay returns the least wait after a call to the store that failed. While the
// store is away its return is found by the first entries of a region, who tell the
// others at once.
func (g *Gateway) StoreRetryDelay() time.Duration {
	r := g.rank()
	if r.region < fewestWatchers {
		return 0
	}
	return min(time.Duration(r.region)*patienceStep, longestPatience)
}

// inTurn reports whether an entry that has no copy of a table yet may ask the store for
// it. It takes the copy over from another one of its region, or asks when its turn
// comes: the tables of a large fleet, read by all that start together, would fill the
// link to the store's region for many times as long as one reading takes. While the
// entries do not know each other a turn of their own keeps them apart.
func (g *Gateway) inTurn() bool {
	turn := max(time.Duration(g.rank().region)*listStep, g.StartDelay())
	return g.now()-g.started >= hearTime+turn
}

// StartDelay returns how long after its start this entry asks for what all entries that
// start together want. It follows from the own address.
func (g *Gateway) StartDelay() time.Duration {
	share := float64(endpointHash(g.self.PeerAddress)) / (1 << 32)
	return time.Duration(share * float64(startSpread))
}

// TableChanged tells the other entries at once that a copy has changed, if this entry
// follows the store.
func (g *Gateway) TableChanged() {
	if g.Watching() {
		g.wake()
	}
}

// wake has the background work tell the others at once.
func (g *Gateway) wake() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// Limits of an entry.
const (
	// revocationMargin covers a store whose feed is a second late, and the time
	// between the check and the first byte at the endpoint.
	revocationMargin = 1300 * time.Millisecond
	// maxConnections bounds the connections to one endpoint where the
	// configuration does not.
	maxConnections = 24
	// fewestWatchers is the number of entries that follow the store at least, so that
	// one that fails leaves no gap.
	fewestWatchers = 2
	// staleAge is the age of the confirmation from which an entry asks the store
	// itself, in the order of rank so that not all do at once.
	staleAge   = 1700 * time.Millisecond
	staleStep  = 60 * time.Millisecond
	staleSteps = 600 * time.Millisecond
	// hearTime is that in which a process that starts hears the entries of its region.
	// They then read what none of them has in turn, a listStep apart: about the time
	// that one reading takes between regions.
	hearTime = 150 * time.Millisecond
	listStep = 250 * time.Millisecond
	// startSpread is the time over which entries that start together and do not know
	// each other spread their first readings: that of one and of its telling the others
	// takes a few tenths of it.
	startSpread = time.Second
	// patienceStep times its rank is how long an entry waits after a failed call, up to
	// longestPatience: where the store serves single machines only, a few of those that
	// ask must be among them before keys may not be used any more.
	patienceStep    = 100 * time.Millisecond
	longestPatience = 2 * time.Second
	// outageAge is the age of the confirmation from which the store counts as away:
	// every entry has asked it by then.
	outageAge    = 2 * time.Second
	defaultRatio = 0.1
	defaultTTL   = 2 * time.Second
)

// trafficOf returns the state of a service, which is created on its first use.
func (g *Gateway) trafficOf(service string) *serviceTraffic {
	return g.traffic.service(service, func() *serviceTraffic { return g.newServiceTraffic() })
}

func (g *Gateway) newServiceTraffic() *serviceTraffic {
	return &serviceTraffic{
		placement: placement.New(placement.WithDomain(g.self.FailureDomain), placement.WithOvercommit(1)),
		budget:    g.newBudget(),
	}
}
