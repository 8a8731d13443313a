package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

const (
	callerCount  = 4
	answerTokens = 12
	// requestTimeout is after which a caller gives up an entry that may be
	// frozen.
	requestTimeout = 3 * time.Second
	requestPause   = 5 * time.Millisecond
)

// callers send completions and bookings to all entries until stopped.
type callers struct {
	deployment *deployment
	client     *http.Client
	stop       context.CancelFunc
	running    conc.WaitGroup

	mu       sync.Mutex
	allowed  []digest.Digest
	outcomes map[string]int
	faults   []string
	bookings map[string]string // outcome by key
}

func (d *deployment) startCallers(allowed ...digest.Digest) *callers {
	ctx, stop := context.WithCancel(context.Background())
	c := &callers{
		deployment: d,
		client:     &http.Client{Timeout: requestTimeout},
		stop:       stop,
		allowed:    allowed,
		outcomes:   map[string]int{},
		bookings:   map[string]string{},
	}
	for i := range callerCount {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		c.running.Go(func() { c.run(ctx, i, random) })
	}
	return c
}

func (c *callers) end() {
	c.stop()
	c.running.Wait()
}

func (c *callers) run(ctx context.Context, caller int, random *rand.Rand) {
	pace := time.NewTicker(requestPause)
	defer pace.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		base := c.deployment.base(random.IntN(len(c.deployment.entries)))
		if i%3 == 0 {
			c.book(base, fmt.Sprintf("%d-%d-%d", time.Now().UnixMilli(), caller, i))
		} else {
			c.complete(base, fmt.Sprintf("prompt %d of caller %d", i, caller))
		}
		<-pace.C
	}
}

// base is the URL under which an entry serves the services.
func (d *deployment) base(entry int) string {
	return "http://" + d.entries[entry].self.CallerAddress() + "/s/"
}

// complete asks the model service and checks every token of a whole answer.
func (c *callers) complete(base, prompt string) {
	body, _ := json.Marshal(standin.CompletionRequest{Prompt: prompt, MaxTokens: answerTokens, Stream: true})
	outcome, data := c.send(base+modelService+"/v1/completions", body, "")
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == entry.OutcomeAnswered && !c.whole(prompt, data) {
		c.faults = append(c.faults, "wrong answer to "+prompt+": "+string(data))
	}
}

// book sends a request that may run at most once.
func (c *callers) book(base, key string) {
	body := []byte("booking " + key)
	outcome, data := c.send(base+plainService+"/bookings", body, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bookings[key] = outcome
	var got standin.PlainAnswer
	if outcome == entry.OutcomeAnswered && (json.Unmarshal(data, &got) != nil || got.Body != digest.Of(body)) {
		c.faults = append(c.faults, "wrong answer to booking "+key+": "+string(data))
	}
}

// send sends one request and returns its final outcome. An answer that does not
// come or breaks off is unknown to the caller.
func (c *callers) send(url string, body []byte, key string) (string, []byte) {
	outcome, data := entry.OutcomeUnknown, []byte(nil)
	r, err := http.NewRequest(http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		panic(err)
	}
	r.ContentLength = int64(len(body))
	r.Header.Set(entry.HeaderAccount, account)
	if key != "" {
		r.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	answer, err := c.client.Do(r)
	if err == nil {
		outcome, data = finalOutcome(answer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
	if outcome == "" {
		c.faults = append(c.faults, "whole answer without an outcome from "+url)
	}
	return outcome, data
}

func finalOutcome(answer *http.Response) (string, []byte) {
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return entry.OutcomeUnknown, nil
	}
	return answer.Header.Get(entry.HeaderOutcome) + answer.Trailer.Get(entry.HeaderOutcome), data
}

// whole reports whether the stream holds every token of one of the allowed
// weights once and in order.
func (c *callers) whole(prompt string, data []byte) bool {
	var tokens []standin.CompletionToken
	done := false
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !found:
		case text == "[DONE]":
			done = true
		default:
			var token standin.CompletionToken
			if done || json.Unmarshal([]byte(text), &token) != nil || token.Index != len(tokens) {
				return false
			}
			tokens = append(tokens, token)
		}
	}
	for _, id := range c.allowed {
		if done && len(tokens) == answerTokens && fromWeights(tokens, id, prompt) {
			return true
		}
	}
	return false
}

func fromWeights(tokens []standin.CompletionToken, id digest.Digest, prompt string) bool {
	for i, token := range tokens {
		if token.Token != standin.Token(id, prompt, i) {
			return false
		}
	}
	return true
}

// count returns how many requests have had the outcome.
func (c *callers) count(outcome string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes[outcome]
}

// waitAnswers waits until n more requests are answered.
func (c *callers) waitAnswers(t *testing.T, n int) {
	t.Helper()
	before := c.count(entry.OutcomeAnswered)
	waitFor(t, fmt.Sprintf("%d more answers", n), func() bool { return c.count(entry.OutcomeAnswered) >= before+n })
}

// check holds the outcomes against the plain service's own run counter. The
// callers have ended.
func (c *callers) check(t *testing.T) {
	t.Helper()
	answer, err := http.Get(c.deployment.plain + standin.PathRuns)
	require.NoError(t, err)
	defer answer.Body.Close()
	var runs standin.RunCounts
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&runs))
	t.Logf("outcomes %v, %d bookings, %d runs", c.outcomes, len(c.bookings), runs.Total)
	require.Empty(t, c.faults)
	for key, n := range runs.ByKey {
		require.LessOrEqual(t, n, uint64(1), "runs of %s", key)
	}
	for key, outcome := range c.bookings {
		switch outcome {
		case entry.OutcomeAnswered:
			require.Equal(t, uint64(1), runs.ByKey[key], "runs of %s, which was answered", key)
		case entry.OutcomeNotRun:
			require.Zero(t, runs.ByKey[key], "runs of %s, whose caller was told that it did not run", key)
		}
	}
}
