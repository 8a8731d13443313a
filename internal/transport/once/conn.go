package once

import (
	"context"
	"net"
	"sync"

	"github.com/primrosetally/primrosetally/internal/protocol/http1"
	"github.com/primrosetally/primrosetally/internal/transport/tcp"
)

// conn is a connection that checks the heads of answers in the bytes that the peer sent, before
// net/http reads them.
type conn struct {
	net.Conn

	mu       sync.Mutex
	awaiting bool // the next bytes belong to a head
	head     http1.HeadScanner
}

// dial returns a function for a transport that opens connections as the dialer does.
func dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	open := tcp.Dial(d)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// expectHead must be called before a request is written. The next bytes are the head of its answer.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.head = true, http1.HeadScanner{}
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// check checks the next bytes if they belong to the head of an answer, or of an interim one
// before it.
func (c *conn) check(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.awaiting && len(data) > 0 {
		n, err := c.head.Scan(data)
		if err != nil {
			return err
		}
		data = data[n:]
		if c.head.Ended() {
			c.awaiting = c.head.Interim()
			c.head = http1.HeadScanner{}
		}
	}
	return nil
}
