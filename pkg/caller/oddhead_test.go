package caller_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/pkg/caller"
)

// answerOf sends a request to an entry that answers with the given text.
func answerOf(t *testing.T, text string) (*caller.Answer, error) {
	t.Helper()
	// The first request of a client asks for addresses.
	peer, err := standin.NewPeer(standin.PeerAnswer{Text: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		standin.PeerAnswer{Text: text, ReadFirst: -1, End: standin.PeerHalfCloses})
	require.NoError(t, err)
	defer peer.Close()
	return caller.New("shop-1", []string{"http://" + peer.Address()}).Do(t.Context(), caller.NewRequest(http.MethodPost, "bookings", "/seats"))
}

// A status that is none of HTTP's for a final answer was taken for that of the service.
func TestStatusOfNoAnswer(t *testing.T) {
	const rest = "\r\nOutcome: answered\r\nContent-Length: 4\r\n\r\nseat"
	for _, test := range []struct {
		status string
		want   int // 0 where it is no answer
	}{
		{"000 Trouble", 0},
		{"099 Trouble", 0},
		{"101 Switching Protocols", 0},
		{"600 Trouble", 0},
		{"999 Trouble", 0},
		{"201 Created", http.StatusCreated},
		{"418 Teapot", http.StatusTeapot},
		{"599 Any", 599},
	} {
		t.Run(test.status, func(t *testing.T) {
			answer, err := answerOf(t, "HTTP/1.1 "+test.status+rest)
			if test.want == 0 {
				require.ErrorIs(t, err, caller.ErrUnknown)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.want, answer.Status())
			require.Equal(t, "seat", string(answer.Body()))
		})
	}
}

// An answer in whose head the name of a field holds a blank or a control byte was taken.
func TestOddFieldName(t *testing.T) {
	const rest = "Outcome: answered\r\nContent-Length: 4\r\n\r\nseat"
	for _, test := range []struct {
		name, lines string
		fails       bool
	}{
		{"blank within", "Bad Name: v\r\n", true},
		{"blank before the colon", "Content-Length : 2\r\n", true},
		{"blank in front", "Note: a\r\n Bad: v\r\n", true},
		{"control byte", "Bad\x01Name: v\r\n", true},
		{"sound", "Note: v\r\n", false},
		{"folded value", "Note: a\r\n b\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			answer, err := answerOf(t, "HTTP/1.1 200 OK\r\n"+test.lines+rest)
			if test.fails {
				require.ErrorIs(t, err, caller.ErrUnknown)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "seat", string(answer.Body()))
		})
	}
}
