// Package tables is the client of the platform's transactional table service,
// spoken to in JSON over plain HTTP.
//
// A table holds rows by key. Every transaction that writes gets a version that
// is greater than all before it, and every row carries the version of the
// transaction that wrote it last. A transaction states which versions it
// expects and is applied whole or not at all.
//
// The client never repeats a transaction. A caller that gets ErrUnknown must
// read back a row that only its own transaction writes before it tries again.
//
// # Usage
//
//	client := tables.New("http://10.0.0.5:7400", tables.WithTimeout(2*time.Second))
//	row, err := client.Get(ctx, "config/head")
//	change := tables.NewTransaction().
//		Expect("config/head", row.Version()).
//		Put("config/head", head).
//		Expect("change/42", 0).
//		Put("change/42", outcome)
//	version, err := client.Commit(ctx, change)
package tables

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/transport/once"
)

// Errors of the table service.
var (
	// ErrConflict means that a row did not have the expected version. Nothing
	// was written.
	ErrConflict = eris.New("table row has another version")
	// ErrUnavailable means that the service did not carry out the call.
	ErrUnavailable = eris.New("table service unavailable")
	// ErrUnknown means that a transaction may or may not have taken effect.
	ErrUnknown = eris.New("outcome of table transaction unknown")
	// ErrRejected means that the service refused the request as malformed.
	// Nothing was written.
	ErrRejected = eris.New("table service rejected the request")
)

// Paths of the service.
const (
	PathRows         = "/v1/rows"
	PathTransactions = "/v1/transactions"
)

const (
	defaultTimeout   = 5 * time.Second
	maxResponseBytes = 64 << 20
)

// Version orders the transactions. Zero is the version of an absent row.
type Version uint64

// Row is one row as it was read.
type Row struct {
	key     string
	value   []byte
	version Version
}

// Key returns the key.
func (r Row) Key() string { return r.key }

// Value returns the value, nil for an absent row.
func (r Row) Value() []byte { return r.value }

// Version returns the version of the last write, 0 for an absent row.
func (r Row) Version() Version { return r.version }

// Client calls one table service. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	sender  *once.Client
	reader  *http.Client
}

// Option sets an optional property of a client.
type Option func(*Client)

// WithTimeout bounds each call, five seconds by default.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the service at baseURL.
func New(baseURL string, options ...Option) *Client {
	transport := once.NewTransport()
	c := &Client{
		baseURL: strings.TrimRight(baseURL, "/"),
		timeout: defaultTimeout,
		sender:  once.NewClient(transport),
		reader:  &http.Client{Transport: transport},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Get reads one row. An absent row has version 0 and no error. The error is
// ErrUnavailable or ErrRejected.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var w WireRow
	if err := c.read(ctx, url.Values{"key": {key}}, &w); err != nil {
		return Row{}, err
	}
	return w.row(), nil
}

// List reads up to limit rows whose keys begin with prefix, in the order of
// their keys. The error is ErrUnavailable or ErrRejected.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	var w WireRows
	if err := c.read(ctx, query, &w); err != nil {
		return nil, err
	}
	rows := make([]Row, len(w.Rows))
	for i, r := range w.Rows {
		rows[i] = r.row()
	}
	return rows, nil
}

// Commit applies the transaction and returns the version given to the rows it
// wrote. The error is ErrConflict, ErrUnavailable, ErrRejected or ErrUnknown.
func (c *Client) Commit(ctx context.Context, t *Transaction) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := t.request(c.baseURL + PathTransactions)
	if err != nil {
		return 0, err
	}
	response, err := c.sender.Do(ctx, r)
	if errors.Is(err, once.ErrNotSent) {
		return 0, eris.Wrapf(ErrUnavailable, "commit: %v", err)
	}
	if err != nil {
		return 0, eris.Wrapf(ErrUnknown, "commit: %v", err)
	}
	defer discard(response.Body)
	return committed(response)
}

func committed(response *http.Response) (Version, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	switch {
	case response.StatusCode == http.StatusConflict:
		return 0, eris.Wrapf(ErrConflict, "commit: %s", reason(data))
	case response.StatusCode == http.StatusServiceUnavailable:
		return 0, eris.Wrapf(ErrUnavailable, "commit: %s", reason(data))
	case response.StatusCode >= 400 && response.StatusCode < 500 && response.StatusCode != http.StatusRequestTimeout:
		return 0, eris.Wrapf(ErrRejected, "commit: status %d: %s", response.StatusCode, reason(data))
	case response.StatusCode != http.StatusOK:
		return 0, eris.Wrapf(ErrUnknown, "commit: status %d", response.StatusCode)
	case err != nil:
		return 0, eris.Wrapf(ErrUnknown, "commit: %v", err)
	}
	var w WireCommitted
	if err := json.Unmarshal(data, &w); err != nil || w.Version == 0 {
		return 0, eris.Wrapf(ErrUnknown, "commit: malformed answer of %d bytes", len(data))
	}
	return w.Version, nil
}

func (c *Client) read(ctx context.Context, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+PathRows+"?"+query.Encode(), nil)
	if err != nil {
		return eris.Wrapf(ErrRejected, "read: %v", err)
	}
	response, err := c.reader.Do(r)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "read: %v", err)
	}
	defer discard(response.Body)
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "read: %v", err)
	}
	if response.StatusCode == http.StatusBadRequest {
		return eris.Wrapf(ErrRejected, "read: %s", reason(data))
	}
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrUnavailable, "read: status %d", response.StatusCode)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrapf(ErrUnavailable, "read: malformed answer: %v", err)
	}
	return nil
}

func discard(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxResponseBytes))
	_ = body.Close()
}

func reason(data []byte) string {
	return string(bytes.TrimSpace(data[:min(len(data), 200)]))
}
