package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/boottime"
)

// An answer that is cut after its head never looks whole.
func TestCutStreamIsVisible(t *testing.T) {
	for _, p := range rawProtocols {
		t.Run(p.name, func(t *testing.T) {
			f := startRawFleet(t, 2, []rawAnswer{firstOf(eventsOf(1, 3)), firstOf(event(4))})
			r := readResult(t, p, f.dial(p, rawPathStream, rawRequestID))
			require.False(t, r.whole, "body: %q", r.body)
			require.Equal(t, eventsOf(1, 4), r.body)
		})
	}
}

// A stream that may not be resumed is cut, and so is the answer of a request that may run
// twice, since its second answer may differ from the first, and a stream whose events have
// no numbers, since a second endpoint can't be told where to go on.
func TestStreamThatMayNotGoOn(t *testing.T) {
	numbered := eventsOf(1, 3)
	whole := head("200 OK", proven+typeEvents+inChunks) + chunked(eventsOf(1, rawStreamEvents)) + lastChunk
	for _, test := range []struct {
		name, path, body string
	}{
		{"stream", rawPathOnce, numbered},
		{"idempotent", rawPathRead, numbered},
		{"not idempotent", rawPathPublish, numbered},
		{"no ids", rawPathStream, "data: value 1\n\n"},
		{"no id in one event", rawPathStream, event(1) + "data: value 2\n\n" + event(3)},
		{"ids that are no numbers", rawPathStream, "id: a\ndata: value 1\n\n"},
	} {
		for _, p := range rawProtocols {
			t.Run(test.name+", "+p.name, func(t *testing.T) {
				f := startRawFleet(t, 2, []rawAnswer{firstOf(test.body), {text: whole}})
				r := readResult(t, p, f.dial(p, test.path, rawRequestID))
				require.False(t, r.whole, "body: %q", r.body)
				require.Equal(t, test.body, r.body)
				require.Len(t, f.seen(), 1)
			})
		}
	}
}

// A panic after the head was written ends the answer visibly.
func TestPanicAfterHead(t *testing.T) {
	for _, p := range rawProtocols {
		t.Run(p.name, func(t *testing.T) {
			var armed atomic.Bool
			clock := func() time.Duration {
				if armed.CompareAndSwap(true, false) {
					panic("broken clock")
				}
				return boottime.Now()
			}
			f := startRawFleet(t, 2, []rawAnswer{firstOf(event(1)), {
				text:   head("200 OK", proven+typeEvents+inChunks) + chunked(eventsOf(2, 5)) + lastChunk,
				before: func() { armed.Store(true) },
			}}, WithClock(clock))
			r := readResult(t, p, f.dial(p, rawPathStream, rawRequestID))
			require.False(t, armed.Load())
			require.False(t, r.whole, "body: %q", r.body)
			require.Equal(t, event(1), r.body)
		})
	}
}
