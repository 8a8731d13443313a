package fleetprocess

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/platform"
	"github.com/primrosetally/primrosetally/platform/standin"
)

// runLog records the runs at all servers.
type runLog struct {
	mu   sync.Mutex
	runs []standin.Run
}

func (l *runLog) add(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// forAttempt returns the runs with the given attempt ID.
func (l *runLog) forAttempt(attempt string) []standin.Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []standin.Run
	for _, r := range l.runs {
		if r.Attempt == attempt {
			list = append(list, r)
		}
	}
	return list
}

// logBuffer holds the log lines of a deployment. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// system is a deployment whose entries and agents run in this process.
type system struct {
	*standin.Deployment
	t             *testing.T
	runs          *runLog
	logs          *logBuffer
	cancel        context.CancelFunc
	stopEntry     []context.CancelFunc // by index in Entries
	processErrors []chan error
	stores        []*http.Server
	next          int
}

// network is the address block of the latest deployment; each deployment has its own, also
// of other runs of these tests at the same time.
var network byte = 100

// startDeployment starts a deployment in the next address block that is free.
func startDeployment(options ...standin.DeploymentOption) (*standin.Deployment, error) {
	const blocks = 150
	for range blocks {
		network = 100 + (network-99)%blocks
		d, err := standin.StartDeployment(append(options, standin.WithNetwork(network))...)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return d, err
		}
	}
	return nil, errors.New("no address block is free")
}

func startSystem(t *testing.T, options ...standin.DeploymentOption) *system {
	t.Helper()
	s := newSystem(t, options...)
	s.startProcesses()
	return s
}

// newSystem starts a deployment without entries and agents.
func newSystem(t *testing.T, options ...standin.DeploymentOption) *system {
	t.Helper()
	s := &system{t: t, runs: &runLog{}, logs: &logBuffer{}}
	options = append([]standin.DeploymentOption{standin.WithGrace(1500 * time.Millisecond)}, options...)
	d, err := startDeployment(append(options, standin.WithRunsOf(s.runs.add))...)
	require.NoError(t, err)
	s.Deployment = d
	return s
}

// startProcesses starts the entries and agents and waits until all entries are ready.
func (s *system) startProcesses() {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, m := range s.Entries {
		entryCtx, stopEntry := context.WithCancel(ctx)
		s.stopEntry = append(s.stopEntry, stopEntry)
		s.start(entryCtx, m, RunEntry)
	}
	for _, m := range s.Agents {
		s.start(ctx, m, RunAgent)
	}
	s.t.Cleanup(s.stop)
	for _, m := range s.Entries {
		require.Eventually(s.t, func() bool { return s.IsReady(m) }, 10*time.Second, 20*time.Millisecond, m.Name)
	}
}

func (s *system) start(ctx context.Context, m standin.Machine, run func(context.Context, *platform.Settings, *slog.Logger) error) {
	settings, err := platform.ParseSettings(s.Settings(m, s.serveStore(m)))
	require.NoError(s.t, err)
	result := make(chan error, 1)
	s.processErrors = append(s.processErrors, result)
	go func() { result <- run(ctx, settings, slog.New(slog.NewJSONHandler(s.logs, nil))) }()
}

// storePort is the port of the store's address for one machine.
const storePort = ":8007"

// serveStore opens an address of the store for one machine and returns it. It tells the
// calls of machines apart: all come from the same address on loopback.
func (s *system) serveStore(m standin.Machine) string {
	l, err := net.Listen("tcp", m.IP+storePort)
	require.NoError(s.t, err)
	server := &http.Server{Handler: s.Store}
	s.stores = append(s.stores, server)
	go func() { _ = server.Serve(l) }() // ends with stop
	return m.IP + storePort
}

func (s *system) stop() {
	s.cancel()
	for _, result := range s.processErrors {
		require.NoError(s.t, <-result)
	}
	for _, server := range s.stores {
		server.Close()
	}
	s.Close()
	s.requireNoneMissing()
	if s.t.Failed() {
		s.t.Logf("log lines:\n%s", s.logs)
	}
}

// requireNoneMissing checks the counts that entries log at their stop: every request that was
// read has ended once, with an answer, a refusal or a stated cause, or is in progress.
func (s *system) requireNoneMissing() {
	for line := range strings.Lines(s.logs.String()) {
		var l struct {
			Event   string `json:"msg"`
			Missing int    `json:"missing"`
		}
		require.NoError(s.t, json.Unmarshal([]byte(line), &l))
		if l.Event == telemetry.RequestsCounted.Name() {
			require.Zero(s.t, l.Missing, line)
		}
	}
}

// callResult is the outcome of a call.
type callResult struct {
	status  int
	header  http.Header
	body    string
	callErr error
	attempt string
}

// call sends one request to the first entry.
func (s *system) call(method, path, key string) callResult {
	s.next++
	attempt := fmt.Sprintf("attempt-%d", s.next)
	request, err := standin.NewRequest(method, s.Front(s.Entries[0]), path, attempt, key, 2500*time.Millisecond)
	require.NoError(s.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{callErr: err, attempt: attempt}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), callErr: err, attempt: attempt}
}

func completeStream(path string) string {
	var b strings.Builder
	for n := range standin.Events(path) {
		b.WriteString(standin.Event(path, n+1))
	}
	return b.String()
}

func TestRequestsOfEachKind(t *testing.T) {
	s := startSystem(t)
	for _, test := range []struct {
		name, method, path, key string
		status                  int
		body                    string
		runs                    int
	}{
		{"stream", "POST", standin.PathStream + "a", standin.Key, 200, completeStream(standin.PathStream + "a"), 1},
		{"read", "GET", standin.PathRead + "a?x=%20y", standin.Key, 200, standin.Body(standin.PathRead + "a?x=%20y"), 1},
		{"publish", "POST", standin.PathPublish + "a", standin.Key, 200, standin.Body(standin.PathPublish + "a"), 1},
		{"no route", "GET", "/other/", standin.Key, 404, "", 0},
		{"unknown key", "GET", standin.PathRead, "wrong", 401, "", 0},
	} {
		r := s.call(test.method, test.path, test.key)
		require.NoError(t, r.callErr, test.name)
		require.Equal(t, test.status, r.status, test.name)
		require.Equal(t, test.body, r.body, test.name)
		runs := s.runs.forAttempt(r.attempt)
		require.Len(t, runs, test.runs, test.name)
		for _, run := range runs {
			require.Equal(t, standin.Account, run.Account, test.name)
			require.Empty(t, run.Key, test.name)
		}
	}
}

// A request whose response is lost may have run. A request that is not idempotent is
// neither retried nor reported as not executed; a stream is resumed at another endpoint.
func TestBrokenResponses(t *testing.T) {
	for _, test := range []struct {
		name, method, path string
		broken             standin.Breakage
		status             int
		runs               int
	}{
		{"publish, no response", "POST", standin.PathPublish + "b", standin.BreakBefore, 502, 1},
		{"publish, partial response", "POST", standin.PathPublish + "c", standin.BreakMidway, 502, 1},
		{"publish, 500", "POST", standin.PathPublish + "d", standin.BreakError, 500, 1},
		{"read, no response", "GET", standin.PathRead + "b", standin.BreakBefore, 200, 2},
		{"read, 500", "GET", standin.PathRead + "c", standin.BreakError, 200, 2},
		{"stream, no response", "POST", standin.PathStream + "b", standin.BreakBefore, 200, 2},
		{"stream, broken within an event", "POST", standin.PathStream + "c", standin.BreakMidway, 200, 2},
		{"stream without length, whole", "POST", standin.PathStream + "d", standin.BreakUnframed, 200, 1},
		{"stream without length, ends before its first event", "POST", standin.PathStream + "e", standin.BreakUnframedEmpty, 200, 2},
		{"stream without length, ends within an event", "POST", standin.PathStream + "f", standin.BreakUnframedMidway, 200, 2},
		{"stream without length, reset after an event", "POST", standin.PathStream + "g", standin.BreakUnframedReset, 200, 2},
		{"read without length, whole", "GET", standin.PathRead + "d", standin.BreakUnframed, 200, 1},
		{"read without length, reset", "GET", standin.PathRead + "e", standin.BreakUnframedReset, 200, 2},
		{"read without length, reset before its body", "GET", standin.PathRead + "f", standin.BreakUnframedEmpty, 200, 2},
		{"publish, cut in the head", "POST", standin.PathPublish + "h", standin.BreakCutHead, 502, 1},
		{"read, cut in the head", "GET", standin.PathRead + "g", standin.BreakCutHead, 200, 2},
		{"stream, cut in the head", "POST", standin.PathStream + "h", standin.BreakCutHead, 200, 2},
		{"publish without length, whole", "POST", standin.PathPublish + "e", standin.BreakUnframed, 200, 1},
		{"publish without length, reset", "POST", standin.PathPublish + "f", standin.BreakUnframedReset, 502, 1},
		{"publish without length, reset before its body", "POST", standin.PathPublish + "g", standin.BreakUnframedEmpty, 502, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t)
			var mu sync.Mutex
			left := 1
			once := func() standin.Breakage {
				mu.Lock()
				defer mu.Unlock()
				if left == 0 {
					return standin.BreakNone
				}
				left--
				return test.broken
			}
			for _, server := range s.Servers {
				server.SetBroken(once)
			}
			r := s.call(test.method, test.path, standin.Key)
			require.NoError(t, r.callErr)
			require.Equal(t, test.status, r.status, "runs: %v", s.runs.forAttempt(r.attempt))
			require.Len(t, s.runs.forAttempt(r.attempt), test.runs)
			if test.status != http.StatusOK {
				return
			}
			if strings.HasPrefix(test.path, standin.PathStream) {
				require.Equal(t, completeStream(test.path), r.body)
			} else {
				require.Equal(t, standin.Body(test.path), r.body)
			}
		})
	}
}

// An answer without length or chunks may follow one that broke off, and break off as well.
func TestUnframedResponseAfterRepeat(t *testing.T) {
	for _, test := range []struct {
		name          string
		first, second standin.Breakage
		complete      bool
	}{
		{"whole", standin.BreakMidway, standin.BreakUnframed, true},
		{"whole, after one like it", standin.BreakUnframedMidway, standin.BreakUnframed, true},
		{"ends within an event", standin.BreakMidway, standin.BreakUnframedMidway, false},
		{"reset", standin.BreakUnframedReset, standin.BreakUnframedReset, false},
		{"ends before its first event", standin.BreakUnframedMidway, standin.BreakUnframedEmpty, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t)
			var number atomic.Int64
			for _, server := range s.Servers {
				server.SetBroken(func() standin.Breakage {
					if number.Add(1) == 1 {
						return test.first
					}
					return test.second
				})
			}
			path := standin.PathStream + "r"
			r := s.call("POST", path, standin.Key)
			require.Equal(t, http.StatusOK, r.status)
			require.Len(t, s.runs.forAttempt(r.attempt), 2)
			if test.complete {
				require.NoError(t, r.callErr)
				require.Equal(t, completeStream(path), r.body)
				return
			}
			require.Error(t, r.callErr, "an answer that broke off must not look whole")
			require.True(t, strings.HasPrefix(completeStream(path), r.body))
		})
	}
}

// Extra bytes after a response belong to no request and must not become part of the next
// response on the connection.
func TestExtraResponseBytesAreDropped(t *testing.T) {
	s := startSystem(t)
	for _, server := range s.Servers {
		server.SetBroken(func() standin.Breakage { return standin.BreakExtra })
	}
	for i := range 20 {
		path := fmt.Sprintf("%s%d", standin.PathRead, i)
		r := s.call("GET", path, standin.Key)
		require.NoError(t, r.callErr)
		require.Equal(t, http.StatusOK, r.status, r.attempt)
		require.Equal(t, standin.Body(path), r.body)
	}
}

// breakFirst breaks the first response of all servers together.
func (s *system) breakFirst(b standin.Breakage) {
	var broken atomic.Bool
	for _, server := range s.Servers {
		server.SetBroken(func() standin.Breakage {
			if broken.Swap(true) {
				return standin.BreakNone
			}
			return b
		})
	}
}

// A slow stream is not aborted. A stream with an endless event is resumed at another
// endpoint. A stream that stalls and delivers single bytes ends at the request's deadline
// and is not reported as complete.
func TestSlowAndEndlessStreams(t *testing.T) {
	slow := standin.SmallEngine
	slow.Event = 150 * time.Millisecond
	for _, test := range []struct {
		name   string
		broken standin.Breakage
		whole  bool
		runs   int
	}{
		{"slow", standin.BreakNone, true, 1},
		{"endless event", standin.BreakFlood, true, 2},
		{"single bytes", standin.BreakDrip, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, standin.WithEngines(slow))
			s.breakFirst(test.broken)
			path := standin.PathStream + "slow"
			for standin.Events(path) > 8 {
				path += "-"
			}
			start := time.Now()
			r := s.call("POST", path, standin.Key)
			require.Less(t, time.Since(start), 4*time.Second)
			require.Equal(t, test.whole, r.callErr == nil && r.body == completeStream(path))
			require.Len(t, s.runs.forAttempt(r.attempt), test.runs)
		})
	}
}

// A request ends although its caller never reads the response.
func TestUnreadResponseIsAborted(t *testing.T) {
	s := startSystem(t)
	s.breakFirst(standin.BreakFastEvents)
	address := s.Front(s.Entries[0])
	request, err := standin.NewRequest("POST", address, standin.PathStream+"unread", "unread-1", standin.Key, 500*time.Millisecond)
	require.NoError(t, err)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, request.Write(c))
	require.Eventually(t, func() bool {
		for line := range strings.Lines(s.logs.String()) {
			if strings.Contains(line, `"msg":"fleetRequestEnded"`) && strings.Contains(line, `"request":"unread-1"`) {
				return true
			}
		}
		return false
	}, 15*time.Second, 100*time.Millisecond)
}

// A draining entry stops accepting requests after a limited time even if callers keep
// sending them: requests accepted later would be aborted at the end of the stop timeout.
func TestDrainingEntryStopsAccepting(t *testing.T) {
	s := startSystem(t)
	address := s.Front(s.Entries[0])
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for n := 0; ctx.Err() == nil; n++ {
				request, err := standin.NewRequest("POST", address, standin.PathStream+"leave", fmt.Sprintf("leave-%d-%d", i, n), standin.Key, time.Second)
				if err != nil {
					return
				}
				response, err := client.Do(request.WithContext(ctx))
				if err != nil {
					continue // refused because the entry has stopped listening
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		})
	}
	defer callers.Wait()
	defer stop()
	time.Sleep(100 * time.Millisecond)
	s.cancel()
	// With these settings the stop timeout leaves one second for draining, and new
	// requests are accepted for half of it.
	time.Sleep(750 * time.Millisecond)
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		c.Close()
	}
	require.Error(t, err, "the entry still accepts connections")
}
