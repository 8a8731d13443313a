package command

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
)

// A call prints an answer as whole only if its entry has ended it in good order.
func TestCallDuringUpload(t *testing.T) {
	const (
		answer = "HTTP/1.1 200 OK\r\nOutcome: answered\r\n\r\nseat"
		tries  = 10
	)
	body := strings.Repeat("x", 4<<20)
	for _, test := range []struct {
		name   string
		answer standin.PeerAnswer
		status int
	}{
		{"reset", standin.PeerAnswer{Text: answer, Pause: 20 * time.Millisecond, End: standin.PeerResets}, statusFailed},
		{"ended before the upload", standin.PeerAnswer{Text: answer, End: standin.PeerHalfCloses}, statusOK},
		{"ended after the upload", standin.PeerAnswer{Text: answer, ReadFirst: -1, End: standin.PeerHalfCloses}, statusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range tries {
				peer, err := standin.NewPeer(test.answer)
				require.NoError(t, err)
				var out, failure bytes.Buffer
				status := Run([]string{"call", "bookings", "--entry", peer.Address(), "--account", "shop-1", "--path", "/seats", "--data", body}, &out, &failure)
				peer.Close()
				require.Equal(t, test.status, status, failure.String())
			}
		})
	}
}
