package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Headers of the callers' protocol.
const (
	HeaderAccount        = "Account"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Request-Timeout-Ms"
	HeaderOutcome        = "Outcome"
)

// Values of the header or trailer Outcome. An answer without it is not whole.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "notRun"
	OutcomeUnknown  = "unknown"
)

// Bounds of a caller's request.
const (
	maxBody        = 4 << 20 // bytes
	defaultTimeout = 60 * time.Second
	addressesTTL   = 10 * time.Second
)

// request is one caller's request.
type request struct {
	id         string
	service    configtext.Service
	account    string
	method     string
	path       string
	header     []*nodev1.Header
	body       []byte
	key        string
	idempotent bool
	deadline   time.Time
}

// finalAnswer is the body of a final answer that is not the endpoint's.
type finalAnswer struct {
	Outcome      string `json:"outcome"`
	RequestID    string `json:"requestId"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs"`
}

// addressList answers a caller's question which addresses to use.
type addressList struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds int      `json:"ttlSeconds"`
}

func (e *Entry) serveAddresses(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	list := addressList{Addresses: []string{}, TTLSeconds: int(addressesTTL.Seconds())}
	for _, m := range e.node.Members() {
		if m.Role() == member.RoleEntry && m.State() == member.StateLive {
			list.Addresses = append(list.Addresses, m.CallerAddress())
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	out := &answerWriter{writer: w, requestID: e.nextRequestID(), outcome: OutcomeUnknown}
	ctx, span := e.node.Telemetry().Tracing().StartServer(r.Context(), telemetry.SpanEntry, r.Header)
	defer span.End()
	defer e.observe(out, time.Now())
	if e.leaving.Load() {
		out.notRun(http.StatusServiceUnavailable, "entry is leaving", time.Second)
		return
	}
	s := e.node.Snapshot()
	if s == nil || !e.node.Ready() {
		out.notRun(http.StatusServiceUnavailable, "no configuration yet", time.Second)
		return
	}
	service, ok := s.Config().Service(p.ByName("service"))
	if !ok {
		out.notRun(http.StatusNotFound, "unknown service", 0)
		return
	}
	out.service = service.Name()
	if _, ok := s.Config().Account(r.Header.Get(HeaderAccount)); !ok {
		out.notRun(http.StatusForbidden, "unknown client account", 0)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		out.notRun(http.StatusBadRequest, "request body not read whole", 0)
		return
	}
	e.dispatch(ctx, newRequest(out.requestID, service, r, p.ByName("path"), body), out)
}

// observe records the final answer of a request. The service is empty where the
// configuration does not name it, so that callers cannot make up label values.
func (e *Entry) observe(out *answerWriter, arrived time.Time) {
	m := e.node.Telemetry().Metrics()
	m.Requests.WithLabelValues(out.service, out.outcome).Inc()
	m.RequestSeconds.WithLabelValues(out.service).Observe(time.Since(arrived).Seconds())
}

func (e *Entry) nextRequestID() string {
	return e.node.Self().Name() + "-" + strconv.FormatUint(e.node.Self().Incarnation(), 36) + "-" + strconv.FormatUint(e.requests.Add(1), 36)
}

func newRequest(id string, service configtext.Service, r *http.Request, path string, body []byte) *request {
	q := &request{
		id:         id,
		service:    service,
		account:    r.Header.Get(HeaderAccount),
		method:     r.Method,
		path:       path,
		body:       body,
		key:        r.Header.Get(HeaderIdempotencyKey),
		idempotent: service.Idempotent(r.Method, path),
		deadline:   time.Now().Add(timeoutOf(r)),
	}
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	for name, values := range r.Header {
		if name == HeaderAccount || name == "Connection" || name == "Authorization" || telemetry.IsTraceHeader(name) {
			continue
		}
		for _, v := range values {
			q.header = append(q.header, &nodev1.Header{Name: name, Value: v})
		}
	}
	return q
}

func timeoutOf(r *http.Request) time.Duration {
	n, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	if err != nil || n <= 0 {
		return defaultTimeout
	}
	return min(time.Duration(n)*time.Millisecond, defaultTimeout)
}

// answerWriter writes exactly one final answer to a caller.
type answerWriter struct {
	writer    http.ResponseWriter
	requestID string
	service   string
	outcome   string // unknown until another is final
	started   bool
}

func (a *answerWriter) notRun(status int, reason string, retryAfter time.Duration) {
	a.final(status, OutcomeNotRun, reason, retryAfter)
}

func (a *answerWriter) unknown(reason string) {
	a.final(http.StatusBadGateway, OutcomeUnknown, reason, time.Second)
}

func (a *answerWriter) final(status int, outcome, reason string, retryAfter time.Duration) {
	if a.started {
		// The head of the endpoint's answer is out. Breaking the connection is
		// the only way left to say that the answer is not whole.
		panic(http.ErrAbortHandler)
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

// start writes the head of the endpoint's answer; its outcome follows in the
// trailer.
func (a *answerWriter) start(s *nodev1.AttemptStarted) {
	a.started = true
	h := a.writer.Header()
	for _, v := range s.GetHeaders() {
		if v.GetName() != "Content-Length" && v.GetName() != "Connection" && v.GetName() != "Date" {
			h.Add(v.GetName(), v.GetValue())
		}
	}
	h.Set("Trailer", HeaderOutcome)
	a.writer.WriteHeader(int(s.GetStatus()))
}

func (a *answerWriter) data(b []byte) error {
	if _, err := a.writer.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(a.writer).Flush()
}

func (a *answerWriter) finish() {
	a.outcome = OutcomeAnswered
	a.writer.Header().Set(HeaderOutcome, OutcomeAnswered)
}
