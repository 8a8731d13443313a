package tcp_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/tcp"
)

const longWrite = 8 << 20 // bytes: more than the buffers of a connection take

// pair returns the two sides of a connection.
func pair(t *testing.T) (*tcp.Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	own, err := tcp.Dial(&net.Dialer{})(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { own.Close() })
	peer, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	return own.(*tcp.Conn), peer.(*net.TCPConn)
}

// reset makes the peer reset the connection, and waits until the reset has come.
func reset(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	time.Sleep(20 * time.Millisecond)
}

// A reset is no end to a read, whichever call meets it.
func TestResetIsNoEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		meet func(t *testing.T, own *tcp.Conn, peer *net.TCPConn)
	}{
		{"read meets it", func(t *testing.T, _ *tcp.Conn, peer *net.TCPConn) { reset(t, peer) }},
		{"an earlier read met it", func(t *testing.T, own *tcp.Conn, peer *net.TCPConn) {
			reset(t, peer)
			_, err := io.ReadAll(own)
			require.Error(t, err)
		}},
		{"write meets it", func(t *testing.T, own *tcp.Conn, peer *net.TCPConn) {
			reset(t, peer)
			_, err := own.Write([]byte("late"))
			require.Error(t, err)
		}},
		{"write in progress meets it", func(t *testing.T, own *tcp.Conn, peer *net.TCPConn) {
			written := make(chan error, 1)
			go func() {
				_, err := own.Write(make([]byte, longWrite))
				written <- err
			}()
			time.Sleep(20 * time.Millisecond)
			reset(t, peer)
			require.Error(t, <-written)
		}},
		{"write meets it after an end that was not read", func(t *testing.T, own *tcp.Conn, peer *net.TCPConn) {
			require.NoError(t, peer.CloseWrite())
			reset(t, peer)
			_, err := own.Write([]byte("late"))
			require.Error(t, err)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			own, peer := pair(t)
			_, err := io.WriteString(peer, "part")
			require.NoError(t, err)
			test.meet(t, own, peer)
			for range 3 {
				_, err = io.ReadAll(own) // the error is nil for io.EOF
				require.Error(t, err)
			}
		})
	}
}

// An orderly end is one, and interrupts a write that the peer does not read.
func TestOrderlyEnd(t *testing.T) {
	own, peer := pair(t)
	written := make(chan error, 1)
	go func() {
		_, err := own.Write(make([]byte, longWrite))
		written <- err
	}()
	time.Sleep(20 * time.Millisecond)
	_, err := io.WriteString(peer, "whole")
	require.NoError(t, err)
	require.NoError(t, peer.CloseWrite())
	for _, want := range []string{"whole", ""} {
		got, err := io.ReadAll(own)
		require.NoError(t, err)
		require.Equal(t, want, string(got))
	}
	require.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
}

// A deadline that passes is no failure of the connection.
func TestDeadlineIsNoFailure(t *testing.T) {
	own, peer := pair(t)
	require.NoError(t, own.SetReadDeadline(time.Now()))
	_, err := own.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, own.SetReadDeadline(time.Time{}))
	require.NoError(t, peer.CloseWrite())
	_, err = own.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
}

// A client of net/http over such connections does not take an answer for whole that was reset
// while the request was still written.
func TestClientOfNetHTTP(t *testing.T) {
	const tries = 20
	client := http.Client{Transport: tcp.NewTransport(&net.Dialer{})}
	for range tries {
		peer, err := standin.NewPeer(standin.PeerAnswer{Text: "HTTP/1.1 200 OK\r\n\r\npart", Pause: 20 * time.Millisecond, End: standin.PeerResets})
		require.NoError(t, err)
		answer, err := client.Post("http://"+peer.Address(), "text/plain", bytes.NewReader(make([]byte, longWrite)))
		if err == nil {
			_, err = io.ReadAll(answer.Body)
			answer.Body.Close()
		}
		require.Error(t, err)
		peer.Close()
	}
}
