package command

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
)

// A call prints no answer with a status that is none of HTTP's or an odd name of a field.
func TestCallWithOddHead(t *testing.T) {
	for _, test := range []struct {
		head string
		want int
		out  string
	}{
		{"000 Trouble", statusFailed, ""},
		{"999 Trouble", statusFailed, ""},
		{"201 Created", statusOK, "seat"},
		{"200 OK\r\nBad Name: v", statusFailed, ""},
		{"200 OK\r\nNote: v", statusOK, "seat"},
	} {
		peer, err := standin.NewPeer(standin.PeerAnswer{Text: "HTTP/1.1 " + test.head + "\r\nOutcome: answered\r\nContent-Length: 4\r\n\r\nseat"})
		require.NoError(t, err)
		var out, failure bytes.Buffer
		status := Run([]string{"call", "bookings", "--entry", peer.Address(), "--account", "shop-1", "--data", "x"}, &out, &failure)
		peer.Close()
		require.Equal(t, test.want, status, "%s: %s", test.head, failure.String())
		require.Equal(t, test.out, out.String())
	}
}

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
