package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/transport/endpoints"
)

// Times of the deployments of these tests.
const (
	limitBound   = 2 * time.Second
	limitTimeout = 6 * time.Second
	// limitWork is the time after which the endpoint with old weights is asked about its
	// request: that of a request that waits for longer than its bound.
	limitWork = 3 * time.Second
)

const rawTimeLeft = "Time-Left"

// limitCodec is rawCodec with the time left in a header.
func limitCodec() Codec {
	c := rawCodec()
	write := c.WriteForward
	c.WriteForward = func(h http.Header, f ForwardHead) {
		write(h, f)
		h.Set(rawTimeLeft, strconv.FormatInt(f.TimeLeft.Milliseconds(), 10))
	}
	c.ReadRequest = func(h http.Header) (RequestHead, error) {
		return RequestHead{ID: h.Get(rawID), LastEvent: h.Get(rawLastEvent), TimeLeft: limitTimeout, HasTimeLeft: true}, nil
	}
	c.Match = func(h http.Header, id string) endpoints.Match { return endpoints.MatchID(h.Values(rawID), id) }
	return c
}

// limitFleet is a gateway before one endpoint with version 1, which it prefers, and one
// with version 2 or none, while version 2 is the target.
type limitFleet struct {
	gateway  *Gateway
	front    *httptest.Server
	timeLeft atomic.Int64 // of the attempt at the old endpoint, in milliseconds
	old      atomic.Int64 // attempts at the old endpoint
	left     atomic.Int64 // of them, those that were withdrawn before they began
	leftAt   atomic.Int64 // when the last one was withdrawn, in boottime nanoseconds
	renewed  atomic.Int64 // attempts at the new one
	setAt    time.Duration
	list     []*fleet.Endpoint
	arrived  chan struct{} // signals an attempt at the old endpoint
}

// oldEndpoint is what the endpoint with old weights does with a request.
type oldEndpoint int

const (
	waits          oldEndpoint = iota // it does not answer until it is withdrawn
	refusesAtEnd                      // it refuses the request as not run when its time left ends
	timesOutAtEnd                     // it answers 504 when its time left ends
	streamsOn                         // it sends an event every 100 ms until its time left ends
	endsInOrder                       // it does so and then ends its answer as if it were whole
	commentsOnly                      // it sends a comment and waits
	answersSlowly                     // it sends half of an answer, and the rest after the bound
	wholeBeforeEnd                    // it ends a whole stream shortly before its time left ends
	wholeAfterEnd                     // it does so shortly after
	streamsWhole                      // it sends the whole stream within 3 s, or breaks it off when its time left ends
)

func startLimitFleet(t *testing.T, behaviour oldEndpoint, withNew, setLater bool, options ...Option) *limitFleet {
	t.Helper()
	f := &limitFleet{arrived: make(chan struct{}, 1)}
	f.gateway = New(Identity{Name: "entry-1", Region: "riga", FailureDomain: "riga-a", PeerAddress: "10.0.0.1:1"}, limitCodec(),
		append([]Option{WithRetries(1, 100), WithConfirmation(boottime.Now, time.Minute), WithVersionBound(limitBound, func(TargetVersion) {})}, options...)...)
	route := func(name string, resumable bool) *fleet.Route {
		return fleet.NewRoute(name, "h", name, fleet.WithSplits(fleet.NewSplit("s", 1)), fleet.WithMaxAttempts(2),
			fleet.WithTimes(limitTimeout, 2*time.Second, time.Second), fleet.WithKind(fleet.Streaming), fleet.WithResumable(resumable))
	}
	service := fleet.NewService("s", fleet.WithEngine(&fleet.Engine{Models: []string{"m"}}))
	configuration := fleet.NewConfiguration(1, fleet.WithServices(service), fleet.WithRoutes(route(rawPathStream, true), route(rawPathOnce, false),
		fleet.NewRoute(rawPathPublish, "h", rawPathPublish, fleet.WithSplits(fleet.NewSplit("s", 1)), fleet.WithTimes(limitTimeout, 2*time.Second, time.Second))))
	f.gateway.ApplyConfiguration(configuration, map[string]int64{"m": 1})
	list := []*fleet.Endpoint{f.endpoint(t, "old", "riga-a", 1, f.serveOld(behaviour))}
	if withNew {
		list = append(list, f.endpoint(t, "new", "riga-b", 2, f.serveNew))
	}
	f.list = list
	f.gateway.ApplyEndpoints(list)
	f.gateway.ApplyConfiguration(nil, map[string]int64{"m": 1})
	if !setLater {
		f.setTarget()
	}
	f.front = httptest.NewServer(f.gateway)
	t.Cleanup(f.front.Close)
	return f
}

func (f *limitFleet) setTarget() {
	f.setAt = boottime.Now()
	f.gateway.targets.add("m", 2, f.setAt, true)
	f.gateway.Refresh()
}

func (f *limitFleet) endpoint(t *testing.T, id, domain string, version int64, serve http.HandlerFunc) *fleet.Endpoint {
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return fleet.NewEndpoint(id, "s", strings.TrimPrefix(server.URL, "http://"), fleet.WithPlace(domain), fleet.WithSlots(8),
		fleet.WithWeights(fleet.NewWeights("m", version, true)))
}

func (f *limitFleet) serveOld(behaviour oldEndpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.old.Add(1)
		left, _ := strconv.Atoi(r.Header.Get(rawTimeLeft))
		f.timeLeft.Store(int64(left))
		select {
		case f.arrived <- struct{}{}:
		default: // a test of several requests does not wait for each
		}
		_, _ = io.Copy(io.Discard, r.Body) // the server notices from then on that the caller leaves
		w.Header().Set(rawID, r.Header.Get(rawID))
		end := time.After(time.Duration(left) * time.Millisecond)
		work := time.After(limitWork)
		switch behaviour {
		case streamsOn, endsInOrder:
			f.streamUntil(w, r, end)
			if behaviour == endsInOrder {
				return
			}
			panic(http.ErrAbortHandler)
		case wholeBeforeEnd, wholeAfterEnd:
			f.streamWhole(w, r, time.Duration(left)*time.Millisecond+behaviour.afterEnd())
			return
		case streamsWhole:
			f.streamEvents(w, r, end)
			return
		case waits:
			end = nil
		case commentsOnly:
			f.writeComment(w)
			end = nil
		case answersSlowly:
			f.writeHalfOfAnswer(w)
			end = nil
		}
		select {
		case <-r.Context().Done():
			f.left.Add(1)
			f.leftAt.Store(int64(boottime.Now()))
			panic(http.ErrAbortHandler)
		case <-end:
		case <-work:
		}
		switch behaviour {
		case refusesAtEnd:
			w.Header().Set(rawNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case timesOutAtEnd:
			w.Header().Set(rawProof, "p")
			w.WriteHeader(http.StatusGatewayTimeout)
		case answersSlowly:
			_, _ = io.WriteString(w, eventsOf(51, 100))
		default:
			f.writeEvents(w, 1)
		}
	}
}

// streamUntil sends events until the end.
func (f *limitFleet) streamUntil(w http.ResponseWriter, r *http.Request, end <-chan time.Time) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(rawProof, "p")
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for n := 1; ; n++ {
		fmt.Fprint(w, event(n))
		w.(http.Flusher).Flush()
		select {
		case <-end:
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-tick.C:
		}
	}
}

// writeComment writes what an endpoint sends to keep a connection open.
func (f *limitFleet) writeComment(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(rawProof, "p")
	_, _ = io.WriteString(w, ": wait\n\n")
	w.(http.Flusher).Flush()
}

// writeHalfOfAnswer writes the head and half of the body of an answer that is no stream.
func (f *limitFleet) writeHalfOfAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set(rawProof, "p")
	_, _ = io.WriteString(w, eventsOf(1, 50))
	w.(http.Flusher).Flush()
}

func (f *limitFleet) serveNew(w http.ResponseWriter, r *http.Request) {
	f.renewed.Add(1)
	w.Header().Set(rawID, r.Header.Get(rawID))
	last, _ := strconv.Atoi(r.Header.Get(rawLastEvent))
	f.writeEvents(w, last+1)
}

// writeEvents writes a stream that ends with event 100.
func (f *limitFleet) writeEvents(w http.ResponseWriter, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(rawProof, "p")
	_, _ = io.WriteString(w, eventsOf(from, 100))
}

// call sends a request and returns the status of its response and whether the stream is
// whole.
func (f *limitFleet) call(t *testing.T, path string) (status int, whole bool) {
	request, err := http.NewRequest(http.MethodPost, f.front.URL+path, nil)
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set(rawID, rawRequestID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, err == nil && string(body) == eventsOf(1, 100)
}

// A request waits at an endpoint with old weights beyond their bound. It is withdrawn in
// time and sent to an endpoint with new ones, where it may be sent again.
func TestRequestThatWaitsIsWithdrawnBeforeBound(t *testing.T) {
	for _, test := range []struct {
		name      string
		path      string
		behaviour oldEndpoint
		withNew   bool
		setLater  bool // version 2 is set once the request waits
		limited   bool // the endpoint gets less time than the caller has
		status    int
		whole     bool
		withdrawn int64
	}{
		{"goes on at another", rawPathStream, waits, true, false, true, http.StatusOK, true, 1},
		{"none has the version", rawPathStream, waits, false, false, false, http.StatusBadGateway, false, 1},
		{"may not be resumed", rawPathOnce, waits, true, false, false, http.StatusBadGateway, false, 1},
		{"version is set later", rawPathStream, waits, true, true, false, http.StatusOK, true, 1},
		{"refused by the endpoint", rawPathStream, refusesAtEnd, true, false, true, http.StatusOK, true, 0},
		{"times out at the endpoint", rawPathStream, timesOutAtEnd, true, false, true, http.StatusOK, true, 0},
		{"stream goes on at another", rawPathStream, streamsOn, true, false, true, http.StatusOK, true, 0},
		{"stream that ends in order goes on at another", rawPathStream, endsInOrder, true, false, true, http.StatusOK, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startLimitFleet(t, test.behaviour, test.withNew, test.setLater)
			if test.setLater {
				go func() {
					<-f.arrived
					f.setTarget()
				}()
			}
			status, whole := f.call(t, test.path)
			require.Equal(t, test.status, status)
			require.Equal(t, test.whole, whole)
			require.Equal(t, int64(1), f.old.Load())
			require.Eventually(t, func() bool { return f.left.Load() == test.withdrawn }, time.Second, time.Millisecond)
			if test.withdrawn > 0 {
				require.Less(t, time.Duration(f.leftAt.Load()), f.setAt+limitBound, "withdrawn after the bound")
			}
			require.Equal(t, test.limited, time.Duration(f.timeLeft.Load())*time.Millisecond < limitBound)
			if test.whole {
				require.Equal(t, int64(1), f.renewed.Load())
			}
		})
	}
}

// The end of an attempt at its limit is no evidence that its request crashes endpoints.
func TestWithdrawnAttemptIsNoCrash(t *testing.T) {
	for _, behaviour := range []oldEndpoint{waits, timesOutAtEnd, streamsOn} {
		f := startLimitFleet(t, behaviour, true, false)
		status, whole := f.call(t, rawPathStream)
		require.Equal(t, http.StatusOK, status)
		require.True(t, whole)
		require.Zero(t, len(f.gateway.crashes.checks))
		require.Zero(t, f.gateway.traffic.suspects.Quarantines())
	}
}

// A comment keeps the connection of a request that waits open; the request has not begun.
func TestRequestWithOnlyACommentIsWithdrawn(t *testing.T) {
	f := startLimitFleet(t, commentsOnly, false, false)
	_, whole := f.call(t, rawPathStream)
	require.False(t, whole)
	require.Eventually(t, func() bool { return f.left.Load() == 1 }, time.Second, time.Millisecond, "it began on old weights after the bound")
	require.Less(t, time.Duration(f.leftAt.Load()), f.setAt+limitBound)
}

// While a request waits, its entry learns from another one that the version was set
// earlier than it had seen it.
func TestRequestIsWithdrawnByCorrectedBound(t *testing.T) {
	const seenLate = 800 * time.Millisecond
	f := startLimitFleet(t, waits, true, true)
	f.setAt = boottime.Now() - seenLate
	f.gateway.targets.add("m", 2, f.setAt+seenLate, false)
	f.gateway.Refresh()
	go func() {
		<-f.arrived
		f.gateway.addExactTarget("m", 2, f.setAt, "10.0.0.2:1")
		f.gateway.Refresh()
	}()
	status, whole := f.call(t, rawPathStream)
	require.Equal(t, http.StatusOK, status)
	require.True(t, whole)
	require.Eventually(t, func() bool { return f.left.Load() == 1 }, time.Second, time.Millisecond)
	require.Less(t, time.Duration(f.leftAt.Load()), f.setAt+limitBound, "withdrawn after the bound")
}

// An answer that is no stream has begun with its head: it is not withdrawn while its body
// is read.
func TestAnswerThatHasBegunIsNotWithdrawn(t *testing.T) {
	f := startLimitFleet(t, answersSlowly, false, false)
	status, whole := f.call(t, rawPathPublish)
	require.Equal(t, http.StatusOK, status)
	require.True(t, whole)
	require.Zero(t, f.left.Load())
	require.Greater(t, boottime.Now(), f.setAt+limitBound, "the answer ends after the bound")
}
