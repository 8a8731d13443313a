package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Every request whose head was read ends in responseWriter.end, at the latest: with the line
// of its end, a count and, if the response is incomplete, a closed connection. Nothing else
// closes the connection of a request in progress.

// Causes of the ends of requests that were neither answered nor refused.
const (
	// causeCallerClosed stands for a caller that closed its connection, or only its sending
	// side: the two look the same.
	causeCallerClosed = "callerClosed"
	causeWriteFailed  = "writeFailed"
	causeWriteTimeout = "writeTimeout"
	causeTimeOver     = "timeOver"
	causeStopping     = "stopping"
	causeQuarantined  = "quarantined"
	// causeAttempt stands for a failed attempt that none could follow.
	causeAttempt = "attempt"
	causePanic   = "panic"
	// causeReadTimeout is that of a refused request whose body did not come in time.
	causeReadTimeout = "readTimeout"
	causeUnstated    = ""
)

// reasonUnstated is the reason of a request that ended without any.
const reasonUnstated = "request ended without a cause"

// reasonPanic is the reason of a request that the entry failed to handle.
const reasonPanic = "the entry failed"

// maxStack is the size in bytes up to which the stack of a panic is logged.
const maxStack = 4 << 10

// newResponseWriter returns the writer of the response to a request whose head was read. Its
// end must be deferred.
func (g *Gateway) newResponseWriter(w http.ResponseWriter, r *http.Request) *responseWriter {
	return &responseWriter{
		gateway:    g,
		w:          w,
		counted:    g.metrics.RequestCounts.Begin(),
		callerErr:  r.Context().Err,
		arrived:    g.now(),
		lastNumber: noNumber,
		unframed:   !r.ProtoAtLeast(1, 1),
	}
}

// end ends the request in any case, also after a panic. It must be deferred.
func (a *responseWriter) end() {
	if v := recover(); v != nil {
		a.endPanicked(v)
	}
	if !a.logged {
		a.endUnlogged()
	}
	if a.aborted {
		a.reset()
		panic(http.ErrAbortHandler)
	}
}

// endUnlogged ends a request whose handler returned without an end: its caller has left, or
// the entry is at fault.
func (a *responseWriter) endUnlogged() {
	if a.request != nil && a.leaveCause() != causeUnstated {
		a.callerGone(a.request, "caller disconnected")
		return
	}
	a.aborted = true
	a.logID(a.id(), "", outcomeAborted, 0, reasonUnstated)
}

// endPanicked answers a request whose handler panicked, unless its response has begun.
func (a *responseWriter) endPanicked(v any) {
	stack := debug.Stack()
	telemetry.RequestPanicked.Log(context.Background(), a.gateway.logger, "request", a.id(),
		"error", fmt.Sprint(v), "stack", string(stack[:min(len(stack), maxStack)]))
	a.cause = causePanic
	switch {
	case a.logged:
	case a.headerWritten:
		a.aborted = true
		a.logID(a.id(), "", outcomeAborted, 0, reasonPanic, "events", a.events)
	case a.request != nil && len(a.request.tried) > 0:
		a.writeStatus(http.StatusBadGateway)
		a.logID(a.id(), "", outcomeUnknown, http.StatusBadGateway, reasonPanic)
	default:
		a.refuse(a.id(), http.StatusServiceUnavailable, reasonPanic, unavailableRetryAfter)
	}
}

// id returns the caller's id of the request, empty before it is known.
func (a *responseWriter) id() string {
	if a.request == nil {
		return ""
	}
	return a.request.head.ID
}

// leaveCause returns why a caller counts as gone.
func (a *responseWriter) leaveCause() string {
	switch {
	case errors.Is(a.writeErr, os.ErrDeadlineExceeded):
		return causeWriteTimeout
	case a.writeErr != nil:
		return causeWriteFailed
	case a.callerErr() != nil:
		return causeCallerClosed
	}
	return causeUnstated
}

// readCause returns why the body of a request could not be read.
func (g *Gateway) readCause(err error) string {
	switch {
	case g.drain.hasEnded():
		return causeStopping
	case errors.Is(err, os.ErrDeadlineExceeded):
		return causeReadTimeout
	}
	return causeCallerClosed
}

// causeOf returns the cause of an end without an answer by its reason.
func causeOf(reason string) string {
	switch reason {
	case "", reasonUnstated:
		return causeUnstated
	case reasonStopping:
		return causeStopping
	case reasonTimeOver:
		return causeTimeOver
	case reasonQuarantined:
		return causeQuarantined
	}
	return causeAttempt
}

// endOf returns how the end of a request counts.
func (a *responseWriter) endOf(outcome, reason string) telemetry.RequestEnd {
	switch outcome {
	case outcomeAnswered, outcomeEndpointFailure:
		return telemetry.NewRequestEnd(telemetry.EndAnswered, outcome, "")
	case outcomeNotRun, outcomeRejected:
		return telemetry.NewRequestEnd(telemetry.EndRefused, outcome, a.cause)
	case outcomeCallerGone:
		a.cause = a.leaveCause()
	default:
		a.cause = cmp.Or(a.cause, causeOf(reason))
	}
	class := telemetry.EndStated
	if a.cause == causeUnstated {
		class = telemetry.EndUnstated
	}
	return telemetry.NewRequestEnd(class, outcome, a.cause)
}
