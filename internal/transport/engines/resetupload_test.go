package engines_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

const (
	longBody = 4 << 20 // bytes: more than the buffers of a connection take
	// resetTries is how often each broken answer is tried: whether the write or the read of
	// the client meets the reset differs from one to the next.
	resetTries = 20
)

// upload sends a body and returns that of the answer.
func upload(t *testing.T, size int, answer standin.PeerAnswer) (string, error) {
	t.Helper()
	peer, err := standin.NewPeer(answer)
	require.NoError(t, err)
	t.Cleanup(peer.Close)
	c := engines.New("http://" + peer.Address())
	response, err := c.Do(t.Context(), engines.NewRequest(http.MethodPost, "/faq", engines.WithBody(make([]byte, size))))
	if err != nil {
		require.ErrorIs(t, err, engines.ErrUnknown, "it may have run")
		return "", err
	}
	defer response.Body().Close()
	data, err := io.ReadAll(response.Body())
	return string(data), err
}

// requireBody reads the body of a response and closes it.
func requireBody(t *testing.T, want string, response *engines.Response) {
	t.Helper()
	got, err := io.ReadAll(response.Body())
	require.NoError(t, err)
	require.Equal(t, want, string(got))
	require.NoError(t, response.Body().Close())
}

// An answer without a length that is reset while its request is still written was taken for
// whole: the write met the reset, and the read an end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const (
		reset = standin.PeerResets
		part  = "HTTP/1.1 200 OK\r\n\r\nthe first part"
	)
	for _, test := range []struct {
		name   string
		answer standin.PeerAnswer
	}{
		{"at once", standin.PeerAnswer{Text: part, End: reset}},
		{"after 20 ms", standin.PeerAnswer{Text: part, Pause: 20 * time.Millisecond, End: reset}},
		{"after a part of the upload", standin.PeerAnswer{Text: part, ReadFirst: longBody / 2, Pause: 20 * time.Millisecond, End: reset}},
		{"HTTP/1.0", standin.PeerAnswer{Text: "HTTP/1.0 200 OK\r\n\r\npart", End: reset}},
		{"failure", standin.PeerAnswer{Text: "HTTP/1.1 422 Unprocessable Entity\r\n\r\npart", End: reset}},
		{"length", standin.PeerAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart", End: reset}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range resetTries {
				body, err := upload(t, longBody, test.answer)
				require.Error(t, err, "taken for whole: %q", body)
			}
		})
	}
}

// An answer without a length that its engine has ended in good order is whole, whether it
// came before the end of the upload or after it.
func TestOrderlyEndDuringUpload(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\nthe whole body"
	for _, test := range []struct {
		name   string
		answer standin.PeerAnswer
		size   int
	}{
		{"after the whole upload", standin.PeerAnswer{Text: answer, ReadFirst: -1, End: standin.PeerHalfCloses}, longBody},
		{"after a short upload", standin.PeerAnswer{Text: answer, ReadFirst: -1, End: standin.PeerHalfCloses}, 16},
		{"before the upload, which is read", standin.PeerAnswer{Text: answer, End: standin.PeerHalfCloses}, longBody},
		{"before the upload, which is not read", standin.PeerAnswer{Text: answer, End: standin.PeerHalfClosesUnread}, longBody},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 10 {
				body, err := upload(t, test.size, test.answer)
				require.NoError(t, err)
				require.Equal(t, "the whole body", body)
			}
		})
	}
}
