package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// afterEnd is how long after its time left an endpoint ends a whole stream.
func (b oldEndpoint) afterEnd() time.Duration {
	if b == wholeBeforeEnd {
		return -30 * time.Millisecond
	}
	return 10 * time.Millisecond
}

// streamWhole sends half of a stream at once and the rest at the end.
func (f *limitFleet) streamWhole(w http.ResponseWriter, r *http.Request, after time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(rawProof, "p")
	_, _ = io.WriteString(w, eventsOf(1, 50))
	w.(http.Flusher).Flush()
	select {
	case <-time.After(after):
		_, _ = io.WriteString(w, eventsOf(51, 100))
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// streamEvents sends one event after the other, and breaks off at the end.
func (f *limitFleet) streamEvents(w http.ResponseWriter, r *http.Request, end <-chan time.Time) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(rawProof, "p")
	tick := time.NewTicker(limitWork / 100)
	defer tick.Stop()
	for n := 1; n <= 100; n++ {
		fmt.Fprint(w, event(n))
		w.(http.Flusher).Flush()
		select {
		case <-tick.C:
		case <-end:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// A whole stream ends close to the end of its time left, which its entry has shortened, and
// is broken off there.
func TestWholeStreamIsLostAtItsTimeLeft(t *testing.T) {
	for _, test := range []struct {
		name      string
		behaviour oldEndpoint
		renewed   int64 // attempts at the other endpoint, which has nothing to add
	}{
		{"shortly before", wholeBeforeEnd, 0},
		{"shortly after", wholeAfterEnd, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startLimitFleet(t, test.behaviour, true, false)
			status, whole := f.call(t, rawPathStream)
			require.Equal(t, http.StatusOK, status)
			require.True(t, whole)
			require.Less(t, time.Duration(f.timeLeft.Load())*time.Millisecond, limitBound, "the time left was not shortened")
			require.Equal(t, test.renewed, f.renewed.Load())
		})
	}
}

// A stream ends with the time left that its entry has shortened, at a moment at which no
// endpoint has the new version, and is broken off.
func TestStreamIsLostAtItsTimeLeftWithoutEndpoint(t *testing.T) {
	f := startLimitFleet(t, streamsWhole, true, false)
	go func() {
		<-f.arrived
		f.gateway.ApplyEndpoints(f.list[:1])
		<-time.After(limitBound + limitTimeout/10) // the stream has ended there by then
		f.gateway.ApplyEndpoints(f.list)
	}()
	status, whole := f.call(t, rawPathStream)
	require.Equal(t, http.StatusOK, status)
	require.True(t, whole)
	require.Less(t, time.Duration(f.timeLeft.Load())*time.Millisecond, limitBound, "the time left was not shortened")
}

// Streams that end with the time left that their entry has shortened are broken off for want
// of a retry.
func TestStreamIsLostAtItsTimeLeftWithoutRetry(t *testing.T) {
	const streams = 6
	f := startLimitFleet(t, streamsWhole, true, false, WithRetries(0, 0))
	whole := make([]bool, streams)
	var calls sync.WaitGroup
	for i := range whole {
		calls.Go(func() { _, whole[i] = f.call(t, rawPathStream) })
	}
	calls.Wait()
	require.Greater(t, f.old.Load(), int64(1), "streams at the endpoint with old weights")
	for i := range whole {
		require.True(t, whole[i], "stream %d of %d", i, streams)
	}
}
