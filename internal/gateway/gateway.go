// Package gateway implements the entry process for a deployment in which the platform
// stores the configuration and the endpoints check themselves whether a request is
// meant for them. Requests of callers go directly to the endpoints, without a hop
// through an agent.
//
// The state of a gateway is one immutable snapshot: the configuration, the endpoints
// and the versions of weights. The request path reads it with one atomic load.
// Package placement decides where requests go, how long they wait and when they are
// refused.
//
// A request is sent only once, unless its route allows it to be repeated or the
// response proves that it did not run. The gateway reports "not run" only if none of
// the attempts can have run. If a stream breaks off and its route allows it, the
// stream is resumed at another endpoint after the last complete event.
//
// A request with a key is sent only while the store has confirmed the configuration
// more recently than the revocation bound, either to this entry or to a peer.
//
// # Usage
//
//	g := gateway.New(gateway.Identity{...}, codec, gateway.WithLogger(logger))
//	done := g.Start(ctx)
//	g.ApplyConfiguration(configuration, versions)
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
	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/coordination/warmup"
	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/endpoints"
)

// RequestHead holds the fields that are read from the header of a caller's request.
type RequestHead struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Key is the secret key of a client account.
	Key string
	// TimeLeft is how long the caller waits for the response. HasTimeLeft is set if
	// the caller sent a deadline.
	TimeLeft    time.Duration
	HasTimeLeft bool
	// PromptTokens is the size of a generation's prompt in tokens, 0 if unknown.
	// Prompt identifies its parts.
	PromptTokens int
	Prompt       string
	// SharedParts are the identities of those parts of the prompt that other requests
	// may have too.
	SharedParts []string
	// LastEvent is the id of the last event of a stream that the caller has received.
	LastEvent string
}

// ForwardHead holds the fields that are written to the header of an attempt.
type ForwardHead struct {
	EndpointID string
	Account    string
	// Rank is the urgency by which an endpoint admits what waits there.
	Rank     fleet.Rank
	TimeLeft time.Duration
	// Version is the version of the weights that the endpoint must have loaded, 0 for
	// any.
	Version   int64
	LastEvent string
}

// ResponseHead holds the fields that are read from the head of an endpoint's response.
type ResponseHead struct {
	// NotExecuted is set if the response proves that the request did not run.
	NotExecuted bool
	// Misdirected is set if the request reached another endpoint than intended, or one
	// with other weights.
	Misdirected bool
	// Authenticated is set if the response proves that it comes from an endpoint.
	Authenticated bool
	// Version is the version of the weights that produced the response, 0 if unknown.
	Version int64
	// Backpressure is the endpoint's backpressure for further requests of this entry.
	Backpressure admission.Backpressure
	// RateLimit is the rate limit that the endpoint states for all entries together.
	// RateLimitErr is set if it states one that is malformed.
	RateLimit    quota.Limit
	RateLimitErr error
}

// Codec translates between HTTP headers and the fields of requests and responses, as
// the deployment's protocol defines them.
type Codec struct {
	ReadRequest  func(h http.Header) (RequestHead, error)
	WriteForward func(h http.Header, f ForwardHead)
	ReadResponse func(status int, h http.Header) ResponseHead
	// Match reports whether a response belongs to the request with the given ID.
	Match func(h http.Header, id string) endpoints.Match
}

// Identity describes this entry.
type Identity struct {
	Name          string
	Region        string
	FailureDomain string
	// PeerAddress is the address for other entries, CallerAddress the one for
	// callers.
	PeerAddress   string
	CallerAddress string
	Incarnation   uint64
	// Cores is the number of processor cores that this entry may use, 0 if unknown.
	Cores float64
}

// Gateway is an entry that forwards callers' requests to endpoints. It implements
// http.Handler.
type Gateway struct {
	self            Identity
	codec           Codec
	logger          *slog.Logger
	metrics         *telemetry.Metrics
	now             func() time.Duration
	send            func(address string, m *nodev1.Datagram) error
	syncTable       func(ctx context.Context, address string, table nodev1.Table) error
	tableState      func(table nodev1.Table) watch.State
	agentAddress    func(endpoint string) string
	region          func(failureDomain string) string
	confirmedAt     func() time.Duration
	revocationBound time.Duration
	recordTarget    func(v TargetVersion)
	probe           func(ctx context.Context, address string) error
	retryRatio      float64
	retryReserve    float64
	maxTTL          time.Duration
	bodyTimeout     time.Duration

	snapshot     atomic.Pointer[snapshot]
	snapshotMu   sync.Mutex // held by writers of snapshot
	targets      *targetVersions
	notices      *noticeList
	backpressure *admission.Tracker
	rateLimits   *rateLimits
	quotas       *quotas
	warmup       *warmup.Tracker
	pool         *endpoints.Pool
	traffic      traffic
	crashes      *crashes
	peers        *peers
	wakeups      chan struct{}
	activity     chan struct{} // signals the first request in progress
	notifyNow    atomic.Bool   // a target version was set that agents have not been notified of
	notifiedAt   time.Duration // last time agents were notified; used only by run
	started      time.Duration
	draining     atomic.Bool
	drain        *drain
	placed       atomic.Bool  // placement has the list of endpoints
	readyAt      atomic.Int64 // boottime nanoseconds of the end of a wait for the times of target versions
	unreadable   atomic.Bool  // the newest configuration can't be read, the one in force is older
	lastOutage   atomic.Int64 // boottime nanoseconds of the last time the store was unreachable
	active       atomic.Int64
	memory       memory // for bodies
	// loadsStale is set while placement lacks the latest load of other entries.
	loadsStale atomic.Bool
	rate       rateMeter
	olderStart olderStart
}

// New returns a gateway without a configuration, which is not ready.
func New(self Identity, codec Codec, options ...Option) *Gateway {
	g := &Gateway{
		self:         self,
		codec:        codec,
		logger:       slog.New(slog.DiscardHandler),
		metrics:      telemetry.New().Metrics(),
		now:          boottime.Now,
		send:         func(string, *nodev1.Datagram) error { return nil },
		syncTable:    func(context.Context, string, nodev1.Table) error { return nil },
		tableState:   func(nodev1.Table) watch.State { return watch.State{} },
		agentAddress: func(string) string { return "" },
		region:       func(string) string { return "" },
		wakeups:      make(chan struct{}, 1),
		activity:     make(chan struct{}, 1),
		recordTarget: func(TargetVersion) {},
		targets:      newTargetVersions(),
		notices:      newNoticeList(),
		backpressure: admission.NewTracker(),
		rateLimits:   newRateLimits(),
		warmup:       warmup.NewTracker(warmup.Bound{}),
		confirmedAt:  func() time.Duration { return 0 },
		retryRatio:   defaultRetryRatio,
		maxTTL:       defaultMaxTTL,
		bodyTimeout:  defaultBodyTimeout,
		pool:         endpoints.NewPool(endpoints.WithLimit(maxConnections)),
		crashes:      newCrashes(),
		drain:        newDrain(),
		peers:        newPeers(self.PeerAddress, self.Region, self.Incarnation),
	}
	g.snapshot.Store(&snapshot{})
	g.traffic.services = make(map[string]*serviceTraffic)
	g.traffic.suspects = suspects.NewEvidence(
		suspects.WithReportDue(g.crashes.wakeUp), suspects.WithTrialRank(g.trialRank), suspects.WithNotify(g.logQuarantine))
	g.traffic.refusals = newRefusals()
	g.probe = g.pool.Probe
	for _, o := range options {
		o(g)
	}
	g.started = g.now()
	g.quotas = newQuotas(self.PeerAddress, g.started)
	return g
}

// Intervals of the background work.
const (
	// expireInterval bounds the delay with which an expired waiting request is
	// refused.
	expireInterval = 25 * time.Millisecond
	sweepInterval  = 2 * time.Second
)

// Start starts the background work. The returned channel is closed when it has ended.
func (g *Gateway) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var work sync.WaitGroup
		work.Go(func() { g.run(ctx) })
		work.Go(func() { g.expire(ctx) })
		work.Go(func() { g.runQuotas(ctx) })
		work.Go(func() { g.runCrashes(ctx) })
		work.Wait()
	}()
	return done
}

// expire periodically refuses the waiting requests whose time has passed. The timer
// is stopped while there are no requests in progress.
func (g *Gateway) expire(ctx context.Context) {
	tick := time.NewTimer(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-g.activity:
			tick.Reset(expireInterval)
			continue
		}
		g.traffic.expire(g.now())
		if g.active.Load() > 0 {
			tick.Reset(expireInterval)
		}
	}
}

// requestStarted counts a request in progress and starts the expiry timer for the
// first one.
func (g *Gateway) requestStarted() {
	if g.active.Add(1) > 1 {
		return
	}
	select {
	case g.activity <- struct{}{}:
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
			g.traffic.expireRecords(g.now())
			g.backpressure.Expire(g.now())
			g.expireRateLimits()
			g.warmup.Expire(g.now())
		case <-summary.C:
			g.sendSummaries(false)
			g.notifyAgents()
			summary.Reset(g.roundInterval())
		case <-g.wakeups:
			g.sendSummaries(true)
			g.notifyAgents()
			summary.Reset(g.roundInterval())
		}
	}
}

// Ready reports whether callers should use this entry. Before placement has the list of
// endpoints, every request would be refused, and for a short time after it those for a
// service whose endpoints may be usable.
func (g *Gateway) Ready() bool {
	return g.joined() && !g.startsOlder() && g.placed.Load() && int64(g.now()) >= g.readyAt.Load()
}

// joined reports whether this entry takes part in the division of the endpoints. It does
// so before it is ready, so that its first request finds the endpoints that it prefers.
func (g *Gateway) joined() bool {
	v := g.snapshot.Load()
	return !g.draining.Load() && v.configuration != nil && v.listed
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// wake makes the background work send summaries at once.
func (g *Gateway) wake() {
	select {
	case g.wakeups <- struct{}{}:
	default:
	}
}

// Limits of an entry.
const (
	// maxConnections bounds the connections to one endpoint if the configuration does
	// not.
	maxConnections    = 24
	defaultRetryRatio = 0.1
	defaultMaxTTL     = 2 * time.Second
)

// trafficOf returns the state of a service, which is created on first use.
func (g *Gateway) trafficOf(service string) *serviceTraffic {
	return g.traffic.service(service, func() *serviceTraffic { return g.newServiceTraffic() })
}

func (g *Gateway) newServiceTraffic() *serviceTraffic {
	return &serviceTraffic{
		placement: placement.New(placement.WithDomain(g.self.FailureDomain), placement.WithOvercommit(1), placement.WithPermitsWanted(g.wakeQuotas)),
		budget:    g.newBudget(),
	}
}
