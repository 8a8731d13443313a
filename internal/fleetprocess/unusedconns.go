package fleetprocess

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns are the connections of a server that have not carried a request yet. Other
// than idle ones, http.Server does not close them in a shutdown before they are some seconds
// old, and drops requests that arrive on them. It is safe for concurrent use.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newUnusedConns(s *http.Server) *unusedConns {
	u := &unusedConns{conns: make(map[net.Conn]struct{})}
	s.ConnState = u.record
	s.RegisterOnShutdown(u.close)
	return u
}

// record keeps track of the state of a connection.
func (u *unusedConns) record(c net.Conn, state http.ConnState) {
	if a, ok := c.(*acceptedConn); ok && state == http.StateIdle {
		a.setIdle()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.conns[c] = struct{}{}
		return
	}
	delete(u.conns, c)
}

// close closes the connections.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.Close()
	}
}
