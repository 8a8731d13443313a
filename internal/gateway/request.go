package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Bounds of a request.
const (
	// defaultTimeout is that of a route without one, for a caller that names none.
	defaultTimeout = 30 * time.Second
	// bodyTimeout bounds the time to read a body.
	bodyTimeout = 5 * time.Second
	// unreadTime is how long a caller may leave an answer unread after the request's
	// time.
	unreadTime = 5 * time.Second
	// maxBody bounds a body where the configuration does not.
	maxBody = 4 << 20
	// unknownRetryAfter is when to come back to an entry that knows no
	// configuration yet, or none that is young enough.
	unknownRetryAfter = 700 * time.Millisecond
)

// request is one call of a caller on its way.
type request struct {
	call     RequestHead
	account  string
	route    *fleet.Route
	service  *fleet.Service
	traffic  *serviceTraffic
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	priority int
	arrived  time.Duration
	spent    time.Duration // by the caller on tries before
	deadline time.Duration
	mark     uint64
	attempts int
	sent     []string // endpoints, in order
}

// refusalMark identifies the request when its caller comes back. Bodies are alike
// where the prompt travels apart.
func (q *request) refusalMark() uint64 {
	return q.mark ^ fingerprint("", "", q.call.Prompt, nil)
}

// left returns the time until the final answer is due.
func (q *request) left(now time.Duration) time.Duration { return q.deadline - now }

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.rate.count.Add(1)
	g.enter()
	defer g.active.Add(-1)
	g.refreshLoads(g.now())
	out := &answerWriter{gateway: g, w: w, arrived: g.now()}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := g.accept(out, r)
	if q == nil {
		return
	}
	left := q.left(g.now())
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	// A caller that reads nothing must not hold the request up for good. A writer
	// without deadlines is a test's.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(left + unreadTime))
	g.dispatch(ctx, q, out)
	out.end(q)
}

// accept reads and checks a request. It returns nil after a final answer.
func (g *Gateway) accept(out *answerWriter, r *http.Request) *request {
	v := g.view.Load()
	if v.configuration == nil {
		out.refuse("", http.StatusServiceUnavailable, "no configuration is known yet", unknownRetryAfter)
		return nil
	}
	call, err := g.codec.ReadRequest(r.Header)
	if err != nil {
		out.reject(call.ID, http.StatusBadRequest, err.Error())
		return nil
	}
	q := &request{
		call:    call,
		route:   v.configuration.Route(hostOf(r.Host), r.URL.Path),
		method:  r.Method,
		target:  targetOf(r),
		host:    r.Host,
		header:  r.Header,
		arrived: out.arrived,
	}
	if q.route == nil {
		out.reject(call.ID, http.StatusNotFound, "no route")
		return nil
	}
	if !g.admitAccount(q, v.configuration, out) {
		return nil
	}
	q.service = v.configuration.Services()[q.route.Service(rand.Float64())]
	if q.service == nil {
		out.refuse(call.ID, http.StatusServiceUnavailable, "the route has no service", unknownRetryAfter)
		return nil
	}
	q.traffic = g.trafficOf(q.service.Name())
	q.setDeadline()
	if !g.readBody(q, v.configuration.Limits(), out, r) {
		return nil
	}
	q.mark = fingerprint(q.account, q.method, q.target, q.body)
	q.spent = g.traffic.refusals.returned(q.refusalMark(), q.arrived)
	return q
}

// setDeadline takes the least of what the caller and the route allow.
func (q *request) setDeadline() {
	timeout := q.route.Timeout()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if q.call.HasTimeLeft {
		timeout = min(timeout, q.call.TimeLeft)
	}
	q.deadline = q.arrived + timeout
}

func hostOf(hostPort string) string {
	if host, _, found := strings.Cut(hostPort, ":"); found {
		return host
	}
	return hostPort
}

// targetOf returns the request target in origin form, as the caller wrote it.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// admitAccount finds the client account and whether its key may still be used.
func (g *Gateway) admitAccount(q *request, c *fleet.Configuration, out *answerWriter) bool {
	q.priority = q.route.Priority()
	if !c.Keyed() || q.route.Anonymous() {
		return true
	}
	account, known := c.Account(q.call.Key)
	if !known {
		out.reject(q.call.ID, http.StatusUnauthorized, "unknown key")
		return false
	}
	q.account = account.Name()
	q.priority = account.Priority(q.route)
	return g.keyUsable(q, out)
}

// keyUsable refuses a request with a key while the configuration is too old to
// tell whether the key was taken away.
func (g *Gateway) keyUsable(q *request, out *answerWriter) bool {
	if q.account == "" {
		return true
	}
	age, fresh := g.fresh()
	if !fresh {
		out.refuse(q.call.ID, http.StatusServiceUnavailable, "configuration is not confirmed", unknownRetryAfter, "age", age)
	}
	return fresh
}

// readBody reads the whole body before anything is sent, so that an attempt can
// be repeated and a caller that is slow costs no endpoint a place.
func (g *Gateway) readBody(q *request, limits fleet.Limits, out *answerWriter, r *http.Request) bool {
	bound := limits.BodyBytes()
	if bound == 0 {
		bound = maxBody
	}
	if r.ContentLength > bound {
		out.reject(q.call.ID, http.StatusRequestEntityTooLarge, "body is too large")
		return false
	}
	if r.ContentLength != 0 {
		// Without a deadline of its own a body may take as long as the caller likes.
		control := http.NewResponseController(out.w)
		timeout := min(bodyTimeout, q.left(g.now()))
		if err := control.SetReadDeadline(time.Now().Add(timeout)); err == nil {
			defer func() { _ = control.SetReadDeadline(time.Time{}) }()
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bound+1))
	switch {
	case int64(len(body)) > bound:
		out.reject(q.call.ID, http.StatusRequestEntityTooLarge, "body is too large")
		return false
	case err != nil:
		out.refuse(q.call.ID, http.StatusRequestTimeout, "body did not arrive: "+err.Error(), 0)
		return false
	}
	q.body = body
	return true
}

// dispatch finds an endpoint, sends the request and gives the final answer.
func (g *Gateway) dispatch(ctx context.Context, q *request, out *answerWriter) {
	sequence := g.newSequence(q)
	for {
		if n := g.traffic.suspects.crashes(q.mark); n > crashesAllowed {
			sequence.give(out, q, "endpoints crashed under it", time.Second, "crashes", n)
			return
		}
		v, placed := g.await(ctx, q, len(q.sent) > 0)
		if !placed {
			sequence.give(out, q, string(v.Reason()), v.RetryAfter(), "queued", v.QueuePosition(), "waited", v.Waited())
			return
		}
		if !g.keyStillUsable(q, v.Choice(), sequence, out) {
			return
		}
		c := v.Choice()
		out.placed(v)
		r := g.attempt(ctx, q, &c, out)
		q.traffic.placement.Release(g.now(), c, r.outcome)
		g.logAttempt(ctx, q, v, r)
		if !sequence.again(ctx, q, r, out) {
			return
		}
	}
}

// keyStillUsable looks again just before a request is sent: it may have waited,
// and the machine may have been suspended.
func (g *Gateway) keyStillUsable(q *request, c placement.Choice, sequence *sequence, out *answerWriter) bool {
	if q.account == "" {
		return true
	}
	age, fresh := g.fresh()
	current := g.view.Load().configuration
	_, known := current.Account(q.call.Key)
	if fresh && known {
		return true
	}
	q.traffic.placement.Release(g.now(), c, placement.Cancelled)
	if !known && len(q.sent) == 0 {
		out.reject(q.call.ID, http.StatusUnauthorized, "key was taken away")
		return false
	}
	sequence.give(out, q, "configuration is not confirmed", unknownRetryAfter, "age", age)
	return false
}

// await asks for an endpoint until there is a verdict or the caller is gone.
func (g *Gateway) await(ctx context.Context, q *request, again bool) (placement.Decision, bool) {
	target := q.route.Target()
	if again {
		target = 0
	}
	t := q.traffic.placement.Submit(g.now(), placement.Request{
		Arrived:      q.arrived - q.spent,
		Target:       target,
		Deadline:     q.deadline,
		Priority:     q.priority,
		Prompt:       q.call.PromptTokens,
		Exclude:      q.sent,
		PlacedBefore: again,
	})
	select {
	case v := <-t.Decision():
		return v, v.Placed()
	case <-ctx.Done():
	}
	q.traffic.placement.Cancel(t)
	// A verdict may have come as the caller left.
	select {
	case v := <-t.Decision():
		if v.Placed() {
			q.traffic.placement.Release(g.now(), v.Choice(), placement.Cancelled)
		}
	default:
	}
	return placement.Decision{}, false
}

// isTimeout reports whether the context ended because the time was over.
func isTimeout(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}

func (g *Gateway) logAttempt(ctx context.Context, q *request, v placement.Decision, r result) {
	if r.outcome == placement.Succeeded {
		return // the line at the end of the request names the endpoint
	}
	telemetry.FleetAttemptFailed.Log(ctx, g.logger, "request", q.call.ID, "route", q.route.Name(),
		"endpoint", v.Choice().ID, "reason", r.reason, "executed", !r.notRun, "waited", v.Waited())
}
