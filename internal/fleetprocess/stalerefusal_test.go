package fleetprocess

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

const (
	staleCallers  = 4
	staleRequests = 40 // of each caller
	// minRepeated refusals must have been written once more for the test to show anything.
	minRepeated = 10
)

// staleAnswers is the order in which a server spoils its answers: refusals come once more on
// a connection that has just carried them.
var staleAnswers = []standin.Breakage{
	standin.BreakNone, standin.BreakRefuse, standin.BreakRefusalBefore, standin.BreakRefusalAfter, standin.BreakNone,
	standin.BreakRefuse, standin.BreakRefusalAfter, standin.BreakRefusalUnnamed, standin.BreakRefusalBefore,
}

// Servers write earlier refusals once more on kept connections. No caller is told that its
// request did not run if it did, and no request runs twice that must not.
func TestStaleRefusals(t *testing.T) {
	s := startSystem(t)
	for _, server := range s.Servers {
		var number atomic.Int64
		server.SetBroken(func() standin.Breakage { return staleAnswers[int(number.Add(1))%len(staleAnswers)] })
	}
	var answered, refused, unknown atomic.Int64
	var callers sync.WaitGroup
	for i := range staleCallers {
		callers.Go(func() {
			for n := range staleRequests {
				path := []string{standin.PathPublish, standin.PathRead, standin.PathStream}[n%3]
				attempt := fmt.Sprintf("stale-%d-%d", i, n)
				status, body, err := s.callAs(attempt, path+attempt)
				runs := len(s.runs.forAttempt(attempt))
				switch {
				case status == http.StatusOK && err == nil:
					answered.Add(1)
					assertWhole(t, path, path+attempt, body)
					if runs == 0 || runs > 1 && path == standin.PathPublish {
						t.Errorf("%s was answered and ran %d times", attempt, runs)
					}
				case status == http.StatusServiceUnavailable:
					refused.Add(1)
					if runs > 0 {
						t.Errorf("%s was refused as not run and ran %d times", attempt, runs)
					}
				case status == http.StatusOK || status == http.StatusBadGateway:
					unknown.Add(1)
					if runs > 1 && path == standin.PathPublish {
						t.Errorf("%s ran %d times", attempt, runs)
					}
				default:
					t.Errorf("%s: status %d, error %v", attempt, status, err)
				}
			}
		})
	}
	callers.Wait()
	repeated := 0
	for _, server := range s.Servers {
		repeated += server.RepeatedRefusals()
	}
	t.Logf("%d answered, %d refused, %d may have run; %d refusals were repeated", answered.Load(), refused.Load(), unknown.Load(), repeated)
	require.GreaterOrEqual(t, repeated, minRepeated)
	require.Greater(t, answered.Load(), int64(staleCallers*staleRequests/2))
}

// callAs sends a request to the first entry and returns the whole response.
func (s *system) callAs(attempt, path string) (status int, body string, err error) {
	method := http.MethodPost
	if strings.HasPrefix(path, standin.PathRead) {
		method = http.MethodGet
	}
	request, err := standin.NewRequest(method, s.Front(s.Entries[0]), path, attempt, standin.Key, 2500*time.Millisecond)
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// assertWhole checks the body of an answer to a request on a route.
func assertWhole(t *testing.T, route, path, body string) {
	t.Helper()
	want := standin.Body(path)
	if route == standin.PathStream {
		want = completeStream(path)
	}
	if body != want {
		t.Errorf("%s: body %q", path, body)
	}
}
