// Package objects is the client of the object store and of the origin of
// weights, which implement the plain subset of S3: GET with Range, HEAD and PUT on
// path-style keys.
//
// Keys in use are chunks/<digest>, manifests/<id> and sections/<digest>. What
// they name is content-addressed; the caller verifies what it receives.
//
// # Usage
//
//	client := objects.New("http://10.0.0.6:7500/weights")
//	stream, err := client.Open(ctx, "chunks/"+d.String(), offset)
//	if errors.Is(err, objects.ErrSlowDown) {
//		wait := objects.RetryAfter(err)
//	}
package objects

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/transport/tcp"
)

// Errors of the store.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = eris.New("object not found")
	// ErrUnavailable means that the store did not carry out the call. A Put may
	// have taken effect all the same; it may be repeated.
	ErrUnavailable = eris.New("object store unavailable")
	// ErrSlowDown means that the store limits its rate; see RetryAfter.
	ErrSlowDown = eris.New("object store asks to slow down")
)

const (
	dialTimeout       = 2 * time.Second
	idleConnTimeout   = 30 * time.Second
	headerTimeout     = 10 * time.Second
	idleConnsAHost    = 64
	defaultRetryAfter = time.Second
	maxObjectBytes    = 1 << 30
)

// SlowDownError is the error of a store that limits its rate. It matches
// ErrSlowDown.
type SlowDownError struct {
	retryAfter time.Duration
}

// Error implements error.
func (e *SlowDownError) Error() string {
	return "object store asks to slow down for " + e.retryAfter.String()
}

// Is reports whether target is ErrSlowDown.
func (e *SlowDownError) Is(target error) bool { return target == ErrSlowDown }

// RetryAfter returns how long to wait before the next request.
func (e *SlowDownError) RetryAfter() time.Duration { return e.retryAfter }

// RetryAfter returns the wait that err carries, or 0.
func RetryAfter(err error) time.Duration {
	var slow *SlowDownError
	if !errors.As(err, &slow) {
		return 0
	}
	return slow.retryAfter
}

// Client calls one store. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// Option sets an optional property of a client.
type Option func(*Client)

// WithHTTPClient replaces the HTTP client, for a transport that paces its
// connections.
func WithHTTPClient(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// New returns a client of the store at baseURL, which may have a path.
func New(baseURL string, options ...Option) *Client {
	transport := tcp.NewTransport(&net.Dialer{Timeout: dialTimeout})
	transport.MaxIdleConnsPerHost = idleConnsAHost
	transport.IdleConnTimeout = idleConnTimeout
	transport.ResponseHeaderTimeout = headerTimeout
	c := &Client{baseURL: strings.TrimRight(baseURL, "/"), http: &http.Client{Transport: transport}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Get reads a whole object.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	stream, err := c.Open(ctx, key, 0)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	data, err := io.ReadAll(io.LimitReader(stream, maxObjectBytes))
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "read %s: %v", key, err)
	}
	return data, nil
}

// Open returns a stream over the object from offset on, in bytes. The stream
// ends with io.ErrUnexpectedEOF when the connection breaks. An offset at the
// object's end gives an empty stream. The caller closes it.
func (c *Client) Open(ctx context.Context, key string, offset int64) (io.ReadCloser, error) {
	r, err := c.request(ctx, http.MethodGet, key, nil)
	if err != nil {
		return nil, err
	}
	if offset > 0 {
		r.Header.Set("Range", "bytes="+strconv.FormatInt(offset, 10)+"-")
	}
	response, err := c.do(r)
	if err != nil {
		return nil, err
	}
	switch response.StatusCode {
	case http.StatusPartialContent:
		return response.Body, nil
	case http.StatusRequestedRangeNotSatisfiable:
		_ = response.Body.Close()
		return io.NopCloser(bytes.NewReader(nil)), nil
	case http.StatusOK:
		return skip(response.Body, offset)
	}
	defer response.Body.Close()
	return nil, failure(response, key)
}

// skip drops the first bytes of an answer from a store that ignored the range.
func skip(body io.ReadCloser, offset int64) (io.ReadCloser, error) {
	if offset == 0 {
		return body, nil
	}
	if _, err := io.CopyN(io.Discard, body, offset); err != nil && err != io.EOF {
		_ = body.Close()
		return nil, eris.Wrapf(ErrUnavailable, "skip %d bytes: %v", offset, err)
	}
	return body, nil
}

// Put writes an object. Objects are content-addressed or written under keys of
// their own, so it may be repeated.
func (c *Client) Put(ctx context.Context, key string, data []byte) error {
	r, err := c.request(ctx, http.MethodPut, key, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := c.do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return failure(response, key)
	}
	return nil
}

// Exists reports whether the store holds an object with the key.
func (c *Client) Exists(ctx context.Context, key string) (bool, error) {
	r, err := c.request(ctx, http.MethodHead, key, nil)
	if err != nil {
		return false, err
	}
	response, err := c.do(r)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	err = failure(response, key)
	if errors.Is(err, ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

func (c *Client) request(ctx context.Context, method, key string, body io.Reader) (*http.Request, error) {
	path := (&url.URL{Path: "/" + key}).EscapedPath()
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "%s %s: %v", method, key, err)
	}
	return r, nil
}

func (c *Client) do(r *http.Request) (*http.Response, error) {
	response, err := c.http.Do(r)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	return response, nil
}

// failure returns the error that the status stands for, nil for success.
func failure(response *http.Response, key string) error {
	switch {
	case response.StatusCode/100 == 2:
		return nil
	case response.StatusCode == http.StatusNotFound:
		return eris.Wrap(ErrNotFound, key)
	case response.StatusCode == http.StatusTooManyRequests, asksToWait(response):
		return &SlowDownError{retryAfter: retryAfter(response)}
	}
	return eris.Wrapf(ErrUnavailable, "%s: status %d", key, response.StatusCode)
}

func asksToWait(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
