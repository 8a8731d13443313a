package fleetprocess

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// acceptListener is the listener for callers. It reports the connections that are closed
// between requests though bytes of one have come: net/http drops these without a word.
type acceptListener struct {
	net.Listener
	report func(c *acceptedConn)
}

// withUnreadReports makes a server report the requests of callers whose head it does not read
// to its end. It returns the listener to use.
func (p *process) withUnreadReports(server *http.Server, l net.Listener) net.Listener {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*acceptedConn); ok {
			c.between.Store(false)
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return &acceptListener{Listener: l, report: p.reportUnread}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func (p *process) reportUnread(c *acceptedConn) {
	p.telemetry.Metrics().RequestsNotRead.Inc()
	telemetry.RequestNotRead.Log(context.Background(), p.logger,
		"caller", c.RemoteAddr().String(), "kept", c.kept.Load(), "received", c.received.Load(), "unread", c.unread())
}

// Accept implements net.Listener.
func (l *acceptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, isTCP := c.(*net.TCPConn)
	if !isTCP {
		return c, nil
	}
	conn := &acceptedConn{TCPConn: t, report: l.report}
	conn.between.Store(true)
	return conn, nil
}

// acceptedConn is a connection of a caller.
type acceptedConn struct {
	*net.TCPConn
	report  func(c *acceptedConn)
	closing sync.Once
	// between is set while the connection carries no request whose head was read.
	between  atomic.Bool
	kept     atomic.Bool  // it has carried a request before
	received atomic.Int64 // bytes read since the last request ended
}

// setIdle records that the connection waits for another request.
func (c *acceptedConn) setIdle() {
	c.kept.Store(true)
	c.received.Store(0)
	c.between.Store(true)
}

// Read implements net.Conn.
func (c *acceptedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *acceptedConn) Close() error {
	c.closing.Do(func() {
		if c.between.Load() && (c.received.Load() > 0 || c.unread() > 0) {
			c.report(c)
		}
	})
	return c.TCPConn.Close()
}

// unread returns how many bytes have come that were not read, 0 if that is unknown.
func (c *acceptedConn) unread() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// It fails only if the connection is closed already.
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return n
}
