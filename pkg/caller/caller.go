// Package caller is the client for programs that send requests to the services
// behind primrosetally.
//
// No balancer stands before the entries. The client asks one of them which
// addresses its account is to use, keeps the answer for its time to live, and
// connects there itself. It goes to another address when one cannot be reached;
// then nothing was sent. It never sends a request again by itself once any of it
// may have reached an entry.
//
// Every send ends in one of three final answers: the whole answer of the
// service, ErrNotRun with when to come back, or ErrUnknown if the request may
// have run. A request made with WithKey carries an idempotency key, stays under
// that key however often it is sent, and runs at most once.
//
// # Usage
//
//	c := caller.New("shop-1", []string{"http://10.0.0.1:7080", "http://10.0.0.2:7080"})
//	r := caller.NewRequest(http.MethodPost, "bookings", "/seats",
//		caller.WithBody(body), caller.WithKey())
//	answer, err := c.Do(ctx, r)
//	switch {
//	case err == nil:                          // answer.Status(), answer.Body()
//	case errors.Is(err, caller.ErrNotRun):    // c.Do(ctx, r) again after caller.RetryAfter(err)
//	case errors.Is(err, caller.ErrUnknown):   // the same, if r has a key or is idempotent
//	}
//	answer, err = c.Complete(ctx, r)          // does so until ctx ends
package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/transport/once"
)

// The final answers that are not the service's.
var (
	// ErrNotRun means that the request did not run and will not run.
	ErrNotRun = eris.New("request did not run")
	// ErrUnknown means that the request may have run.
	ErrUnknown = eris.New("request may have run")
)

const (
	defaultMaxAnswer  = 64 << 20 // bytes
	defaultRetryAfter = time.Second
	shortestWait      = 10 * time.Millisecond
)

// Client sends the requests of one client account. It is safe for concurrent
// use.
type Client struct {
	account   string
	secret    string
	sender    *once.Client
	now       func() time.Time
	wait      func(ctx context.Context, d time.Duration) error
	maxAnswer int64
	addresses addresses
}

// Option sets an optional property of a Client.
type Option func(*Client)

// WithPlace sets the region and failure domain of the caller; entries near to it
// come first.
func WithPlace(region, failureDomain string) Option {
	return func(c *Client) {
		c.addresses.region = region
		c.addresses.failureDomain = failureDomain
	}
}

// WithSecret sets the secret of the account, where the entries demand one.
func WithSecret(secret string) Option {
	return func(c *Client) { c.secret = secret }
}

// WithMaxAnswer bounds the answers that Do reads, in bytes.
func WithMaxAnswer(n int64) Option {
	return func(c *Client) { c.maxAnswer = n }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(c *Client) { c.now = now }
}

// WithWait sets how Complete waits between sends.
func WithWait(wait func(ctx context.Context, d time.Duration) error) Option {
	return func(c *Client) { c.wait = wait }
}

// New returns a client of an account. The seeds are base URLs of entries that
// are asked for addresses when no others are known.
func New(account string, seeds []string, options ...Option) *Client {
	c := &Client{
		account:   account,
		sender:    once.NewClient(once.NewTransport()),
		now:       time.Now,
		wait:      waitFor,
		maxAnswer: defaultMaxAnswer,
	}
	c.addresses.seeds = seeds
	for _, o := range options {
		o(c)
	}
	return c
}

func waitFor(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Answer is the whole answer of a service.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the HTTP status that the service gave.
func (a *Answer) Status() int { return a.status }

// Header returns the header fields.
func (a *Answer) Header() http.Header { return a.header }

// Body returns the body.
func (a *Answer) Body() []byte { return a.body }

// Do sends the request once and returns the whole answer. The error is ErrNotRun
// or ErrUnknown.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	s, err := c.Stream(ctx, r)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	body, err := io.ReadAll(io.LimitReader(s, c.maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxAnswer {
		return nil, final(ErrUnknown, "answer is too long", 0)
	}
	return &Answer{status: s.Status(), header: s.Header(), body: body}, nil
}

// Complete sends the request until it has its whole answer, waiting as long as
// each final answer tells. It ends with the last error when ctx ends, when the
// answer gives no time to come back, or after ErrUnknown for a request that has
// no key and is not idempotent.
func (c *Client) Complete(ctx context.Context, r *Request) (*Answer, error) {
	for {
		answer, err := c.Do(ctx, r)
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		if errors.Is(err, ErrUnknown) && !r.repeatable() {
			return nil, err
		}
		again := RetryAfter(err)
		if again == 0 || c.wait(ctx, max(again, shortestWait)) != nil {
			return nil, err
		}
	}
}

// finalError is a final answer of an entry, or the lack of one.
type finalError struct {
	kind       error
	reason     string
	retryAfter time.Duration
}

func final(kind error, reason string, retryAfter time.Duration) error {
	return &finalError{kind: kind, reason: reason, retryAfter: retryAfter}
}

func (f *finalError) Error() string { return f.kind.Error() + ": " + f.reason }

func (f *finalError) Unwrap() error { return f.kind }

// RetryAfter returns when the request may be sent again after an error of this
// package, 0 for never.
func RetryAfter(err error) time.Duration {
	var f *finalError
	if errors.As(err, &f) {
		return f.retryAfter
	}
	return 0
}
