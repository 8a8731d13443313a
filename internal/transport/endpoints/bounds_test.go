package endpoints

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// forever reads a request and then writes a text again and again until the caller
// closes.
func forever(first, again string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, first); err != nil {
			return
		}
		block := strings.Repeat(again, max(4096/len(again), 1))
		for {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	}
}

const foreign = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"

var endless = []struct {
	name         string
	first, again string
}{
	{"head lines", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
	{"many short head lines", "HTTP/1.1 200 OK\r\n", "a:\r\n"},
	{"one head line", "HTTP/1.1 200 OK\r\na: ", "b"},
	{"status line", "HTTP/1.1 200 ", "O"},
	{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"answers of another request", "", foreign},
	{"body of another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	{"body of another request without a length", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "a"},
	{"no answer in the protocol", "", "garbage"},
}

// What comes without end before an answer ends the exchange after a bounded number of
// bytes, as one that may have run, and the connection is not used again.
func TestBytesWithoutEnd(t *testing.T) {
	for _, test := range endless {
		t.Run(test.name, func(t *testing.T) {
			p := NewPool()
			address := serve(t, forever(test.first, test.again))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, _, err := exchange(ctx, p, address, nil)
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrNotSent, "it may have run")
			require.NoError(t, ctx.Err(), "the bytes end it, not the time")
			require.Zero(t, p.host(address).open)
		})
	}
}

// Sixty-four such endpoints at once take little memory.
func TestMemoryUnderBytesWithoutEnd(t *testing.T) {
	const (
		exchanges  = 64
		memoryOfIt = 48 << 20 // bytes: an entry has 110 MB before its collector works against a bound
	)
	p := NewPool()
	var addresses []string
	for _, test := range endless {
		addresses = append(addresses, serve(t, forever(test.first, test.again)))
	}
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		var all sync.WaitGroup
		for i := range exchanges {
			all.Go(func() { _, _, _ = exchange(ctx, p, addresses[i%len(addresses)], nil) })
		}
		all.Wait()
	}()
	peak := uint64(0)
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-tick.C:
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
	}
	require.NoError(t, ctx.Err())
	require.Less(t, peak-min(peak, before.HeapInuse), uint64(memoryOfIt))
	t.Logf("peak %d KB above %d KB", (peak-min(peak, before.HeapInuse))>>10, before.HeapInuse>>10)
}

// An endpoint that sends a byte now and then is given up with the time of the request.
func TestDripEndsWithTheTime(t *testing.T) {
	for _, first := range []string{"HTTP/1.1 200 OK\r\na: ", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1000\r\n\r\n"} {
		address := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			for text := first; ; text = "x" {
				if _, err := io.WriteString(c, text); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		begun := time.Now()
		_, _, err := exchange(ctx, NewPool(), address, nil)
		cancel()
		require.Error(t, err)
		require.Less(t, time.Since(begun), 2*time.Second)
	}
}

// A late answer without a name may be one to an earlier request: it proves nothing on a
// connection that was used before.
func TestUnnamedAnswer(t *testing.T) {
	const unnamed = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for _, test := range []struct {
		name    string
		answers []string
		fails   bool // the last exchange
	}{
		{"on a new connection", []string{unnamed}, false},
		{"on a used connection", []string{whole, unnamed}, true},
	} {
		p := NewPool()
		address := serve(t, answers(test.answers...))
		var err error
		for range test.answers {
			_, _, err = exchange(t.Context(), p, address, nil)
		}
		require.Equal(t, test.fails, err != nil, test.name)
		require.NotErrorIs(t, err, ErrNotSent, test.name)
	}
}

// What is left of an answer that is of no use is read where that is little and quick.
func TestDrain(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer string
		reused bool
	}{
		{"short body", whole, true},
		{"long body", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000), false},
		{"body that does not come", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\n", false},
	} {
		p := NewPool()
		var served atomic.Bool
		address := serve(t, func(c net.Conn, r *bufio.Reader) {
			if served.Swap(true) {
				answers(whole)(c, r)
				return
			}
			answers(test.answer, whole)(c, r)
		})
		x, err := p.Begin(t.Context(), address, time.Second)
		require.NoError(t, err)
		_, err = x.Send(t.Context(), Head{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, nil, mine)
		require.NoError(t, err)
		begun := time.Now()
		x.Drain()
		x.End()
		require.Less(t, time.Since(begun), time.Second, test.name)
		_, reused, err := exchange(t.Context(), p, address, nil)
		require.NoError(t, err, test.name)
		require.Equal(t, test.reused, reused, test.name)
	}
}

// A head has at most so many lines, whatever part of it arrives when; those of the body after
// it do not count.
func TestLinesOfHead(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
		start   = "HTTP/1.1 200 OK\r\nId: mine\r\n"
		empty   = "\n"
	)
	body := strings.Repeat(empty, 2*maxHeadLines)
	fields := func(n int) string { return strings.Repeat("a:\r\n", n) }
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	for _, test := range []struct {
		name  string
		parts []string
		fails bool
	}{
		{"body of short lines", []string{start + length + body}, false},
		{"end of the head apart", []string{start + strings.TrimSuffix(length, "\r\n"), "\r\n" + body}, false},
		{"interim answer before", []string{interim + start, length + body}, false},
		{"interim answer and a part of a line", []string{interim + strings.TrimSuffix(start, "\r\n"), "\r\n" + length + body}, false},
		{"as many lines as may be", []string{start + fields(maxHeadLines-4) + length + body}, false},
		{"too many lines", []string{start + fields(maxHeadLines) + length + body}, true},
		{"too many lines in parts", []string{start + fields(maxHeadLines/2), fields(maxHeadLines / 2), fields(2), length + body}, true},
		{"too many lines after a part of a line", []string{interim + start + "a: b", "\r\n" + fields(maxHeadLines), length + body}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				for _, part := range test.parts {
					if _, err := io.WriteString(c, part); err != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
			got, _, err := exchange(t.Context(), NewPool(), address, nil)
			if test.fails {
				require.ErrorIs(t, err, ErrTooLong)
				return
			}
			require.NoError(t, err)
			require.Equal(t, body, got)
		})
	}
}
