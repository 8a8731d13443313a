package fleetprocess

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform"
	"github.com/primrosetally/primrosetally/platform/standin"
)

// runLog collects the runs at all servers.
type runLog struct {
	mu   sync.Mutex
	runs []standin.Run
}

func (l *runLog) add(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// of returns the runs of an attempt.
func (l *runLog) of(attempt string) []standin.Run {
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

// logBuffer collects the log lines of a deployment. It is safe for concurrent use.
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

// system is a deployment with its roles in this process.
type system struct {
	*standin.Deployment
	t      *testing.T
	runs   *runLog
	logs   *logBuffer
	cancel context.CancelFunc
	ended  []chan error
	next   int
}

// network gives each deployment addresses of its own.
var network byte = 100

func startSystem(t *testing.T, options ...standin.DeploymentOption) *system {
	t.Helper()
	network++
	s := &system{t: t, runs: &runLog{}, logs: &logBuffer{}}
	d, err := standin.StartDeployment(append(options, standin.WithNetwork(network), standin.WithRunsOf(s.runs.add), standin.WithGrace(1500*time.Millisecond))...)
	require.NoError(t, err)
	s.Deployment = d
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, m := range d.Entries {
		s.start(ctx, m, RunEntry)
	}
	for _, m := range d.Agents {
		s.start(ctx, m, RunAgent)
	}
	t.Cleanup(s.stop)
	for _, m := range d.Entries {
		require.Eventually(t, func() bool { return s.IsReady(m) }, 10*time.Second, 20*time.Millisecond, m.Name)
	}
	return s
}

func (s *system) start(ctx context.Context, m standin.Machine, run func(context.Context, *platform.Settings, *slog.Logger) error) {
	settings, err := platform.ParseSettings(s.Settings(m, s.StoreAddress()))
	require.NoError(s.t, err)
	ended := make(chan error, 1)
	s.ended = append(s.ended, ended)
	go func() { ended <- run(ctx, settings, slog.New(slog.NewJSONHandler(s.logs, nil))) }()
}

func (s *system) stop() {
	s.cancel()
	for _, ended := range s.ended {
		require.NoError(s.t, <-ended)
	}
	s.Close()
	if s.t.Failed() {
		s.t.Logf("log lines:\n%s", s.logs)
	}
}

// reply is what a caller gets.
type reply struct {
	status  int
	header  http.Header
	body    string
	broken  error
	attempt string
}

// call sends one request to the first entry.
func (s *system) call(method, path, key string) reply {
	s.next++
	attempt := fmt.Sprintf("attempt-%d", s.next)
	request, err := standin.NewRequest(method, s.Front(s.Entries[0]), path, attempt, key, 2500*time.Millisecond)
	require.NoError(s.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{broken: err, attempt: attempt}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), broken: err, attempt: attempt}
}

func wholeStream(path string) string {
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
		{"stream", "POST", standin.PathStream + "a", standin.Key, 200, wholeStream(standin.PathStream + "a"), 1},
		{"read", "GET", standin.PathRead + "a?x=%20y", standin.Key, 200, standin.Body(standin.PathRead + "a?x=%20y"), 1},
		{"publish", "POST", standin.PathPublish + "a", standin.Key, 200, standin.Body(standin.PathPublish + "a"), 1},
		{"no route", "GET", "/other/", standin.Key, 404, "", 0},
		{"unknown key", "GET", standin.PathRead, "wrong", 401, "", 0},
	} {
		r := s.call(test.method, test.path, test.key)
		require.NoError(t, r.broken, test.name)
		require.Equal(t, test.status, r.status, test.name)
		require.Equal(t, test.body, r.body, test.name)
		runs := s.runs.of(r.attempt)
		require.Len(t, runs, test.runs, test.name)
		for _, run := range runs {
			require.Equal(t, standin.Account, run.Account, test.name)
			require.Empty(t, run.Key, test.name)
		}
	}
}

// A request whose answer is lost may have run. What is not idempotent is neither
// repeated nor said not to have run; a stream goes on at another endpoint.
func TestBrokenAnswers(t *testing.T) {
	for _, test := range []struct {
		name, method, path string
		broken             standin.Breakage
		status             int
		runs               int
	}{
		{"publish, no answer", "POST", standin.PathPublish + "b", standin.BreakBefore, 502, 1},
		{"publish, half an answer", "POST", standin.PathPublish + "c", standin.BreakMidway, 502, 1},
		{"publish, 500", "POST", standin.PathPublish + "d", standin.BreakError, 500, 1},
		{"read, no answer", "GET", standin.PathRead + "b", standin.BreakBefore, 200, 2},
		{"read, 500", "GET", standin.PathRead + "c", standin.BreakError, 200, 2},
		{"stream, no answer", "POST", standin.PathStream + "b", standin.BreakBefore, 200, 2},
		{"stream, broken in an event", "POST", standin.PathStream + "c", standin.BreakMidway, 200, 2},
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
			require.NoError(t, r.broken)
			require.Equal(t, test.status, r.status, "runs: %v", s.runs.of(r.attempt))
			require.Len(t, s.runs.of(r.attempt), test.runs)
			if test.status == http.StatusOK && strings.HasPrefix(test.path, standin.PathStream) {
				require.Equal(t, wholeStream(test.path), r.body)
			}
		})
	}
}

// Bytes after an answer belong to no request, and the next one must not get them.
func TestExtraAnswersAreDropped(t *testing.T) {
	s := startSystem(t)
	for _, server := range s.Servers {
		server.SetBroken(func() standin.Breakage { return standin.BreakExtra })
	}
	for i := range 20 {
		path := fmt.Sprintf("%s%d", standin.PathRead, i)
		r := s.call("GET", path, standin.Key)
		require.NoError(t, r.broken)
		require.Equal(t, http.StatusOK, r.status, r.attempt)
		require.Equal(t, standin.Body(path), r.body)
	}
}

// An entry that the store turns away lives on the confirmation of another one, and
// takes the configuration over from it.
func TestStoreTurnsOneEntryAway(t *testing.T) {
	s := startSystem(t, standin.WithSize(2, 1, 1, 1))
	away := s.Entries[0].IP
	s.Store.SetFault(func(r *http.Request) standin.Fault {
		if strings.HasPrefix(r.RemoteAddr, away+":") {
			return standin.FaultBusy
		}
		return standin.FaultNone
	})
	s.SetKeys("new-key")
	require.Eventually(t, func() bool {
		return s.call("GET", standin.PathRead, "new-key").status == http.StatusOK &&
			s.call("GET", standin.PathRead, standin.Key).status == http.StatusUnauthorized
	}, 4*time.Second, 50*time.Millisecond)
}

// Without any confirmation requests with a key are refused as not run, before the
// bound on revoked keys is over.
func TestKeysWithoutConfirmation(t *testing.T) {
	s := startSystem(t, standin.WithSize(1, 1, 1, 1))
	s.Store.SetFault(func(*http.Request) standin.Fault { return standin.FaultSilent })
	cut := time.Now()
	var r reply
	require.Eventually(t, func() bool {
		r = s.call("GET", standin.PathRead, standin.Key)
		return r.status == http.StatusServiceUnavailable
	}, 5*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(cut), 5*time.Second)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Empty(t, s.runs.of(r.attempt))
	s.Store.SetFault(func(*http.Request) standin.Fault { return standin.FaultNone })
	require.Eventually(t, func() bool {
		return s.call("GET", standin.PathRead, standin.Key).status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
}

// A version of weights reaches every endpoint whole, from about one copy of the
// origin, although some chunks come spoilt and one rots in the staging area.
func TestWeightsReachEveryEndpoint(t *testing.T) {
	s := startSystem(t, standin.WithSize(2, 1, 3, 1))
	var mu sync.Mutex
	calls := 0
	s.Origin.SetBroken(func() standin.Breakage {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if calls%7 == 6 {
			return standin.BreakError
		}
		return standin.BreakNone
	})
	s.NameWeights(2)
	for id, server := range s.Servers {
		if !strings.HasPrefix(id, "i-engine") {
			continue
		}
		require.Eventually(t, func() bool {
			version, whole := server.Version()
			require.True(t, whole, id)
			return version == 2
		}, 9*time.Second, 20*time.Millisecond, id)
	}
	r := s.call("POST", standin.PathStream+"v", standin.Key)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, int64(2), s.runs.of(r.attempt)[0].Version)
}

// once returns a breakage for the first answer of all servers.
func (s *system) once(b standin.Breakage) {
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

// A stream that is slow and sound is not cut. One whose endpoint sends bytes without
// end goes on at another endpoint; one that is stalled and drips ends with the time of
// the request, and not as a whole one.
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
		{"event without end", standin.BreakFlood, true, 2},
		{"drips", standin.BreakDrip, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, standin.WithEngines(slow))
			s.once(test.broken)
			path := standin.PathStream + "slow"
			for standin.Events(path) > 8 {
				path += "-"
			}
			begun := time.Now()
			r := s.call("POST", path, standin.Key)
			require.Less(t, time.Since(begun), 4*time.Second)
			require.Equal(t, test.whole, r.broken == nil && r.body == wholeStream(path))
			require.Len(t, s.runs.of(r.attempt), test.runs)
		})
	}
}

// A caller that reads nothing of an answer does not hold its request for good.
func TestUnreadAnswerEnds(t *testing.T) {
	s := startSystem(t)
	s.once(standin.BreakPour)
	front := s.Front(s.Entries[0])
	request, err := standin.NewRequest("POST", front, standin.PathStream+"unread", "unread-1", standin.Key, 500*time.Millisecond)
	require.NoError(t, err)
	c, err := net.Dial("tcp", front)
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

// A server that is silent for a while loses its row. What runs there goes on, and is
// not started again elsewhere.
func TestWorkOutlivesTheRow(t *testing.T) {
	slow := standin.SmallEngine
	slow.Event = 150 * time.Millisecond
	s := startSystem(t, standin.WithEngines(slow))
	path := standin.PathStream + "row"
	answered := make(chan reply, 1)
	go func() { answered <- s.call("POST", path, standin.Key) }()
	require.Eventually(t, func() bool { return len(s.runs.of("attempt-1")) == 1 }, 2*time.Second, 5*time.Millisecond)
	for id := range s.Store.Rows("servers") {
		s.Store.Remove("servers", id)
	}
	r := <-answered
	require.NoError(t, r.broken)
	require.Equal(t, wholeStream(path), r.body)
	require.Len(t, s.runs.of(r.attempt), 1)
}

// An endpoint that says that it leaves gets no new work.
func TestDrainingEndpoint(t *testing.T) {
	s := startSystem(t, standin.WithSize(2, 1, 1, 1))
	s.Servers["i-plain-1-1"].Drain()
	require.Eventually(t, func() bool {
		r := s.call("GET", standin.PathRead, standin.Key)
		return r.status == http.StatusOK && s.runs.of(r.attempt)[0].Server == "i-plain-2-1"
	}, 2*time.Second, 20*time.Millisecond)
	for range 20 {
		r := s.call("GET", standin.PathRead, standin.Key)
		require.Equal(t, "i-plain-2-1", s.runs.of(r.attempt)[0].Server)
	}
}

// An endpoint that says in its answers alone that it leaves gets no new work of the
// entry that heard it, although its row says that it is ready.
func TestEndpointSaysThatItLeaves(t *testing.T) {
	s := startSystem(t, standin.WithSize(2, 1, 1, 1))
	leaving := s.Servers["i-plain-1-1"]
	leaving.SayLeaving()
	for leaving.Arrivals() == 0 {
		require.Equal(t, http.StatusOK, s.call("GET", standin.PathRead, standin.Key).status)
	}
	heard := leaving.Arrivals()
	for range 40 {
		r := s.call("GET", standin.PathRead, standin.Key)
		require.Equal(t, http.StatusOK, r.status)
		require.Equal(t, "i-plain-2-1", s.runs.of(r.attempt)[0].Server)
	}
	require.Equal(t, heard, leaving.Arrivals())
}

// Endpoints that ask for a pause get nothing before it is over. While all of a service
// do, callers are refused at once, with the time at which the first takes work again.
func TestEndpointsAskForAPause(t *testing.T) {
	const pause = 1500 * time.Millisecond
	s := startSystem(t, standin.WithSize(2, 1, 1, 1))
	held := []*standin.Server{s.Servers["i-plain-1-1"], s.Servers["i-plain-2-1"]}
	for _, server := range held {
		server.Hold(pause)
	}
	begun := time.Now()
	arrivals := func() int { return held[0].Arrivals() + held[1].Arrivals() }
	require.Equal(t, http.StatusServiceUnavailable, s.call("GET", standin.PathRead, standin.Key).status)
	require.Equal(t, http.StatusServiceUnavailable, s.call("GET", standin.PathRead, standin.Key).status)
	heard := arrivals()
	for time.Since(begun) < pause-300*time.Millisecond {
		before := time.Now()
		r := s.call("GET", standin.PathRead, standin.Key)
		took := time.Since(before)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Less(t, took, 300*time.Millisecond, "refused at once")
		back, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, back, (pause - time.Since(begun)).Seconds())
		require.Empty(t, s.runs.of(r.attempt))
	}
	require.Equal(t, heard, arrivals())
	require.LessOrEqual(t, heard, len(held))
	require.Eventually(t, func() bool {
		return s.call("GET", standin.PathRead, standin.Key).status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
}

// A configuration is in force after the history of the store was dropped.
func TestCompactedStore(t *testing.T) {
	s := startSystem(t)
	s.Store.Compact()
	s.AddRoutes(1)
	require.Eventually(t, func() bool {
		return s.call("GET", standin.PathExtra(1), standin.Key).status == http.StatusOK
	}, 2*time.Second, 20*time.Millisecond)
}

// An entry that leaves takes requests for a while only, however many keep coming: what
// came later would be cut off at the end of the stop timeout.
func TestLeavingEntryTakesNothingLate(t *testing.T) {
	s := startSystem(t)
	front := s.Front(s.Entries[0])
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for n := 0; ctx.Err() == nil; n++ {
				request, err := standin.NewRequest("POST", front, standin.PathStream+"leave", fmt.Sprintf("leave-%d-%d", i, n), standin.Key, time.Second)
				if err != nil {
					return
				}
				response, err := client.Do(request.WithContext(ctx))
				if err != nil {
					continue // refused by an entry that is gone
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
	// The stop timeout of these settings leaves a second, of which half is for callers.
	time.Sleep(750 * time.Millisecond)
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err == nil {
		c.Close()
	}
	require.Error(t, err, "the entry still takes connections")
}
