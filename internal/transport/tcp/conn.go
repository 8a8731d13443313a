package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrBroken is wrapped by the error of a read at the end of a connection that the peer did not
// end in good order.
var ErrBroken = eris.New("connection broke before its end")

// Conn is a connection whose reads return io.EOF only if the peer has ended its side in good
// order, so that an answer may be taken for whole that ends with its connection.
//
// The kernel reports a reset to one call, the first that meets it. Where that is a write, the
// reads that follow see the same end as after an orderly close. A client that writes a request
// while it reads the answer can't tell the two apart by its reads alone.
//
// An end that is read ends the writes too: a client has no use for the connection any more.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during a write

	mu     sync.Mutex
	failed error // of the first read or write that failed
}

// NewConn returns a connection over another one, which it takes over.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial returns a function for transports of net/http that opens connections as the dialer does
// and returns each as a Conn.
func Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// Read implements io.Reader. The error wraps ErrBroken instead of io.EOF where a read or a
// write has failed before.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		return n, c.endErr()
	}
	c.record(err)
	return n, err
}

// endErr returns what a read returns at the end. A write in progress may have met the reset and
// not have returned yet: it is interrupted, so that one which the peer does not read ends too.
func (c *Conn) endErr() error {
	if err := c.Conn.SetWriteDeadline(time.Unix(0, 1)); err != nil {
		return err // closed on this side meanwhile
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return eris.Wrap(ErrBroken, c.failed.Error())
	}
	return io.EOF
}

// record records an error of the connection. A deadline that has passed is none.
func (c *Conn) record(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = err
	}
}
