package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/claims"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

const (
	// maxHeld is how much of an answer that is not a stream is held back until
	// it is whole, so that another attempt may take its place, in bytes.
	maxHeld = 64 << 10
	// maxKept bounds the answer that is kept under an idempotency key, in bytes.
	maxKept = 4 << 20

	eventStream = "text/event-stream"
)

// finalAnswer is the body of a final answer that is not the endpoint's.
type finalAnswer struct {
	Outcome      string `json:"outcome"`
	RequestID    string `json:"requestId"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs"`
}

// answerWriter writes exactly one final answer to a caller.
type answerWriter struct {
	writer    http.ResponseWriter
	requestID string
	service   string
	outcome   string // unknown until another is final
	// repeat marks a keyed request of which an earlier send may have run: only
	// the claims row can say "not run" for it.
	repeat bool
	// keep collects the answer for the claims row.
	keep     bool
	started  bool
	gone     bool // the caller no longer reads
	head     *nodev1.AttemptStarted
	held     []byte
	kept     []byte
	keptLost bool
}

// notRun says that nothing ran, where no earlier send of the request can have.
func (a *answerWriter) notRun(status int, reason string, retryAfter time.Duration) {
	if a.repeat {
		a.unknown(reason, retryAfter)
		return
	}
	a.provenNotRun(status, reason, retryAfter)
}

// provenNotRun says that nothing ran under the request's key.
func (a *answerWriter) provenNotRun(status int, reason string, retryAfter time.Duration) {
	a.final(status, OutcomeNotRun, reason, retryAfter)
}

func (a *answerWriter) unknown(reason string, retryAfter time.Duration) {
	a.final(http.StatusBadGateway, OutcomeUnknown, reason, retryAfter)
}

func (a *answerWriter) final(status int, outcome, reason string, retryAfter time.Duration) {
	if a.started {
		a.abort()
	}
	a.started = true
	a.outcome = outcome
	h := a.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, outcome)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	a.writer.WriteHeader(status)
	_ = json.NewEncoder(a.writer).Encode(finalAnswer{
		Outcome:      outcome,
		RequestID:    a.requestID,
		Reason:       reason,
		RetryAfterMs: retryAfter.Milliseconds(),
	})
}

// abort breaks the connection, which is the only way left to say that an answer
// whose head is out is not whole.
func (a *answerWriter) abort() {
	panic(http.ErrAbortHandler)
}

// begin takes in the head of an attempt's answer.
func (a *answerWriter) begin(s *nodev1.AttemptStarted) {
	a.head = s
	a.held, a.kept, a.keptLost = nil, nil, false
	if isEventStream(s) {
		a.writeHead()
	}
}

func isEventStream(s *nodev1.AttemptStarted) bool {
	return slices.ContainsFunc(s.GetHeaders(), func(h *nodev1.Header) bool {
		return strings.EqualFold(h.GetName(), "Content-Type") && strings.HasPrefix(h.GetValue(), eventStream)
	})
}

// discard forgets an answer that broke off, and reports whether the caller has
// seen nothing of it.
func (a *answerWriter) discard() bool {
	a.head, a.held, a.kept = nil, nil, nil
	return !a.started
}

// writeHead writes the head and what was held back. The outcome follows in the
// trailer.
func (a *answerWriter) writeHead() {
	a.started = true
	a.copyHeaders()
	a.writer.Header().Set("Trailer", HeaderOutcome)
	a.writer.WriteHeader(int(a.head.GetStatus()))
	held := a.held
	a.held = nil
	a.write(held)
}

func (a *answerWriter) copyHeaders() {
	h := a.writer.Header()
	for _, v := range a.head.GetHeaders() {
		if keptHeader(v.GetName()) {
			h.Add(v.GetName(), v.GetValue())
		}
	}
}

// keptHeader reports whether an endpoint's header is passed on.
func keptHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length", "Connection", "Date", "Trailer", "Transfer-Encoding", HeaderOutcome:
		return false
	}
	return true
}

// data takes in a part of the body and returns an error if the caller is gone.
func (a *answerWriter) data(b []byte) error {
	a.remember(b)
	if a.started {
		return a.write(b)
	}
	a.held = append(a.held, b...)
	if len(a.held) <= maxHeld {
		return nil
	}
	a.writeHead()
	return nil
}

func (a *answerWriter) remember(b []byte) {
	if !a.keep || a.keptLost {
		return
	}
	if len(a.kept)+len(b) > maxKept {
		a.kept, a.keptLost = nil, true
		return
	}
	a.kept = append(a.kept, b...)
}

// write passes a part of the body on. A request that is kept under a key goes on
// when its caller is gone.
func (a *answerWriter) write(b []byte) error {
	if a.gone || len(b) == 0 {
		return nil
	}
	_, err := a.writer.Write(b)
	if err == nil {
		err = http.NewResponseController(a.writer).Flush()
	}
	a.gone = err != nil
	if a.keep {
		return nil
	}
	return err
}

// finish ends a whole answer.
func (a *answerWriter) finish() {
	a.outcome = OutcomeAnswered
	if a.started {
		a.writer.Header().Set(HeaderOutcome, OutcomeAnswered)
		return
	}
	a.started = true
	a.copyHeaders()
	a.writeWhole(int(a.head.GetStatus()), a.held)
}

// stored writes an answer that was kept under the request's key.
func (a *answerWriter) stored(answer claims.Response) {
	a.started = true
	for _, v := range answer.Headers() {
		a.writer.Header().Add(v.Name, v.Value)
	}
	a.writeWhole(answer.Status(), answer.Body())
}

func (a *answerWriter) writeWhole(status int, body []byte) {
	a.outcome = OutcomeAnswered
	h := a.writer.Header()
	h.Set(HeaderOutcome, OutcomeAnswered)
	if len(body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.writer.WriteHeader(status)
	_, _ = a.writer.Write(body)
}

// answer returns the whole answer for the claims row.
func (a *answerWriter) answer() (claims.Response, bool) {
	var headers []claims.Header
	for _, v := range a.head.GetHeaders() {
		if keptHeader(v.GetName()) {
			headers = append(headers, claims.Header{Name: v.GetName(), Value: v.GetValue()})
		}
	}
	return claims.NewResponse(int(a.head.GetStatus()), headers, a.kept), !a.keptLost
}
