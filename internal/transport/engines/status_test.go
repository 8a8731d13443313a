package engines_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

// An engine in trouble may answer with a status that is none of HTTP's. It must not reach the
// caller as an answer, and the request may have run.
func TestStatusOfNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { l.Close() })
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\nno")
				}
			}()
			c := engines.New("http://" + l.Addr().String())
			_, err = c.Do(t.Context(), engines.NewRequest(http.MethodGet, "/faq"))
			require.ErrorIs(t, err, engines.ErrUnknown)
		})
	}
}

// A status that HTTP doesn't name is that of an answer all the same, also after an interim one.
func TestStatusOfAnswer(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for _, test := range []struct {
		before, line string
		status       int
	}{
		{"", "200 OK", 200},
		{interim, "200 OK", 200},
		{"", "299 Any", 299},
		{"", "418 Teapot", 418},
		{interim + interim, "599 Any", 599},
	} {
		t.Run(test.line, func(t *testing.T) {
			peer, err := standin.NewPeer(standin.PeerAnswer{Text: test.before + "HTTP/1.1 " + test.line + "\r\nContent-Length: 2\r\n\r\nok"})
			require.NoError(t, err)
			t.Cleanup(peer.Close)
			response, err := engines.New("http://"+peer.Address()).Do(t.Context(), engines.NewRequest(http.MethodGet, "/faq"))
			require.NoError(t, err)
			require.Equal(t, test.status, response.Status())
			requireBody(t, "ok", response)
		})
	}
}
