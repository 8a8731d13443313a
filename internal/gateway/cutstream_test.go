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
