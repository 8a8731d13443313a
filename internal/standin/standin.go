// Package standin holds small substitutes for the platform: the table service,
// the object store and origin of weights, the model engine, a plain service and
// the membership list.
//
// Each is an http.Handler with methods that bring about faults. The same faults
// are set over HTTP by POST /control, so that a stand-in can run as a process of
// its own; GET /control returns its counters. Fault choices that are random come
// from a seed, so a run can be repeated.
//
// A stand-in cuts a connection by panicking with http.ErrAbortHandler, which
// net/http takes as the wish to close it without an answer.
//
// # Usage
//
//	service := standin.NewTables()
//	server := httptest.NewServer(service)
//	service.LoseAnswers(1) // the next write takes effect, its answer is lost
//	client := tables.New(server.URL)
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// PathControl is the path on which every stand-in takes faults and returns
// counters.
const PathControl = "/control"

const maxRequestBytes = 64 << 20

// faults are the faults that every stand-in knows.
type faults struct {
	mu      sync.Mutex
	outage  bool
	delay   time.Duration
	lose    int
	dropped uint64
	frozen  latch
}

// Control is the JSON form of the faults common to all stand-ins. Fields that
// are left out stay as they are.
type Control struct {
	// Outage makes every request fail with status 503.
	Outage *bool `json:"outage,omitempty"`
	// LoseAnswers is the number of coming writes or runs whose effect is kept
	// and whose answer is cut off.
	LoseAnswers *int `json:"loseAnswers,omitempty"`
	// DelayMS delays every answer, in milliseconds.
	DelayMS *int64 `json:"delayMs,omitempty"`
	// Frozen holds every request until it is false again.
	Frozen *bool `json:"frozen,omitempty"`
}

// SetOutage makes every request fail with status 503 while on.
func (f *faults) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// LoseAnswers cuts the connection after each of the next n writes or runs has
// taken effect.
func (f *faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = n
}

// SetDelay delays every answer by d.
func (f *faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// Freeze holds every request, running ones included, until it is called with
// false.
func (f *faults) Freeze(on bool) {
	f.frozen.set(on)
}

func (f *faults) apply(c Control) {
	if c.Outage != nil {
		f.SetOutage(*c.Outage)
	}
	if c.LoseAnswers != nil {
		f.LoseAnswers(*c.LoseAnswers)
	}
	if c.DelayMS != nil {
		f.SetDelay(time.Duration(*c.DelayMS) * time.Millisecond)
	}
	if c.Frozen != nil {
		f.Freeze(*c.Frozen)
	}
}

// admit waits out freeze and delay and reports whether the request may go on;
// otherwise it has answered.
func (f *faults) admit(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	outage, delay := f.outage, f.delay
	f.mu.Unlock()
	if f.frozen.wait(r.Context()) != nil || wait(r.Context(), delay) != nil {
		panic(http.ErrAbortHandler)
	}
	if outage {
		fail(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	return true
}

// loseAnswer cuts the connection if an answer is to be lost.
func (f *faults) loseAnswer() {
	f.mu.Lock()
	lost := f.lose > 0
	if lost {
		f.lose--
		f.dropped++
	}
	f.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}

func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// decode reads a JSON body; on failure it has answered with status 400.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func answer(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("standin: answer does not encode: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// failure is the JSON form of every error answer.
type failure struct {
	Error string `json:"error"`
}

func fail(w http.ResponseWriter, status int, reason string) {
	answer(w, status, failure{Error: reason})
}
