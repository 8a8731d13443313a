package endpoints

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve answers each connection with the function and returns the address.
func serve(t *testing.T, answer func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				answer(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// answers reads a request for each text and writes the text.
func answers(texts ...string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for _, text := range texts {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(c, text)
		}
		_, _ = io.Copy(io.Discard, r) // until the client closes
	}
}

func mine(h http.Header) Match {
	switch h.Get("Id") {
	case "mine":
		return Own
	case "":
		return Unnamed
	}
	return Foreign
}

const whole = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"

func exchange(ctx context.Context, p *Pool, address string, body []byte) (string, bool, error) {
	x, err := p.Begin(ctx, address, time.Second)
	if err != nil {
		return "", false, err
	}
	defer x.End()
	response, err := x.Send(ctx, Head{Method: "POST", Target: "/a", Host: "h", Header: http.Header{}}, [][]byte{body[:len(body)/2], body[len(body)/2:]}, mine)
	if err != nil {
		return "", x.Reused(), err
	}
	data, err := io.ReadAll(response.Body)
	return string(data), x.Reused(), err
}

// Each answer is tried twice: the second exchange shows whether the connection was
// kept.
func TestConnectionIsKeptOnlyWhenClean(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer string
		reused bool
		fails  bool
	}{
		{"whole", whole, true, false},
		{"chunked", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, false},
		{"wants to close", "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false, false},
		{"bytes after it", whole + "HTTP/1.1 200 OK\r\n", false, false},
		{"no time to be idle", "HTTP/1.1 200 OK\r\nId: mine\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false, false},
		{"interim answer first", "HTTP/1.1 100 Continue\r\n\r\n" + whole, true, false},
		{"another request's answer first", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad" + whole, true, false},
		{"no answer in the protocol", "garbage\r\n\r\n", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewPool()
			address := serve(t, answers(test.answer, test.answer))
			text, _, err := exchange(t.Context(), p, address, nil)
			if test.fails {
				require.Error(t, err)
				require.NotErrorIs(t, err, ErrNotSent)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "ok", text)
			time.Sleep(5 * time.Millisecond) // bytes after an answer need to arrive
			_, reused, err := exchange(t.Context(), p, address, nil)
			require.NoError(t, err)
			require.Equal(t, test.reused, reused)
		})
	}
}

// An exchange is written at most once, also on a connection that the endpoint
// closes as it reads it.
func TestNothingIsRepeated(t *testing.T) {
	p := NewPool()
	requests := make(chan string, 8)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		for i := range 2 {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			requests <- request.RequestURI
			if i == 1 {
				return
			}
			_, _ = io.WriteString(c, whole)
		}
	})
	_, _, err := exchange(t.Context(), p, address, nil)
	require.NoError(t, err)
	_, reused, err := exchange(t.Context(), p, address, nil)
	require.True(t, reused)
	require.Error(t, err)
	require.False(t, errors.Is(err, ErrNotSent), "it may have run")
	require.Len(t, requests, 2)
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	_, _, err = exchange(t.Context(), NewPool(), address, nil)
	require.ErrorIs(t, err, ErrNotSent)
}

func TestLimit(t *testing.T) {
	p := NewPool(WithLimit(1))
	address := serve(t, answers(whole))
	x, err := p.Begin(t.Context(), address, time.Second)
	require.NoError(t, err)
	_, err = p.Begin(t.Context(), address, time.Second)
	require.ErrorIs(t, err, ErrNoConnection)
	x.End()
	_, err = p.Begin(t.Context(), address, time.Second)
	require.NoError(t, err)
	require.Equal(t, int64(2), p.Dials())
}

// Connections to an endpoint with a lower limit than others stay within it, those that are
// idle and those that were open before included.
func TestLimitOfEndpoint(t *testing.T) {
	p := NewPool(WithLimit(3))
	address := serve(t, answers())
	var open []*Exchange
	for range 3 {
		x, err := p.Begin(t.Context(), address, time.Second)
		require.NoError(t, err)
		open = append(open, x)
	}
	p.SetLimits(Limits{address: 1})
	_, err := p.Begin(t.Context(), address, time.Second)
	require.ErrorIs(t, err, ErrNoConnection)
	open[0].End()
	open[1].End()
	require.Equal(t, 1, p.host(address).open)
	require.NoError(t, p.Probe(t.Context(), address))
	require.Equal(t, 1, p.host(address).open)
	require.Empty(t, p.host(address).idle, "a probe beyond the limit is not kept")
	open[2].End()
	require.NoError(t, p.Probe(t.Context(), address))
	require.Len(t, p.host(address).idle, 1, "a probe within the limit is kept")
	p.SetLimits(Limits{address: 0})
	require.Zero(t, p.host(address).open)
	_, err = p.Begin(t.Context(), address, time.Second)
	require.ErrorIs(t, err, ErrNoConnection)
	require.NoError(t, p.Probe(t.Context(), address))
	p.SetLimits(nil)
	_, err = p.Begin(t.Context(), address, time.Second)
	require.NoError(t, err)
}

// The end of the context closes the connection, at whatever moment it comes.
func TestCancel(t *testing.T) {
	p := NewPool()
	address := serve(t, answers(slices.Repeat([]string{whole}, 250)...))
	for i := range 200 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%20)*50*time.Microsecond)
		_, _, _ = exchange(ctx, p, address, nil) // either end is right
		cancel()
	}
	p.Sweep()
	text, _, err := exchange(t.Context(), p, address, nil)
	require.NoError(t, err)
	require.Equal(t, "ok", text)
}

// An endpoint may answer before it has read a long body; the answer arrives, and
// the connection is not used again.
func TestEarlyAnswer(t *testing.T) {
	p := NewPool()
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, whole)
		time.Sleep(100 * time.Millisecond)
	})
	text, _, err := exchange(t.Context(), p, address, make([]byte, 16<<20))
	require.NoError(t, err)
	require.Equal(t, "ok", text)
	_, reused, err := exchange(t.Context(), p, address, nil)
	require.NoError(t, err)
	require.False(t, reused)
}

// An exchange may end before the write of its body has begun.
func TestEndBeforeTheBodyIsWritten(t *testing.T) {
	// On one processor the goroutine that writes runs after End.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	address := serve(t, answers(whole))
	x, err := NewPool().Begin(t.Context(), address, time.Second)
	require.NoError(t, err)
	require.NoError(t, x.write(Head{Method: "POST", Target: "/a", Host: "h", Header: http.Header{}}, [][]byte{make([]byte, concurrentBody)}))
	x.End()
	require.Error(t, <-x.written)
}
