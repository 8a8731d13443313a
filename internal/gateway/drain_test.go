package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// recordServiceTimes makes requests of a service have taken the given times in turn.
func recordServiceTimes(pool *placement.Pool, times ...time.Duration) {
	const rounds = 200
	pool.SetEndpoints(0, []placement.Candidate{{ID: "e1", Address: "127.0.0.1:1", Slots: 1, Preferred: true}})
	for range rounds {
		for _, d := range times {
			v := <-pool.Submit(0, placement.Request{Deadline: time.Minute}).Decision()
			pool.Release(d, v.Choice(), placement.Succeeded)
		}
	}
}

// Requests that arrived late in a planned stop were sent to an endpoint although they could
// not be expected to end before the entry exits.
func TestRequestIsSentTooLateInStop(t *testing.T) {
	const (
		ms     = time.Millisecond
		second = time.Second
		stop   = 7 * second
		closed = 2800 * ms // after the begin of the stop
	)
	for _, test := range []struct {
		name    string
		path    string
		arrived time.Duration // after the begin of the stop
		timeout time.Duration
		closed  bool // the entry accepts no requests any more
		refused bool
	}{
		// The service time is 1 s, its mean deviation 0.5 s.
		{"read, at the begin", rawPathRead, 0, 30 * second, false, false},
		{"read, just in time", rawPathRead, stop - 2050*ms, 30 * second, false, false},
		{"read, just too late", rawPathRead, stop - 1950*ms, 30 * second, false, true},
		{"read, late, with less time than the stop", rawPathRead, stop - 1950*ms, 1900 * ms, false, false},
		{"publish, at the begin", rawPathPublish, 0, 30 * second, false, false},
		{"publish, just in time", rawPathPublish, stop - 3100*ms, 30 * second, false, false},
		{"publish, just too late", rawPathPublish, stop - 2900*ms, 30 * second, false, true},
		{"publish, late, with less time than the stop", rawPathPublish, stop - 2900*ms, 2800 * ms, false, false},
		{"stream that may be resumed, just in time", rawPathStream, stop - 2050*ms, 30 * second, false, false},
		{"stream that may be resumed, just too late", rawPathStream, stop - 1950*ms, 30 * second, false, true},
		{"stream, just in time", rawPathOnce, stop - 3100*ms, 30 * second, false, false},
		{"stream, just too late", rawPathOnce, stop - 2900*ms, 30 * second, false, true},
		{"read, accepted just before the close", rawPathRead, closed - ms, 30 * second, true, false},
		{"read, after the close", rawPathRead, closed, 100 * ms, true, true},
		{"publish, after the close", rawPathPublish, closed + ms, 100 * ms, true, true},
	} {
		c := &clock{at: 100 * second}
		f := startRawFleet(t, 1, nil, WithClock(c.now))
		g := f.gateway
		recordServiceTimes(g.trafficOf("s").placement, 500*ms, 1500*ms)
		begun := c.at
		g.Drain(stop)
		if test.closed {
			c.at = begun + closed
			g.StopAccepting()
		}
		c.at = begun + test.arrived
		configuration := g.Configuration()
		q := &request{route: configuration.Route("h", test.path), service: configuration.Services()["s"], traffic: g.trafficOf("s"), arrived: c.at, deadline: c.at + test.timeout}
		g.drain.shorten(q)
		require.LessOrEqual(t, q.deadline, begun+stop, test.name)
		response := httptest.NewRecorder()
		out := g.newResponseWriter(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
		require.Equal(t, test.refused, g.mustNotStart(q, out), test.name)
		if !test.refused {
			continue
		}
		g.dispatch(t.Context(), q, out)
		require.Equal(t, http.StatusServiceUnavailable, response.Code, test.name)
		require.Equal(t, "0.100", response.Header().Get("Retry-After"), test.name)
		require.Equal(t, "close", response.Header().Get("Connection"), test.name)
		require.Empty(t, f.requests, test.name)
	}
}

// A request that waited for an endpoint when a planned stop began was cut off at its end, or
// sent just before it.
func TestRequestWaitsUntilEndOfStop(t *testing.T) {
	const short = 50 * time.Millisecond
	// Until requests have succeeded, one of a route that may be repeated is expected to take
	// 2 s at most.
	const expected = 2 * time.Second
	for _, test := range []struct {
		name    string
		left    time.Duration // to the request when the stop begins
		stop    time.Duration
		ended   bool // all requests must end before the last start
		refused time.Duration
	}{
		{"its last start is over", time.Minute, short, false, 0},
		{"its last start comes", time.Minute, expected + short, false, short},
		{"all requests must end", time.Minute, time.Minute, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startRawFleet(t, 1, nil)
			g := f.gateway
			pool := g.trafficOf("s").placement
			for range 1 + rawSlots {
				busy := <-pool.Submit(g.now(), placement.Request{Deadline: g.now() + time.Minute}).Decision()
				require.True(t, busy.Placed())
			}
			route := fleet.NewRoute("r", "h", "/", fleet.WithKind(fleet.Idempotent), fleet.WithSplits(fleet.NewSplit("s", 1)))
			q := &request{route: route, service: g.Configuration().Services()["s"], traffic: g.trafficOf("s"), arrived: g.now(), deadline: g.now() + test.left}
			response := httptest.NewRecorder()
			done := make(chan struct{})
			go func() {
				defer close(done)
				ctx, cancel := g.drain.requestContext(t.Context(), test.left)
				defer cancel()
				g.dispatch(ctx, q, g.newResponseWriter(response, httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)))
			}()
			require.Eventually(t, func() bool { return pool.Waiting() == 1 }, 10*time.Second, time.Millisecond)
			begun := g.now()
			g.Drain(test.stop)
			if test.ended {
				g.EndRequests()
			}
			<-done
			require.GreaterOrEqual(t, g.now()-begun, test.refused)
			require.Equal(t, http.StatusServiceUnavailable, response.Code)
			require.Equal(t, "0.100", response.Header().Get("Retry-After"))
			require.Equal(t, "close", response.Header().Get("Connection"))
			require.Zero(t, pool.Waiting())
			require.Empty(t, f.requests)
		})
	}
}

// A response that is written during a planned stop announces the close of its connection,
// also if its request arrived before.
func TestConnectionIsKeptAfterRequestBeforeStop(t *testing.T) {
	var f *rawFleet
	answer := rawAnswer{text: head("200 OK", proven+"Content-Length: 2\r\n") + "ok", before: func() { f.gateway.Drain(time.Minute) }}
	f = startRawFleet(t, 1, []rawAnswer{answer})
	request, err := http.NewRequest(http.MethodGet, "http://"+f.front+rawPathRead, nil)
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set(rawID, rawRequestID)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
}

// The context of a request ends with its time, with its caller and with EndRequests.
func TestRequestContext(t *testing.T) {
	for i, test := range []struct {
		timeout  time.Duration
		end      func(d *drain, leave context.CancelFunc)
		timedOut bool
	}{
		{time.Millisecond, func(*drain, context.CancelFunc) {}, true},
		{time.Minute, func(_ *drain, leave context.CancelFunc) { leave() }, false},
		{time.Minute, func(d *drain, _ context.CancelFunc) { d.end() }, false},
	} {
		d := newDrain()
		parent, leave := context.WithCancel(t.Context())
		ctx, cancel := d.requestContext(parent, test.timeout)
		test.end(d, leave)
		<-ctx.Done()
		require.Equal(t, test.timedOut, isTimeout(ctx), fmt.Sprint(i))
		cancel()
		leave()
	}
}
