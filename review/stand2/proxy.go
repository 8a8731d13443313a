package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to an address. Its open connections can fall silent for good;
// new ones then work.
type proxy struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	silence  *atomic.Bool // shared by the connections that are opened before the next silence
}

func newProxy(address, to string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, listener: l, conns: make(map[net.Conn]bool), silence: new(atomic.Bool)}
	go p.accept(to)
	return p, nil
}

func (p *proxy) accept(to string) {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		s, err := net.Dial("tcp", to)
		if err != nil {
			c.Close()
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[s] = true, true
		silence := p.silence
		p.mu.Unlock()
		go p.pass(c, s, silence)
		go p.pass(s, c, silence)
	}
}

// pass passes the bytes of one direction on. In a silence they are read and lost, and the end
// of a connection is not passed on either.
func (p *proxy) pass(from, to net.Conn, silence *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if silence.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			from.Close()
			to.Close()
			p.forget(from, to)
			return
		}
	}
}

func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// silenceOpen makes all open connections silent for good, and returns how many there are.
func (p *proxy) silenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence.Store(true)
	p.silence = new(atomic.Bool)
	return len(p.conns) / 2
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}
