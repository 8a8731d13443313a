package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What an endpoint sends as a whole stream arrives unchanged, whatever ids its events have.
func TestWholeStreams(t *testing.T) {
	for _, test := range []struct {
		name, body string
	}{
		{"ids", eventsOf(1, 5)},
		{"ids from 0", eventsOf(0, 5)},
		{"ids with gaps", event(3) + event(8) + event(13)},
		{"no ids", "data: a\n\ndata: b\n\n"},
		{"ids that are no numbers", "id: a\ndata: a\n\nid: b\ndata: b\n\n"},
		{"an error event", event(1) + "event: error\ndata: full\n\n"},
		{"comments", ": hello\n\n" + event(1) + ":\n\n" + event(2)},
		{"heads as data", "id: 1\ndata: HTTP/1.1 503 Service Unavailable\ndata: Retry-After: 1\ndata:\n\n" + event(2)},
		{"no events", ""},
	} {
		for _, p := range rawProtocols {
			t.Run(test.name+", "+p.name, func(t *testing.T) {
				text := head("200 OK", proven+typeEvents+inChunks) + lastChunk
				if test.body != "" {
					text = head("200 OK", proven+typeEvents+inChunks) + chunked(test.body) + lastChunk
				}
				f := startRawFleet(t, 2, []rawAnswer{{text: text}})
				r := readResult(t, p, f.dial(p, rawPathStream, rawRequestID))
				require.True(t, r.whole)
				require.Equal(t, test.body, r.body)
			})
		}
	}
}
