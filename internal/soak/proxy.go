package soak

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// disturbance is what a link does to the bytes that pass.
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
	// dripping bytes arrive a few at a time.
	dripping
	disturbances
)

const (
	// hiddenPorts is added to the port of a server that stands behind a proxy.
	hiddenPorts = 10000
	// proxyDelay is that of a delayed link: well below the time in which a request
	// could outlive the caller, or a key its bound.
	proxyDelay  = 150 * time.Millisecond
	proxyBuffer = 32 << 10
	// dripBytes pass a dripping link each dripPause.
	dripBytes = 256
	dripPause = 4 * time.Millisecond
	// maxDatagram is that of the system.
	maxDatagram = 64 << 10
)

// link is one way to a process or a server. Its proxies share what disturbs it.
type link struct {
	name string

	mu        sync.Mutex
	active    map[int]disturbance // by the number of the fault
	disturbed spans               // its faults
	contact   spans               // its faults, and resets of its connections
	silences  spans               // moments at which open connections fell silent for good
	pairs     map[*pair]bool
	listeners []io.Closer
}

// pair is a connection through a proxy. Its fields are guarded by the link's mutex.
type pair struct {
	caller, server net.Conn
	lost           bool // bytes were lost, so that nothing may follow them
	mute           bool // nothing passes any more
}

func newLink(name string) *link {
	return &link{name: name, active: make(map[int]disturbance), pairs: make(map[*pair]bool)}
}

// hide listens at an address and returns the listener of the server behind it.
func (l *link) hide(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	hidden, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(n+hiddenPorts)))
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	front, err := l.stream(address, hidden.Addr().String())
	if err != nil {
		hidden.Close()
		return nil, err
	}
	return hiddenListener{Listener: hidden, front: front}, nil
}

// hiddenListener is the listener of a server behind a proxy. A server that is gone refuses
// connections, so that its proxy ends with it.
type hiddenListener struct {
	net.Listener
	front io.Closer
}

// Close implements net.Listener.
func (h hiddenListener) Close() error {
	return errors.Join(h.front.Close(), h.Listener.Close())
}

// stream passes TCP connections to an address on to a target.
func (l *link) stream(address, target string) (front io.Closer, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return // closed with the soak, or with the server behind
			}
			go l.serve(caller, target)
		}
	}()
	return listener, nil
}

// datagrams passes datagrams to an address on to a target.
func (l *link) datagrams(address, target string) error {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return eris.Wrap(err, "proxy")
	}
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return eris.Wrap(err, "proxy")
	}
	socket, err := net.ListenUDP("udp4", at)
	if err != nil {
		return eris.Wrap(err, "proxy")
	}
	l.listeners = append(l.listeners, socket)
	go func() {
		buf := make([]byte, maxDatagram)
		for {
			n, err := socket.Read(buf)
			if err != nil {
				return // closed with the soak, or with the server behind
			}
			l.forward(socket, to, append([]byte(nil), buf[:n]...))
		}
	}()
	return nil
}

// forward sends a datagram on; a process that does not run gets none.
func (l *link) forward(socket *net.UDPConn, to *net.UDPAddr, data []byte) {
	send := func() { _, _ = socket.WriteToUDP(data, to) }
	switch l.now() {
	case silenced, cutThere:
	case delayed, dripping:
		time.AfterFunc(proxyDelay, send)
	default:
		send()
	}
}

func (l *link) serve(caller net.Conn, target string) {
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		reset(caller)
		return
	}
	c := &pair{caller: caller, server: server}
	l.mu.Lock()
	l.pairs[c] = true
	l.mu.Unlock()
	go l.pass(c, server, caller, cutBack)
	l.pass(c, caller, server, cutThere)
}

// pass copies one direction until either side ends.
func (l *link) pass(c *pair, from, to net.Conn, cut disturbance) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 && l.write(c, to, buf[:n], cut) != nil {
			break
		}
		if err == io.EOF && l.halfClose(c, to) {
			return
		}
		if errors.Is(err, syscall.ECONNRESET) {
			reset(to) // an orderly end would make an answer without a length look whole
		}
		if err != nil {
			break
		}
	}
	l.close(c)
}

// write passes bytes on that have arrived, late or in drips where that is disturbed.
func (l *link) write(c *pair, to net.Conn, data []byte, cut disturbance) error {
	for len(data) > 0 {
		now, passes := l.passes(c, cut)
		if !passes {
			return nil
		}
		n := len(data)
		switch now {
		case delayed:
			time.Sleep(proxyDelay)
		case dripping:
			n = min(n, dripBytes)
			time.Sleep(dripPause)
		}
		if _, err := to.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// passes decides on bytes that have arrived.
func (l *link) passes(c *pair, cut disturbance) (now disturbance, passes bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.nowLocked()
	if now == silenced || now == cut {
		c.lost = true
	}
	return now, !c.lost && !c.mute
}

func (l *link) now() disturbance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nowLocked()
}

// nowLocked returns the strongest of the disturbances in progress.
func (l *link) nowLocked() disturbance {
	now := passing
	for _, d := range l.active {
		if now == passing || d == silenced || d > now && now != silenced {
			now = d
		}
	}
	return now
}

// halfClose passes the end of one direction on and reports whether the other one goes
// on.
func (l *link) halfClose(c *pair, to net.Conn) bool {
	l.mu.Lock()
	silent := c.lost || c.mute
	l.mu.Unlock()
	tcp, ok := to.(*net.TCPConn)
	return ok && !silent && tcp.CloseWrite() == nil
}

func (l *link) close(c *pair) {
	l.mu.Lock()
	delete(l.pairs, c)
	l.mu.Unlock()
	c.caller.Close()
	c.server.Close()
}

// disturb begins the disturbance of a fault.
func (l *link) disturb(fault int, d disturbance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[fault] = d
	l.disturbed.begin(fault)
	l.contact.begin(fault)
}

// heal ends the disturbance of a fault; connections that lost bytes are then reset.
func (l *link) heal(fault int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, fault)
	l.disturbed.finish(fault)
	l.contact.finish(fault)
	for c := range l.pairs {
		if c.lost {
			reset(c.caller)
			reset(c.server)
		}
	}
}

// resetAll resets every connection.
func (l *link) resetAll() {
	l.contact.moment()
	l.each(func(c *pair) {
		reset(c.caller)
		reset(c.server)
	})
}

// muteAll silences every open connection for good; new ones work.
func (l *link) muteAll() {
	l.disturbed.begin(lasting)
	l.silences.moment()
	l.each(func(c *pair) { c.mute = true })
}

// halveAll ends the server's side of every connection, of which the caller's side is
// not informed.
func (l *link) halveAll() {
	l.disturbed.begin(lasting)
	l.silences.moment()
	l.each(func(c *pair) {
		c.mute = true
		reset(c.server)
	})
}

func (l *link) each(do func(c *pair)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.pairs {
		do(c)
	}
}

// stop closes the listeners and the connections.
func (l *link) stop() {
	l.mu.Lock()
	listeners := l.listeners
	l.mu.Unlock()
	for _, c := range listeners {
		c.Close()
	}
	l.resetAll()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
