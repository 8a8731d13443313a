// Package members is the client of the platform's membership list, which names
// the live and the leaving instances and lags behind the truth.
//
// # Usage
//
//	client := members.New("http://10.0.0.7:7600")
//	list, err := client.List(ctx)
//
// An unchanged list is answered by its entity tag alone and costs few bytes.
package members

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/transport/once"
)

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = eris.New("membership list unavailable")

// PathMembers is the path of the list.
const PathMembers = "/members"

const (
	defaultTimeout = 5 * time.Second
	maxListBytes   = 16 << 20
)

// Client reads one membership list. It is safe for concurrent use.
type Client struct {
	url     string
	timeout time.Duration
	http    *http.Client

	mu   sync.Mutex
	etag string
	list []member.Member
}

// Option sets an optional property of a client.
type Option func(*Client)

// WithTimeout bounds each call, five seconds by default.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the list at baseURL.
func New(baseURL string, options ...Option) *Client {
	transport := once.NewTransport()
	// The list is the largest message of control, and text that compresses well.
	transport.DisableCompression = false
	c := &Client{
		url:     strings.TrimRight(baseURL, "/") + PathMembers,
		timeout: defaultTimeout,
		http:    &http.Client{Transport: transport},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// List returns the members in the order of their names. The caller must not
// change the slice. The error is ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]member.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	etag, known := c.last()
	if etag != "" {
		r.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && etag != "" {
		return known, nil
	}
	return c.decode(response)
}

func (c *Client) decode(response *http.Response) ([]member.Member, error) {
	if response.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(ErrUnavailable, "status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	var w WireMembers
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "malformed list: %v", err)
	}
	c.keep(response.Header.Get("ETag"), w.Members)
	return w.Members, nil
}

func (c *Client) last() (string, []member.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.list
}

func (c *Client) keep(etag string, list []member.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag = etag
	c.list = list
}

// WireMembers is the JSON form of the list.
type WireMembers struct {
	Members []member.Member `json:"members"`
}
