package engines_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

// An answer in whose head the name of a field holds a blank or a control byte was taken, with
// that field among its own ones or with a body that was framed by others.
func TestOddFieldNameIsNoAnswer(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	for _, test := range []struct{ name, lines string }{
		{"blank within", "Bad Name: v\r\n"},
		{"blank before the colon", "Note : v\r\n"},
		{"length with a blank", "Content-Length : 2\r\n"},
		{"chunks with a blank", "Transfer-Encoding : chunked\r\n"},
		{"blank in front", "Note: a\r\n Bad: v\r\n"},
		{"tab in front", "Note: a\r\n\tBad: v\r\n"},
		{"blank in front of the first field", " Bad: v\r\n"},
		{"tab before the colon", "Note\t: v\r\n"},
		{"control byte", "Bad\x01Name: v\r\n"},
		{"null byte", "Bad\x00Name: v\r\n"},
		{"DEL", "Bad\x7fName: v\r\n"},
		{"bare CR", "Bad\rName: v\r\n"},
		{"byte above ASCII", "Bad\xe9Name: v\r\n"},
		{"no name", ": v\r\n"},
	} {
		for _, answer := range []struct{ name, text string }{
			{"own", "HTTP/1.1 200 OK\r\n" + test.lines + rest},
			{"own, no length", "HTTP/1.1 200 OK\r\n" + test.lines + "\r\nok"},
			{"interim", "HTTP/1.1 103 Early Hints\r\n" + test.lines + "\r\nHTTP/1.1 200 OK\r\n" + rest},
			{"after an interim one", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + test.lines + rest},
			{"failure", "HTTP/1.1 500 Internal Server Error\r\n" + test.lines + rest},
		} {
			t.Run(test.name+", "+answer.name, func(t *testing.T) {
				body, err := upload(t, 16, standin.PeerAnswer{Text: answer.text, ReadFirst: -1, End: standin.PeerHalfCloses})
				require.ErrorIs(t, err, engines.ErrUnknown, "body %q", body)
			})
		}
	}
}

// The names of a trailer are checked as those of a head are.
func TestOddFieldNameInTrailer(t *testing.T) {
	for _, test := range []struct {
		name, trailer string
		fails         bool
	}{
		{"blank within", "Bad Name: v\r\n", true},
		{"blank before the colon", "Content-Length : 2\r\n", true},
		{"sound", "Sum: 12\r\n", false},
		{"none", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + test.trailer + "\r\n"
			body, err := upload(t, 16, standin.PeerAnswer{Text: text, ReadFirst: -1})
			require.Equal(t, test.fails, err != nil, "%v", err)
			require.Equal(t, "ok", body)
		})
	}
}

// Heads that HTTP allows are taken, on a new connection and on one that was kept, and what looks
// like an odd name in a body is none.
func TestSoundFieldNames(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		body    = "Bad Name: v\r\n : \r\n\x01: v\r\n\r\n"
		rest    = "Content-Length: 26\r\n\r\n" + body
	)
	for _, test := range []struct{ name, before, lines, field, value string }{
		{"every character of a name", "", "!#$%&'*+-.^_`|~09azAZ: v\r\n", "!#$%&'*+-.^_`|~09azAZ", "v"},
		{"no value", "", "Note:\r\n", "Note", ""},
		{"folded value", "", "Note: a\r\n b\r\n", "Note", "a b"},
		{"after interim answers", interim + interim, "Note: v\r\n", "Note", "v"},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer, err := standin.NewPeer(standin.PeerAnswer{Text: test.before + "HTTP/1.1 200 OK\r\n" + test.lines + rest})
			require.NoError(t, err)
			t.Cleanup(peer.Close)
			c := engines.New("http://" + peer.Address())
			for range 3 {
				response, err := c.Do(t.Context(), engines.NewRequest(http.MethodGet, "/faq"))
				require.NoError(t, err)
				require.Equal(t, test.value, response.Header().Get(test.field))
				requireBody(t, body, response)
			}
		})
	}
}
