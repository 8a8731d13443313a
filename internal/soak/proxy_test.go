package soak

import (
	"io"
	"net"
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

func TestProxy(t *testing.T) {
	const address = "127.59.0.1:9100"
	for _, test := range []struct {
		name      string
		disturb   func(p *proxy)
		during    bool // an open connection works meanwhile
		fresh     bool // a new connection works meanwhile
		afterward bool // the open connection works when it is over
	}{
		{"undisturbed", func(*proxy) {}, true, true, true},
		{"delayed", func(p *proxy) { p.disturb(delayed) }, true, true, true},
		{"cut towards the server", func(p *proxy) { p.disturb(cutThere) }, false, false, false},
		{"cut towards the caller", func(p *proxy) { p.disturb(cutBack) }, false, false, false},
		{"silenced", func(p *proxy) { p.disturb(silenced) }, false, false, false},
		{"reset", (*proxy).resetAll, false, true, false},
		{"muted for good", (*proxy).muteAll, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, hidden, err := startProxy(address)
			require.NoError(t, err)
			defer p.listener.Close()
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
			test.disturb(p)
			require.Equal(t, test.during, exchange(t, open))
			fresh := dial()
			defer fresh.Close()
			require.Equal(t, test.fresh, exchange(t, fresh))
			p.disturb(passing)
			require.Equal(t, test.afterward, exchange(t, open))
			last := dial()
			defer last.Close()
			require.True(t, exchange(t, last))
		})
	}
}
