package fleetprocess

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// stopCall is a call to an entry around its planned stop.
type stopCall struct {
	name, method, path string
	// conn is the state of the connection when the stop begins.
	conn  connState
	after time.Duration // of the request, from the begin of the stop on
	left  time.Duration // time that the caller has left
	// unfinished is set if the body never ends.
	unfinished bool
	// statuses are those that the response may have; without any, the connection may be
	// closed before the request is sent on.
	statuses []int
}

// connState is the state of a caller's connection when a stop begins.
type connState int

const (
	connKept   connState = iota // it has carried a request
	connUnused                  // it was opened and has carried none
	connNew                     // it is opened later
)

// Times of a planned stop with a stop timeout of stopGrace: until closeAfter the entry
// takes requests, at exitAfter its process must be about to exit.
const (
	stopGrace  = 3 * time.Second
	exitAfter  = stopGrace - exitMargin
	closeAfter = exitAfter / 2
	// leadTime is the time before a stop at which requests are in progress.
	leadTime = 100 * time.Millisecond
	longTime = 2900 * time.Millisecond // beyond the end of the stop timeout
)

func (c stopCall) request(address, attempt string) (string, error) {
	return requestText(c.method, address, c.path, attempt, c.left, c.unfinished)
}

// Requests that were taken by an entry that stops ended with a closed connection when its
// stop timeout was over, also those that may not be repeated.
func TestPlannedStopCutsRequestsOff(t *testing.T) {
	const early, late = 100 * time.Millisecond, closeAfter + 150*time.Millisecond
	unknown := []int{http.StatusBadGateway, http.StatusGatewayTimeout}
	s := startSystem(t, standin.WithSize(1, 1, 1, 1), standin.WithGrace(stopGrace))
	calls := []stopCall{
		{"stream in progress", "POST", standin.PathStream, connKept, -leadTime, longTime, false, unknown},
		{"read in progress", "GET", standin.PathRead, connKept, -leadTime, longTime, false, unknown},
		{"publish in progress", "POST", standin.PathPublish, connKept, -leadTime, longTime, false, unknown},
		{"publish with a body in progress", "POST", standin.PathPublish, connKept, -leadTime, longTime, true, []int{http.StatusRequestTimeout}},
		{"stream, early in the stop, new connection", "POST", standin.PathStream, connNew, early, longTime, false, unknown},
		{"read, early in the stop, kept connection", "GET", standin.PathRead, connKept, early, longTime, false, unknown},
		{"publish, early in the stop, kept connection", "POST", standin.PathPublish, connKept, early, longTime, false, unknown},
		{"publish, early in the stop, short of time", "POST", standin.PathPublish, connNew, early, 300 * time.Millisecond, false, unknown},
		{"publish, early in the stop, with a body in progress", "POST", standin.PathPublish, connNew, early, longTime, true, []int{http.StatusRequestTimeout}},
		{"stream, late in the stop, unused connection", "POST", standin.PathStream, connUnused, late, longTime, false, nil},
		{"read, late in the stop, unused connection", "GET", standin.PathRead, connUnused, late, longTime, false, nil},
		{"publish, late in the stop, unused connection", "POST", standin.PathPublish, connUnused, late, longTime, false, nil},
	}
	results := s.playStop(calls)
	for _, server := range s.Servers {
		server.ReleaseCalls(false)
	}
	for i, c := range calls {
		r := results[i]
		if len(c.statuses) == 0 {
			require.Error(t, r.callErr, c.name)
			require.Empty(t, s.runs.forAttempt(r.attempt), c.name)
			continue
		}
		if r.callErr != nil {
			t.Errorf("%s: cut off: %v", c.name, r.callErr)
			continue
		}
		require.Contains(t, c.statuses, r.status, c.name)
		require.Equal(t, "close", r.header.Get("Connection"), c.name)
		if r.status == http.StatusRequestTimeout {
			require.Empty(t, s.runs.forAttempt(r.attempt), c.name)
		}
	}
}

// A connection that its caller had opened and not used kept a stopped entry running, and a
// request on it was read and dropped: a caller could not tell that it had not run.
func TestUnusedConnectionOutlivesListener(t *testing.T) {
	s := startSystem(t, standin.WithSize(1, 1, 1, 1), standin.WithGrace(8*time.Second))
	conn := s.dial(s.Front(s.Entries[0]))
	begun := time.Now()
	s.stopEntry[0]()
	require.NoError(t, conn.SetReadDeadline(begun.Add(8*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Less(t, time.Since(begun), drainTime+time.Second)
	result := s.processErrors[0]
	err = <-result
	result <- err
	require.Less(t, time.Since(begun), drainTime+2*time.Second)
}

// playStop stops the first entry, sends the calls meanwhile to endpoints that hang, and
// returns the results. Requests were fast before.
func (s *system) playStop(calls []stopCall) []callResult {
	const warmups = 20
	address := s.Front(s.Entries[0])
	conns := make([]*callerConn, len(calls))
	for i, c := range calls {
		for range warmups {
			require.Equal(s.t, http.StatusOK, s.call(c.method, c.path, standin.Key).status)
		}
		if c.conn != connNew {
			conns[i] = s.dial(address)
		}
		if c.conn == connKept {
			warmup := stopCall{method: c.method, path: c.path, left: longTime}
			text, err := warmup.request(address, fmt.Sprint("warm-up-", i))
			require.NoError(s.t, err)
			_, err = io.WriteString(conns[i], text)
			require.NoError(s.t, err)
			require.Equal(s.t, http.StatusOK, conns[i].receive("").status)
		}
	}
	for _, server := range s.Servers {
		server.DelayCalls(standin.PathStream, standin.PathRead, standin.PathPublish)
	}
	stopAt := time.Now().Add(2 * leadTime)
	results := make([]callResult, len(calls))
	var callers sync.WaitGroup
	for i, c := range calls {
		callers.Go(func() {
			time.Sleep(time.Until(stopAt.Add(c.after)))
			results[i] = s.callDuringStop(c, conns[i], fmt.Sprint("stop-", i))
		})
	}
	time.Sleep(time.Until(stopAt))
	s.stopEntry[0]()
	callers.Wait()
	return results
}

func (s *system) callDuringStop(c stopCall, conn *callerConn, attempt string) callResult {
	address := s.Front(s.Entries[0])
	if conn == nil {
		dialed, err := net.Dial("tcp", address)
		if err != nil {
			return callResult{callErr: err, attempt: attempt}
		}
		defer dialed.Close()
		conn = &callerConn{Conn: dialed, reader: bufio.NewReader(dialed)}
	}
	text, err := c.request(address, attempt)
	if err == nil {
		_, err = io.WriteString(conn, text)
	}
	if err != nil {
		return callResult{callErr: err, attempt: attempt}
	}
	return conn.receive(attempt)
}

// Entries that are stopped one after the other, under load on kept connections, answer
// every request that they have passed on.
func TestPlannedStopsInSeries(t *testing.T) {
	slow := standin.SmallEngine
	slow.Event = 40 * time.Millisecond
	s := startSystem(t, standin.WithSize(2, 2, 2, 2), standin.WithEngines(slow), standin.WithGrace(5*time.Second))
	kinds := []struct{ method, path string }{
		{"POST", standin.PathStream},
		{"GET", standin.PathRead},
		{"POST", standin.PathPublish},
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var mu sync.Mutex
	var results []callResult
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			kind, address := kinds[i%len(kinds)], s.Front(s.Entries[i%len(s.Entries)])
			for n := 0; ctx.Err() == nil; n++ {
				r := callOn(client, kind.method, address, kind.path, fmt.Sprintf("series-%d-%d", i, n))
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				if r.callErr != nil {
					time.Sleep(5 * time.Millisecond) // the entry may not listen any more
				}
			}
		})
	}
	for _, stopEntry := range s.stopEntry {
		time.Sleep(300 * time.Millisecond)
		stopEntry()
	}
	for _, result := range s.processErrors[:len(s.Entries)] {
		err := <-result
		require.NoError(t, err)
		result <- err
	}
	stop()
	callers.Wait()
	answered := 0
	for _, r := range results {
		runs := s.runs.forAttempt(r.attempt)
		switch {
		case r.callErr != nil:
			require.Empty(t, runs, "%s was cut off: %v", r.attempt, r.callErr)
		case r.status == http.StatusServiceUnavailable:
			require.Empty(t, runs, "%s was refused and ran", r.attempt)
		default:
			answered++
		}
	}
	require.Greater(t, answered, 100)
}

func callOn(client *http.Client, method, address, path, attempt string) callResult {
	request, err := standin.NewRequest(method, address, path, attempt, standin.Key, longTime)
	if err != nil {
		return callResult{callErr: err, attempt: attempt}
	}
	response, err := client.Do(request)
	if err != nil {
		return callResult{callErr: err, attempt: attempt}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), callErr: err, attempt: attempt}
}
