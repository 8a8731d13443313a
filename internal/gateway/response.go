package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Errors in an endpoint's response.
var (
	errNotAuthenticated = eris.New("response carries no proof that it comes from an endpoint")
	errUnmarkedRefusal  = eris.New("response has the status of a refusal, but does not prove that the request did not run")
	errNotContinuation  = eris.New("response does not continue the stream that has begun")

	errEventTooLong  = eris.New("event in a stream exceeds the size limit")
	errEventOrder    = eris.New("event in a stream has a lower number than the one before")
	errNotEvent      = eris.New("text in a stream is no event of it")
	errEndedWithTime = eris.New("response ended in good order as its time left did")
	errNoNewEvent    = eris.New("resumed stream ends without a further event")
)

// Outcomes of a request, as written to logs and metrics.
const (
	outcomeAnswered        = "answered"
	outcomeEndpointFailure = "failureOfEndpoint"
	outcomeNotRun          = "notRun"
	outcomeRejected        = "rejected"
	outcomeUnknown         = "unknown"
	outcomeAborted         = "brokenOff"
	outcomeCallerGone      = "callerLeft"
)

// responseWriter writes the single response to a caller's request and logs how the
// request ended.
type responseWriter struct {
	gateway *Gateway
	w       http.ResponseWriter
	counted *telemetry.CountedRequest
	// callerErr returns an error once the caller's connection has ended.
	callerErr func() error
	request   *request // nil until its head was understood
	arrived   time.Duration
	// unframed is set if the caller's version of HTTP has no chunks: a response without
	// a length then ends with its connection.
	unframed bool

	headerWritten    bool   // the status and header were written
	status           int    // the status, once it is written
	aborted          bool   // the connection must be closed, since the response is incomplete
	logged           bool   // the end of the request was logged
	cause            string // why it ended without an answer
	writeErr         error  // of the first write that failed
	lastEvent        string // id of the last numbered event, empty before it
	lastNumber       int64  // its number, or noNumber
	unnumbered       bool   // the caller has events without a number
	events           int
	endedWith        int // events when an endpoint ended the stream in good order as its time left ended, 0 before
	endpoint         string
	timeToFirstEvent time.Duration // from the arrival of the request to the first event
	longestInterval  time.Duration // longest interval between two events
	lastEventAt      time.Duration
	decision         placement.Decision
}

// setPlacement records the last placement decision for the log.
func (a *responseWriter) setPlacement(d placement.Decision) { a.decision = d }

// recordEvents records that events were written at the given time.
func (a *responseWriter) recordEvents(now time.Duration) {
	if a.events == 0 {
		a.timeToFirstEvent = now - a.arrived
	} else {
		a.longestInterval = max(a.longestInterval, now-a.lastEventAt)
	}
	a.lastEventAt = now
}

// recordPosition records which events the caller has.
func (a *responseWriter) recordPosition(b eventBatch) {
	a.unnumbered = a.unnumbered || b.unnumbered
	if b.lastEvent != "" {
		a.lastEvent, a.lastNumber = b.lastEvent, b.lastNumber
	}
}

// writeHeader writes the status and header of an endpoint's response. Length is the
// Content-Length, or -1 if the body is sent chunked.
func (a *responseWriter) writeHeader(status int, from http.Header, length int64) {
	h := a.w.Header()
	for name, values := range withoutHopByHop(from) {
		h[name] = values
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // suppresses the content type that net/http would guess
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.writeStatus(status)
	a.status = status
	a.headerWritten = true
}

// writeStatus writes the status and header. A draining entry announces that it closes the
// connection.
func (a *responseWriter) writeStatus(status int) {
	if a.gateway.draining.Load() {
		a.w.Header().Set("Connection", "close")
	}
	a.w.WriteHeader(status)
}

// continuedBy reports whether the events of a response may follow those that the caller
// has. The caller reads them by the status and header of the first response.
func (a *responseWriter) continuedBy(r *http.Response) bool {
	const encoding = "Content-Encoding"
	return r.StatusCode == a.status && isEvents(r.Header) && r.Header.Get(encoding) == a.w.Header().Get(encoding)
}

func (a *responseWriter) write(data []byte) error {
	_, err := a.Write(data)
	return err
}

func (a *responseWriter) writeBlocks(body blocks) error {
	for _, block := range body {
		if err := a.write(block); err != nil {
			return err
		}
	}
	return nil
}

// Write implements io.Writer. A failed write marks the response as aborted.
func (a *responseWriter) Write(data []byte) (int, error) {
	n, err := a.w.Write(data)
	if err != nil {
		a.aborted = true
		a.recordWriteErr(err)
	}
	return n, err
}

// endWritesWith makes the end of an attempt's context end a write that its caller does not
// read: what an endpoint has sent by then is of no use any more. After a withdrawal the
// response may go on at another endpoint.
func (a *responseWriter) endWritesWith(ctx context.Context) (release func() bool) {
	control := http.NewResponseController(a.w)
	return context.AfterFunc(ctx, func() {
		if !errors.Is(context.Cause(ctx), errWithdrawn) {
			_ = control.SetWriteDeadline(time.Now()) // fails only for the writers of tests
		}
	})
}

// flush sends what was written. If it fails, the next write returns the error.
func (a *responseWriter) flush() {
	if err := http.NewResponseController(a.w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		a.recordWriteErr(err)
	}
}

func (a *responseWriter) recordWriteErr(err error) {
	if a.writeErr == nil {
		a.writeErr = err
	}
}

// resumable reports whether another attempt may follow. A response that has begun goes on
// only as a stream of which the endpoint can be told what the caller has.
func (a *responseWriter) resumable(q *request) bool {
	return !a.headerWritten || q.route.Resumable() && !a.unnumbered
}

// finish logs a response that was written completely.
func (a *responseWriter) finish(q *request) {
	a.log(q, outcomeAnswered, http.StatusOK, "")
}

// forward writes a complete response of an endpoint, whatever its status.
func (a *responseWriter) forward(q *request, f *bufferedResponse) {
	a.writeHeader(f.status, f.header, f.body.size())
	if err := a.writeBlocks(f.body); err != nil {
		a.callerGone(q, "caller disconnected")
		return
	}
	if f.status >= http.StatusBadRequest {
		a.log(q, outcomeEndpointFailure, f.status, "")
		return
	}
	a.finish(q)
}

// refuse reports that the request did not run and will not run. Retry-After is set if
// retryAfter is positive.
func (a *responseWriter) refuse(id string, status int, reason string, retryAfter time.Duration, args ...any) {
	if retryAfter > 0 {
		a.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	a.writeStatus(status)
	a.logID(id, "", outcomeNotRun, status, reason, append(args, "retryAfter", retryAfter)...)
}

// refuseRetryable refuses a request that the caller may retry, and records it so that
// a retry is recognized.
func (a *responseWriter) refuseRetryable(q *request, reason string, retryAfter time.Duration, args ...any) {
	g := a.gateway
	g.traffic.refusals.addOwn(q.refusalFingerprint(), q.arrived-q.sinceFirstAttempt, g.now())
	g.recordRoom(q, placement.Decision{}, outcomeNotRun)
	a.refuse(q.head.ID, http.StatusServiceUnavailable, reason, retryAfter, append(args, "spent", q.sinceFirstAttempt,
		"route", q.route.Name(), "account", q.account, "accountPriority", q.rank.Account, "priority", q.rank.Route)...)
}

// refuseBody refuses a request whose body can't be held. The response is sent before the body
// has come, of which at most a number of bytes are then discarded: a connection that is closed
// while its caller sends is reset, and the response with it.
func (a *responseWriter) refuseBody(q *request, r *http.Request, most int64) {
	control := http.NewResponseController(a.w)
	_ = control.EnableFullDuplex() // fails only for the writers of tests, as does the deadline
	a.w.Header().Set("Connection", "close")
	a.refuse(q.head.ID, http.StatusServiceUnavailable, errNoMemory.Error(), memoryRetryAfter, "held", a.gateway.memory.used.Load())
	a.flush()
	_ = control.SetReadDeadline(time.Now().Add(a.gateway.bodyTimeout))
	defer a.gateway.drain.interruptRead(control)()
	_, _ = io.CopyN(io.Discard, r.Body, most) // the caller may leave, or go on for longer
}

// reject reports that the request is not allowed.
func (a *responseWriter) reject(id string, status int, reason string) {
	a.writeStatus(status)
	a.logID(id, "", outcomeRejected, status, reason)
}

// fail writes an error after which it is unknown whether the request ran.
func (a *responseWriter) fail(q *request, status int, reason string, args ...any) {
	a.writeStatus(status)
	a.log(q, outcomeUnknown, status, reason, args...)
}

// abort ends a response whose header was already written. The connection is closed so
// that the caller can't take the response for complete.
func (a *responseWriter) abort(q *request, reason string, args ...any) {
	if a.writeErr != nil {
		a.callerGone(q, reason)
		return
	}
	a.aborted = true
	a.log(q, outcomeAborted, 0, reason, append(args, "events", a.events)...)
}

// callerGone ends a request whose caller has disconnected or does not read the response.
func (a *responseWriter) callerGone(q *request, reason string) {
	a.aborted = true
	a.log(q, outcomeCallerGone, 0, reason, "events", a.events)
}

// reset closes the connection of a response that is incomplete. Without chunks, the caller
// could take an orderly close for the end of the response.
func (a *responseWriter) reset() {
	if !a.unframed {
		return // net/http closes the connection without the last chunk
	}
	c, _, err := http.NewResponseController(a.w).Hijack()
	if err != nil {
		telemetry.CallerNotReset.Log(context.Background(), a.gateway.logger, "error", err)
		return
	}
	if t, isTCP := c.(interface{ SetLinger(seconds int) error }); isTCP {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
	c.Close()
}

func (a *responseWriter) log(q *request, outcome string, status int, reason string, args ...any) {
	service := q.service.Name()
	a.gateway.recordRoom(q, a.decision, outcome)
	if outcome == outcomeAnswered {
		a.gateway.metrics.RequestSeconds.WithLabelValues(service).Observe((a.gateway.now() - a.arrived).Seconds())
	}
	args = append(args, "route", q.route.Name(), "account", q.account, "accountPriority", q.rank.Account, "priority", q.rank.Route, "endpoint", a.endpoint, "attempts", q.attempts, "accepted", q.configuration)
	if c := a.decision.Choice(); a.decision.Placed() {
		args = append(args, "first", a.timeToFirstEvent, "pause", a.longestInterval, "spent", q.sinceFirstAttempt, "waited", a.decision.Waited(), "predicted", c.FirstEventDelay(),
			"inFlight", c.InFlight(), "unread", c.PrefillTokens(), "prompt", q.head.PromptTokens, "home", c.Preferred, "domain", c.Domain,
			"version", q.version, "usable", q.usableAtSend(), "endpointLeft", q.endpointLeft(a.gateway.now()))
	}
	a.logID(q.head.ID, service, outcome, status, reason, args...)
}

func (a *responseWriter) logID(id, service, outcome string, status int, reason string, args ...any) {
	a.logged = true
	g := a.gateway
	a.counted.End(a.endOf(outcome, reason))
	if a.cause != "" {
		args = append(args, "cause", a.cause)
	}
	g.metrics.Requests.WithLabelValues(service, outcome).Inc()
	telemetry.FleetRequestEnded.Log(context.Background(), g.logger, append([]any{
		"request", id, "outcome", outcome, "status", status, "reason", reason,
		"took", g.now() - a.arrived, "configuration", g.snapshot.Load().version(),
	}, args...)...)
}
