package entry

import (
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/primrosetally/primrosetally/internal/coordination/claims"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Headers of the callers' protocol.
const (
	HeaderAccount        = "Account"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Request-Timeout-Ms"
	HeaderOutcome        = "Outcome"
	// HeaderSend numbers the sends of a key, from 1.
	HeaderSend = "Idempotency-Send"
	// HeaderNotRun is the number up to which every send was answered "not run".
	HeaderNotRun = "Idempotency-Not-Run"
)

// Values of the header or trailer Outcome. An answer without it is not whole.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "notRun"
	OutcomeUnknown  = "unknown"
)

// Bounds of a caller's request.
const (
	maxBody = 4 << 20 // bytes
	// prefixBytes of a model request's body name its prompt prefix.
	prefixBytes = 256
)

// request is one caller's request.
type request struct {
	id          string
	snapshot    *snapshot.Snapshot
	service     configtext.Service
	account     string
	priority    uint32
	method      string
	path        string
	header      []*nodev1.Header
	body        []byte
	key         string
	claim       claims.Request
	idempotent  bool
	fingerprint digest.Digest // for suspects
	prefix      uint64        // hash of the prompt prefix, 0 for plain services
	deadline    time.Time
}

// keyed reports whether the request runs under a claim.
func (q *request) keyed() bool { return q.key != "" && !q.idempotent }

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	out := &answerWriter{writer: w, requestID: e.nextRequestID(), outcome: OutcomeUnknown}
	out.repeat = mayBeRepeat(r)
	ctx, span := e.node.Telemetry().Tracing().StartServer(r.Context(), telemetry.SpanEntry, r.Header)
	defer span.End()
	defer e.observe(out, time.Now())
	if !e.enter() {
		out.notRun(http.StatusServiceUnavailable, "entry is leaving", time.Second)
		return
	}
	defer e.inFlight.Done()
	s := e.node.Snapshot()
	if s == nil {
		out.notRun(http.StatusServiceUnavailable, "no configuration yet", time.Second)
		return
	}
	service, ok := s.Config().Service(p.ByName("service"))
	if !ok {
		out.notRun(http.StatusNotFound, "unknown service", 0)
		return
	}
	out.service = service.Name()
	account, ok := s.Config().Account(r.Header.Get(HeaderAccount))
	if !ok {
		out.notRun(http.StatusForbidden, "unknown client account", 0)
		return
	}
	if !account.Admits(secretOf(r)) {
		out.notRun(http.StatusForbidden, "secret of the client account is missing or wrong", 0)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		out.notRun(http.StatusBadRequest, "request body not read whole", 0)
		return
	}
	q := newRequest(out.requestID, service, r, p.ByName("path"), body)
	q.snapshot = s
	q.priority = uint32(max(account.Priority(), 0))
	if err := q.setClaim(r); err != nil {
		// No entry ever took a malformed key, so nothing ran under it.
		out.provenNotRun(http.StatusBadRequest, err.Error(), 0)
		return
	}
	out.repeat = q.keyed() && !q.claim.NoEarlierRun()
	e.dispatch(ctx, q, out)
}

// bearerScheme leads the account's secret in the Authorization header, which is
// not passed on to endpoints.
const bearerScheme = "Bearer "

func secretOf(r *http.Request) string {
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerScheme)
	return secret
}

// observe records the final answer of a request. The service is empty where the
// configuration does not name it, so that callers cannot make up label values.
func (e *Entry) observe(out *answerWriter, arrived time.Time) {
	m := e.node.Telemetry().Metrics()
	m.Requests.WithLabelValues(out.service, out.outcome).Inc()
	m.RequestSeconds.WithLabelValues(out.service).Observe(time.Since(arrived).Seconds())
}

// mayBeRepeat reports whether an earlier send of the request may have run, going
// by its headers alone.
func mayBeRepeat(r *http.Request) bool {
	if r.Header.Get(HeaderIdempotencyKey) == "" {
		return false
	}
	return !claims.NewRequest("", "", "", claims.Key{}, digest.Digest{}, sendNumbers(r)).NoEarlierRun()
}

func sendNumbers(r *http.Request) claims.RequestOption {
	return claims.WithSend(numberOf(r, HeaderSend), numberOf(r, HeaderNotRun))
}

// numberOf returns a number in a header, 0 for none.
func numberOf(r *http.Request, name string) uint32 {
	n, err := strconv.ParseUint(r.Header.Get(name), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(n)
}

// setClaim prepares the claim of a keyed request.
func (q *request) setClaim(r *http.Request) error {
	if !q.keyed() {
		return nil
	}
	key, err := claims.ParseKey(q.key)
	if err != nil {
		return err
	}
	q.claim = claims.NewRequest(q.id, q.service.Name(), q.account, key,
		claims.FingerprintOf(q.method, q.path, q.body),
		sendNumbers(r),
		claims.WithReceived(time.Now()),
		claims.WithKeyRetention(q.service.KeyRetention()))
	return nil
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
		deadline:   time.Now().Add(timeoutOf(r, service.RequestTimeout())),
	}
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	for name, values := range r.Header {
		if !passedOn(name) {
			continue
		}
		for _, v := range values {
			q.header = append(q.header, &nodev1.Header{Name: name, Value: v})
		}
	}
	q.fingerprint = suspects.FingerprintOf(service.Name(), q.method, q.path, body)
	if service.Kind() == configtext.KindModel {
		h := fnv.New64a()
		_, _ = h.Write([]byte(q.account))
		_, _ = h.Write(body[:min(len(body), prefixBytes)])
		q.prefix = h.Sum64()
	}
	return q
}

// passedOn reports whether a caller's header goes to the endpoint.
func passedOn(name string) bool {
	switch name {
	case HeaderAccount, HeaderSend, HeaderNotRun, HeaderTimeout, suspects.Header, "Connection", "Authorization":
		return false
	}
	return !telemetry.IsTraceHeader(name)
}

// timeoutOf returns the time that the caller allows, most where it doesn't say
// or allows more.
func timeoutOf(r *http.Request, most time.Duration) time.Duration {
	n, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	if err != nil || n <= 0 {
		return most
	}
	return min(time.Duration(min(n, math.MaxInt32))*time.Millisecond, most)
}
