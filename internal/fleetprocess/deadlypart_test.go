package fleetprocess

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// What requests with a part that crashes endpoints may do to all endpoints together.
const (
	deadlyCrashes  = 5 // after which the bound counts
	deadlyGrace    = 3 * time.Second
	deadlyArrivals = 3 // later than deadlyGrace after the crashes
	deadlyTime     = 9 * time.Second
	soundShare     = 0.5 // of sound requests that must begin at the first attempt
)

// deadlyCall is one request of a caller in a run with a deadly part.
type deadlyCall struct {
	sent       time.Time
	deadly     bool
	begun      bool // answered with success
	status     int
	took       time.Duration
	retryAfter string
}

// deadlyRun is a run in which a part of a prompt crashes engines, while callers of all
// entries send requests with it and sound ones that share the other part.
type deadlyRun struct {
	*system
	arrivals *arrivalLog
	mu       sync.Mutex
	calls    []deadlyCall
	number   atomic.Int64
}

func (r *deadlyRun) call(front string, deadly bool) {
	n := r.number.Add(1)
	request, err := standin.NewRequest("POST", front, fmt.Sprintf("%s%d", standin.PathStream, n), fmt.Sprintf("d-%d", n), standin.Key, 2500*time.Millisecond)
	require.NoError(r.t, err)
	parts := []string{"aa01"}
	if deadly {
		parts = append(parts, "dead")
	}
	standin.SetPrompt(request, append(parts, fmt.Sprintf("%x", n))...)
	c := deadlyCall{sent: time.Now(), deadly: deadly}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		c.status, c.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
		c.begun = err == nil && c.status == http.StatusOK
	}
	c.took = time.Since(c.sent)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// since returns the calls of one sort that were sent after a time.
func (r *deadlyRun) since(at time.Time, deadly bool) []deadlyCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.calls), func(c deadlyCall) bool { return c.deadly != deadly || c.sent.Before(at) })
}

func runWithDeadlyPart(t *testing.T) *deadlyRun {
	t.Helper()
	r := &deadlyRun{arrivals: &arrivalLog{}}
	r.system = startSystem(t, standin.WithSize(2, 4, 4, 1), standin.WithArrivalsOf(r.arrivals.add))
	ctx, cancel := context.WithTimeout(context.Background(), deadlyTime)
	defer cancel()
	var callers sync.WaitGroup
	for i, m := range r.Entries {
		callers.Go(func() {
			for ctx.Err() == nil {
				r.call(r.Front(m), false)
				time.Sleep(15 * time.Millisecond)
			}
		})
		callers.Go(func() {
			time.Sleep(time.Second + time.Duration(i)*100*time.Millisecond)
			for ctx.Err() == nil {
				r.call(r.Front(m), true)
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	for _, s := range r.Servers {
		s.SetDeadly("dead")
	}
	callers.Wait()
	return r
}

// crashes returns the number of crashes, and the times at which requests with the deadly
// part reached an engine.
func (r *deadlyRun) crashes() (crashes int, deadly []time.Time) {
	for _, s := range r.Servers {
		crashes += s.Crashes()
	}
	r.arrivals.mu.Lock()
	defer r.arrivals.mu.Unlock()
	for _, a := range r.arrivals.list {
		if standin.HasPart(a.Prompt, "dead") {
			deadly = append(deadly, a.At)
		}
	}
	slices.SortFunc(deadly, time.Time.Compare)
	return crashes, deadly
}

// Requests that have one part of their prompt in common crash each endpoint that begins to
// answer one. No two of them are alike, and each entry sees few of the crashes.
func TestDeadlyPartOfPromptKeepsCrashingEndpoints(t *testing.T) {
	r := runWithDeadlyPart(t)
	crashes, deadly := r.crashes()
	require.NotEmpty(t, deadly)
	bound := deadly[min(deadlyCrashes, len(deadly))-1].Add(deadlyGrace)
	late := 0
	for _, at := range deadly {
		if at.After(bound) {
			late++
		}
	}
	sound := r.since(bound, false)
	begun := 0
	for _, c := range sound {
		if c.begun {
			begun++
		}
	}
	t.Logf("%d crashes; %d requests with the part reached endpoints, %d of them late; %d of %d sound requests begun", crashes, len(deadly), late, begun, len(sound))
	require.LessOrEqual(t, late, deadlyArrivals)
	require.NotEmpty(t, sound)
	require.GreaterOrEqual(t, float64(begun), soundShare*float64(len(sound)))
	blocked := r.since(bound, true)
	require.NotEmpty(t, blocked)
	for _, c := range blocked {
		require.Equal(t, http.StatusServiceUnavailable, c.status)
		require.NotEmpty(t, c.retryAfter)
		require.Less(t, c.took, promptRefusal)
	}
}
