package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/logbook"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Header fields with which panickingCodec panics as it reads them.
const (
	panicRequest  = "Panic-Request"
	panicResponse = "Panic-Response"
)

func panickingCodec() Codec {
	c := rawCodec()
	readRequest, readResponse := c.ReadRequest, c.ReadResponse
	c.ReadRequest = func(h http.Header) (RequestHead, error) {
		if h.Get(panicRequest) != "" {
			panic("broken request")
		}
		return readRequest(h)
	}
	c.ReadResponse = func(status int, h http.Header) ResponseHead {
		if h.Get(panicResponse) != "" {
			panic("broken response")
		}
		return readResponse(status, h)
	}
	return c
}

// endCase is a request and how it has to end.
type endCase struct {
	name    string
	path    string
	header  string
	answers []rawAnswer
	// stop is called with the caller's connection once the endpoint has read the request.
	stop   func(f *rawFleet, c net.Conn)
	status int // 0 for none
	whole  bool
	end    telemetry.RequestEnd
}

func closeCaller(_ *rawFleet, c net.Conn) { c.Close() }

func closeSending(_ *rawFleet, c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }

func endAll(f *rawFleet, _ net.Conn) {
	f.gateway.Drain(0)
	f.gateway.EndRequests()
}

func endCases() []endCase {
	stream := head("200 OK", proven+typeEvents+inChunks)
	broken := rawAnswer{text: stream + chunked(eventsOf(1, 3)), end: rawClose}
	wait := func() { time.Sleep(300 * time.Millisecond) }
	slow := rawAnswer{text: head("200 OK", proven+length("ok")) + "ok", before: wait}
	slowStream := rawAnswer{text: stream + chunked(eventsOf(1, 3)) + lastChunk, before: wait}
	badHead := rawAnswer{text: head("200 OK", proven+typeEvents+panicResponse+": 1\r\n"+inChunks) + chunked(eventsOf(1, 3)) + lastChunk}
	end := telemetry.NewRequestEnd
	return []endCase{
		{
			name: "answered", path: rawPathRead, status: http.StatusOK, whole: true,
			answers: []rawAnswer{{text: head("200 OK", proven+length("ok")) + "ok"}},
			end:     end(telemetry.EndAnswered, outcomeAnswered, ""),
		},
		{
			name: "stream", path: rawPathStream, status: http.StatusOK, whole: true,
			answers: []rawAnswer{{text: stream + chunked(eventsOf(1, 3)) + lastChunk}},
			end:     end(telemetry.EndAnswered, outcomeAnswered, ""),
		},
		{
			name: "error of the endpoint", path: rawPathPublish, status: http.StatusInternalServerError, whole: true,
			answers: []rawAnswer{{text: head("500 Internal Server Error", proven+length("no")) + "no"}},
			end:     end(telemetry.EndAnswered, outcomeEndpointFailure, ""),
		},
		{
			name: "no route", path: "/other", status: http.StatusNotFound, whole: true,
			end: end(telemetry.EndRefused, outcomeRejected, ""),
		},
		{
			name: "refused by all endpoints", path: rawPathPublish, status: http.StatusServiceUnavailable, whole: true,
			answers: []rawAnswer{
				{text: head("503 Service Unavailable", notRun+length(""))},
				{text: head("503 Service Unavailable", notRun+length(""))},
			},
			end: end(telemetry.EndRefused, outcomeNotRun, ""),
		},
		{
			name: "connection closed by the endpoint", path: rawPathPublish, status: http.StatusBadGateway, whole: true,
			answers: []rawAnswer{{end: rawClose}},
			end:     end(telemetry.EndStated, outcomeUnknown, causeAttempt),
		},
		{
			name: "stream broken off", path: rawPathOnce, status: http.StatusOK, answers: []rawAnswer{broken},
			end: end(telemetry.EndStated, outcomeAborted, causeAttempt),
		},
		{
			name: "caller closes", path: rawPathRead, stop: closeCaller, answers: []rawAnswer{slow},
			end: end(telemetry.EndStated, outcomeCallerGone, causeCallerClosed),
		},
		{
			name: "caller of a stream closes", path: rawPathStream, stop: closeCaller, answers: []rawAnswer{slowStream},
			end: end(telemetry.EndStated, outcomeCallerGone, causeCallerClosed),
		},
		{
			name: "caller closes its sending side", path: rawPathRead, stop: closeSending, answers: []rawAnswer{slow},
			end: end(telemetry.EndStated, outcomeCallerGone, causeCallerClosed),
		},
		{
			name: "requests are ended", path: rawPathRead, stop: endAll, status: http.StatusGatewayTimeout, whole: true, answers: []rawAnswer{slow},
			end: end(telemetry.EndStated, outcomeUnknown, causeStopping),
		},
		{
			name: "panic before the request is sent", path: rawPathRead, header: panicRequest, status: http.StatusServiceUnavailable, whole: true,
			end: end(telemetry.EndRefused, outcomeNotRun, causePanic),
		},
		{
			name: "panic after it was sent", path: rawPathStream, status: http.StatusBadGateway, whole: true, answers: []rawAnswer{badHead},
			end: end(telemetry.EndStated, outcomeUnknown, causePanic),
		},
		{
			name: "panic after the response has begun", path: rawPathStream, status: http.StatusOK, answers: []rawAnswer{broken, badHead},
			end: end(telemetry.EndStated, outcomeAborted, causePanic),
		},
	}
}

// inFlight returns the number of requests that placement believes to be at endpoints.
func inFlight(g *Gateway) int {
	n := 0
	for _, l := range g.trafficOf("s").placement.Loads() {
		n += l.InFlight
	}
	return n
}

// Every request ends once, with a line and a count that say how, and its caller gets what
// they say. The requests that were read are those that have ended and those in progress.
func TestEveryRequestIsCounted(t *testing.T) {
	for _, test := range endCases() {
		t.Run(test.name, func(t *testing.T) {
			lines := &lockedBuffer{}
			f := startRawFleet(t, 2, test.answers, WithLogger(slog.New(slog.NewJSONHandler(lines, nil))))
			f.gateway.codec = panickingCodec()
			counts := f.gateway.metrics.RequestCounts
			p := rawProtocols[0]
			if test.header != "" {
				p.header = test.header + ": 1\r\n"
			}
			c := f.dial(p, test.path, rawRequestID)
			if test.stop != nil {
				require.Eventually(t, func() bool { return len(f.seen()) == 1 }, 5*time.Second, time.Millisecond)
				require.EqualValues(t, 1, counts.Totals().InProgress())
				require.Zero(t, counts.Totals().Missing())
				test.stop(f, c)
			}
			if test.status != 0 {
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err, "the connection was closed without an answer")
				_, err = io.ReadAll(response.Body)
				require.Equal(t, test.status, response.StatusCode)
				require.Equal(t, test.whole, err == nil)
			}
			require.Eventually(t, func() bool { return counts.Totals().InProgress() == 0 }, 5*time.Second, time.Millisecond)
			totals := counts.Totals()
			require.EqualValues(t, 1, totals.Read())
			require.EqualValues(t, 1, totals.Count(test.end), "%+v", totals)
			require.Zero(t, totals.Missing())
			require.Eventually(t, func() bool { return inFlight(f.gateway) == 0 }, time.Second, time.Millisecond, "a slot is not released")
			require.Eventually(t, func() bool { return strings.Contains(lines.String(), telemetry.FleetRequestEnded.Name()) }, time.Second, time.Millisecond)
			require.Equal(t, 1, strings.Count(lines.String(), telemetry.FleetRequestEnded.Name()))
			require.Equal(t, strings.Contains(test.name, "panic"), strings.Contains(lines.String(), telemetry.RequestPanicked.Name()))
		})
	}
}

// failingWriter is a response whose writes fail.
type failingWriter struct {
	*httptest.ResponseRecorder
	err error
}

func (w *failingWriter) Write([]byte) (int, error) { return 0, w.err }

// A caller that does not take its response has not closed its connection.
func TestFailedWritesAreTold(t *testing.T) {
	for _, test := range []struct {
		name  string
		err   error
		cause string
		told  string
	}{
		{"connection reset", fmt.Errorf("write: %w", io.ErrClosedPipe), causeWriteFailed, "could not be written"},
		{"deadline of the write passed", fmt.Errorf("write: %w", os.ErrDeadlineExceeded), causeWriteTimeout, "did not read"},
	} {
		large := strings.Repeat("x", 2*maxBufferedResponse)
		for _, response := range []struct {
			name, path, text string
		}{
			{"read", rawPathRead, head("200 OK", proven+length("ok")) + "ok"},
			{"large", rawPathRead, head("200 OK", proven+length(large)) + large},
			{"stream", rawPathStream, head("200 OK", proven+typeEvents+inChunks) + chunked(eventsOf(1, 3)) + lastChunk},
		} {
			t.Run(test.name+", "+response.name, func(t *testing.T) {
				answer := rawAnswer{text: response.text}
				lines := &lockedBuffer{}
				f := startRawFleet(t, 1, []rawAnswer{answer}, WithLogger(slog.New(slog.NewJSONHandler(lines, nil))))
				r := httptest.NewRequest(http.MethodPost, response.path, nil)
				r.Host = "h"
				r.Header.Set(rawID, rawRequestID)
				require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() {
					f.gateway.ServeHTTP(&failingWriter{httptest.NewRecorder(), test.err}, r)
				})
				totals := f.gateway.metrics.RequestCounts.Totals()
				require.EqualValues(t, 1, totals.Count(telemetry.NewRequestEnd(telemetry.EndStated, outcomeCallerGone, test.cause)), "%+v", totals)
				require.Zero(t, totals.Missing())
				story, err := logbook.Explain(rawRequestID, []string{"-"}, strings.NewReader(lines.String()))
				require.NoError(t, err)
				require.Contains(t, story.Cause(), test.told)
			})
		}
	}
}

// At any time under load, also while requests are ended and their callers leave, none is
// missing in the counts.
func TestCountsAreExactUnderLoad(t *testing.T) {
	const callers, requests = 8, 40
	cases := endCases()
	answer := rawAnswer{
		text:   head("200 OK", proven+length("ok")) + "ok",
		before: func() { time.Sleep(2 * time.Millisecond) },
	}
	answers := make([]rawAnswer, callers*requests)
	for i := range answers {
		answers[i] = answer
		if i%7 == 0 {
			answers[i] = cases[i%len(cases)].firstAnswer(answer)
		}
	}
	f := startRawFleet(t, 4, answers)
	f.gateway.codec = panickingCodec()
	counts := f.gateway.metrics.RequestCounts
	var work sync.WaitGroup
	for i := range callers {
		work.Go(func() {
			for n := range requests {
				c := f.dial(rawProtocols[0], []string{rawPathRead, rawPathStream, rawPathPublish, "/other"}[(i+n)%4], rawRequestID)
				if n%5 != 0 {
					_, _ = http.ReadResponse(bufio.NewReader(c), nil)
				}
				c.Close()
			}
		})
	}
	done := make(chan struct{})
	go func() {
		work.Wait()
		close(done)
	}()
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		case <-time.After(time.Millisecond):
		}
		totals := counts.Totals()
		require.Zero(t, totals.Missing(), "%+v", totals)
		if totals.Read() > callers*requests*3/4 && !f.gateway.drain.hasEnded() {
			endAll(f, nil)
		}
	}
	require.Eventually(t, func() bool {
		totals := counts.Totals()
		return totals.Read() == callers*requests && totals.InProgress() == 0
	}, 10*time.Second, time.Millisecond)
	require.Zero(t, counts.Totals().Missing())
}

// firstAnswer returns the answer with which a case begins, or another one if it has none.
func (c endCase) firstAnswer(other rawAnswer) rawAnswer {
	if len(c.answers) == 0 {
		return other
	}
	return c.answers[0]
}

// A request in quarantine is refused if nothing was sent, and ends with that cause otherwise.
func TestQuarantinedRequestIsCounted(t *testing.T) {
	for _, test := range []struct {
		name          string
		mayHaveRun    bool
		headerWritten bool
		end           telemetry.RequestEnd
	}{
		{"not sent", false, false, telemetry.NewRequestEnd(telemetry.EndRefused, outcomeNotRun, "")},
		{"sent", true, false, telemetry.NewRequestEnd(telemetry.EndStated, outcomeUnknown, causeQuarantined)},
		{"response begun", true, true, telemetry.NewRequestEnd(telemetry.EndStated, outcomeAborted, causeQuarantined)},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startRawFleet(t, 1, nil)
			configuration := f.gateway.Configuration()
			q := &request{route: configuration.Route("h", rawPathRead), service: configuration.Services()["s"], traffic: f.gateway.trafficOf("s")}
			out := f.gateway.newResponseWriter(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, rawPathRead, nil))
			out.headerWritten = test.headerWritten
			s := f.gateway.newSequence(q)
			s.mayHaveRun = test.mayHaveRun
			s.refuseSuspect(out, q, suspects.Decision{})
			totals := f.gateway.metrics.RequestCounts.Totals()
			require.EqualValues(t, 1, totals.Count(test.end), "%+v", totals)
			require.Zero(t, totals.Missing())
			require.Zero(t, totals.InProgress())
		})
	}
}

// An end without any cause is missing in the sum, and so is a second end.
func TestMissingEndShows(t *testing.T) {
	g := newGateway(&clock{at: time.Second})
	counts := g.metrics.RequestCounts
	out := g.newResponseWriter(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	require.EqualValues(t, 1, counts.Totals().InProgress())
	require.Panics(t, out.end)
	require.EqualValues(t, 1, counts.Totals().Missing())
	require.EqualValues(t, 1, counts.Totals().Ended(telemetry.EndUnstated))
	out.counted.End(telemetry.NewRequestEnd(telemetry.EndAnswered, outcomeAnswered, ""))
	require.Zero(t, counts.Totals().InProgress())
	second := counts.Begin()
	second.End(telemetry.NewRequestEnd(telemetry.EndAnswered, outcomeAnswered, ""))
	second.End(telemetry.NewRequestEnd(telemetry.EndAnswered, outcomeAnswered, ""))
	require.EqualValues(t, -1, counts.Totals().Missing())
}
