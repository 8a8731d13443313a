package soak

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exchange sends a byte through a connection to an echo and reports whether it comes
// back in time.
func exchange(t *testing.T, c net.Conn) bool {
	t.Helper()
	require.NoError(t, c.SetDeadline(time.Now().Add(3*proxyDelay)))
	if _, err := c.Write([]byte{7}); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestLinks(t *testing.T) {
	const address = "127.62.0.1:9100"
	for _, test := range []struct {
		name      string
		disturb   func(l *link)
		during    bool // an open connection works meanwhile
		fresh     bool // a new connection works meanwhile
		afterward bool // the open connection works when it is over
	}{
		{"undisturbed", func(*link) {}, true, true, true},
		{"delayed", func(l *link) { l.disturb(1, delayed) }, true, true, true},
		{"dripping", func(l *link) { l.disturb(1, dripping) }, true, true, true},
		{"cut towards the server", func(l *link) { l.disturb(1, cutThere) }, false, false, false},
		{"cut towards the caller", func(l *link) { l.disturb(1, cutBack) }, false, false, false},
		{"silenced", func(l *link) { l.disturb(1, silenced) }, false, false, false},
		{"reset", (*link).resetAll, false, true, false},
		{"muted for good", (*link).muteAll, false, true, false},
		{"half open", (*link).halveAll, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLink("test")
			hidden, err := l.hide(address)
			require.NoError(t, err)
			defer l.stop()
			defer hidden.Close()
			go func() {
				for {
					c, err := hidden.Accept()
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(c, c) }()
				}
			}()
			dial := func() net.Conn {
				c, err := net.Dial("tcp", address)
				require.NoError(t, err)
				return c
			}
			open := dial()
			defer open.Close()
			require.True(t, exchange(t, open))
			test.disturb(l)
			require.Equal(t, test.during, exchange(t, open))
			fresh := dial()
			defer fresh.Close()
			require.Equal(t, test.fresh, exchange(t, fresh))
			l.heal(1)
			require.Equal(t, test.afterward, exchange(t, open))
			last := dial()
			defer last.Close()
			require.True(t, exchange(t, last))
		})
	}
}

// A disturbance that ends does not end another one on the same link.
func TestOverlappingDisturbances(t *testing.T) {
	l := newLink("test")
	for _, test := range []struct {
		do   func()
		want disturbance
	}{
		{func() { l.disturb(1, delayed) }, delayed},
		{func() { l.disturb(2, silenced) }, silenced},
		{func() { l.disturb(3, dripping) }, silenced},
		{func() { l.heal(2) }, dripping},
		{func() { l.heal(3) }, delayed},
		{func() { l.heal(1) }, passing},
	} {
		test.do()
		require.Equal(t, test.want, l.now())
	}
}

// Datagrams pass, and are lost towards a process that is cut off.
func TestDatagrams(t *testing.T) {
	const address, target = "127.62.0.1:9101", "127.62.0.2:9101"
	receiver, err := net.ListenPacket("udp4", target)
	require.NoError(t, err)
	defer receiver.Close()
	l := newLink("test")
	require.NoError(t, l.datagrams(address, target))
	defer l.stop()
	sender, err := net.Dial("udp4", address)
	require.NoError(t, err)
	defer sender.Close()
	for _, test := range []struct {
		name    string
		now     disturbance
		arrives bool
	}{
		{"passing", passing, true},
		{"delayed", delayed, true},
		{"cut towards the process", cutThere, false},
		{"silenced", silenced, false},
		{"passing again", passing, true},
	} {
		l.disturb(1, test.now)
		_, err = sender.Write([]byte{7})
		require.NoError(t, err)
		require.NoError(t, receiver.SetReadDeadline(time.Now().Add(3*proxyDelay)))
		_, _, err = receiver.ReadFrom(make([]byte, 1))
		require.Equal(t, test.arrives, err == nil, test.name)
	}
}

// A connection that one side resets is reset for the other side, too.
func TestResetPassesProxy(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	l := newLink("link")
	defer l.stop()
	front, err := l.stream("127.0.0.1:0", listener.Addr().String())
	require.NoError(t, err)
	for _, test := range []struct {
		name string
		end  func(c net.Conn)
		want error
	}{
		{"reset", reset, syscall.ECONNRESET},
		{"closed", func(c net.Conn) { c.Close() }, io.EOF},
	} {
		caller, err := net.Dial("tcp", front.(net.Listener).Addr().String())
		require.NoError(t, err)
		server, err := listener.Accept()
		require.NoError(t, err)
		_, err = server.Write([]byte("a"))
		require.NoError(t, err)
		_, err = io.ReadFull(caller, make([]byte, 1))
		require.NoError(t, err)
		test.end(server)
		_, err = caller.Read(make([]byte, 1))
		require.ErrorIs(t, err, test.want, test.name)
		caller.Close()
	}
}
