package entries

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/transport/tcp"
)

// errNoCopy is returned for a table that the entry has no copy of yet.
var errNoCopy = eris.New("no copy of the table yet")

// maxEntries bounds the addresses of entries in an answer.
const maxEntries = 16

// maxQuestion bounds a question for rows, in bytes: it names a table and a region.
const maxQuestion = 4 << 10

// NewHandler returns the path and the handler at which an entry hands out its
// copies; table returns nil for a table without one. Near returns the peer addresses of
// the entries in a region.
func NewHandler(table func(name nodev1.Table) *watch.Table, near func(region string) []string) (string, http.Handler) {
	return nodev1connect.NewEntryServiceHandler(handler{table: table, near: near}, connect.WithReadMaxBytes(maxQuestion))
}

type handler struct {
	table func(name nodev1.Table) *watch.Table
	near  func(region string) []string
}

// FetchRows returns what the caller's copy lacks.
func (h handler) FetchRows(_ context.Context, q *connect.Request[nodev1.FetchRowsRequest]) (*connect.Response[nodev1.FetchRowsResponse], error) {
	if q.Msg.GetTable() == nodev1.Table_TABLE_UNSPECIFIED {
		return connect.NewResponse(&nodev1.FetchRowsResponse{Entries: h.entries(q.Msg.GetRegion())}), nil
	}
	t := h.table(q.Msg.GetTable())
	if t == nil || t.Confirmed() == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errNoCopy)
	}
	p := t.Since(watch.Position{Era: q.Msg.GetEra(), Version: q.Msg.GetVersion()})
	answer := &nodev1.FetchRowsResponse{
		Era:         p.Era,
		Version:     p.Version,
		Full:        p.Full,
		Floor:       p.Floor,
		Digest:      p.Digest,
		StoreTimeUs: p.StoreTime.Microseconds(),
		AgeUs:       p.Age.Microseconds() + 1, // rounded up: an answer must not look younger
	}
	answer.Entries = h.entries(q.Msg.GetRegion())
	for _, r := range p.Rows {
		answer.Rows = append(answer.Rows, &nodev1.TableRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return connect.NewResponse(answer), nil
}

// entries returns some entries of a region, none where no region is named.
func (h handler) entries(region string) []string {
	if region == "" {
		return nil
	}
	list := h.near(region)
	return list[:min(len(list), maxEntries)]
}

// Bounds of the connections between processes.
const (
	dialTimeout     = 400 * time.Millisecond
	idleConnTimeout = 20 * time.Second
)

// Client fetches rows from entries. It is safe for concurrent use.
type Client struct {
	http       *http.Client
	region     string
	learn      func(entries []string)
	maxMessage int // bytes
}

// ClientOption sets a property of a Client.
type ClientOption func(*Client)

// WithRegion sets the region of an agent, and the function that receives the addresses of entries in
// it with each answer.
func WithRegion(region string, learn func(entries []string)) ClientOption {
	return func(c *Client) { c.region, c.learn = region, learn }
}

// WithMaxMessage bounds an answer, in bytes; the default is tcp.MaxMessage. A copy that does not
// fit is to be read from the store, in pages.
func WithMaxMessage(n int) ClientOption { return func(c *Client) { c.maxMessage = n } }

// NewClient returns a client.
func NewClient(options ...ClientOption) *Client {
	transport := tcp.NewTransport(&net.Dialer{Timeout: dialTimeout})
	transport.IdleConnTimeout = idleConnTimeout
	c := &Client{http: &http.Client{Transport: transport}, learn: func([]string) {}, maxMessage: tcp.MaxMessage}
	for _, o := range options {
		o(c)
	}
	return c
}

// FetchRows fetches from the entry at an address what a copy lacks that covers the given
// position. An entry of an earlier build may not know of all removals since then, and is
// asked for every row.
func (c *Client) FetchRows(ctx context.Context, address string, table nodev1.Table, after watch.Position) (watch.Update, error) {
	u, err := c.fetchRows(ctx, address, table, after)
	if err == nil && !u.Full && u.Floor == 0 {
		u, err = c.fetchRows(ctx, address, table, watch.Position{})
	}
	if u.Full && u.Floor == 0 {
		u.Floor = u.Version // nor does it send removals with all rows
	}
	return u, err
}

func (c *Client) fetchRows(ctx context.Context, address string, table nodev1.Table, after watch.Position) (watch.Update, error) {
	service := c.service(address)
	answer, err := service.FetchRows(ctx, connect.NewRequest(&nodev1.FetchRowsRequest{Table: table, Era: after.Era, Version: after.Version, Region: c.region}))
	if err != nil {
		return watch.Update{}, err
	}
	m := answer.Msg
	c.learn(m.GetEntries())
	p := watch.Update{
		Position:  watch.Position{Era: m.GetEra(), Version: m.GetVersion()},
		Full:      m.GetFull(),
		Floor:     m.GetFloor(),
		Digest:    m.GetDigest(),
		StoreTime: microseconds(m.GetStoreTimeUs()),
		Age:       microseconds(m.GetAgeUs()),
	}
	for _, r := range m.GetRows() {
		p.Rows = append(p.Rows, watch.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted()})
	}
	return p, nil
}

// microseconds returns a duration of a message, as the largest one if it is larger: the
// copy then rejects it.
func microseconds(us int64) time.Duration {
	const largest = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(max(min(us, largest), -largest)) * time.Microsecond
}

func (c *Client) service(address string) nodev1connect.EntryServiceClient {
	// The rows stay uncompressed: entries of one region are near each other, and
	// compressing costs each more processor time than the bytes cost the link.
	return nodev1connect.NewEntryServiceClient(tcp.NewBounded(c.maxMessage, c.http.Do), "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(c.maxMessage))
}

// Entries fetches the addresses of entries of the own region from an entry.
func (c *Client) Entries(ctx context.Context, address string) ([]string, error) {
	service := c.service(address)
	answer, err := service.FetchRows(ctx, connect.NewRequest(&nodev1.FetchRowsRequest{Region: c.region}))
	if err != nil {
		return nil, err
	}
	c.learn(answer.Msg.GetEntries())
	return answer.Msg.GetEntries(), nil
}

// Sync brings a copy up to date with that of the entry at an address. Now is read
// before the call.
func (c *Client) Sync(ctx context.Context, address string, name nodev1.Table, t *watch.Table, now func() time.Duration) error {
	return t.Sync(address, now, func(after watch.Position) (watch.Update, error) { return c.FetchRows(ctx, address, name, after) })
}
