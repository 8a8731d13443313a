package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// An answer with a field whose name is none does not reach the caller, nor does the field or a
// body that it frames in another way: where the request may run again another endpoint answers
// it, and where not it may have run.
func TestOddFieldNameIsNoAnswer(t *testing.T) {
	const text = "the whole body"
	sound := rawAnswer{text: head("200 OK", proven+length(text)) + text}
	for _, test := range []struct{ name, text string }{
		{"blank within", head("200 OK", proven+"Bad Name: v\r\n"+length("part")) + "part"},
		{"blank before the colon", head("200 OK", proven+"Note : v\r\n"+length("part")) + "part"},
		{"length with a blank", head("200 OK", proven+"Content-Length : 4\r\n") + "partHTTP/1.1 200 OK\r\n\r\n"},
		{"chunks with a blank", head("200 OK", proven+"Transfer-Encoding : chunked\r\n") + chunked("part") + lastChunk},
		{"blank in front", head("200 OK", proven+" Bad: v\r\n"+length("part")) + "part"},
		{"tab in front", head("200 OK", proven+"\tBad: v\r\n"+length("part")) + "part"},
		{"control byte", head("200 OK", proven+"Bad\x01Name: v\r\n"+length("part")) + "part"},
		{"DEL", head("200 OK", proven+"Bad\x7fName: v\r\n"+length("part")) + "part"},
		{"bare CR", head("200 OK", proven+"Bad\rName: v\r\n"+length("part")) + "part"},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\nBad Name: v\r\n\r\n" + head("200 OK", proven+length("part")) + "part"},
		{"trailer", head("200 OK", proven+inChunks) + chunked("part") + "0\r\nBad Name: v\r\n\r\n"},
		{"refusal", head("503 Service Unavailable", notRun+"Retry-After : 1\r\n"+length("part")) + "part"},
		{"failure", head("500 Internal Server Error", proven+"Bad Name: v\r\n"+length("part")) + "part"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, p := range []rawProtocol{rawProtocols[0], rawProtocols[2]} {
				odd := rawAnswer{text: test.text, end: rawClose}
				f := startRawFleet(t, 2, []rawAnswer{odd, sound})
				r := readResult(t, p, f.dial(p, rawPathRead, rawRequestID))
				require.Equal(t, http.StatusOK, r.status)
				require.Equal(t, text, r.body)
				require.Len(t, f.seen(), 2)

				f.renew([]rawAnswer{odd, sound})
				r = readResult(t, p, f.dial(p, rawPathPublish, rawRequestID))
				require.Equal(t, http.StatusBadGateway, r.status)
				require.NotContains(t, r.body, "part")
				require.NotContains(t, r.header, "Bad Name")
				require.True(t, r.whole)
				require.Len(t, f.seen(), 1, "it may have run")
			}
		})
	}
}

// A stream with such a head goes on at another endpoint, or ends before it has begun.
func TestOddFieldNameInStream(t *testing.T) {
	events := eventsOf(1, rawStreamEvents)
	odd := rawAnswer{text: head("200 OK", proven+typeEvents+"Transfer-Encoding : chunked\r\n") + chunked(events) + lastChunk, end: rawClose}
	sound := rawAnswer{text: head("200 OK", proven+typeEvents+inChunks) + chunked(events) + lastChunk}
	f := startRawFleet(t, 2, []rawAnswer{odd, sound})
	r := readResult(t, rawProtocols[0], f.dial(rawProtocols[0], rawPathStream, rawRequestID))
	require.Equal(t, events, r.body)
	require.True(t, r.whole)

	f.renew([]rawAnswer{odd, sound})
	r = readResult(t, rawProtocols[0], f.dial(rawProtocols[0], rawPathOnce, rawRequestID))
	require.Equal(t, http.StatusBadGateway, r.status)
}

// Fields that HTTP allows are passed on as they came, a folded value in one line.
func TestSoundFieldNamesArePassedOn(t *testing.T) {
	const text = "the whole body"
	f := startRawFleet(t, 1, []rawAnswer{{text: head("200 OK", proven+"x_a.b~1: v\r\nFolded: a\r\n b,\r\n\tc\r\nEmpty:\r\n"+length(text)) + text}})
	r := readResult(t, rawProtocols[0], f.dial(rawProtocols[0], rawPathPublish, rawRequestID))
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, text, r.body)
	require.Equal(t, "v", r.header.Get("X_a.b~1"))
	require.Equal(t, "a b, c", r.header.Get("Folded"))
	require.Equal(t, []string{""}, r.header["Empty"])
}
