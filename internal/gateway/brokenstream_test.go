package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A caller of a stream that broke off sees either the whole stream, in one response with
// the headers of the first answer, or one that is visibly cut. It never sees a byte of
// what is not an event of its stream.
func TestBrokenStream(t *testing.T) {
	broken := firstOf(eventsOf(1, 3), "id: 4\nda")
	betweenEvents := firstOf(eventsOf(1, 3))
	withLength := func(from, to int) string {
		body := eventsOf(from, to)
		return head("200 OK", proven+typeEvents+second+length(body)) + body
	}
	inChunked := func(parts ...string) string {
		return head("200 OK", proven+typeEvents+second+inChunks) + chunked(parts...) + lastChunk
	}
	untilClose := func(body string) string { return head("200 OK", proven+typeEvents+second) + body }
	errorOf := func(status, lines string) string {
		return head(status, lines+second+length(errorText)) + errorText
	}
	for _, test := range []struct {
		name   string
		first  rawAnswer
		second rawAnswer
		whole  bool
	}{
		{"goes on", broken, rawAnswer{text: inChunked(event(4), event(5))}, true},
		{"goes on, with a length", broken, rawAnswer{text: withLength(4, 5)}, true},
		{"goes on until the connection ends", broken, rawAnswer{text: untilClose(eventsOf(4, 5)), end: rawClose}, true},
		{"starts over", broken, rawAnswer{text: inChunked(eventsOf(1, 5))}, true},
		{"starts over, with a copy of the first head", broken, rawAnswer{text: head("200 OK", proven+typeEvents+"First: yes\r\n"+inChunks) + chunked(eventsOf(1, 5)) + lastChunk}, true},
		{"repeats the last event", betweenEvents, rawAnswer{text: inChunked(eventsOf(3, 5))}, true},
		{"has comments", broken, rawAnswer{text: inChunked(comment, event(4)+comment, event(5))}, true},

		{"breaks again", broken, rawAnswer{text: head("200 OK", proven+typeEvents+inChunks) + chunked(event(4)), end: rawClose}, false},
		{"breaks again within an event", broken, rawAnswer{text: head("200 OK", proven+typeEvents+inChunks) + chunked(event(4), "id: 5\n"), end: rawReset}, false},
		{"breaks again before its length", broken, rawAnswer{text: withLength(4, 5)[:len(withLength(4, 5))-3], end: rawClose}, false},
		{"breaks before a head", broken, rawAnswer{end: rawClose}, false},
		{"is reset before a head", broken, rawAnswer{end: rawReset}, false},
		{"ends at once", broken, rawAnswer{text: inChunked()}, false},
		{"ends at once, with a length", broken, rawAnswer{text: withLength(1, 0)}, false},
		{"ends at once, first broken between events", betweenEvents, rawAnswer{text: inChunked()}, false},
		{"ends at once with its connection", broken, rawAnswer{text: untilClose(""), end: rawClose}, false},
		{"has only events that the caller has", broken, rawAnswer{text: inChunked(eventsOf(1, 3))}, false},
		{"has no ids", broken, rawAnswer{text: inChunked("data: value 4\n\n", "data: value 5\n\n")}, false},
		{"starts over without ids", broken, rawAnswer{text: inChunked("data: value 1\n\n", "data: value 2\n\n")}, false},
		{"has ids that are no numbers", broken, rawAnswer{text: inChunked("id: d\ndata: value 4\n\n", "id: e\ndata: value 5\n\n")}, false},
		{"has ids out of order", broken, rawAnswer{text: inChunked(event(5), event(4))}, false},
		{"starts over after an event", broken, rawAnswer{text: inChunked(event(4), event(1), event(5))}, false},
		{"has an error event", broken, rawAnswer{text: inChunked("event: error\ndata: " + errorText + "\n\n")}, false},
		{"has an error event after an event", broken, rawAnswer{text: inChunked(event(4), "event: error\ndata: "+errorText+"\n\n")}, false},
		{"has text in place of events", broken, rawAnswer{text: inChunked(errorText + "\n\n")}, false},
		{"has an error event, until the connection ends", broken, rawAnswer{text: untilClose("event: error\ndata: " + errorText + "\n\n"), end: rawClose}, false},
		{"has the head of an error after an event", broken, rawAnswer{text: untilClose(event(4) + errorOf("503 Service Unavailable", notRun)), end: rawClose}, false},
		{"has the head of an error within an event", broken, rawAnswer{text: untilClose("id: 4\nda" + errorOf("503 Service Unavailable", notRun)), end: rawClose}, false},
		{"has the head of an error in place of a chunk", broken, rawAnswer{text: head("200 OK", proven+typeEvents+inChunks) + chunked(event(4)) + errorOf("500 Internal Server Error", proven)}, false},
		{"has no proof", broken, rawAnswer{text: head("200 OK", typeEvents+second+inChunks) + chunked(eventsOf(4, 5)) + lastChunk}, false},
		{"is encoded", broken, rawAnswer{text: head("200 OK", proven+typeEvents+"Content-Encoding: gzip\r\n"+inChunks) + chunked(eventsOf(4, 5)) + lastChunk}, false},
		{"200 with JSON", broken, rawAnswer{text: errorOf("200 OK", proven+typeJSON)}, false},
		{"200 with JSON until the connection ends", broken, rawAnswer{text: head("200 OK", proven+typeJSON) + errorText, end: rawClose}, false},
		{"204", broken, rawAnswer{text: head("204 No Content", proven+second)}, false},
		{"204 of events", broken, rawAnswer{text: head("204 No Content", proven+typeEvents+second)}, false},
		{"206 of events", broken, rawAnswer{text: head("206 Partial Content", proven+typeEvents+inChunks) + chunked(eventsOf(4, 5)) + lastChunk}, false},
		{"302", broken, rawAnswer{text: head("302 Found", proven+"Location: /elsewhere\r\n"+length(""))}, false},
		{"304", broken, rawAnswer{text: head("304 Not Modified", proven)}, false},
		{"400", broken, rawAnswer{text: errorOf("400 Bad Request", proven)}, false},
		{"404 of events", broken, rawAnswer{text: head("404 Not Found", proven+typeEvents+inChunks) + chunked(eventsOf(4, 5)) + lastChunk}, false},
		{"500", broken, rawAnswer{text: errorOf("500 Internal Server Error", proven)}, false},
		{"500 without a body", broken, rawAnswer{text: head("500 Internal Server Error", proven+length(""))}, false},
		{"500 of events", broken, rawAnswer{text: head("500 Internal Server Error", proven+typeEvents+inChunks) + chunked("id: 4\ndata: "+errorText+"\n\n") + lastChunk}, false},
		{"500 until the connection ends", broken, rawAnswer{text: head("500 Internal Server Error", proven+typeEvents) + errorText + "\n\n", end: rawClose}, false},
		{"504", broken, rawAnswer{text: errorOf("504 Gateway Timeout", proven)}, false},
		{"503 that may have run", broken, rawAnswer{text: errorOf("503 Service Unavailable", proven)}, false},
		{"421", broken, rawAnswer{text: errorOf("421 Misdirected Request", notRun)}, false},
		{"503 of events that did not run", broken, rawAnswer{text: errorOf("503 Service Unavailable", notRun+typeEvents+"Retry-After: 0.1\r\n")}, false},
		{"no answer in the protocol", broken, rawAnswer{text: errorText + "\r\n\r\n", end: rawClose}, false},

		{"first has no ids", firstOf("data: value 1\n\n", "data: value 2\n\n"), rawAnswer{text: inChunked(eventsOf(1, 5))}, false},
		{"first has ids that are no numbers", firstOf("id: a\ndata: value 1\n\n"), rawAnswer{text: inChunked(eventsOf(1, 5))}, false},
		{"first has the head of an error after an event", rawAnswer{text: head("200 OK", proven+typeEvents) + eventsOf(1, 3) + errorOf("503 Service Unavailable", notRun), end: rawClose}, rawAnswer{text: inChunked(eventsOf(4, 5))}, true},
		{"first has the head of an error within an event", rawAnswer{text: head("200 OK", proven+typeEvents) + eventsOf(1, 3) + "id: 4\ndata: val" + errorOf("503 Service Unavailable", notRun), end: rawClose}, rawAnswer{text: inChunked(eventsOf(4, 5))}, true},
		{"first has ids out of order", firstOf(eventsOf(1, 3), event(2)), rawAnswer{text: inChunked(eventsOf(4, 5))}, true},
	} {
		for _, p := range rawProtocols {
			t.Run(test.name+", "+p.name, func(t *testing.T) {
				t.Parallel()
				f := startRawFleet(t, 2, []rawAnswer{test.first, test.second})
				r := readResult(t, p, f.dial(p, rawPathStream, rawRequestID))
				require.Equal(t, http.StatusOK, r.status)
				require.Empty(t, r.header.Get("Second"), "the headers are those of the first answer")
				require.Zero(t, r.after)
				require.Equal(t, test.whole, r.whole, "body: %q", r.body)
				if test.whole {
					require.Equal(t, eventsOf(1, rawStreamEvents), strings.ReplaceAll(r.body, comment, ""))
					return
				}
				require.NotContains(t, r.body, errorText)
				require.NotContains(t, r.body, "HTTP/")
				if !strings.HasPrefix(test.name, "first") {
					require.True(t, strings.HasPrefix(eventsOf(1, 3)+event(4)+event(5), r.body) || r.body == eventsOf(1, 3)+event(5), "body: %q", r.body)
				}
			})
		}
	}
}
