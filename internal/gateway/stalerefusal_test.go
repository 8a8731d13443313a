package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

const answerText = "done"

// answerTo returns an answer to the request with the given id.
func answerTo(id, status, lines, body string) string {
	return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\n" + lines + length(body) + "\r\n" + body
}

// An endpoint that refused a request writes the refusal once more on the same connection,
// which carries the next request. That one runs, so that its caller must not be told that
// it did not, and runs once. The requests are idempotent: their connections are kept for
// longer.
func TestStaleRefusal(t *testing.T) {
	const (
		unavailable = "503 Service Unavailable"
		retryAfter  = "Retry-After: 0.2\r\n"
	)
	refusal := answerTo("request-1", unavailable, notRun+retryAfter, "full")
	own := answerTo("request-2", "200 OK", proven, answerText)
	for _, test := range []struct {
		name   string
		answer rawAnswer
		status int
	}{
		{"before the answer", rawAnswer{text: refusal + own}, 200},
		{"twice before the answer", rawAnswer{text: refusal + refusal + own}, 200},
		{"after the answer", rawAnswer{text: own + refusal}, 200},
		{"421", rawAnswer{text: answerTo("request-1", "421 Misdirected Request", notRun, "") + own}, 200},
		{"429", rawAnswer{text: answerTo("request-1", "429 Too Many Requests", notRun+retryAfter, "") + own}, 200},
		{"400", rawAnswer{text: answerTo("request-1", "400 Bad Request", notRun, "no id") + own}, 200},
		{"in chunks", rawAnswer{text: "HTTP/1.1 " + unavailable + "\r\nId: request-1\r\n" + notRun + inChunks + "\r\n" + chunked("full", "up") + lastChunk + own}, 200},
		{"id in another case", rawAnswer{text: answerTo("REQUEST-2", unavailable, notRun, "") + own}, 200},
		{"id with more text", rawAnswer{text: answerTo("request-2, request-1", unavailable, notRun, "") + own}, 200},
		{"after an interim answer", rawAnswer{text: "HTTP/1.1 103 Early Hints\r\nId: request-2\r\n\r\n" + refusal + own}, 200},
		{"as an interim answer", rawAnswer{text: "HTTP/1.1 102 Processing\r\nId: request-2\r\n" + notRun + "\r\n" + own}, 200},
		{"without an answer", rawAnswer{text: refusal, end: rawClose}, 502},
		{"without an id", rawAnswer{text: "HTTP/1.1 " + unavailable + "\r\n" + notRun + length("") + "\r\n" + own}, 502},
		{"421 without an id", rawAnswer{text: "HTTP/1.1 421 Misdirected Request\r\n" + length("") + "\r\n" + own}, 502},
		{"with an empty id", rawAnswer{text: answerTo("", unavailable, notRun, "") + own}, 502},
		{"with the ids of both, own first", rawAnswer{text: answerTo("request-2\r\nId: request-1", unavailable, notRun, "") + own}, 502},
		{"with the ids of both, own last", rawAnswer{text: answerTo("request-1\r\nId: request-2", unavailable, notRun, "") + own}, 502},
		{"without a length", rawAnswer{text: "HTTP/1.1 " + unavailable + "\r\nId: request-1\r\n" + notRun + "\r\n" + own, end: rawClose}, 502},
		{"closes", rawAnswer{text: answerTo("request-1", unavailable, notRun+"Connection: close\r\n", "") + own}, 502},
		{"cut within its head", rawAnswer{text: refusal[:30], end: rawClose}, 502},
		{"in the answer, framed by chunks", rawAnswer{text: "HTTP/1.1 200 OK\r\nId: request-2\r\n" + proven + inChunks + "\r\n" + chunked("do") + refusal}, 502},
		{"in the answer, which breaks off", rawAnswer{text: strings.TrimSuffix(answerTo("request-2", "200 OK", proven+"Long: yes\r\n", strings.Repeat("x", 4096)), strings.Repeat("x", 4000)) + refusal, end: rawClose}, 502},
		{"without a mark, as the own answer", rawAnswer{text: answerTo("request-2", unavailable, proven, "")}, 502},
		{"429 without a mark, as the own answer", rawAnswer{text: answerTo("request-2", "429 Too Many Requests", proven, "")}, 502},
		{"408 without a mark, as the own answer", rawAnswer{text: answerTo("request-2", "408 Request Timeout", proven, "")}, 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := rawProtocols[0]
			f := startRawFleet(t, 1, []rawAnswer{{text: refusal}, test.answer, {text: answerTo("request-3", "200 OK", proven, answerText)}})
			r := readResult(t, p, f.dial(p, rawPathRead, "request-1"))
			require.True(t, isRefusal(r.status))
			f.awaitPlacement()
			r = readResult(t, p, f.dial(p, rawPathRead, "request-2"))
			require.Equal(t, test.status, r.status)
			require.True(t, r.whole)
			require.Len(t, f.seen(), 2, "the request ran once")
			if test.status != http.StatusOK {
				return
			}
			require.Equal(t, answerText, r.body)
			r = readResult(t, p, f.dial(p, rawPathRead, "request-3"))
			require.Equal(t, http.StatusOK, r.status)
			require.Equal(t, answerText, r.body)
		})
	}
}

// An endpoint starts again under another identity, or is listed under another one, while a
// request is on its way. The request is sent to the same address again, so that a refusal
// which is written once more there carries the right id.
func TestStaleRefusalAtSameAddress(t *testing.T) {
	const id = "request-1"
	misdirected := answerTo(id, "421 Misdirected Request", notRun, "")
	var f *rawFleet
	listed := make(chan struct{})
	f = startRawFleet(t, 1, []rawAnswer{
		{text: misdirected, before: func() {
			<-listed
			e := f.gateway.snapshot.Load().endpoints[0]
			f.gateway.ApplyEndpoints([]*fleet.Endpoint{fleet.NewEndpoint("e2", "s", e.Address(), fleet.WithPlace("riga-a"), fleet.WithSlots(8))})
		}},
		{stale: misdirected, text: answerTo(id, "200 OK", proven, answerText)},
	})
	close(listed)
	p := rawProtocols[0]
	r := readResult(t, p, f.dial(p, rawPathRead, id))
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, answerText, r.body)
	require.Len(t, f.seen(), 2)
}

// A request without an id can't be told from others, so that it gets a connection of its
// own.
func TestStaleRefusalOfRequestWithoutID(t *testing.T) {
	refusal := "HTTP/1.1 400 Bad Request\r\n" + notRun + length("") + "\r\n"
	answer := "HTTP/1.1 200 OK\r\n" + proven + length(answerText) + "\r\n" + answerText
	f := startRawFleet(t, 1, []rawAnswer{{text: refusal}, {stale: refusal, text: answer}, {stale: refusal, text: answer}})
	p := rawProtocols[0]
	r := readResult(t, p, f.dial(p, rawPathRead, ""))
	require.True(t, isRefusal(r.status))
	for range 2 {
		f.awaitPlacement()
		r = readResult(t, p, f.dial(p, rawPathRead, ""))
		require.Equal(t, http.StatusOK, r.status)
		require.Equal(t, answerText, r.body)
	}
	require.Len(t, f.seen(), 3)
}
