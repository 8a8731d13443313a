package standin

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

// EndlessPart is the part of an answer that has no end.
type EndlessPart int

// The parts.
const (
	// EndlessBody is the body of an answer that tells success.
	EndlessBody EndlessPart = iota
	// EndlessFailure is the body of an answer that tells a failure.
	EndlessFailure
	// EndlessHead is the head.
	EndlessHead
)

// endlessBlock is the number of bytes that are sent at a time.
const endlessBlock = 32 << 10

// Endless answers every request with bytes without end, for tests of clients.
type Endless struct {
	part        EndlessPart
	contentType string
	sent        atomic.Int64
}

// NewEndless returns a handler whose answers have a part without end.
func NewEndless(part EndlessPart, contentType string) *Endless {
	return &Endless{part: part, contentType: contentType}
}

// Sent returns the number of bytes that were sent, read by the client or not.
func (e *Endless) Sent() int64 { return e.sent.Load() }

// ServeHTTP sends until the client closes.
func (e *Endless) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", e.contentType)
	switch e.part {
	case EndlessBody:
		e.pour(w, strings.Repeat(" ", endlessBlock))
	case EndlessFailure:
		w.WriteHeader(http.StatusInternalServerError)
		e.pour(w, strings.Repeat("x", endlessBlock))
	case EndlessHead:
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic("standin: a head without end needs HTTP/1: " + err.Error())
		}
		defer c.Close()
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"); err != nil {
			return // the client has closed
		}
		e.pour(c, strings.Repeat("A: b\r\n", endlessBlock/6))
	}
}

// pour writes a block over and over until the client closes.
func (e *Endless) pour(w io.Writer, block string) {
	for {
		n, err := io.WriteString(w, block)
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
