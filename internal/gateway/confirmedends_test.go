package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/retry"
)

// startOtherFleet is like startLimitFleet with another handler of the endpoint with version 2.
func startOtherFleet(t *testing.T, behaviour oldEndpoint, serve http.HandlerFunc, options ...Option) *limitFleet {
	t.Helper()
	f := startLimitFleet(t, behaviour, false, false, options...)
	f.list = append(f.list, f.endpoint(t, "new", "riga-b", 2, serve))
	f.gateway.ApplyEndpoints(f.list)
	return f
}

// An endpoint with version 2 that keeps its connection open with a comment before it ends the
// stream confirms that it is whole, as one without a comment does.
func TestWholeStreamIsConfirmedBesideComments(t *testing.T) {
	var f *limitFleet
	f = startOtherFleet(t, wholeAfterEnd, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(rawID, r.Header.Get(rawID))
		f.writeComment(w)
	})
	request, err := http.NewRequest(http.MethodPost, f.front.URL+rawPathStream, nil)
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set(rawID, rawRequestID)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.Less(t, time.Duration(f.timeLeft.Load())*time.Millisecond, limitBound, "the time left was not shortened")
	require.Contains(t, string(body), eventsOf(1, 100))
	require.NoError(t, err, "the whole stream is broken off")
}

// A stream that its endpoint has cut in good order never looks whole, whenever and however
// another endpoint answers: whole is true only with all events.
func TestStreamCutInGoodOrderNeverLooksWhole(t *testing.T) {
	for _, test := range []struct {
		name  string
		gone  bool
		serve func(f *limitFleet) http.HandlerFunc
	}{
		{"another goes on after 0.7 s", false, func(f *limitFleet) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set(rawID, r.Header.Get(rawID))
				last, _ := strconv.Atoi(r.Header.Get(rawLastEvent))
				select {
				case <-r.Context().Done():
				case <-time.After(700 * time.Millisecond):
				}
				f.writeEvents(w, last+1)
			}
		}},
		{"another fails", false, func(*limitFleet) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(rawID, r.Header.Get(rawID))
				w.Header().Set(rawProof, "p")
				w.WriteHeader(http.StatusInternalServerError)
			}
		}},
		{"no other is left", true, func(f *limitFleet) http.HandlerFunc { return f.serveNew }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var f *limitFleet
			f = startOtherFleet(t, endsInOrder, func(w http.ResponseWriter, r *http.Request) { test.serve(f)(w, r) })
			if test.gone {
				go func() {
					<-f.arrived
					f.gateway.ApplyEndpoints(f.list[:1])
				}()
			}
			request, err := http.NewRequest(http.MethodPost, f.front.URL+rawPathStream, nil)
			require.NoError(t, err)
			request.Host = "h"
			request.Header.Set(rawID, rawRequestID)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.Less(t, time.Duration(f.timeLeft.Load())*time.Millisecond, limitBound, "the time left was not shortened")
			require.True(t, err != nil || string(body) == eventsOf(1, 100), "%d bytes of %d look whole", len(body), len(eventsOf(1, 100)))
		})
	}
}

// A stream whose time left is shortened on the promise of a resumption goes on, although
// another request of the service is retried meanwhile.
func TestStreamIsLostBesideARetry(t *testing.T) {
	f := startLimitFleet(t, streamsWhole, true, false, WithRetries(0, 0))
	go func() {
		<-f.arrived
		other := f.gateway.trafficOf("s").budget.Start(retry.WithIdempotent(true))
		other.Decide(retry.MayHaveRun(), limitTimeout)
	}()
	status, whole := f.call(t, rawPathStream)
	require.Equal(t, http.StatusOK, status)
	require.Less(t, time.Duration(f.timeLeft.Load())*time.Millisecond, limitBound, "the time left was not shortened")
	require.True(t, whole)
}

// A stream that takes longer than four times the mean is cut by its entry at the bound, without
// a promise; it goes on although the resumption that is left was promised to another stream.
func TestLongStreamIsLostWithoutAPromise(t *testing.T) {
	for _, path := range []string{rawPathStream, rawPathOnce} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := startLimitFleet(t, streamsWhole, true, false, WithRetries(0, 0))
			recordServiceTimes(f.gateway.trafficOf("s").placement, 200*time.Millisecond)
			f.gateway.ApplyEndpoints(f.list)
			b := f.gateway.trafficOf("s").budget
			require.Equal(t, retry.Retry, b.Start(retry.WithIdempotent(true)).Decide(retry.MayHaveRun(), limitTimeout).Kind())
			require.Nil(t, b.Promise(), "no resumption is left")
			_, whole := f.call(t, path)
			require.True(t, whole, "time left %d ms", f.timeLeft.Load())
		})
	}
}

// A resumption for a stream that was not promised one takes that of another stream.
func TestPromisedStreamIsLostBesideALongOne(t *testing.T) {
	f := startLimitFleet(t, streamsWhole, true, false, WithRetries(0, 0))
	promised := make(chan bool, 1)
	go func() {
		_, whole := f.call(t, rawPathStream)
		promised <- whole
	}()
	<-f.arrived
	require.Nil(t, f.gateway.trafficOf("s").budget.Promise(), "the first stream has the promise")
	long := f.gateway.trafficOf("s").budget.Start(retry.WithIdempotent(true))
	require.NotEqual(t, retry.Retry, long.Resume(nil, limitTimeout).Kind())
	require.True(t, <-promised)
}
