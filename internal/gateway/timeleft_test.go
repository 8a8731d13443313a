package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

const (
	// cutTime is the time left that ends before the others in these tests.
	cutTime = 300 * time.Millisecond
	// otherTime is that of the others.
	otherTime = 5 * time.Second
	// largePart is the size in bytes of the first part of a response that is not buffered.
	largePart = maxBufferedResponse + 1
)

// Paths of the routes with a short timeout.
const (
	shortStream = "/short/stream/"
	shortRead   = "/short/read/"
)

// timeLeftSetter is what ends the time left of an attempt.
type timeLeftSetter int

const (
	byRoute timeLeftSetter = iota
	byCaller
	byStop
	byFirstAttempt // it takes some of the time of the request
)

var timeLeftSetters = []struct {
	name   string
	setter timeLeftSetter
}{{"route", byRoute}, {"caller", byCaller}, {"stop", byStop}, {"first attempt", byFirstAttempt}}

// timedResponse is the response of an endpoint: a head and a first part at once, and a last
// part and the end at an offset from the end of the time left.
type timedResponse struct {
	name   string
	path   string // of the routes without a short timeout
	short  string // of the same kind with one
	status string
	fields string
	first  string
	last   string
	offset time.Duration
	// late is set if the head is sent with the last part.
	late bool
}

// timedFleet is a gateway before one endpoint that ends its responses by their time left.
type timedFleet struct {
	gateway  *Gateway
	front    *httptest.Server
	attempts atomic.Int64
}

func startTimedFleet(t *testing.T, setter timeLeftSetter, response timedResponse) *timedFleet {
	t.Helper()
	f := &timedFleet{}
	codec := limitCodec()
	codec.ReadRequest = func(h http.Header) (RequestHead, error) {
		timeLeft := otherTime
		if setter == byCaller || setter == byFirstAttempt {
			timeLeft = cutTime
		}
		return RequestHead{ID: h.Get(rawID), TimeLeft: timeLeft, HasTimeLeft: true}, nil
	}
	f.gateway = New(Identity{Name: "entry-1", Region: "riga", FailureDomain: "riga-a", PeerAddress: "10.0.0.1:1"}, codec,
		WithRetries(1, 100), WithConfirmation(boottime.Now, time.Minute))
	route := func(path string, timeout time.Duration, kind fleet.Kind) *fleet.Route {
		return fleet.NewRoute(path, "h", path, fleet.WithSplits(fleet.NewSplit("s", 1)), fleet.WithMaxAttempts(2),
			fleet.WithTimes(timeout, timeout, time.Second), fleet.WithKind(kind), fleet.WithResumable(kind == fleet.Streaming))
	}
	f.gateway.ApplyConfiguration(fleet.NewConfiguration(1, fleet.WithServices(fleet.NewService("s")), fleet.WithRoutes(
		route(rawPathStream, otherTime, fleet.Streaming), route(rawPathRead, otherTime, fleet.Idempotent),
		route(shortStream, cutTime, fleet.Streaming), route(shortRead, cutTime, fleet.Idempotent),
	)), nil)
	var list []*fleet.Endpoint
	for _, id := range []string{"e1", "e2"} {
		list = append(list, fleet.NewEndpoint(id, "s", f.listen(t, setter, response), fleet.WithPlace("riga-a"), fleet.WithSlots(rawSlots)))
	}
	recordServiceTimes(f.gateway.trafficOf("s").placement, time.Millisecond) // a stop refuses what is expected to take longer
	f.gateway.ApplyEndpoints(list)
	f.front = httptest.NewServer(f.gateway)
	t.Cleanup(f.front.Close)
	return f
}

// listen starts an endpoint and returns its address.
func (f *timedFleet) listen(t *testing.T, setter timeLeftSetter, response timedResponse) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() { // ends with the listener
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c, setter, response)
		}
	}()
	return l.Addr().String()
}

func (f *timedFleet) serve(c net.Conn, setter timeLeftSetter, response timedResponse) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	left, err := strconv.Atoi(request.Header.Get(rawTimeLeft))
	if err != nil {
		return
	}
	if f.attempts.Add(1) == 1 && setter == byFirstAttempt {
		<-time.After(cutTime / 3)
		return
	}
	end := time.After(time.Duration(left)*time.Millisecond + response.offset)
	text := head(response.status, proven+response.fields) + response.first
	// The gateway may have closed the connection.
	if !response.late {
		_, _ = io.WriteString(c, text)
		text = ""
	}
	<-end
	_, _ = io.WriteString(c, text+response.last)
}

// call sends a request, and begins a planned stop beside it if that sets its time left. It
// returns the status and whether the response looks whole; the error is that of a connection
// without a head of a response.
func (f *timedFleet) call(p rawProtocol, setter timeLeftSetter, response timedResponse) (status int, whole bool, err error) {
	path := response.path
	if setter == byRoute {
		path = response.short
	}
	if setter == byStop {
		f.gateway.Drain(cutTime)
		stop := time.AfterFunc(cutTime, f.gateway.EndRequests)
		defer stop.Stop()
	}
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	_, err = io.WriteString(c, "POST "+path+" "+p.version+"\r\nHost: h\r\n"+rawID+": "+rawRequestID+"\r\n"+p.header+"Content-Length: 0\r\n\r\n")
	if err != nil {
		return 0, false, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.ReadAll(answer.Body)
	return answer.StatusCode, err == nil, nil
}

// cutResponses end in good order with their time left before they are complete.
var cutResponses = []timedResponse{
	{name: "events in chunks", path: rawPathStream, short: shortStream, status: "200 OK", fields: typeEvents + inChunks, first: chunked(event(1)), last: lastChunk},
	{name: "events until the connection closes", path: rawPathStream, short: shortStream, status: "200 OK", fields: typeEvents, first: event(1)},
	{name: "chunks", path: rawPathRead, short: shortRead, status: "200 OK", fields: typeJSON + inChunks, first: chunked(`[1,`), last: lastChunk},
	{name: "a body until the connection closes", path: rawPathRead, short: shortRead, status: "200 OK", fields: typeJSON, first: `[1,`},
	{name: "many chunks", path: rawPathRead, short: shortRead, status: "200 OK", fields: typeJSON + inChunks, first: chunked(strings.Repeat("x", largePart)), last: lastChunk},
	{name: "a long body until the connection closes", path: rawPathRead, short: shortRead, status: "200 OK", fields: typeJSON, first: strings.Repeat("x", largePart)},
	{name: "an error in chunks", path: rawPathRead, short: shortRead, status: "404 Not Found", fields: typeJSON + inChunks, first: chunked(`[1,`), last: lastChunk},
}

// An endpoint stops work when the time left that it was given ends, and ends its response in
// good order there. The response looked whole to its caller, whatever had set the time left.
func TestCutAtTimeLeftLooksWhole(t *testing.T) {
	for _, s := range timeLeftSetters {
		for _, response := range cutResponses {
			t.Run(s.name+", "+response.name, func(t *testing.T) {
				t.Parallel()
				var work sync.WaitGroup
				for _, p := range rawProtocols {
					for _, offset := range []time.Duration{-3 * time.Millisecond, 0, 3 * time.Millisecond} {
						cut := response
						cut.offset = offset
						f := startTimedFleet(t, s.setter, cut)
						work.Go(func() {
							status, whole, err := f.call(p, s.setter, cut)
							// Any other status is the gateway's, also a refusal where many cases run.
							ofEndpoint := strings.HasPrefix(response.status, strconv.Itoa(status))
							if err != nil || whole && ofEndpoint {
								t.Errorf("%s, %v: status %d looks whole, or no response: %v", p.name, offset, status, err)
							}
						})
					}
				}
				work.Wait()
			})
		}
	}
}

// A response that is complete is delivered as whole: where its end comes before its time left
// ends, where a length shows it, and where an endpoint answers that its time is over.
func TestWholeResponseNearTimeLeft(t *testing.T) {
	events := eventsOf(1, rawStreamEvents)
	const (
		before = -60 * time.Millisecond
		near   = -3 * time.Millisecond
		over   = "time is over"
	)
	for _, s := range timeLeftSetters {
		for _, test := range []struct {
			timedResponse
			code int
		}{
			{timedResponse{name: "events before", path: rawPathStream, short: shortStream, status: "200 OK", fields: typeEvents + inChunks, first: chunked(events), last: lastChunk, offset: before}, http.StatusOK},
			{timedResponse{name: "chunks before", path: rawPathRead, short: shortRead, status: "200 OK", fields: typeJSON + inChunks, first: chunked("[1]"), last: lastChunk, offset: before}, http.StatusOK},
			{timedResponse{name: "body before", path: rawPathRead, short: shortRead, status: "200 OK", fields: typeJSON, first: "[1]", offset: before}, http.StatusOK},
			{timedResponse{name: "error before", path: rawPathRead, short: shortRead, status: "404 Not Found", fields: typeJSON + inChunks, first: chunked("[1]"), last: lastChunk, offset: before}, http.StatusNotFound},
			{timedResponse{name: "timeout", path: rawPathRead, short: shortRead, status: "504 Gateway Timeout", fields: typeJSON + inChunks, first: chunked(over), last: lastChunk, offset: near, late: true}, http.StatusGatewayTimeout},
		} {
			t.Run(s.name+", "+test.name, func(t *testing.T) {
				t.Parallel()
				f := startTimedFleet(t, s.setter, test.timedResponse)
				status, whole, err := f.call(rawProtocols[0], s.setter, test.timedResponse)
				require.NoError(t, err)
				require.Equal(t, test.code, status)
				require.True(t, whole)
			})
		}
	}
}

// A length shows that a response is whole, also one that ends past its time left.
func TestLengthShowsWholeResponse(t *testing.T) {
	now := 10 * time.Second
	q := &request{sentAt: now - time.Second, endpointDeadline: now}
	for _, test := range []struct {
		name   string
		length int64
		method string
		at     time.Duration
		cut    bool
	}{
		{"length", 5, http.MethodPost, now, false},
		{"no body", 0, http.MethodPost, now, false},
		{"response to HEAD", -1, http.MethodHead, now, false},
		{"no length", -1, http.MethodPost, now, true},
		{"no length, within the tolerance", -1, http.MethodPost, now - endTolerance, true},
		{"no length, before", -1, http.MethodPost, now - 2*endTolerance, false},
	} {
		q.method = test.method
		require.Equal(t, test.cut, q.mayBeCut(test.at, &http.Response{ContentLength: test.length}), test.name)
	}
}
