package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Faults of an endpoint's answer.
var (
	errUnsealed = eris.New("answer does not prove that it is an endpoint's")
	errNoEvents = eris.New("stream goes on with something else than events")

	errEventTooLong = eris.New("event of a stream has no end")
)

// Outcomes of a request, as logs and metrics name them.
const (
	outcomeAnswered = "answered"
	outcomePassed   = "failureOfEndpoint"
	outcomeRefused  = "notRun"
	outcomeRejected = "rejected"
	outcomeFailed   = "unknown"
	outcomeAborted  = "brokenOff"
	outcomeLeft     = "callerLeft"
)

// answerWriter writes the one answer of a request.
type answerWriter struct {
	gateway *Gateway
	w       http.ResponseWriter
	arrived time.Duration

	begun      bool // the head is out
	aborted    bool // the connection must close without a whole answer
	ended      bool // the request has its line in the log
	lastEvent  string
	lastNumber int64
	events     int
	endpoint   string
	first      time.Duration // from arrival to the first event
	pause      time.Duration // the longest between two events
	eventAt    time.Duration
	verdict    placement.Decision
}

// placed remembers the last placement for the log.
func (a *answerWriter) placed(v placement.Decision) { a.verdict = v }

// eventsAt takes the time in at which events go out.
func (a *answerWriter) eventsAt(now time.Duration) {
	if a.events == 0 {
		a.first = now - a.arrived
	} else {
		a.pause = max(a.pause, now-a.eventAt)
	}
	a.eventAt = now
}

// begin writes the head of an endpoint's answer. Length is -1 where the answer is
// framed anew.
func (a *answerWriter) begin(status int, from http.Header, length int64) {
	h := a.w.Header()
	for name, values := range withoutConnection(from) {
		h[name] = values
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // the answer has none, and none is to be guessed
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.w.WriteHeader(status)
	a.begun = true
}

func (a *answerWriter) write(data []byte) error {
	_, err := a.Write(data)
	return err
}

// Write implements io.Writer.
func (a *answerWriter) Write(data []byte) (int, error) {
	n, err := a.w.Write(data)
	if err != nil {
		a.aborted = true
	}
	return n, err
}

func (a *answerWriter) flush() {
	// A connection that can't be flushed fails at the next write.
	_ = http.NewResponseController(a.w).Flush()
}

// finish ends a whole answer.
func (a *answerWriter) finish(q *request) {
	a.log(q, outcomeAnswered, http.StatusOK, "")
}

// pass gives a whole answer of an endpoint, good or bad.
func (a *answerWriter) pass(q *request, f *failure) {
	a.begin(f.status, f.header, int64(len(f.body)))
	if err := a.write(f.body); err != nil {
		a.left(q, "caller is gone")
		return
	}
	if f.status >= http.StatusBadRequest {
		a.log(q, outcomePassed, f.status, "")
		return
	}
	a.finish(q)
}

// refuse says that the request did not run and never will, and when to come back.
func (a *answerWriter) refuse(id string, status int, reason string, retryAfter time.Duration, args ...any) {
	if retryAfter > 0 {
		a.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	a.w.WriteHeader(status)
	a.logID(id, "", outcomeRefused, status, reason, append(args, "retryAfter", retryAfter)...)
}

// turnAway refuses a request that may come back, and remembers it until then.
func (a *answerWriter) turnAway(q *request, reason string, retryAfter time.Duration, args ...any) {
	g := a.gateway
	g.traffic.refusals.refused(q.refusalMark(), q.arrived-q.spent, g.now())
	a.refuse(q.call.ID, http.StatusServiceUnavailable, reason, retryAfter, append(args, "spent", q.spent)...)
}

// reject says that the request is not allowed.
func (a *answerWriter) reject(id string, status int, reason string) {
	a.w.WriteHeader(status)
	a.logID(id, "", outcomeRejected, status, reason)
}

// fail gives a failure that does not tell whether the request ran.
func (a *answerWriter) fail(q *request, status int, reason string, args ...any) {
	a.w.WriteHeader(status)
	a.log(q, outcomeFailed, status, reason, args...)
}

// abort breaks an answer off that has begun, so that it does not look whole.
func (a *answerWriter) abort(q *request, reason string) {
	a.aborted = true
	a.log(q, outcomeAborted, 0, reason, "events", a.events)
}

// left ends a request whose caller is gone.
func (a *answerWriter) left(q *request, reason string) {
	a.aborted = true
	a.log(q, outcomeLeft, 0, reason, "events", a.events)
}

// end closes the connection of an answer that must not look whole.
func (a *answerWriter) end(q *request) {
	if !a.ended {
		a.left(q, "caller is gone")
	}
	if a.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (a *answerWriter) log(q *request, outcome string, status int, reason string, args ...any) {
	service := q.service.Name()
	if outcome == outcomeAnswered {
		a.gateway.metrics.RequestSeconds.WithLabelValues(service).Observe((a.gateway.now() - a.arrived).Seconds())
	}
	args = append(args, "route", q.route.Name(), "account", q.account, "endpoint", a.endpoint, "attempts", q.attempts)
	if c := a.verdict.Choice(); a.verdict.Placed() {
		args = append(args, "first", a.first, "pause", a.pause, "spent", q.spent, "waited", a.verdict.Waited(), "predicted", c.FirstEventDelay(),
			"inFlight", c.InFlight(), "unread", c.PrefillTokens(), "prompt", q.call.PromptTokens, "home", c.Preferred)
	}
	a.logID(q.call.ID, service, outcome, status, reason, args...)
}

func (a *answerWriter) logID(id, service, outcome string, status int, reason string, args ...any) {
	a.ended = true
	g := a.gateway
	g.metrics.Requests.WithLabelValues(service, outcome).Inc()
	telemetry.FleetRequestEnded.Log(context.Background(), g.logger, append([]any{
		"request", id, "outcome", outcome, "status", status, "reason", reason,
		"took", g.now() - a.arrived, "configuration", g.view.Load().version(),
	}, args...)...)
}

// parseNumber reads the number of an event; text that is none has 0.
func parseNumber(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
