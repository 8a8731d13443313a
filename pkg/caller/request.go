package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the callers' protocol.
const (
	HeaderAccount        = "Account"
	HeaderTimeout        = "Request-Timeout-Ms"
	HeaderOutcome        = "Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSend numbers the sends of a key, from 1.
	HeaderSend = "Idempotency-Send"
	// HeaderNotRun is the number up to which every send was answered "not run".
	HeaderNotRun = "Idempotency-Not-Run"
)

// Request is one request with all its sends. It is safe for concurrent use.
type Request struct {
	method     string
	service    string
	path       string
	header     http.Header
	body       []byte
	keyed      bool
	idempotent bool

	mu      sync.Mutex
	key     string
	sends   uint32
	refused map[uint32]bool // sends beyond notRun that did not run
	notRun  uint32          // every send up to this one did not run
}

// RequestOption sets an optional property of a request.
type RequestOption func(*Request)

// NewRequest returns a request to a service. The path begins with a slash and
// may carry a query.
func NewRequest(method, service, path string, options ...RequestOption) *Request {
	r := &Request{
		method:  method,
		service: service,
		path:    path,
		header:  http.Header{},
		refused: map[uint32]bool{},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// WithBody sets the body.
func WithBody(body []byte) RequestOption {
	return func(r *Request) { r.body = body }
}

// WithHeader adds a header field.
func WithHeader(name, value string) RequestOption {
	return func(r *Request) { r.header.Add(name, value) }
}

// WithKey gives the request an idempotency key when it is first sent. The key
// stays the same for all sends, and the request runs at most once.
func WithKey() RequestOption {
	return func(r *Request) { r.keyed = true }
}

// WithIdempotent says that the request may run more than once, so that Complete
// may send it again after ErrUnknown.
func WithIdempotent() RequestOption {
	return func(r *Request) { r.idempotent = true }
}

// Key returns the idempotency key, empty before the first send and for a
// request without one.
func (r *Request) Key() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.key
}

func (r *Request) repeatable() bool { return r.keyed || r.idempotent }

// send is one transmission of a request.
type send struct {
	number uint32
	notRun uint32
	key    string
}

func (r *Request) startSend(now time.Time) send {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keyed && r.key == "" {
		r.key = newKey(now)
	}
	r.sends++
	return send{number: r.sends, notRun: r.notRun, key: r.key}
}

// didNotRun records that a send was answered "not run" or never left.
func (r *Request) didNotRun(s send) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[s.number] = true
	for r.refused[r.notRun+1] {
		delete(r.refused, r.notRun+1)
		r.notRun++
	}
}

// newKey returns "<unixMillis>-<random>".
func newKey(now time.Time) string {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic("caller: no random numbers: " + err.Error())
	}
	return strconv.FormatInt(now.UnixMilli(), 10) + "-" + hex.EncodeToString(random[:])
}

func (r *Request) httpRequest(ctx context.Context, base, account string, s send) (*http.Request, error) {
	url := strings.TrimRight(base, "/") + "/s/" + r.service + r.path
	q, err := http.NewRequestWithContext(ctx, r.method, url, nil)
	if err != nil {
		return nil, err
	}
	q.Header = r.header.Clone()
	q.Header.Set(HeaderAccount, account)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		q.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
	if s.key != "" {
		q.Header.Set(HeaderIdempotencyKey, s.key)
		q.Header.Set(HeaderSend, strconv.FormatUint(uint64(s.number), 10))
		q.Header.Set(HeaderNotRun, strconv.FormatUint(uint64(s.notRun), 10))
	}
	if len(r.body) > 0 {
		q.Body = io.NopCloser(bytes.NewReader(r.body))
		q.ContentLength = int64(len(r.body))
	}
	return q, nil
}
