// Package endpoints holds the connections to the endpoints of the fleet.
//
// A connection carries one exchange at a time, and an exchange is written at most
// once: nothing here repeats a request. The error of an exchange shows whether a
// byte of it may have reached the endpoint. A connection is kept after an answer
// that ended where its framing says, and is dropped when bytes come after it, when
// the endpoint closes it, or when it has been idle for longer than allowed.
//
// An endpoint may send bytes without end. Everything but the body of the own answer is
// bounded here; the reader of the body bounds that.
//
// # Usage
//
//	pool := endpoints.NewPool(endpoints.WithLimit(12))
//	x, err := pool.Begin(ctx, address, freshness)
//	response, err := x.Send(ctx, head, body, match)
//	... read response.Body ...
//	x.End()
package endpoints

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/primrosetally/primrosetally/internal/transport/tcp"
)

// Errors of an exchange.
var (
	// ErrNotSent is wrapped where no byte of the request was written.
	ErrNotSent = eris.New("request was not sent")
	// ErrNoConnection is wrapped where every connection allowed is in use.
	ErrNoConnection = eris.New("no connection is free")
	// ErrRefused is wrapped where nothing listens at an address.
	ErrRefused = eris.New("connection was refused")
)

// Times of a connection.
const (
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged: an endpoint
	// without power or behind a partition sends no reset.
	userTimeout = 1200 * time.Millisecond
	// defaultIdle is how long a connection is kept where the endpoint names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the endpoint names, which it counts
	// from an earlier moment and in whole seconds.
	idleMargin = 700 * time.Millisecond
	// concurrentBody is the size in bytes from which a body is written while the
	// answer is awaited, since an endpoint may answer before it has read it.
	concurrentBody = 8 << 10
	readBuffer     = 4 << 10
)

// Pool keeps connections by endpoint. It is safe for concurrent use.
type Pool struct {
	limit int
	now   func() time.Time

	mu     sync.Mutex
	hosts  map[string]*host
	limits Limits
	dials  int64
}

type host struct {
	idle []*conn // newest last
	open int
}

type conn struct {
	net     *tcp.Conn
	bounded *boundedReader
	reader  *bufio.Reader // from bounded
	since   time.Time     // of the last end of an exchange
	keep    time.Duration
}

func newConn(n *tcp.Conn) *conn {
	bounded := &boundedReader{from: n, left: unbounded}
	return &conn{net: n, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBuffer), keep: defaultIdle}
}

// Option sets a property of a Pool.
type Option func(*Pool)

// WithLimit sets the largest number of connections to one endpoint.
func WithLimit(n int) Option { return func(p *Pool) { p.limit = n } }

// NewPool returns an empty pool.
func NewPool(options ...Option) *Pool {
	p := &Pool{limit: 64, now: time.Now, hosts: make(map[string]*host)}
	for _, o := range options {
		o(p)
	}
	return p
}

// Dials returns how many connections were opened.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Begin returns an exchange with an endpoint, on a connection that has been idle
// for no longer than maxIdle or on a new one.
func (p *Pool) Begin(ctx context.Context, address string, maxIdle time.Duration) (*Exchange, error) {
	if c := p.takeIdle(address, maxIdle); c != nil {
		return &Exchange{pool: p, address: address, conn: c, reused: true}, nil
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Exchange{pool: p, address: address, conn: c}, nil
}

// Probe opens a connection to an endpoint and returns why it can't. The error wraps
// ErrRefused where nothing listens. The connection may be one beyond the limit, and is kept
// for an exchange if it is not.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := connect(ctx, address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	if h.open >= p.limitOf(address) {
		c.net.Close()
		return nil
	}
	c.since = p.now()
	h.idle = append(h.idle, c)
	h.open++
	p.dials++
	return nil
}

// dial opens a connection within the limit of its endpoint.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	if !p.reserve(address) {
		return nil, eris.Wrap(ErrNoConnection, address)
	}
	c, err := connect(ctx, address)
	if err != nil {
		p.unreserve(address)
	}
	return c, err
}

func connect(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: tcp.UserTimeout(userTimeout), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
	}}
	n, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		return newConn(tcp.NewConn(n)), nil
	}
	if errors.Is(err, unix.ECONNREFUSED) {
		return nil, errors.Join(ErrRefused, eris.Wrapf(ErrNotSent, "connect: %v", err))
	}
	return nil, eris.Wrapf(ErrNotSent, "connect: %v", err)
}

func (p *Pool) host(address string) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

func (p *Pool) reserve(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, limit := p.host(address), p.limitOf(address)
	// The caller wants a newer connection than any that is idle.
	h.dropBeyond(limit - 1)
	if h.open >= limit {
		return false
	}
	h.open++
	p.dials++
	return true
}

func (p *Pool) unreserve(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host(address).open--
}

func (h *host) drop(i int) {
	h.idle[i].net.Close()
	h.idle = append(h.idle[:i], h.idle[i+1:]...)
	h.open--
}

// takeIdle returns the connection that was used last, if it is alive and young
// enough. Connections that are over their time are closed.
func (p *Pool) takeIdle(address string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	now := p.now()
	for len(h.idle) > 0 && now.Sub(h.idle[0].since) > h.idle[0].keep {
		h.drop(0)
	}
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		c := h.idle[last]
		if now.Sub(c.since) > maxIdle {
			return nil
		}
		if c.quiet() {
			h.idle = h.idle[:last]
			return c
		}
		h.drop(last)
	}
	return nil
}

// quiet reports whether the connection is open and nothing has arrived on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Sweep closes connections that are over their time or were closed by the
// endpoint, so that an endpoint's limit is not spent on dead ones.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for address, h := range p.hosts {
		for i := len(h.idle) - 1; i >= 0; i-- {
			if now.Sub(h.idle[i].since) > h.idle[i].keep || !h.idle[i].quiet() {
				h.drop(i)
			}
		}
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}
