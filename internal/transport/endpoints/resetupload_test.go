package endpoints

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
)

const (
	longBody  = 8 << 20  // bytes: more than the buffers of a connection take
	bodyBlock = 64 << 10 // bytes: the parts in which an entry holds a body
	// resetTries is how often each broken answer is tried: whether the write or the read of
	// the client meets the reset differs from one to the next.
	resetTries = 25
)

// Answers without a length, up to where they are ended.
const (
	unframedHead = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"
	partOfBody   = unframedHead + "the first part"
)

func startPeer(t *testing.T, answers ...standin.PeerAnswer) *standin.Peer {
	t.Helper()
	p, err := standin.NewPeer(answers...)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// upload sends a body and returns that of the answer.
func upload(ctx context.Context, p *Pool, address string, size int) (string, error) {
	x, err := p.Begin(ctx, address, time.Second)
	if err != nil {
		return "", err
	}
	defer x.End()
	body := slices.Collect(slices.Chunk(make([]byte, size), bodyBlock))
	response, err := x.Send(ctx, Head{Method: "POST", Target: "/a", Host: "h", Header: http.Header{}}, body, mine)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// An answer without a length that is reset while its request is still written was taken for
// whole: the write met the reset, and the read an end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []standin.PeerAnswer
	}{
		{"at once", []standin.PeerAnswer{{Text: partOfBody, End: standin.PeerResets}}},
		{"after 20 ms", []standin.PeerAnswer{{Text: partOfBody, Pause: 20 * time.Millisecond, End: standin.PeerResets}}},
		{"after a part of the upload", []standin.PeerAnswer{{Text: partOfBody, ReadFirst: longBody / 2, Pause: 20 * time.Millisecond, End: standin.PeerResets}}},
		{"stream of events", []standin.PeerAnswer{{Text: "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n", End: standin.PeerResets}}},
		{"kept connection", []standin.PeerAnswer{{Text: whole, ReadFirst: -1}, {Text: partOfBody, End: standin.PeerResets}}},
		{"HTTP/1.0", []standin.PeerAnswer{{Text: "HTTP/1.0 200 OK\r\nId: mine\r\n\r\npart", End: standin.PeerResets}}},
		{"failure", []standin.PeerAnswer{{Text: "HTTP/1.1 422 Unprocessable Entity\r\nId: mine\r\n\r\npart", End: standin.PeerResets}}},
		{"head alone", []standin.PeerAnswer{{Text: unframedHead, End: standin.PeerResets}}},
		{"length", []standin.PeerAnswer{{Text: "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 20\r\n\r\npart", End: standin.PeerResets}}},
		{"chunks", []standin.PeerAnswer{{Text: "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", End: standin.PeerResets}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range resetTries {
				peer := startPeer(t, test.answers...)
				p := NewPool()
				for range len(test.answers) - 1 {
					_, _, err := exchange(t.Context(), p, peer.Address(), nil)
					require.NoError(t, err)
				}
				body, err := upload(t.Context(), p, peer.Address(), longBody)
				require.Error(t, err, "taken for whole: %q", body)
				require.NotErrorIs(t, err, ErrNotSent, "it may have run")
				require.Equal(t, len(test.answers), peer.Requests())
				require.Zero(t, p.host(peer.Address()).open)
			}
		})
	}
}

// An answer that its endpoint has ended in good order is whole, with or without a length, and
// whether it came before the end of the upload or after it.
func TestOrderlyEndDuringUpload(t *testing.T) {
	const text = "the whole body"
	for _, test := range []struct {
		name   string
		answer standin.PeerAnswer
		size   int
	}{
		{"after the whole upload", standin.PeerAnswer{Text: unframedHead + text, ReadFirst: -1, End: standin.PeerHalfCloses}, longBody},
		{"after a short upload", standin.PeerAnswer{Text: unframedHead + text, ReadFirst: -1, End: standin.PeerHalfCloses}, 16},
		{"before the upload, which is read", standin.PeerAnswer{Text: unframedHead + text, End: standin.PeerHalfCloses}, longBody},
		{"amid the upload, which is read", standin.PeerAnswer{Text: unframedHead + text, ReadFirst: longBody / 2, End: standin.PeerHalfCloses}, longBody},
		{"before the upload, which is not read", standin.PeerAnswer{Text: unframedHead + text, End: standin.PeerHalfClosesUnread}, longBody},
		{"HTTP/1.0", standin.PeerAnswer{Text: "HTTP/1.0 200 OK\r\nId: mine\r\n\r\n" + text, End: standin.PeerHalfCloses}, longBody},
		{"length, then a reset", standin.PeerAnswer{Text: "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 14\r\n\r\n" + text, Pause: 20 * time.Millisecond, End: standin.PeerResets}, longBody},
		{"chunks, then a reset", standin.PeerAnswer{Text: "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + text + "\r\n0\r\n\r\n", Pause: 20 * time.Millisecond, End: standin.PeerResets}, longBody},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 10 {
				peer := startPeer(t, test.answer)
				begun := time.Now()
				body, err := upload(t.Context(), NewPool(), peer.Address(), test.size)
				require.NoError(t, err)
				require.Equal(t, text, body)
				require.Less(t, time.Since(begun), 5*time.Second)
			}
		})
	}
}

// The write of a body ends with its exchange, however that ends.
func TestNoUploadOutlivesItsExchange(t *testing.T) {
	before := runtime.NumGoroutine()
	for _, end := range []standin.PeerEnd{standin.PeerResets, standin.PeerHalfCloses, standin.PeerHalfClosesUnread} {
		peer, err := standin.NewPeer(standin.PeerAnswer{Text: partOfBody, End: end})
		require.NoError(t, err)
		for range 10 {
			_, _ = upload(t.Context(), NewPool(), peer.Address(), longBody)
		}
		peer.Close()
	}
	for range 500 {
		if runtime.NumGoroutine() <= before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.LessOrEqual(t, runtime.NumGoroutine(), before)
}
