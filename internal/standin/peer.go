package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// PeerEnd is what a Peer does with a connection after an answer.
type PeerEnd int

// The ends.
const (
	// PeerKeeps waits for the next request.
	PeerKeeps PeerEnd = iota
	// PeerResets resets the connection.
	PeerResets
	// PeerHalfCloses ends the own sending side in good order, and reads until the client
	// closes.
	PeerHalfCloses
	// PeerHalfClosesUnread ends the own sending side in good order and reads nothing more.
	PeerHalfClosesUnread
)

// PeerAnswer is what a Peer does with one request.
type PeerAnswer struct {
	// Text is written as it is: head, body and whatever else is to be on the connection.
	Text string
	// ReadFirst is how much of the request's body is read before the answer, in bytes; the
	// whole body for a negative number.
	ReadFirst int64
	// Pause is the time between the answer and the end.
	Pause time.Duration
	End   PeerEnd
}

// Peer answers requests with given bytes, before it has read their bodies if it is to, for
// tests of clients. It is safe for concurrent use.
type Peer struct {
	listener net.Listener
	answers  []PeerAnswer
	requests atomic.Int64
	closed   chan struct{}
	running  conc.WaitGroup
}

// NewPeer starts a peer on a loopback port. The answers are given in turn, over all
// connections, and the last one again to every further request.
func NewPeer(answers ...PeerAnswer) (*Peer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Peer{listener: l, answers: answers, closed: make(chan struct{})}
	p.running.Go(p.accept)
	return p, nil
}

// Address returns the address of the peer, as HOST:PORT.
func (p *Peer) Address() string { return p.listener.Addr().String() }

// Requests returns the number of requests whose heads were read.
func (p *Peer) Requests() int { return int(p.requests.Load()) }

// Close ends all connections and waits until they have ended.
func (p *Peer) Close() {
	close(p.closed)
	p.listener.Close()
	p.running.Wait()
}

// accept serves connections until the peer is closed.
func (p *Peer) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.serve(c.(*net.TCPConn)) })
	}
}

// serve answers the requests on a connection until an answer or the client ends it.
func (p *Peer) serve(c *net.TCPConn) {
	served := make(chan struct{})
	defer close(served)
	defer c.Close()
	p.running.Go(func() {
		select {
		case <-p.closed:
			c.Close()
		case <-served:
		}
	})
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n := int(p.requests.Add(1))
		a := p.answers[min(n, len(p.answers))-1]
		readPart(request.Body, a.ReadFirst)
		if _, err := io.WriteString(c, a.Text); err != nil {
			return // the client has closed
		}
		time.Sleep(a.Pause)
		if a.End != PeerKeeps {
			p.end(c, a.End)
			return
		}
	}
}

// readPart reads a number of bytes of a body, all of it for a negative number.
func readPart(body io.Reader, n int64) {
	if n >= 0 {
		body = io.LimitReader(body, n)
	}
	_, _ = io.Copy(io.Discard, body) // the client may close at any time
}

// end ends a connection. It returns when the connection may be closed.
func (p *Peer) end(c *net.TCPConn, e PeerEnd) {
	switch e {
	case PeerResets:
		_ = c.SetLinger(0) // closing then sends a reset
	case PeerHalfCloses:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case PeerHalfClosesUnread:
		_ = c.CloseWrite()
		<-p.closed
	}
}
