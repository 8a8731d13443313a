package gateway

import (
	"bytes"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// A key is revoked, or its confirmation expires, while a request that was sent with it is in
// progress. One that may have run goes on as if nothing had happened: it was sent while the
// key was valid. One that did not run is not begun any more.
func TestKeyIsRevokedBetweenAttempts(t *testing.T) {
	const id = rawRequestID
	key := func(key string) fleet.ConfigurationOption { return fleet.WithAccount(fleet.NewAccount("shop"), key) }
	rest := head("200 OK", proven+typeEvents+inChunks) + chunked(eventsOf(4, rawStreamEvents)) + lastChunk
	refused := answerTo(id, "503 Service Unavailable", notRun, "")
	own := answerTo(id, "200 OK", proven, answerText)
	for _, test := range []struct {
		name    string
		path    string
		answers []rawAnswer
		revoked bool // if not, the confirmation expires
		status  int
		whole   bool
	}{
		{"stream that has begun, key revoked", rawPathStream, []rawAnswer{firstOf(eventsOf(1, 3)), {text: rest}}, true, http.StatusOK, true},
		{"stream that has begun, not confirmed", rawPathStream, []rawAnswer{firstOf(eventsOf(1, 3)), {text: rest}}, false, http.StatusOK, true},
		{"may have run, key revoked", rawPathRead, []rawAnswer{{end: rawClose}, {text: own}}, true, http.StatusOK, true},
		{"may have run, not confirmed", rawPathRead, []rawAnswer{{end: rawClose}, {text: own}}, false, http.StatusOK, true},
		{"did not run, key revoked", rawPathRead, []rawAnswer{{text: refused}}, true, http.StatusUnauthorized, true},
		{"did not run, not confirmed", rawPathRead, []rawAnswer{{text: refused}}, false, http.StatusServiceUnavailable, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var expired atomic.Bool
			confirmed := func() time.Duration {
				if expired.Load() {
					return boottime.Now() - time.Minute
				}
				return boottime.Now()
			}
			f := startRawFleet(t, 2, nil, WithConfirmation(confirmed, 10*time.Second))
			f.gateway.ApplyConfiguration(rawConfiguration(2, key("key")), nil)
			test.answers[0].before = func() {
				if test.revoked {
					f.gateway.ApplyConfiguration(rawConfiguration(3, key("other")), nil)
				}
				expired.Store(!test.revoked)
			}
			f.answers = test.answers
			p := rawProtocol{version: "HTTP/1.1", header: rawKey + ": key\r\n", framed: true}
			r := readResult(t, p, f.dial(p, test.path, id))
			require.Equal(t, test.status, r.status)
			require.Equal(t, test.whole, r.whole)
			require.Len(t, f.seen(), len(test.answers))
			if test.path == rawPathStream {
				require.Equal(t, eventsOf(1, rawStreamEvents), r.body)
			}
		})
	}
}

// A service is dropped while a stream of it is in progress. The stream goes on at the
// endpoints that the service has then: those that left meanwhile get no request, and one that
// started does.
func TestStreamGoesOnAfterItsServiceIsDropped(t *testing.T) {
	var lines bytes.Buffer
	f := startRawFleet(t, 2, nil, WithLogger(slog.New(slog.NewJSONHandler(&lines, nil))))
	started := fleet.NewEndpoint("e3", "s", f.listen("e3"), fleet.WithPlace("riga-a"), fleet.WithSlots(rawSlots))
	broken := firstOf(eventsOf(1, 3))
	broken.before = func() {
		f.gateway.ApplyConfiguration(fleet.NewConfiguration(2, fleet.WithServices(fleet.NewService("other"))), nil)
		f.gateway.ApplyEndpoints([]*fleet.Endpoint{started})
	}
	f.answers = []rawAnswer{broken, {text: head("200 OK", proven+typeEvents+inChunks) + chunked(eventsOf(4, rawStreamEvents)) + lastChunk}}
	p := rawProtocols[0]
	r := readResult(t, p, f.dial(p, rawPathStream, rawRequestID))
	require.True(t, r.whole, "body: %q", r.body)
	require.Equal(t, eventsOf(1, rawStreamEvents), r.body)
	seen := f.seen()
	require.Len(t, seen, 2)
	require.Equal(t, "e3", seen[1].endpoint)
	f.server.Close() // waits for the last line of the log
	require.Regexp(t, `"outcome":"answered".*"configuration":2,.*"accepted":1,`, lines.String())
}

// A service is dropped while a request waits for its only endpoint, which is full and then
// begins to drain. The request is not sent there when there is room, but refused at once.
func TestRequestIsNotSentToDrainingEndpointOfDroppedService(t *testing.T) {
	f := startRawFleet(t, 1, []rawAnswer{{text: answerTo(rawRequestID, "200 OK", proven, answerText)}})
	pool := f.gateway.trafficOf("s").placement
	var placed []placement.Choice
	for range 2 * rawSlots {
		if d := <-pool.Submit(f.gateway.now(), placement.Request{Deadline: f.gateway.now()}).Decision(); d.Placed() {
			placed = append(placed, d.Choice())
		}
	}
	require.NotEmpty(t, placed)
	p := rawProtocols[0]
	c := f.dial(p, rawPathRead, rawRequestID)
	require.Eventually(t, func() bool { return pool.Waiting() == 1 }, time.Second, time.Millisecond)
	f.gateway.ApplyConfiguration(fleet.NewConfiguration(2, fleet.WithServices(fleet.NewService("other"))), nil)
	e := f.endpoints[0]
	f.gateway.ApplyEndpoints([]*fleet.Endpoint{fleet.NewEndpoint(e.ID(), "s", e.Address(), fleet.WithPlace("riga-a"), fleet.WithSlots(rawSlots), fleet.WithDraining(true))})
	for _, choice := range placed {
		pool.Release(f.gateway.now(), choice, placement.Succeeded)
	}
	r := readResult(t, p, c) // without the wait, whose end is seen in the background only
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Empty(t, f.seen())
}

// A dropped service is retained while it has requests in progress, and once beyond them, for
// those that have just been accepted.
func TestDroppedServiceIsRetainedForItsRequests(t *testing.T) {
	g := newGateway(&clock{at: time.Minute})
	apply := func(version int64, service string) {
		g.ApplyConfiguration(fleet.NewConfiguration(version, fleet.WithServices(fleet.NewService(service))), nil)
	}
	apply(1, "a")
	g.trafficOf("a").requests.Add(1)
	for version, service := range []string{"b", "c", "b"} {
		apply(int64(version)+2, service)
		require.NotNil(t, g.Configuration().Service("a"), "its request is in progress")
		require.Nil(t, g.Configuration().Services()["a"])
	}
	require.NotNil(t, g.Configuration().Service("c"))
	g.trafficOf("a").requests.Add(-1)
	apply(5, "a")
	require.Empty(t, g.Configuration().Retained()["a"], "it is back")
	apply(6, "d")
	require.NotNil(t, g.Configuration().Service("a"))
	apply(7, "d")
	require.Nil(t, g.Configuration().Service("a"))
	require.Empty(t, g.Configuration().Retained())
}
