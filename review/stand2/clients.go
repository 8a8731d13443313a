package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// answer is what a client has got for one request.
type answer struct {
	id     string
	sent   time.Duration
	status int // 0 without an answer
	sealed bool
	whole  bool
	err    error
}

// client sends requests on channels that it keeps.
type client struct {
	fleet *fleet
	http  *http.Client
}

func newClient(f *fleet) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	f.closers = append(f.closers, transport.CloseIdleConnections)
	return &client{fleet: f, http: &http.Client{Transport: transport}}
}

// attempts counts the requests of all clients.
var attempts atomic.Int64

// budget is the time budget of a request.
const budget = 6 * time.Second

// send sends one request to an entry and reads its answer.
func (c *client) send(ctx context.Context, m *machine, method, path, prompt, body string) answer {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.front(m)+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	a := answer{id: fmt.Sprintf("%08x", attempts.Add(1))}
	r.Host = host
	r.Header.Set(names.Attempt, a.id)
	r.Header.Set(names.Deadline, fmt.Sprint(budget.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	if prompt != "" {
		r.Header.Set(names.Prompt, prompt)
		r.Header.Set(names.Model, "faq")
		r.Header.Set(names.Tokens, "800,60")
	}
	a.sent = c.fleet.record.add("request %s: %s %s to %s", a.id, method, path, m.name)
	a = c.read(r, a, path)
	c.fleet.record.add("request %s: answer %d, sealed %t, whole %t, %v", a.id, a.status, a.sealed, a.whole, a.err)
	return a
}

func (c *client) read(r *http.Request, a answer, path string) answer {
	response, err := c.http.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.sealed = response.StatusCode, response.Header.Get(standin.Seal) != ""
	text, err := io.ReadAll(response.Body)
	a.err = err
	want := answerTo(path)
	if strings.HasPrefix(path, pathStream) {
		want = ""
		for n := range events {
			want += event(path, n+1)
		}
	}
	a.whole = err == nil && a.sealed && string(text) == want
	return a
}

// every calls send in a goroutine of its own at regular times until ctx is done, and waits for
// all of them.
func every(ctx context.Context, d time.Duration, send func(n int)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			calls.Go(func() { send(n) })
		}
	}
}
