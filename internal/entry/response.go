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
	// maxBufferedBytes bounds the buffer for a response that is not an event stream.
	// Until the buffer overflows or the response is complete nothing is sent to the
	// caller, so that a retry can still replace the response.
	maxBufferedBytes = 64 << 10
	// maxStoredBytes bounds the response body that is stored under an idempotency key.
	maxStoredBytes = 4 << 20

	eventStream = "text/event-stream"
)

// outcomeBody is the body of a final response that the entry generates itself.
type outcomeBody struct {
	Outcome      string `json:"outcome"`
	RequestID    string `json:"requestId"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs"`
}

// responseWriter writes exactly one final response to a caller.
type responseWriter struct {
	writer    http.ResponseWriter
	requestID string
	service   string
	outcome   string // OutcomeUnknown until the final outcome is set
	// repeat marks a keyed request of which an earlier send may have run. For such a
	// request only the claims row can establish the outcome "not run".
	repeat bool
	// record is set if the response body is recorded for the claims row.
	record         bool
	started        bool
	disconnected   bool // a write to the caller has failed
	head           *nodev1.AttemptStarted
	buffered       []byte
	recorded       []byte
	recordOverflow bool
}

// writeNotRun reports the outcome "not run" for this send. If an earlier send of the
// request may have run, it reports "unknown" instead.
func (a *responseWriter) writeNotRun(status int, reason string, retryAfter time.Duration) {
	if a.repeat {
		a.writeUnknown(reason, retryAfter)
		return
	}
	a.writeProvenNotRun(status, reason, retryAfter)
}

// writeProvenNotRun reports the outcome "not run" for every send of the request's key.
func (a *responseWriter) writeProvenNotRun(status int, reason string, retryAfter time.Duration) {
	a.writeOutcome(status, OutcomeNotRun, reason, retryAfter)
}

func (a *responseWriter) writeUnknown(reason string, retryAfter time.Duration) {
	a.writeOutcome(http.StatusBadGateway, OutcomeUnknown, reason, retryAfter)
}

func (a *responseWriter) writeOutcome(status int, outcome, reason string, retryAfter time.Duration) {
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
	_ = json.NewEncoder(a.writer).Encode(outcomeBody{
		Outcome:      outcome,
		RequestID:    a.requestID,
		Reason:       reason,
		RetryAfterMs: retryAfter.Milliseconds(),
	})
}

// abort closes the connection to the caller. Once the response header is sent, this is
// the only way to signal that the response is incomplete.
func (a *responseWriter) abort() {
	panic(http.ErrAbortHandler)
}

// begin sets the status and headers of an attempt's response. The header of an event
// stream is sent at once.
func (a *responseWriter) begin(s *nodev1.AttemptStarted) {
	a.head = s
	a.buffered, a.recorded, a.recordOverflow = nil, nil, false
	if isEventStream(s) {
		a.writeHead()
	}
}

func isEventStream(s *nodev1.AttemptStarted) bool {
	return slices.ContainsFunc(s.GetHeaders(), func(h *nodev1.Header) bool {
		return strings.EqualFold(h.GetName(), "Content-Type") && strings.HasPrefix(h.GetValue(), eventStream)
	})
}

// discard drops an incomplete response and reports whether nothing of it was sent to
// the caller.
func (a *responseWriter) discard() bool {
	a.head, a.buffered, a.recorded = nil, nil, nil
	return !a.started
}

// writeHead writes the status, the headers and the buffered body. The outcome is sent
// in the trailer.
func (a *responseWriter) writeHead() {
	a.started = true
	a.copyHeaders()
	a.writer.Header().Set("Trailer", HeaderOutcome)
	a.writer.WriteHeader(int(a.head.GetStatus()))
	buffered := a.buffered
	a.buffered = nil
	a.write(buffered)
}

func (a *responseWriter) copyHeaders() {
	h := a.writer.Header()
	for _, v := range a.head.GetHeaders() {
		if forwardsResponseHeader(v.GetName()) {
			h.Add(v.GetName(), v.GetValue())
		}
	}
}

// forwardsResponseHeader reports whether an endpoint's response header is forwarded to
// the caller.
func forwardsResponseHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length", "Connection", "Date", "Trailer", "Transfer-Encoding", HeaderOutcome:
		return false
	}
	return true
}

// writeData buffers or forwards a part of the body. It returns an error if the caller
// has disconnected.
func (a *responseWriter) writeData(b []byte) error {
	a.recordData(b)
	if a.started {
		return a.write(b)
	}
	a.buffered = append(a.buffered, b...)
	if len(a.buffered) <= maxBufferedBytes {
		return nil
	}
	a.writeHead()
	return nil
}

func (a *responseWriter) recordData(b []byte) {
	if !a.record || a.recordOverflow {
		return
	}
	if len(a.recorded)+len(b) > maxStoredBytes {
		a.recorded, a.recordOverflow = nil, true
		return
	}
	a.recorded = append(a.recorded, b...)
}

// write forwards a part of the body to the caller. A write error is not returned for a
// response that is recorded under a key: that request continues after its caller has
// disconnected.
func (a *responseWriter) write(b []byte) error {
	if a.disconnected || len(b) == 0 {
		return nil
	}
	_, err := a.writer.Write(b)
	if err == nil {
		err = http.NewResponseController(a.writer).Flush()
	}
	a.disconnected = err != nil
	if a.record {
		return nil
	}
	return err
}

// finish completes the response with the outcome "answered".
func (a *responseWriter) finish() {
	a.outcome = OutcomeAnswered
	if a.started {
		a.writer.Header().Set(HeaderOutcome, OutcomeAnswered)
		return
	}
	a.started = true
	a.copyHeaders()
	a.writeComplete(int(a.head.GetStatus()), a.buffered)
}

// writeStored writes a response that was stored under the request's key.
func (a *responseWriter) writeStored(response claims.Response) {
	a.started = true
	for _, v := range response.Headers() {
		a.writer.Header().Add(v.Name, v.Value)
	}
	a.writeComplete(response.Status(), response.Body())
}

func (a *responseWriter) writeComplete(status int, body []byte) {
	a.outcome = OutcomeAnswered
	h := a.writer.Header()
	h.Set(HeaderOutcome, OutcomeAnswered)
	if len(body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.writer.WriteHeader(status)
	_, _ = a.writer.Write(body)
}

// claimResponse returns the response for the claims row, and false if its body exceeded
// maxStoredBytes and was not recorded.
func (a *responseWriter) claimResponse() (claims.Response, bool) {
	var headers []claims.Header
	for _, v := range a.head.GetHeaders() {
		if forwardsResponseHeader(v.GetName()) {
			headers = append(headers, claims.Header{Name: v.GetName(), Value: v.GetValue()})
		}
	}
	return claims.NewResponse(int(a.head.GetStatus()), headers, a.recorded), !a.recordOverflow
}
