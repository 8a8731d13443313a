package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// headWithStatus returns the head of an answer to the request with a status as it is given.
func headWithStatus(status, lines string) string {
	return "HTTP/1.1 " + status + "\r\nId: " + rawRequestID + "\r\n" + lines + "\r\n"
}

// An answer whose status is none of HTTP's for a final answer does not reach the caller: where
// the request may run again another endpoint answers it, and where not it may have run.
func TestOddStatusIsNoAnswer(t *testing.T) {
	const text = "the whole body"
	sound := rawAnswer{text: head("200 OK", proven+length(text)) + text}
	for _, status := range []string{"000 Trouble", "000 ", "099 Trouble", "101 Switching Protocols", "600 Trouble", "999 Trouble", "-01 Trouble", "+20 Trouble", "2 OK", "20 OK", "2000 OK", "0x1 Trouble", " 00 Trouble"} {
		for _, lines := range []string{proven + length("trouble"), proven + notRun + length("trouble"), proven} {
			odd := rawAnswer{text: headWithStatus(status, lines) + "trouble", end: rawClose}
			for _, p := range []rawProtocol{rawProtocols[0], rawProtocols[2]} {
				f := startRawFleet(t, 2, []rawAnswer{odd, sound})
				r := readResult(t, p, f.dial(p, rawPathRead, rawRequestID))
				require.Equal(t, http.StatusOK, r.status, "%q", status)
				require.Equal(t, text, r.body)
				require.Len(t, f.seen(), 2)

				f.renew([]rawAnswer{odd, sound})
				r = readResult(t, p, f.dial(p, rawPathPublish, rawRequestID))
				require.Equal(t, http.StatusBadGateway, r.status, "%q", status)
				require.NotContains(t, r.body, "trouble")
				require.True(t, r.whole)
				require.Len(t, f.seen(), 1)
			}
		}
	}
}

// Statuses that HTTP doesn't name are final answers all the same, as are those of failures.
func TestStatusWithoutNameIsAnAnswer(t *testing.T) {
	const text = "the whole body"
	for status, line := range map[int]string{
		200: "200 OK", 299: "299 Any", 302: "302 Found", 418: "418 Teapot", 422: "422 ", 451: "451 For Legal Reasons", 499: "499", 501: "501 Not Implemented", 599: "599 Any",
	} {
		f := startRawFleet(t, 1, []rawAnswer{{text: headWithStatus(line, proven+length(text)) + text}})
		r := readResult(t, rawProtocols[0], f.dial(rawProtocols[0], rawPathPublish, rawRequestID))
		require.Equal(t, status, r.status)
		require.Equal(t, text, r.body)
		require.True(t, r.whole)
	}
}
