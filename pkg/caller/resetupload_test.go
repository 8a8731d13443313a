package caller_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/pkg/caller"
)

// An answer without a length, which names its outcome in its head, was taken for whole if its
// entry reset it while the request was still written.
func TestResetDuringUpload(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nOutcome: answered\r\n\r\n"
		tries = 20
	)
	request := func() *caller.Request {
		return caller.NewRequest(http.MethodPost, "bookings", "/seats", caller.WithBody(make([]byte, 4<<20)))
	}
	for _, test := range []struct {
		name   string
		answer standin.PeerAnswer
		fails  bool
	}{
		{"reset at once", standin.PeerAnswer{Text: head + "seat", End: standin.PeerResets}, true},
		{"reset after 20 ms", standin.PeerAnswer{Text: head + "seat", Pause: 20 * time.Millisecond, End: standin.PeerResets}, true},
		{"ended in good order before the upload", standin.PeerAnswer{Text: head + "seat", End: standin.PeerHalfCloses}, false},
		{"ended in good order after the upload", standin.PeerAnswer{Text: head + "seat", ReadFirst: -1, End: standin.PeerHalfCloses}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range tries {
				// The first request of a client asks for addresses.
				addresses := standin.PeerAnswer{Text: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"}
				peer, err := standin.NewPeer(addresses, test.answer)
				require.NoError(t, err)
				answer, err := caller.New("shop-1", []string{"http://" + peer.Address()}).Do(t.Context(), request())
				peer.Close()
				require.Equal(t, 2, peer.Requests())
				if test.fails {
					require.ErrorIs(t, err, caller.ErrUnknown)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, "seat", string(answer.Body()))
			}
		})
	}
}
