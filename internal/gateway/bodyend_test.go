package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endedBody is a body that calls a function once its end was read, before its reader goes
// on.
type endedBody struct {
	io.ReadCloser
	ended func()
}

func (b *endedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended()
	}
	return n, err
}

// bodyRequest is a request up to the fields that frame its body.
const bodyRequest = "POST " + rawPathPublish + " HTTP/1.1\r\nHost: h\r\n" + rawID + ": " + rawRequestID + "\r\n"

func dialFront(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// From the end of a body, net/http reads on to see whether the caller leaves. Neither the
// deadline of the body nor EndRequests may end that read as if the caller had left: the
// request would end without an answer.
func TestBodyThatEndsAtItsDeadlineIsAnswered(t *testing.T) {
	const timeout = 100 * time.Millisecond
	passDeadline := func(*Gateway) { time.Sleep(3 * timeout / 2) }
	endRequests := func(g *Gateway) {
		g.Drain(0)
		g.EndRequests()
		time.Sleep(timeout / 2) // the read is interrupted on another goroutine
	}
	for _, test := range []struct {
		name   string
		ended  func(g *Gateway)
		status int
	}{
		{"in time", func(*Gateway) {}, http.StatusOK},
		{"reader goes on after the deadline", passDeadline, http.StatusOK},
		{"requests are ended", endRequests, http.StatusServiceUnavailable},
	} {
		for _, body := range []string{
			"Content-Length: 4\r\n\r\nbody",
			"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		} {
			framing, _, _ := strings.Cut(body, ":")
			t.Run(test.name+", "+framing, func(t *testing.T) {
				f := startRawFleet(t, 1, []rawAnswer{{text: head("200 OK", proven+length("ok")) + "ok"}})
				f.gateway.bodyTimeout = timeout
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					r.Body = &endedBody{r.Body, func() { test.ended(f.gateway) }}
					f.gateway.ServeHTTP(w, r)
				}))
				t.Cleanup(server.Close)
				c := dialFront(t, server.Listener.Addr().String())
				_, err := io.WriteString(c, bodyRequest+body)
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err, "the connection was closed without an answer")
				require.Equal(t, test.status, response.StatusCode)
				if test.status != http.StatusOK {
					require.Empty(t, f.seen(), "a request that is refused must not run")
				}
			})
		}
	}
}

// A caller whose last byte comes about when the time to read the body ends gets an answer,
// and a refused request does not run.
func TestLastByteAtDeadlineIsAnswered(t *testing.T) {
	const (
		timeout = 40 * time.Millisecond
		step    = 200 * time.Microsecond
		callers = 60
	)
	answer := rawAnswer{text: head("200 OK", proven+length("ok")) + "ok"}
	f := startRawFleet(t, callers/rawSlots+1, slices.Repeat([]rawAnswer{answer}, callers))
	f.gateway.bodyTimeout = timeout
	statuses := make(chan int, callers)
	for i := range callers {
		c := dialFront(t, f.front)
		go func() {
			_, _ = io.WriteString(c, bodyRequest+"Content-Length: 4\r\n\r\nbod")
			time.Sleep(timeout + time.Duration(i-callers/2)*step)
			_, _ = io.WriteString(c, "y") // fails if the request was refused
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	answered := 0
	for range callers {
		switch status := <-statuses; status {
		case http.StatusOK:
			answered++
		default:
			require.Equal(t, http.StatusRequestTimeout, status)
		}
	}
	require.Len(t, f.seen(), answered)
}
