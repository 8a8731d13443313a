package demo

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
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Properties of the callers' requests.
const (
	answerTokens  = 24
	requestPause  = 10 * time.Millisecond
	maxRequests   = 20_000
	requestLimit  = 30 * time.Second
	streamedLines = "data: "
)

// load is the callers of one run. It ends when stopped or after maxRequests.
type load struct {
	deployment *deployment
	client     *http.Client
	cancel     context.CancelFunc
	callers    conc.WaitGroup

	sent, answered, notRun, unknown, wrong, cutOff atomic.Int64

	mu         sync.Mutex
	allowed    []digest.Digest
	notRunKeys []string
	keys       []string
}

func httpClient() *http.Client {
	return &http.Client{Timeout: requestLimit}
}

// startLoad starts the callers. Answers from the weights of the given manifests
// are right, whole ones only.
func (d *deployment) startLoad(ctx context.Context, first *model.Manifest) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{deployment: d, client: httpClient(), cancel: cancel, allowed: []digest.Digest{first.ID()}}
	for i := range callerCount {
		random := rand.New(rand.NewPCG(d.options.seed, uint64(i)))
		l.callers.Go(func() { l.call(ctx, random, i) })
	}
	return l
}

// allow adds a manifest whose answers are right.
func (l *load) allow(id digest.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowed = append(l.allowed, id)
}

// stop ends the callers after the requests that they have open.
func (l *load) stop() {
	l.cancel()
	l.callers.Wait()
}

func (l *load) call(ctx context.Context, random *rand.Rand, caller int) {
	for i := 0; ctx.Err() == nil && l.sent.Load() < maxRequests; i++ {
		target := l.deployment.entries[random.IntN(len(l.deployment.entries))]
		base := "http://" + target.Self().CallerAddress() + "/s/"
		if i%4 == 3 {
			l.book(base, fmt.Sprintf("%d-%d-%d-%d", time.Now().UnixMilli(), caller, i, random.Uint32()))
		} else {
			l.complete(base, fmt.Sprintf("prompt %d of caller %d", i, caller))
		}
		sleep(ctx, requestPause)
	}
}

// complete asks the model service and checks every token of the answer.
func (l *load) complete(base, prompt string) {
	body, _ := json.Marshal(standin.CompletionRequest{Prompt: prompt, MaxTokens: answerTokens, Stream: true})
	answer, data, err := l.send(base+modelService+"/v1/completions", body, "")
	if err != nil {
		l.cutOff.Add(1)
		l.unknown.Add(1)
		return
	}
	if l.settled(answer) && !l.rightTokens(prompt, data) {
		l.wrong.Add(1)
	}
}

// book sends a request that may run at most once.
func (l *load) book(base, key string) {
	body := []byte("booking " + key)
	l.mu.Lock()
	l.keys = append(l.keys, key)
	l.mu.Unlock()
	answer, data, err := l.send(base+plainService+"/bookings", body, key)
	if err != nil {
		l.cutOff.Add(1)
		l.unknown.Add(1)
		return
	}
	if answer.Header.Get(entry.HeaderOutcome) == entry.OutcomeNotRun {
		l.mu.Lock()
		l.notRunKeys = append(l.notRunKeys, key)
		l.mu.Unlock()
	}
	var got standin.PlainAnswer
	if l.settled(answer) && (json.Unmarshal(data, &got) != nil || got.Body != digest.Of(body)) {
		l.wrong.Add(1)
	}
}

// send sends one request and reads the whole answer.
func (l *load) send(url string, body []byte, key string) (*http.Response, []byte, error) {
	l.sent.Add(1)
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Header.Set(entry.HeaderAccount, account)
	if key != "" {
		r.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	answer, err := l.client.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return answer, data, err
}

// settled counts the final answer and reports whether it is the endpoint's.
func (l *load) settled(answer *http.Response) bool {
	outcome := answer.Header.Get(entry.HeaderOutcome)
	if outcome == "" {
		outcome = answer.Trailer.Get(entry.HeaderOutcome)
	}
	switch outcome {
	case entry.OutcomeAnswered:
		l.answered.Add(1)
		return true
	case entry.OutcomeNotRun:
		l.notRun.Add(1)
	case entry.OutcomeUnknown:
		l.unknown.Add(1)
	default:
		l.wrong.Add(1)
	}
	return false
}

// rightTokens reports whether the stream holds every token of one of the allowed
// weights, once and in order.
func (l *load) rightTokens(prompt string, data []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sameTokens(l.allowed, prompt, data)
}

// sameTokens compares token by token, whatever the spacing of the stream.
func sameTokens(allowed []digest.Digest, prompt string, data []byte) bool {
	var tokens []standin.CompletionToken
	done := false
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), streamedLines)
		if !ok {
			continue
		}
		if text == "[DONE]" {
			done = true
			continue
		}
		var t standin.CompletionToken
		if done || json.Unmarshal([]byte(text), &t) != nil || t.Index != len(tokens) {
			return false
		}
		tokens = append(tokens, t)
	}
	for _, id := range allowed {
		if done && len(tokens) == answerTokens && matches(tokens, id, prompt) {
			return true
		}
	}
	return false
}

func matches(tokens []standin.CompletionToken, id digest.Digest, prompt string) bool {
	for i, t := range tokens {
		if t.Token != standin.Token(id, prompt, i) {
			return false
		}
	}
	return true
}

// fill reports the counts, checked against the plain service's own runs.
func (l *load) fill(r *Report, runs standin.RunCounts) {
	r.RequestsSent = l.sent.Load()
	r.RequestsAnswered = l.answered.Load()
	r.RequestsNotRun = l.notRun.Load()
	r.RequestsUnknown = l.unknown.Load()
	r.WrongAnswers = l.wrong.Load()
	r.CutOff = l.cutOff.Load()
	for _, k := range l.keys {
		if runs.ByKey[k] > 1 {
			r.DuplicateRuns++
		}
	}
	for _, k := range l.notRunKeys {
		if runs.ByKey[k] > 0 {
			r.FalseNotRun++
		}
	}
}
