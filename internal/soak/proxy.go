package soak

import (
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// disturbance is what a proxy does to the bytes that pass.
type disturbance int

// The disturbances.
const (
	passing disturbance = iota
	// delayed bytes arrive late.
	delayed
	// cutThere and cutBack lose the bytes of one direction.
	cutThere
	cutBack
	// silenced loses the bytes of both.
	silenced
)

const (
	// hiddenPorts is added to the port of a server that stands behind a proxy.
	hiddenPorts = 10000
	// proxyDelay is that of a delayed link: well below the time in which a request
	// could outlive the caller, or a key its bound.
	proxyDelay  = 150 * time.Millisecond
	proxyBuffer = 32 << 10
)

// proxy passes connections on to a server on the same loopback address, and disturbs
// them. The server sees the address of the process that connects.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	now   disturbance
	pairs map[*pair]bool
}

// pair is a connection through a proxy. Its fields are guarded by the proxy's mutex.
type pair struct {
	caller, server net.Conn
	lost           bool // bytes were lost, so that nothing may follow them
	mute           bool // nothing passes any more
}

// startProxy listens at an address and returns the listener of the server behind it.
func startProxy(address string) (*proxy, net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, eris.Wrap(err, "proxy")
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, nil, eris.Wrap(err, "proxy")
	}
	hidden, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(n+hiddenPorts)))
	if err != nil {
		return nil, nil, eris.Wrap(err, "proxy")
	}
	front, err := net.Listen("tcp", address)
	if err != nil {
		hidden.Close()
		return nil, nil, eris.Wrap(err, "proxy")
	}
	p := &proxy{listener: front, target: hidden.Addr().String(), pairs: make(map[*pair]bool)}
	go p.accept()
	return p, hidden, nil
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // closed with the soak
		}
		go p.serve(caller)
	}
}

func (p *proxy) serve(caller net.Conn) {
	from := caller.RemoteAddr().(*net.TCPAddr)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from.IP}, Timeout: time.Second}
	server, err := dialer.Dial("tcp", p.target)
	if err != nil {
		caller.Close()
		return
	}
	c := &pair{caller: caller, server: server}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	go p.pass(c, server, caller, cutBack)
	p.pass(c, caller, server, cutThere)
}

// pass copies one direction until either side ends.
func (p *proxy) pass(c *pair, from, to net.Conn, cut disturbance) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.passes(c, cut) {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err == io.EOF && p.halfClose(c, to) {
			return
		}
		if err != nil {
			break
		}
	}
	p.close(c)
}

// passes decides on bytes that have arrived, and waits where they are delayed.
func (p *proxy) passes(c *pair, cut disturbance) bool {
	p.mu.Lock()
	now := p.now
	if now == silenced || now == cut {
		c.lost = true
	}
	passes := !c.lost && !c.mute
	p.mu.Unlock()
	if passes && now == delayed {
		time.Sleep(proxyDelay)
	}
	return passes
}

// halfClose passes the end of one direction on and reports whether the other one goes
// on.
func (p *proxy) halfClose(c *pair, to net.Conn) bool {
	p.mu.Lock()
	silent := c.lost || c.mute
	p.mu.Unlock()
	tcp, ok := to.(*net.TCPConn)
	return ok && !silent && tcp.CloseWrite() == nil
}

func (p *proxy) close(c *pair) {
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	c.caller.Close()
	c.server.Close()
}

// disturb begins a disturbance. Passing ends it; connections that lost bytes are then
// reset.
func (p *proxy) disturb(d disturbance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = d
	if d != passing {
		return
	}
	for c := range p.pairs {
		if c.lost {
			reset(c.caller)
			reset(c.server)
		}
	}
}

// resetAll resets every connection.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		reset(c.caller)
		reset(c.server)
	}
}

// muteAll silences every open connection for good; new ones work.
func (p *proxy) muteAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.mute = true
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
