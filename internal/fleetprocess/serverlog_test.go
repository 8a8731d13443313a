package fleetprocess

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

func newLoggedProcess() (*process, *logBuffer) {
	logs := &logBuffer{}
	return &process{logger: slog.New(slog.NewJSONHandler(logs, nil)), telemetry: telemetry.New()}, logs
}

// counterValue returns the value of the counter with a name and the values of its labels.
func counterValue(p *process, name string, labels ...string) float64 {
	families, err := p.telemetry.Metrics().Registry().Gather()
	if err != nil {
		return -1
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			var values []string
			for _, l := range m.GetLabel() {
				values = append(values, l.GetValue())
			}
			if f.GetName() == name && slices.Equal(values, labels) {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// A handler that panics leaves its caller without an answer; only the ErrorLog reports it.
func TestHandlerPanicIsLogged(t *testing.T) {
	p, logs := newLoggedProcess()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		panic("broken handler")
	}))
	server.Config.ErrorLog = p.newServerLog("10.0.0.1:1")
	server.Start()
	t.Cleanup(server.Close)
	for _, path := range []string{"/abort", "/", "/", "/"} {
		_, err := http.Post(server.URL+path, "", nil)
		require.Error(t, err)
	}
	require.Eventually(t, func() bool {
		return counterValue(p, "primrosetally_server_faults_total", faultPanic) == 3
	}, 5*time.Second, time.Millisecond)
	require.Contains(t, logs.String(), "broken handler")
	require.LessOrEqual(t, strings.Count(logs.String(), telemetry.ServerFailed.Name()), 2, "one line a second")
}

func TestServerFaults(t *testing.T) {
	for _, test := range []struct {
		text  string
		kind  string
		lines int
	}{
		{"http: panic serving 10.0.0.2:1: broken\ngoroutine 1 [running]:\n" + strings.Repeat("x", 2*maxServerText), faultPanic, 2},
		{"http2: panic serving 10.0.0.2:1: broken", faultPanic, 2},
		{"http: Accept error: accept4: too many open files; retrying in 5ms", faultAccept, 2},
		{"http: TLS handshake error from 10.0.0.2:1: EOF", faultTLS, 0},
		{"http: superfluous response.WriteHeader call from main.main (main.go:1)", faultResponse, 0},
		{"something else", faultOther, 2},
	} {
		p, logs := newLoggedProcess()
		now := time.Unix(1, 0)
		l := &serverLog{logger: p.logger, metrics: p.telemetry.Metrics(), now: func() time.Time { return now }, loggedAt: make(map[string]time.Time)}
		for _, at := range []time.Duration{0, serverLogInterval / 2, serverLogInterval} {
			now = time.Unix(1, 0).Add(at)
			n, err := l.Write([]byte(test.text))
			require.NoError(t, err)
			require.Len(t, test.text, n)
		}
		require.EqualValues(t, 3, counterValue(p, "primrosetally_server_faults_total", test.kind), test.text)
		require.Equal(t, test.lines, strings.Count(logs.String(), telemetry.ServerFailed.Name()), test.text)
		require.LessOrEqual(t, len(logs.String()), 2*maxServerText+1000)
	}
}

// A request that crosses the close of its connection is reported, and no other close is.
func TestRequestNotReadIsLogged(t *testing.T) {
	const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, test := range []struct {
		name     string
		requests int    // answered before the rest
		rest     string // written before the server closes
		leaves   bool   // the caller closes first
		lines    int
		kept     string
	}{
		{"unused connection", 0, "", false, 0, ""},
		{"idle connection", 2, "", false, 0, ""},
		{"caller closes", 1, "", true, 0, ""},
		{"part of a first head", 0, whole[:10], false, 1, `"kept":false`},
		{"one byte of a first head", 0, whole[:1], false, 1, `"kept":false`},
		{"part of the next head", 2, whole[:10], false, 1, `"kept":true`},
		{"malformed head", 0, "\x01\r\n\r\n", false, 1, `"kept":false`},
		{"caller closes in a head", 1, whole[:10], true, 1, `"kept":true`},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, logs := newLoggedProcess()
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			server.Listener = p.withUnreadReports(server.Config, server.Listener)
			newUnusedConns(server.Config)
			waiting := make(chan struct{}, 8) // a connection waits for a request
			record := server.Config.ConnState
			server.Config.ConnState = func(c net.Conn, state http.ConnState) {
				record(c, state)
				if state == http.StateNew || state == http.StateIdle {
					waiting <- struct{}{}
				}
			}
			server.Start()
			t.Cleanup(server.Close)
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { c.Close() })
			<-waiting
			r := bufio.NewReader(c)
			for range test.requests {
				_, err = io.WriteString(c, whole)
				require.NoError(t, err)
				_, err = http.ReadResponse(r, nil)
				require.NoError(t, err)
				<-waiting
			}
			_, err = io.WriteString(c, test.rest)
			require.NoError(t, err)
			if test.leaves {
				require.NoError(t, c.Close())
			} else {
				time.Sleep(20 * time.Millisecond) // the bytes arrive
				server.CloseClientConnections()
			}
			_, err = c.Read(make([]byte, 1<<10))
			for err == nil { // net/http answers a malformed head
				_, err = c.Read(make([]byte, 1<<10))
			}
			server.Close()
			require.Equal(t, test.lines, strings.Count(logs.String(), telemetry.RequestNotRead.Name()), logs.String())
			require.EqualValues(t, test.lines, counterValue(p, "primrosetally_requests_not_read_total"))
			require.Contains(t, logs.String(), test.kept)
		})
	}
}
