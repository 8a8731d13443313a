package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/eligibility"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Limits of a request.
const (
	// defaultTimeout applies if neither the route nor the caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyTimeout bounds the time to read a body.
	defaultBodyTimeout = 5 * time.Second
	// writeGrace is how long, after the deadline of its request, a caller may take to
	// read the response.
	writeGrace = 5 * time.Second
	// maxBody is the limit of a body in bytes if the configuration sets none.
	maxBody = 4 << 20
	// unavailableRetryAfter is the Retry-After of an entry that has no configuration
	// yet, or none that was confirmed recently enough.
	unavailableRetryAfter = 700 * time.Millisecond
	// memoryRetryAfter is the time in which some large bodies are sent and answered.
	memoryRetryAfter = time.Second
)

// request is a caller's request in progress.
type request struct {
	head              RequestHead
	account           string
	keyed             bool // it may run only under a key of the configuration
	route             *fleet.Route
	service           *fleet.Service
	traffic           *serviceTraffic
	method            string
	target            string
	path              string
	host              string
	regions           eligibility.Restriction // where it may be served
	restrictedBy      int64                   // configuration that regions were last looked up in
	header            http.Header
	body              blocks
	held              holding // of the memory for bodies
	rank              fleet.Rank
	arrived           time.Duration
	configuration     int64         // version in force when it arrived
	sinceFirstAttempt time.Duration // time since the caller's first attempt, if it was refused before
	deadline          time.Duration
	minTime           time.Duration // least time left with which the next attempt is of use
	shortened         bool          // the deadline is that of a planned stop
	fingerprint       uint64
	suspect           suspects.Request
	trial             bool // this request is the trial that may end its quarantine
	answered          bool // the last attempt has the head of an answer
	sound             bool // the last attempt was recorded as not having crashed its endpoint
	attempts          int
	resumed           bool          // the caller has a part of the response
	mayHaveRun        bool          // an attempt may have run at an endpoint
	sentAt            time.Duration // time of the last attempt
	begunAt           time.Duration // time of the first event of the last attempt, 0 before
	version           int64         // version of the weights that the last attempt was sent to, 0 without one
	limit             *attemptLimit // of the last attempt
	endpointDeadline  time.Duration // end of the time left that its endpoint was given
	usableUntil       time.Duration // time from which none may begin on that version, 0 for any time
	tried             []string      // IDs of the endpoints tried, in order
	addresses         []string      // their addresses
}

// fingerprint identifies a request across its repeats.
func fingerprint(account, method, target string, body blocks) uint64 {
	h := fnv.New64a()
	for _, part := range []string{account, method, target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	for _, block := range body {
		h.Write(block)
	}
	return h.Sum64()
}

// refusalFingerprint identifies the request when its caller retries it. It includes
// the prompt's header, since bodies can be equal if the prompt is transferred
// separately.
func (q *request) refusalFingerprint() uint64 {
	return q.fingerprint ^ fingerprint("", "", q.head.Prompt, nil)
}

// remaining returns the time until the final response is due.
func (q *request) remaining(now time.Duration) time.Duration { return q.deadline - now }

// ServeHTTP handles a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.rate.count.Add(1)
	g.requestStarted()
	defer g.active.Add(-1)
	out := g.newResponseWriter(w, r)
	defer out.end()
	g.refreshLoads(g.now())
	q := g.accept(out, r)
	if q == nil {
		return
	}
	remaining := q.remaining(g.now())
	ctx, cancel := g.drain.requestContext(r.Context(), remaining)
	defer cancel()
	defer q.traffic.requests.Add(-1)
	defer q.held.release()
	// A caller that does not read the response must not block the request forever.
	// Setting the deadline fails only for the writers of tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(remaining + writeGrace))
	g.dispatch(ctx, q, out)
}

// accept reads and validates a request. It returns nil if it has written the final
// response.
func (g *Gateway) accept(out *responseWriter, r *http.Request) *request {
	v := g.snapshot.Load()
	if v.configuration == nil {
		out.refuse("", http.StatusServiceUnavailable, "no configuration is known yet", unavailableRetryAfter)
		return nil
	}
	if g.startsOlder() {
		out.refuse("", http.StatusServiceUnavailable, "configuration is older than that of other entries", unavailableRetryAfter)
		return nil
	}
	head, err := g.codec.ReadRequest(r.Header)
	if err != nil {
		out.reject(head.ID, http.StatusBadRequest, err.Error())
		return nil
	}
	q := &request{
		head:    head,
		route:   v.configuration.Route(hostOf(r.Host), r.URL.Path),
		method:  r.Method,
		target:  targetOf(r),
		path:    r.URL.Path,
		host:    r.Host,
		header:  r.Header,
		arrived: out.arrived,
		held:    holding{memory: &g.memory},

		configuration: v.version(),
	}
	out.request = q
	if q.route == nil {
		out.reject(head.ID, http.StatusNotFound, "no route")
		return nil
	}
	if !g.admitAccount(q, v.configuration, out) {
		return nil
	}
	g.restrict(q)
	q.service = v.configuration.Services()[q.route.Service(rand.Float64())]
	if q.service == nil {
		out.refuse(head.ID, http.StatusServiceUnavailable, "the route has no service", unavailableRetryAfter)
		return nil
	}
	q.traffic = g.trafficOf(q.service.Name())
	q.traffic.requests.Add(1)
	q.setDeadline()
	g.drain.shorten(q)
	if !g.readBody(q, v.configuration.Limits(), out, r) {
		q.held.release()
		q.traffic.requests.Add(-1)
		return nil
	}
	q.fingerprint = fingerprint(q.account, q.method, q.target, q.body)
	q.suspect = newSuspect(q)
	q.sinceFirstAttempt = g.traffic.refusals.takeRetry(q.refusalFingerprint(), q.arrived)
	return q
}

// setDeadline sets the deadline from the shorter timeout of the caller and the route.
func (q *request) setDeadline() {
	timeout := q.route.Timeout()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if q.head.HasTimeLeft {
		timeout = min(timeout, q.head.TimeLeft)
	}
	q.deadline = q.arrived + timeout
}

func hostOf(hostPort string) string {
	if host, _, found := strings.Cut(hostPort, ":"); found {
		return host
	}
	return hostPort
}

// targetOf returns the request target in origin form, as sent by the caller.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// admitAccount looks up the client account and reports whether its key may still be
// used.
func (g *Gateway) admitAccount(q *request, c *fleet.Configuration, out *responseWriter) bool {
	q.rank = fleet.RankOf(q.route)
	if !c.Keyed() || q.route.Anonymous() {
		return true
	}
	account, known := c.Account(q.head.Key)
	if !known {
		out.reject(q.head.ID, http.StatusUnauthorized, "unknown key")
		return false
	}
	q.account, q.keyed = account.Name(), true
	q.rank = account.Rank(q.route)
	return g.keyUsable(q, out)
}

// keyUsable refuses a request with a key if the confirmation of the configuration is
// too old to rule out that the key was revoked.
func (g *Gateway) keyUsable(q *request, out *responseWriter) bool {
	age, fresh := g.fresh()
	if !fresh {
		out.refuse(q.head.ID, http.StatusServiceUnavailable, reasonUnconfirmed, unavailableRetryAfter, "age", age)
	}
	return fresh
}

// readBody reads the whole body before anything is sent, so that an attempt can be
// repeated and a slow caller occupies no slot at an endpoint.
func (g *Gateway) readBody(q *request, limits fleet.Limits, out *responseWriter, r *http.Request) bool {
	bound := limits.BodyBytes()
	if bound == 0 {
		bound = maxBody
	}
	if r.ContentLength > bound {
		out.reject(q.head.ID, http.StatusRequestEntityTooLarge, "body is too large")
		return false
	}
	if !q.held.state(r.ContentLength) {
		out.refuseBody(q, r, bound)
		return false
	}
	control := http.NewResponseController(out.w)
	if r.ContentLength != 0 {
		// Without its own deadline, a body could take as long as the caller likes. Setting
		// it fails only for the writers of tests.
		timeout := min(g.bodyTimeout, q.remaining(g.now()))
		_ = control.SetReadDeadline(time.Now().Add(timeout))
		defer g.drain.interruptRead(control)()
	}
	body, err := q.held.read(r.Body, r.ContentLength, bound+1)
	switch {
	case body.size() > bound:
		out.reject(q.head.ID, http.StatusRequestEntityTooLarge, "body is too large")
		return false
	case errors.Is(err, errNoMemory):
		q.held.release()
		out.refuseBody(q, r, bound)
		return false
	case err != nil:
		// The deadline stays: net/http would wait for the rest of the body before it writes
		// the response.
		out.cause = g.readCause(err)
		out.refuse(q.head.ID, http.StatusRequestTimeout, "could not read the body: "+err.Error(), 0)
		return false
	}
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Time{})
	}
	q.body = body
	return true
}

// dispatch places the request, sends it, retries where that is allowed, and writes
// the final response.
func (g *Gateway) dispatch(ctx context.Context, q *request, out *responseWriter) {
	sequence := g.newSequence(q)
	for {
		if g.mustNotStart(q, out) {
			sequence.finish(out, q, reasonStopping, stoppingRetryAfter)
			return
		}
		g.restrict(q)
		changed := g.traffic.suspects.Changed()
		if d := g.suspicion(q); d.Kind() == suspects.Quarantined {
			sequence.refuseSuspect(out, q, d)
			return
		}
		q.minTime = sequence.minTime(q)
		q.mayHaveRun = sequence.mayHaveRun
		placementCtx, cancel := g.placementContext(ctx, q, out)
		v, placed := g.awaitPlacement(placementCtx, q, changed)
		cancel()
		if !placed {
			sequence.notPlaced(out, q, v)
			return
		}
		if !g.recheckKey(q, v.Choice(), sequence, out) {
			return
		}
		c := v.Choice()
		out.setPlacement(v)
		r := g.attemptPlaced(ctx, q, &c, out)
		g.logAttempt(ctx, q, v, r)
		if r.brokenOff {
			g.recordBreak(ctx, q, c.Candidate)
		}
		q.trial = q.trial && r.notRun
		if !sequence.retryOrFinish(ctx, q, r, out) {
			return
		}
	}
}

// attemptPlaced makes an attempt at the endpoint that placement has chosen, and releases its
// slot, also after a panic.
func (g *Gateway) attemptPlaced(ctx context.Context, q *request, c *placement.Choice, out *responseWriter) (r result) {
	r.outcome = placement.Cancelled
	defer func() { q.traffic.placement.Release(g.now(), *c, r.outcome) }()
	return g.attempt(ctx, q, c, out)
}

// recheckKey checks the key again just before a request is sent: the request may have
// waited, and the machine may have been suspended. If the key may not be used any longer, it
// writes the final response.
func (g *Gateway) recheckKey(q *request, c placement.Choice, sequence *sequence, out *responseWriter) bool {
	reason := g.keyReason(q)
	if reason == "" {
		return true
	}
	q.traffic.placement.Release(g.now(), c, placement.Cancelled)
	if reason == reasonRevoked {
		out.reject(q.head.ID, http.StatusUnauthorized, reason)
		return false
	}
	age, _ := g.fresh()
	sequence.finish(out, q, reason, unavailableRetryAfter, "age", age)
	return false
}

// keyReason returns why a request must not be sent with its key, or an empty string if it
// may. One that may have run was sent while its key was valid, which holds for its further
// attempts too: a revocation applies to the requests that callers send after it.
func (g *Gateway) keyReason(q *request) string {
	if !q.keyed || q.mayHaveRun {
		return ""
	}
	// The age is read before the configuration. In the other order, the confirmation
	// of a newer configuration that arrives between the two reads would be applied to
	// a key of the older one.
	_, fresh := g.fresh()
	if _, known := g.snapshot.Load().configuration.Account(q.head.Key); !known {
		return reasonRevoked
	}
	if !fresh {
		return reasonUnconfirmed
	}
	return ""
}

// awaitPlacement requests an endpoint and waits for the decision, or until the caller
// disconnects or the request is in quarantine. Changed is closed when there is another
// quarantine.
func (g *Gateway) awaitPlacement(ctx context.Context, q *request, changed <-chan struct{}) (placement.Decision, bool) {
	t := q.traffic.placement.Submit(g.now(), q.placementRequest())
	for waiting := true; waiting; {
		select {
		case v := <-t.Decision():
			return v, v.Placed()
		case <-ctx.Done():
			waiting = false
		case <-changed:
			changed = g.traffic.suspects.Changed()
			waiting = g.suspicion(q).Kind() != suspects.Quarantined
		}
	}
	q.traffic.placement.Cancel(t)
	// The decision may have been made meanwhile.
	select {
	case v := <-t.Decision():
		if v.Placed() {
			q.traffic.placement.Release(g.now(), v.Choice(), placement.Cancelled)
		}
	default:
	}
	return placement.Decision{}, false
}

// placementRequest returns what placement decides on.
func (q *request) placementRequest() placement.Request {
	isRetry := len(q.tried) > 0
	target := q.route.Target()
	if isRetry {
		target = 0
	}
	return placement.Request{
		Arrived:      q.arrived - q.sinceFirstAttempt,
		Target:       target,
		Deadline:     q.deadline,
		MinTime:      q.minTime,
		Priority:     q.rank.Order(),
		Prompt:       q.head.PromptTokens,
		Account:      q.account,
		Regions:      q.regions,
		Exclude:      q.tried,
		PlacedBefore: isRetry,
		Begun:        q.resumed,
		Version:      q.version,
	}
}

// isTimeout reports whether the context ended because its deadline passed.
func isTimeout(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}

func (g *Gateway) logAttempt(ctx context.Context, q *request, v placement.Decision, r result) {
	if r.outcome == placement.Succeeded {
		return // the record of the request's end includes the endpoint
	}
	telemetry.FleetAttemptFailed.Log(ctx, g.logger, "request", q.head.ID, "route", q.route.Name(),
		"endpoint", v.Choice().ID, "reason", r.reason, "cause", r.cause, "executed", !r.notRun, "waited", v.Waited(),
		"sent", q.sinceSent(g.now()), "begun", q.sinceBegun(g.now()), "version", q.version, "usable", q.usableAtSend(),
		"timeLeft", q.limit.shortened(q), "parts", q.head.SharedParts)
}

// usableAtSend returns how long, from the time of the last attempt, requests could still
// begin on the version that it was sent to; 0 stands for any time.
func (q *request) usableAtSend() time.Duration {
	if q.usableUntil == 0 {
		return 0
	}
	return q.usableUntil - q.sentAt
}

// recordBegin reports a response that begins after the time at which requests could begin
// on the version that the request was sent to.
func (g *Gateway) recordBegin(ctx context.Context, q *request, c placement.Candidate) {
	if q.usableUntil == 0 || q.begunAt <= q.usableUntil {
		return
	}
	g.metrics.OutdatedStarts.WithLabelValues(q.service.Name()).Inc()
	telemetry.OutdatedStart.Log(ctx, g.logger, "request", q.head.ID, "endpoint", c.ID, "version", q.version,
		"late", q.begunAt-q.usableUntil, "sent", q.begunAt-q.sentAt, "usable", q.usableAtSend())
}

// sinceSent returns the time since the last attempt was sent, 0 if none was.
func (q *request) sinceSent(now time.Duration) time.Duration {
	if q.sentAt == 0 {
		return 0
	}
	return now - q.sentAt
}

// endpointLeft returns how much of the time left of the last attempt remains, negative after
// its end and 0 if nothing was sent.
func (q *request) endpointLeft(now time.Duration) time.Duration {
	if q.sentAt == 0 {
		return 0
	}
	return q.endpointDeadline - now
}

// sinceBegun returns the time since the first event of the last attempt, 0 if there was
// none.
func (q *request) sinceBegun(now time.Duration) time.Duration {
	if q.begunAt == 0 {
		return 0
	}
	return now - q.begunAt
}
