package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/transport/endpoints"
)

// Longest idle times of a connection that may carry a request. An endpoint may close
// an idle connection at the moment at which a request is written to it; a request
// that can't be sent again must not run into this.
const (
	repeatableMaxIdle   = 4 * time.Second
	unrepeatableMaxIdle = 400 * time.Millisecond
)

// maxIdle returns the longest idle time of a connection that may carry the request to an
// address. Where an earlier answer could be taken for that of the request, by its id or for
// want of one, none may.
func (q *request) maxIdle(address string) time.Duration {
	switch {
	case q.head.ID == "" || slices.Contains(q.addresses, address):
		return endpoints.NewConnection
	case q.route.Repeatable():
		return repeatableMaxIdle
	}
	return unrepeatableMaxIdle
}

// maxBufferedResponse is the size in bytes up to which a response is read completely
// before it is forwarded, so that another attempt can replace it if it breaks off.
const maxBufferedResponse = 256 << 10

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withoutHopByHop returns a copy of a header without the hop-by-hop fields.
func withoutHopByHop(h http.Header) http.Header {
	kept := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}

// attempt sends the request to one endpoint and forwards a complete response.
func (g *Gateway) attempt(ctx context.Context, q *request, c *placement.Choice, out *responseWriter) result {
	q.attempts++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // after the end of the exchange, which it would close
	x, err := g.pool.Begin(ctx, c.Address, q.maxIdle(c.Address))
	if errors.Is(err, endpoints.ErrNoConnection) {
		return result{outcome: placement.Full, notRun: true, reason: err.Error()}
	}
	if err != nil {
		return g.unreachable(ctx, q, c.Candidate, err)
	}
	defer x.End()
	if reason := g.staleReason(q, *c); reason != "" {
		return result{outcome: placement.Stale, notRun: true, reason: reason}
	}
	q.tried = append(q.tried, c.ID)
	q.addresses = append(q.addresses, c.Address)
	out.endpoint = c.ID
	q.sentAt, q.begunAt = g.now(), 0
	q.version, q.usableUntil = c.Version, g.usableUntil(q.service, c.Candidate)
	q.answered, q.sound = false, false
	g.countLimited(q, c.Candidate)
	q.limit = g.limitAttempt(q, *c, cancel)
	defer q.limit.release()
	response, err := x.Send(ctx, g.headFor(q, *c, out), q.body, func(h http.Header) endpoints.Match { return g.codec.Match(h, q.head.ID) })
	if errors.Is(err, endpoints.ErrNotSent) {
		return g.unreachable(ctx, q, c.Candidate, err)
	}
	if err != nil {
		return g.interrupted(ctx, q, err, true)
	}
	return g.handleResponse(ctx, q, c, x, response, out)
}

func (g *Gateway) unreachable(ctx context.Context, q *request, c placement.Candidate, err error) result {
	outcome := placement.Unreachable
	if ctx.Err() != nil {
		outcome = placement.Cancelled
	} else {
		g.recordUnreached(g.now(), q, c)
	}
	return result{outcome: outcome, notRun: true, reason: err.Error()}
}

// interrupted returns the result of an attempt that may have run. BrokenOff is set if
// the endpoint broke off the attempt, rather than the caller, the deadline or the limit of
// the attempt.
func (g *Gateway) interrupted(ctx context.Context, q *request, err error, brokenOff bool) result {
	if q.limit.reached(ctx, q) {
		return result{outcome: placement.Withdrawn, reason: errWithdrawn.Error(), cause: err.Error()}
	}
	if ctx.Err() != nil {
		return result{outcome: placement.Cancelled, reason: ctx.Err().Error()}
	}
	return result{outcome: placement.Broken, reason: err.Error(), brokenOff: brokenOff}
}

func (g *Gateway) headFor(q *request, c placement.Choice, out *responseWriter) endpoints.Head {
	h := withoutHopByHop(q.header)
	now := g.now()
	left := q.limit.timeLeft(q, now)
	q.endpointDeadline = now + left
	f := ForwardHead{
		EndpointID: c.ID,
		Account:    q.account,
		Rank:       q.rank,
		TimeLeft:   left,
		Version:    c.Version,
		LastEvent:  out.lastEvent,
	}
	g.codec.WriteForward(h, f)
	return endpoints.Head{Method: q.method, Target: q.target, Host: q.host, Header: h}
}

// handleResponse evaluates the head of an endpoint's response and forwards the body.
func (g *Gateway) handleResponse(ctx context.Context, q *request, c *placement.Choice, x *endpoints.Exchange, response *http.Response, out *responseWriter) result {
	a := g.codec.ReadResponse(response.StatusCode, response.Header)
	g.traffic.suspects.Refute(incarnationKey(c.Candidate), q.sentAt)
	g.recordBackpressure(ctx, q, c.Candidate, a.Backpressure)
	g.recordRateLimit(ctx, q, c.Candidate, a)
	if a.NotExecuted {
		x.Drain()
		if a.Misdirected {
			return result{outcome: placement.Misdirected, notRun: true, reason: "request was misdirected: endpoint identity or weights differ"}
		}
		return result{outcome: placement.Full, notRun: true, reason: "endpoint is at capacity"}
	}
	if isRefusal(response.StatusCode) {
		return g.interrupted(ctx, q, errUnmarkedRefusal, false)
	}
	if response.StatusCode == http.StatusGatewayTimeout && q.limit.reached(ctx, q) {
		return g.interrupted(ctx, q, errWithdrawn, false)
	}
	success := response.StatusCode < http.StatusMultipleChoices
	if success && !a.Authenticated {
		return g.interrupted(ctx, q, errNotAuthenticated, false)
	}
	if out.headerWritten && !out.continuedBy(response) {
		return g.interrupted(ctx, q, errNotContinuation, false)
	}
	q.answered = success
	if success && isEvents(response.Header) {
		return g.forwardStream(ctx, q, c, response, out)
	}
	q.limit.begin()
	body, err := readStart(q, response)
	if errors.Is(err, errFull) || errors.Is(err, errNoMemory) {
		return g.forwardLarge(ctx, q, response, body, out)
	}
	if err != nil {
		return g.interrupted(ctx, q, err, true)
	}
	if q.mayBeCut(g.now(), response) {
		return g.endedWithTime(ctx, q)
	}
	g.recordAnswer(q, success)
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError && q.route.Kind() == fleet.Idempotent {
		return result{outcome: placement.Failed, errorResponse: buffered, reason: "endpoint answered " + response.Status}
	}
	out.forward(q, buffered)
	if !success {
		return result{outcome: placement.Failed, responded: true, reason: "endpoint answered " + response.Status}
	}
	return result{outcome: placement.Succeeded, responded: true}
}

// readStart reads the body of a response. The error is errFull if it is larger than
// maxBufferedResponse, or errNoMemory if the entry can't hold it. A success without any byte
// of a body counts as broken off if nothing frames the body: the fields that do so may be lost.
func readStart(q *request, response *http.Response) (blocks, error) {
	body, err := q.held.read(response.Body, response.ContentLength, maxBufferedResponse+1)
	success := response.StatusCode < http.StatusMultipleChoices
	if err == nil && success && len(body) == 0 && q.method != http.MethodHead && unframed(response) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// isRefusal reports whether a status promises the caller that its request did not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardLarge forwards a response that is too large to be buffered first, until the time of
// the request is over.
func (g *Gateway) forwardLarge(ctx context.Context, q *request, response *http.Response, head blocks, out *responseWriter) result {
	defer out.endWritesWith(ctx)()
	out.writeHeader(response.StatusCode, response.Header, response.ContentLength)
	if out.writeBlocks(head) != nil {
		return result{outcome: placement.Cancelled, reason: "caller disconnected"}
	}
	if _, err := io.Copy(out, response.Body); err != nil {
		r := g.interrupted(ctx, q, err, true)
		out.abort(q, r.reason)
		return r
	}
	if q.mayBeCut(g.now(), response) {
		r := g.endedWithTime(ctx, q)
		out.abort(q, r.reason)
		return r
	}
	out.finish(q)
	return result{outcome: placement.Succeeded, responded: true}
}

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// forwardStream forwards the events of a response as each becomes complete. It writes
// the caller's response header with the first event, so that a stream that breaks off
// before any event can be replaced entirely.
func (g *Gateway) forwardStream(ctx context.Context, q *request, c *placement.Choice, response *http.Response, out *responseWriter) result {
	defer out.endWritesWith(ctx)()
	events := eventReader{resumed: out.headerWritten}
	buf := make([]byte, 4<<10)
	last := time.Duration(0) // time of the last event from this endpoint, 0 before the first
	for {
		n, err := response.Body.Read(buf)
		batch := events.feed(buf[:n], out.lastNumber)
		if events.tooLong() {
			return g.interrupted(ctx, q, errEventTooLong, true)
		}
		if len(batch.bytes) > 0 {
			now := g.now()
			out.recordEvents(now)
			last = g.recordEvents(ctx, q, c, batch, now, last)
			if !out.headerWritten {
				out.writeHeader(response.StatusCode, response.Header, -1)
			}
			if out.write(batch.bytes) != nil {
				return result{outcome: placement.Cancelled, reason: "caller disconnected"}
			}
			out.flush()
			g.recordProgress(q)
			out.events += batch.count - batch.comments
			out.recordPosition(batch)
		}
		if batch.err != nil {
			return g.interrupted(ctx, q, batch.err, false)
		}
		if err == io.EOF && (events.partial() || last == 0 && unframed(response)) {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return g.endStream(ctx, q, &events, response, out)
		}
		if err != nil {
			return g.interrupted(ctx, q, err, true)
		}
	}
}

// recordEvents records the events of a batch and returns the time of the last event from
// the endpoint, 0 before the first.
func (g *Gateway) recordEvents(ctx context.Context, q *request, c *placement.Choice, batch eventBatch, now, last time.Duration) time.Duration {
	if last > 0 {
		q.traffic.placement.RecordEventInterval(*c, (now-last)/time.Duration(batch.count))
		return now
	}
	if !batch.begins() {
		return 0
	}
	q.begunAt = now
	q.limit.begin()
	g.recordBegin(ctx, q, c.Candidate)
	q.traffic.placement.RecordFirstEvent(now, c)
	return now
}

// unframed reports whether a response has neither a length nor chunks and ends with its
// connection. If that ends before the first event, the endpoint may have crashed.
func unframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// endStream evaluates a stream that its endpoint has ended in good order. Where its time left
// ended then, another endpoint may have more of it if the request has time; one that has not
// confirms that it is whole.
func (g *Gateway) endStream(ctx context.Context, q *request, events *eventReader, response *http.Response, out *responseWriter) result {
	if q.mayBeCut(g.now(), response) {
		out.recordEnd(response)
		return g.endedWithTime(ctx, q)
	}
	if events.resumed && !events.progressed && !out.mayBeWhole() {
		return g.interrupted(ctx, q, errNoNewEvent, false)
	}
	g.recordStream(q)
	if !out.headerWritten {
		out.writeHeader(response.StatusCode, response.Header, -1)
	}
	out.finish(q)
	return result{outcome: placement.Succeeded, responded: true}
}
