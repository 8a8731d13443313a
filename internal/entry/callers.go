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

// Headers of the protocol between callers and entries.
const (
	HeaderAccount        = "Account"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Request-Timeout-Ms"
	HeaderOutcome        = "Outcome"
	// HeaderSend is the number of this send among the sends of a key, from 1.
	HeaderSend = "Idempotency-Send"
	// HeaderNotRun is the highest send number up to which every send had the outcome
	// "not run".
	HeaderNotRun = "Idempotency-Not-Run"
)

// Values of the header or trailer Outcome. A response without it is incomplete.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "notRun"
	OutcomeUnknown  = "unknown"
)

// Limits on a caller's request.
const (
	maxBodyBytes = 4 << 20
	// prefixBytes is the length of the leading part of a model request's body that is
	// hashed as its prompt prefix.
	prefixBytes = 256
)

// request is a parsed request of a caller.
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
	hasKey      bool // an idempotency key was sent, which may be empty
	claim       claims.Request
	idempotent  bool
	fingerprint digest.Digest // identifies the request among the suspects
	prefix      uint64        // hash of the account and the prompt prefix, 0 for plain services
	deadline    time.Time
}

// keyed reports whether the request needs a claim: it has an idempotency key and is
// not idempotent according to its service.
func (q *request) keyed() bool { return q.hasKey && !q.idempotent }

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	out := &responseWriter{writer: w, requestID: e.nextRequestID(), outcome: OutcomeUnknown}
	out.repeat = mayBeRepeat(r)
	ctx, span := e.node.Telemetry().Tracing().StartServer(r.Context(), telemetry.SpanEntry, r.Header)
	defer span.End()
	defer e.observe(out, time.Now())
	if !e.beginRequest() {
		out.writeNotRun(http.StatusServiceUnavailable, "entry is leaving", time.Second)
		return
	}
	defer e.inFlight.Done()
	s := e.node.Snapshot()
	if s == nil {
		out.writeNotRun(http.StatusServiceUnavailable, "no configuration yet", time.Second)
		return
	}
	service, ok := s.Config().Service(p.ByName("service"))
	if !ok {
		out.writeNotRun(http.StatusNotFound, "unknown service", 0)
		return
	}
	out.service = service.Name()
	account, ok := s.Config().Account(r.Header.Get(HeaderAccount))
	if !ok {
		out.writeNotRun(http.StatusForbidden, "unknown client account", 0)
		return
	}
	if !account.Admits(accountSecret(r)) {
		out.writeNotRun(http.StatusForbidden, "secret of the client account is missing or wrong", 0)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		out.writeNotRun(http.StatusBadRequest, "request body not read whole", 0)
		return
	}
	q := newRequest(out.requestID, service, r, p.ByName("path"), body)
	q.snapshot = s
	q.priority = uint32(max(account.Priority(), 0))
	if err := q.setClaim(r); err != nil {
		// Every entry rejects a malformed key, so no send of it can have run.
		out.writeProvenNotRun(http.StatusBadRequest, err.Error(), 0)
		return
	}
	out.repeat = q.keyed() && !q.claim.NoEarlierRun()
	e.dispatch(ctx, q, out)
}

// bearerScheme is the prefix of the account's secret in the Authorization header. The
// header is not forwarded to endpoints.
const bearerScheme = "Bearer "

func accountSecret(r *http.Request) string {
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerScheme)
	return secret
}

// observe records metrics for a finished request. The service label is empty for a
// service that is not in the configuration, so that callers cannot create label values.
func (e *Entry) observe(out *responseWriter, arrived time.Time) {
	m := e.node.Telemetry().Metrics()
	m.Requests.WithLabelValues(out.service, out.outcome).Inc()
	m.RequestSeconds.WithLabelValues(out.service).Observe(time.Since(arrived).Seconds())
}

// mayBeRepeat reports whether, according to the headers alone, an earlier send of the
// request may have run.
func mayBeRepeat(r *http.Request) bool {
	if !hasIdempotencyKey(r) {
		return false
	}
	return !claims.NewRequest("", "", "", claims.Key{}, digest.Digest{}, sendNumbers(r)).NoEarlierRun()
}

// hasIdempotencyKey reports whether a request has the header of a key. An empty one is
// malformed; without a key, each send of the request could run.
func hasIdempotencyKey(r *http.Request) bool {
	return len(r.Header.Values(HeaderIdempotencyKey)) > 0
}

func sendNumbers(r *http.Request) claims.RequestOption {
	return claims.WithSend(headerNumber(r, HeaderSend), headerNumber(r, HeaderNotRun))
}

// headerNumber returns the number in a header, or 0 if it is missing or malformed.
func headerNumber(r *http.Request, name string) uint32 {
	n, err := strconv.ParseUint(r.Header.Get(name), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(n)
}

// setClaim sets the claim of a keyed request. It returns an error for a malformed key.
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
		hasKey:     hasIdempotencyKey(r),
		idempotent: service.Idempotent(r.Method, path),
		deadline:   time.Now().Add(requestTimeout(r, service.RequestTimeout())),
	}
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	for name, values := range r.Header {
		if !forwardsRequestHeader(name) {
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

// forwardsRequestHeader reports whether a caller's header is forwarded to the endpoint.
func forwardsRequestHeader(name string) bool {
	switch name {
	case HeaderAccount, HeaderSend, HeaderNotRun, HeaderTimeout, suspects.Header, "Connection", "Authorization":
		return false
	}
	return !telemetry.IsTraceHeader(name)
}

// requestTimeout returns the timeout that the caller requests, or maxTimeout if it
// requests none or a longer one.
func requestTimeout(r *http.Request, maxTimeout time.Duration) time.Duration {
	n, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	if err != nil || n <= 0 {
		return maxTimeout
	}
	return min(time.Duration(min(n, math.MaxInt32))*time.Millisecond, maxTimeout)
}
