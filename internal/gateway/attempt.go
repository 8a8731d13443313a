package gateway

import (
	"bytes"
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

// Ages of a connection that may carry a request. An endpoint may close one that
// is idle at the moment at which a request is written; what can't be sent again
// must not meet that.
const (
	repeatableIdle = 4 * time.Second
	onceIdle       = 400 * time.Millisecond
)

// maxBuffered is the largest answer, in bytes, that is read whole before it is
// passed on, so that one that breaks can still be replaced.
const maxBuffered = 256 << 10

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withoutConnection returns a copy of a header without what concerns one
// connection.
func withoutConnection(h http.Header) http.Header {
	kept := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		kept.Del(name)
	}
	return kept
}

// attempt sends the request to one endpoint and passes a whole answer on.
func (g *Gateway) attempt(ctx context.Context, q *request, c *placement.Choice, out *answerWriter) result {
	q.attempts++
	idle := onceIdle
	if q.route.Repeatable() {
		idle = repeatableIdle
	}
	x, err := g.pool.Begin(ctx, c.Address, idle)
	if errors.Is(err, endpoints.ErrNoConnection) {
		return result{outcome: placement.Full, notRun: true, reason: err.Error()}
	}
	if err != nil {
		return g.unreachable(ctx, err)
	}
	defer x.End()
	if reason := g.withheld(q, c.Candidate); reason != "" {
		return result{outcome: placement.Stale, notRun: true, reason: reason}
	}
	q.sent = append(q.sent, c.ID)
	out.endpoint = c.ID
	response, err := x.Send(ctx, g.headFor(q, *c, out), q.body, func(h http.Header) endpoints.Match { return g.codec.Match(h, q.call.ID) })
	if errors.Is(err, endpoints.ErrNotSent) {
		return g.unreachable(ctx, err)
	}
	if err != nil {
		return g.broken(ctx, err, true)
	}
	return g.answer(ctx, q, c, x, response, out)
}

func (g *Gateway) unreachable(ctx context.Context, err error) result {
	outcome := placement.Unreachable
	if ctx.Err() != nil {
		outcome = placement.Cancelled
	}
	return result{outcome: outcome, notRun: true, reason: err.Error()}
}

// broken is an attempt that may have run. Crashed tells that the endpoint broke it
// off, rather than the caller or the time.
func (g *Gateway) broken(ctx context.Context, err error, crashed bool) result {
	if ctx.Err() != nil {
		return result{outcome: placement.Cancelled, reason: ctx.Err().Error()}
	}
	return result{outcome: placement.Broken, reason: err.Error(), crashed: crashed}
}

func (g *Gateway) headFor(q *request, c placement.Choice, out *answerWriter) endpoints.Head {
	h := withoutConnection(q.header)
	f := ForwardHead{
		EndpointID: c.ID,
		Account:    q.account,
		TimeLeft:   q.left(g.now()),
		Version:    c.Version,
		LastEvent:  out.lastEvent,
	}
	g.codec.WriteForward(h, f)
	return endpoints.Head{Method: q.method, Target: q.target, Host: q.host, Header: h}
}

// answer takes the head of an endpoint's answer and passes on what follows.
func (g *Gateway) answer(ctx context.Context, q *request, c *placement.Choice, x *endpoints.Exchange, response *http.Response, out *answerWriter) result {
	a := g.codec.ReadResponse(response.StatusCode, response.Header)
	g.hearEndpoint(ctx, q, c.Candidate, a.Backpressure)
	if a.NotExecuted {
		x.Drain()
		if a.Misdirected {
			return result{outcome: placement.Misdirected, notRun: true, reason: "endpoint is another one or has other weights"}
		}
		return result{outcome: placement.Full, notRun: true, reason: "endpoint is full"}
	}
	success := response.StatusCode < http.StatusMultipleChoices
	if success && !a.Authenticated {
		return g.broken(ctx, errUnsealed, false)
	}
	if success && isEvents(response.Header) {
		return g.stream(ctx, q, c, response, out)
	}
	if out.begun {
		return g.broken(ctx, errNoEvents, false)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	if err != nil {
		return g.broken(ctx, err, true)
	}
	if len(body) > maxBuffered {
		return g.passLarge(ctx, q, response, body, out)
	}
	g.traffic.suspects.finished(q.mark)
	whole := &failure{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError && q.route.Kind() == fleet.Idempotent {
		return result{outcome: placement.Failed, failure: whole, reason: "endpoint answered " + response.Status}
	}
	out.pass(q, whole)
	if !success {
		return result{outcome: placement.Failed, answered: true, reason: "endpoint answered " + response.Status}
	}
	return result{outcome: placement.Succeeded, answered: true}
}

// passLarge passes on an answer that is too large to be read whole first.
func (g *Gateway) passLarge(ctx context.Context, q *request, response *http.Response, head []byte, out *answerWriter) result {
	out.begin(response.StatusCode, response.Header, response.ContentLength)
	if out.write(head) != nil {
		return result{outcome: placement.Cancelled, reason: "caller is gone"}
	}
	if _, err := io.Copy(out, response.Body); err != nil {
		r := g.broken(ctx, err, true)
		out.abort(q, r.reason)
		return r
	}
	out.finish(q)
	return result{outcome: placement.Succeeded, answered: true}
}

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// stream passes the whole events of an answer on as they arrive. It begins the
// caller's answer with the first one, so that a stream without any can still be
// replaced whole.
func (g *Gateway) stream(ctx context.Context, q *request, c *placement.Choice, response *http.Response, out *answerWriter) result {
	var events eventReader
	buf := make([]byte, 4<<10)
	last := time.Duration(0) // of the last event from this endpoint
	for {
		n, err := response.Body.Read(buf)
		batch := events.take(buf[:n], out.lastNumber)
		if events.tooLong() {
			return g.broken(ctx, errEventTooLong, true)
		}
		if len(batch.bytes) > 0 {
			now := g.now()
			out.eventsAt(now)
			if last == 0 {
				q.traffic.placement.RecordFirstEvent(now, c)
			} else {
				q.traffic.placement.RecordEventInterval(*c, (now-last)/time.Duration(batch.count))
			}
			last = now
			if !out.begun {
				out.begin(response.StatusCode, response.Header, -1)
			}
			if out.write(batch.bytes) != nil {
				return result{outcome: placement.Cancelled, reason: "caller is gone"}
			}
			out.flush()
			out.events += batch.count
			out.lastEvent, out.lastNumber = batch.lastEvent, batch.lastNumber
		}
		if err == io.EOF && events.partial() {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return g.endStream(q, response, out)
		}
		if err != nil {
			return g.broken(ctx, err, true)
		}
	}
}

func (g *Gateway) endStream(q *request, response *http.Response, out *answerWriter) result {
	g.traffic.suspects.finished(q.mark)
	if !out.begun {
		out.begin(response.StatusCode, response.Header, -1)
	}
	out.finish(q)
	return result{outcome: placement.Succeeded, answered: true}
}

// eventReader cuts a stream into whole events.
type eventReader struct {
	rest []byte
}

// eventBatch are whole events that arrived together.
type eventBatch struct {
	bytes      []byte
	count      int
	lastEvent  string
	lastNumber int64
}

// take adds bytes and returns the events that are whole now. Events up to the
// number after are left out: the caller has them.
func (r *eventReader) take(data []byte, after int64) eventBatch {
	r.rest = append(r.rest, data...)
	batch := eventBatch{lastNumber: after}
	for {
		end := eventEnd(r.rest)
		if end < 0 {
			return batch
		}
		event := r.rest[:end]
		id, number := eventID(event)
		if number > batch.lastNumber || id == "" {
			batch.bytes = append(batch.bytes, event...)
			batch.count++
		}
		if number > batch.lastNumber {
			batch.lastEvent, batch.lastNumber = id, number
		}
		r.rest = slices.Delete(r.rest, 0, end)
	}
}

// maxEvent is the largest event in bytes.
const maxEvent = 64 << 10

// tooLong reports whether an event has begun that is larger than any may be.
func (r *eventReader) tooLong() bool { return len(r.rest) > maxEvent }

// partial reports whether an event has begun and is not whole.
func (r *eventReader) partial() bool { return len(bytes.TrimSpace(r.rest)) > 0 }

// eventEnd returns the length of the first event with the blank line after it,
// -1 while it is not whole.
func eventEnd(data []byte) int {
	end := -1
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(data, []byte(blank)); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

// eventID returns the id of an event, and its number. An event without a number
// has 0.
func eventID(event []byte) (string, int64) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id := string(bytes.TrimSpace(value))
		return id, parseNumber(id)
	}
	return "", 0
}
