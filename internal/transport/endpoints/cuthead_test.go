package endpoints

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutAnswers are whole answers. The head of each ends with its first blank line that is
// followed by its body; last is the number of bytes at its end without which it is whole
// all the same.
var cutAnswers = []struct {
	name, text string
	last       int
}{
	{"length", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 12\r\nProof: p\r\n\r\nhello, world", 0},
	{"length in the last field", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 12\r\n\r\nhello, world", 0},
	{"length of nothing", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n", 0},
	{"chunks", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n2\r\nok\r\n0\r\n\r\n", 0},
	{"chunks and trailer", "HTTP/1.1 200 OK\r\nId: mine\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: 12\r\n\r\n", 0},
	{"until it closes", "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\n\r\nhello", 5},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nhello", 0},
	{"HTTP/1.0 until it closes", "HTTP/1.0 200 OK\r\nId: mine\r\n\r\nhello", 5},
	{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + whole, 0},
	{"another request's answer", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad" + whole, 0},
	{"folded field", "HTTP/1.1 200 OK\r\nId: mine\r\nNote: a\r\n b\r\nContent-Length: 2\r\n\r\nok", 0},
	{"204", "HTTP/1.1 204 No Content\r\nId: mine\r\n\r\n", 0},
}

// breakOff closes a connection, by a reset if it is to be one.
func breakOff(c net.Conn, reset bool) {
	if t, isTCP := c.(*net.TCPConn); isTCP && reset {
		_ = t.SetLinger(0) // closing then sends a reset
	}
	c.Close()
}

// An answer that breaks off in its head, or before the end of its body, was taken for whole.
func TestCutAnswerIsNotWhole(t *testing.T) {
	for _, test := range cutAnswers {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				name := test.name + ", reset " + strconv.FormatBool(reset) + ", kept " + strconv.FormatBool(kept)
				t.Run(name, func(t *testing.T) {
					for at := range len(test.text) - test.last {
						requireBroken(t, test.text[:at], reset, kept)
					}
				})
			}
		}
	}
}

// requireBroken requires that an answer counts as one that may have run and is not whole, and that
// its connection is not used again.
func requireBroken(t *testing.T, text string, reset, kept bool) {
	t.Helper()
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		if kept {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, whole)
		}
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		breakOff(c, reset)
	})
	p := NewPool()
	if kept {
		_, _, err := exchange(t.Context(), p, address, nil)
		require.NoError(t, err)
	}
	body, reused, err := exchange(t.Context(), p, address, nil)
	require.Equal(t, kept, reused)
	require.Error(t, err, "%q: body %q", text, body)
	require.NotErrorIs(t, err, ErrNotSent, "it may have run")
	require.Zero(t, p.host(address).open)
}

// The rest of an answer that is cut is not drained to an end.
func TestCutAnswerIsNotDrained(t *testing.T) {
	for _, test := range cutAnswers {
		for at := strings.LastIndex(test.text, "\r\n\r\n") + 4; at < len(test.text)-test.last; at++ {
			address := serve(t, answersAndCloses(test.text[:at]))
			p := NewPool()
			x, err := p.Begin(t.Context(), address, time.Second)
			require.NoError(t, err)
			_, err = x.Send(t.Context(), Head{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, nil, mine)
			require.NoError(t, err)
			x.Drain()
			x.End()
			require.Zero(t, p.host(address).open, "%s: %q", test.name, test.text[:at])
		}
	}
}

// answersAndCloses reads a request, writes a text and closes.
func answersAndCloses(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
	}
}

// The fields of a head that broke off, and of the answer that followed it on the
// connection, were taken for one head.
func TestHeadAfterCutHead(t *testing.T) {
	const own = "HTTP/1.1 500 Internal Server Error\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"
	for _, cut := range []string{
		"HTTP/1.1 200 OK\r\nProof: p\r\nNote: text\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nConnection: close\r\n",
		"HTTP/1.0 503 Service Unavailable\r\nRetry-After: 1\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n",
		"HTTP/1.1 200 OK\r\nTrailer: Sum, Time\r\nTransfer-Encoding: chunked\r\n",
	} {
		for at := 1; at <= len(cut); at++ {
			text := cut[:at] + own
			_, _, err := exchange(t.Context(), NewPool(), serve(t, answersAndCloses(text)), nil)
			require.Error(t, err, "%q", text)
			require.NotErrorIs(t, err, ErrNotSent, "it may have run")
		}
	}
}

// A field that names a protocol and no status is no other head.
func TestFieldThatNamesProtocol(t *testing.T) {
	for _, field := range []string{"Via: HTTP/1.1 proxy", "Via: HTTP/1.1 100.64.0.1", "Upgrade: HTTP/2.0", "Server: HTTP/1.1"} {
		text := "HTTP/1.1 200 OK\r\nId: mine\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok"
		body, _, err := exchange(t.Context(), NewPool(), serve(t, answers(text)), nil)
		require.NoError(t, err, field)
		require.Equal(t, "ok", body)
	}
}
