package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/transport/endpoints"
)

// Headers of the protocol between rawFleet and its callers.
const (
	rawID        = "Id"
	rawProof     = "Proof"
	rawNotRun    = "Not-Run"
	rawLastEvent = "Last-Event-Id"
	rawKey       = "Key"
)

// Paths of the routes of rawFleet.
const (
	rawPathStream  = "/stream/" // may be resumed
	rawPathOnce    = "/once/"   // a stream that may not
	rawPathRead    = "/read/"   // idempotent
	rawPathPublish = "/publish/"
)

// rawSlots is the number of slots of each endpoint of rawFleet.
const rawSlots = 8

// rawEnd is how an endpoint ends an answer.
type rawEnd int

const (
	rawKeep  rawEnd = iota // waits for the next request
	rawClose               // closes the connection
	rawReset               // resets it
)

// rawAnswer is what an endpoint writes to one request.
type rawAnswer struct {
	text string
	end  rawEnd
	// stale is written before text on a connection that has carried a request before.
	stale string
	// before is called before anything is written, nil for nothing to do.
	before func()
}

// rawRequest is a request as an endpoint has read it.
type rawRequest struct {
	endpoint  string
	lastEvent string
}

// rawFleet is a gateway whose endpoints write given bytes, one answer after the other,
// whichever of them is asked.
type rawFleet struct {
	t         *testing.T
	endpoints []*fleet.Endpoint
	front     string
	server    *httptest.Server

	mu       sync.Mutex
	gateway  *Gateway // changed by the test alone
	answers  []rawAnswer
	requests []rawRequest
}

func rawCodec() Codec {
	return Codec{
		ReadRequest: func(h http.Header) (RequestHead, error) {
			return RequestHead{ID: h.Get(rawID), Key: h.Get(rawKey), LastEvent: h.Get(rawLastEvent), TimeLeft: 3 * time.Second, HasTimeLeft: true}, nil
		},
		WriteForward: func(h http.Header, f ForwardHead) {
			if f.LastEvent != "" {
				h.Set(rawLastEvent, f.LastEvent)
			}
		},
		ReadResponse: func(status int, h http.Header) ResponseHead {
			return ResponseHead{
				NotExecuted:   h.Get(rawNotRun) != "" || status == http.StatusMisdirectedRequest,
				Misdirected:   status == http.StatusMisdirectedRequest,
				Authenticated: h.Get(rawProof) != "",
			}
		},
		Match: func(h http.Header, id string) endpoints.Match {
			return endpoints.MatchID(h.Values(rawID), id)
		},
	}
}

// startRawFleet starts a gateway before the given number of endpoints.
func startRawFleet(t *testing.T, count int, answers []rawAnswer, options ...Option) *rawFleet {
	t.Helper()
	f := &rawFleet{t: t}
	for i := range count {
		id := fmt.Sprintf("e%d", i+1)
		f.endpoints = append(f.endpoints, fleet.NewEndpoint(id, "s", f.listen(id), fleet.WithPlace("riga-a"), fleet.WithSlots(rawSlots)))
	}
	f.renew(answers, options...)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		g := f.gateway
		f.mu.Unlock()
		g.ServeHTTP(w, r)
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // of panics that a test causes
	server.Start()
	t.Cleanup(server.Close)
	f.server = server
	f.front = server.Listener.Addr().String()
	return f
}

// renew puts a new gateway before the endpoints, which then give other answers.
func (f *rawFleet) renew(answers []rawAnswer, options ...Option) {
	options = append([]Option{WithRetries(1, 100), WithConfirmation(boottime.Now, time.Minute)}, options...)
	g := New(Identity{Name: "entry-1", Region: "riga", FailureDomain: "riga-a", PeerAddress: "10.0.0.1:1"}, rawCodec(), options...)
	g.ApplyConfiguration(rawConfiguration(1), nil)
	g.ApplyEndpoints(f.endpoints)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateway, f.answers, f.requests = g, answers, nil
}

// rawConfiguration returns a configuration with the service and the routes of rawFleet.
func rawConfiguration(version int64, options ...fleet.ConfigurationOption) *fleet.Configuration {
	route := func(name string, o ...fleet.RouteOption) *fleet.Route {
		o = append(o, fleet.WithSplits(fleet.NewSplit("s", 1)), fleet.WithMaxAttempts(2), fleet.WithTimes(3*time.Second, 2*time.Second, time.Second))
		return fleet.NewRoute(name, "h", name, o...)
	}
	return fleet.NewConfiguration(version, append([]fleet.ConfigurationOption{fleet.WithServices(fleet.NewService("s")), fleet.WithRoutes(
		route(rawPathStream, fleet.WithKind(fleet.Streaming), fleet.WithResumable(true)),
		route(rawPathOnce, fleet.WithKind(fleet.Streaming)),
		route(rawPathRead, fleet.WithKind(fleet.Idempotent)),
		route(rawPathPublish),
	)}, options...)...)
}

// awaitPlacement waits until placement takes requests again after a refusal.
func (f *rawFleet) awaitPlacement() {
	pool := f.gateway.trafficOf("s").placement
	require.Eventually(f.t, func() bool {
		d := <-pool.Submit(f.gateway.now(), placement.Request{Deadline: f.gateway.now()}).Decision()
		if d.Placed() {
			pool.Release(f.gateway.now(), d.Choice(), placement.Cancelled)
		}
		return d.Placed()
	}, 5*time.Second, 10*time.Millisecond)
}

// listen starts an endpoint and returns its address.
func (f *rawFleet) listen(id string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { l.Close() })
	go func() { // ends with the listener
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(id, c)
		}
	}()
	return l.Addr().String()
}

// serve answers the requests on a connection until an answer ends it.
func (f *rawFleet) serve(id string, c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for kept := false; ; kept = true {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		a, found := f.next(rawRequest{endpoint: id, lastEvent: request.Header.Get(rawLastEvent)})
		if !found {
			return
		}
		if a.before != nil {
			a.before()
		}
		text := a.text
		if kept {
			text = a.stale + text
		}
		// A gateway that has seen enough may have closed the connection.
		_, _ = io.WriteString(c, text)
		if t, isTCP := c.(*net.TCPConn); isTCP && a.end == rawReset {
			_ = t.SetLinger(0) // closing then sends a reset
		}
		if a.end != rawKeep {
			return
		}
	}
}

func (f *rawFleet) next(r rawRequest) (rawAnswer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	if len(f.requests) > len(f.answers) {
		return rawAnswer{}, false
	}
	return f.answers[len(f.requests)-1], true
}

// seen returns the requests that the endpoints have read.
func (f *rawFleet) seen() []rawRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]rawRequest(nil), f.requests...)
}

// rawProtocol is how a caller speaks HTTP.
type rawProtocol struct {
	name    string
	version string
	header  string
	// framed is set where the end of an answer shows without the end of the connection.
	framed bool
}

var rawProtocols = []rawProtocol{
	{"HTTP 1.1", "HTTP/1.1", "", true},
	{"HTTP 1.1 and close", "HTTP/1.1", "Connection: close\r\n", true},
	{"HTTP 1.0", "HTTP/1.0", "", false},
	{"HTTP 1.0 and keep-alive", "HTTP/1.0", "Connection: keep-alive\r\n", false},
}

// dial opens a caller's connection and sends a request.
func (f *rawFleet) dial(p rawProtocol, path, id string) net.Conn {
	return f.dialMethod(http.MethodPost, p, path, id)
}

// dialMethod does so with a method.
func (f *rawFleet) dialMethod(method string, p rawProtocol, path, id string) net.Conn {
	c, err := net.Dial("tcp", f.front)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	require.NoError(f.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, method+" "+path+" "+p.version+"\r\nHost: h\r\n"+rawID+": "+id+"\r\n"+p.header+"Content-Length: 0\r\n\r\n")
	require.NoError(f.t, err)
	return c
}

// rawResult is an answer as its caller sees it.
type rawResult struct {
	status int
	header http.Header
	body   string
	whole  bool // the answer ended where its framing says
	after  int  // bytes after its end
}

// readResult reads an answer to its end.
func readResult(t *testing.T, p rawProtocol, c net.Conn) rawResult {
	t.Helper()
	r := bufio.NewReader(c)
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	result := rawResult{status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil, after: r.Buffered()}
	if p.framed {
		require.True(t, response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
	}
	return result
}

// chunked frames the parts of a body as chunks, without the last one.
func chunked(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n" + p + "\r\n")
	}
	return b.String()
}

// lastChunk ends a body of chunks.
const lastChunk = "0\r\n\r\n"

const (
	rawRequestID    = "request-1"
	rawStreamEvents = 5 // of the whole stream
	errorText       = "out of memory"
	comment         = ": still here\n\n"
)

// event returns an event of the stream that the caller asks for.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: value %d\n\n", n, n) }

// eventsOf returns the events from one number to another.
func eventsOf(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// head returns the head of an answer to the request. The lines end with CRLF.
func head(status, lines string) string {
	return "HTTP/1.1 " + status + "\r\nId: " + rawRequestID + "\r\n" + lines + "\r\n"
}

const (
	proven     = "Proof: p\r\n"
	typeEvents = "Content-Type: text/event-stream\r\n"
	typeJSON   = "Content-Type: application/json\r\n"
	inChunks   = "Transfer-Encoding: chunked\r\n"
	second     = "Second: yes\r\n"
	notRun     = "Not-Run: 1\r\n"
)

func length(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// firstOf returns an answer that breaks off after the given parts of its body.
func firstOf(parts ...string) rawAnswer {
	return rawAnswer{text: head("200 OK", proven+typeEvents+"First: yes\r\n"+inChunks) + chunked(parts...), end: rawClose}
}
