package standin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

const (
	defaultMaxTokens = 16
	// flushTokens is the number of tokens between flushes of an engine without
	// a token delay.
	flushTokens = 32
)

// CompletionRequest is the JSON body of POST /v1/completions.
type CompletionRequest struct {
	// RequestID names the request for POST /v1/cancel; it may be empty.
	RequestID string `json:"requestId,omitempty"`
	Prompt    string `json:"prompt"`
	// MaxTokens is the length of the whole answer in tokens.
	MaxTokens int  `json:"maxTokens"`
	Stream    bool `json:"stream"`
	// ResumeFrom is the index of the first token to send.
	ResumeFrom int `json:"resumeFrom,omitempty"`
	// Priority orders the waiting requests, the greatest first.
	Priority int `json:"priority,omitempty"`
}

// CompletionToken is the JSON form of one streamed token.
type CompletionToken struct {
	Index int    `json:"index"`
	Token string `json:"token"`
}

// CompletionAnswer is the JSON body of an answer that is not streamed.
type CompletionAnswer struct {
	Tokens []CompletionToken `json:"tokens"`
}

// CancelRequest is the JSON body of POST /v1/cancel.
type CancelRequest struct {
	RequestID string `json:"requestId"`
}

// Token returns token i of the answer to prompt from the weights of the
// manifest, so that a test can tell a whole and unmixed answer.
func Token(manifest digest.Digest, prompt string, i int) string {
	return tokenAt(answerSeed(manifest, prompt), i)
}

func answerSeed(manifest digest.Digest, prompt string) uint64 {
	hash := sha256.New()
	hash.Write(manifest[:])
	hash.Write([]byte(prompt))
	return binary.BigEndian.Uint64(hash.Sum(nil))
}

// tokenAt mixes seed and index by the finalizer of splitmix64.
func tokenAt(seed uint64, i int) string {
	x := seed + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return strconv.FormatUint((x^(x>>31))>>24, 36)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	q := CompletionRequest{MaxTokens: defaultMaxTokens}
	if !decode(w, r, &q) {
		return
	}
	if q.MaxTokens < 1 || q.ResumeFrom < 0 || q.ResumeFrom > q.MaxTokens {
		fail(w, http.StatusBadRequest, "maxTokens or resumeFrom out of range")
		return
	}
	if e.loaded() == nil {
		notServing(w)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	leave, err := e.batch.enter(ctx, cancel, q)
	if err != nil {
		e.count(func(c *EngineCounts) { c.Canceled++ })
		panic(http.ErrAbortHandler)
	}
	defer leave()
	e.run(ctx, w, q)
}

// run computes and sends the answer to an admitted request.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, q CompletionRequest) {
	serving := e.loaded()
	if serving == nil {
		notServing(w)
		return
	}
	e.count(func(c *EngineCounts) { c.Runs++ })
	if poisonous(q.Prompt) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	missed := e.cache.use(q.Prompt)
	prefill := time.Duration(missed) * e.settings.prefillDelay
	if wait(ctx, prefill) != nil {
		e.count(func(c *EngineCounts) { c.Canceled++ })
		panic(http.ErrAbortHandler)
	}
	e.writeHeader(w, serving, q.Stream)
	out := &completionWriter{w: w, stream: q.Stream, flushEach: e.tokenDelay.Load() > 0}
	if e.generate(ctx, q, out) != nil {
		e.count(func(c *EngineCounts) { c.Canceled++; c.Tokens += uint64(out.sent) })
		panic(http.ErrAbortHandler)
	}
	out.finish()
	e.count(func(c *EngineCounts) { c.Finished++; c.Tokens += uint64(out.sent) })
}

// generate sends the tokens from ResumeFrom on. Each comes from the weights
// that are loaded at that moment: an order that is carried out under a running
// request mixes its answer.
func (e *Engine) generate(ctx context.Context, q CompletionRequest, out *completionWriter) error {
	var from *weights
	var seed uint64
	for i := q.ResumeFrom; i < q.MaxTokens; i++ {
		if err := wait(ctx, time.Duration(e.tokenDelay.Load())); err != nil {
			return err
		}
		if err := e.frozen.wait(ctx); err != nil {
			return err
		}
		if err := e.held.wait(ctx); err != nil {
			return err
		}
		if current := e.loaded(); current != from || i == q.ResumeFrom {
			from = current
			seed = answerSeed(from.manifest(), q.Prompt)
		}
		if err := out.token(i, tokenAt(seed, i)); err != nil {
			return err
		}
	}
	return nil
}

// manifest returns the ID whose tokens the weights give.
func (s *weights) manifest() digest.Digest {
	if s == nil {
		return digest.Digest{}
	}
	return s.actual
}

func (e *Engine) writeHeader(w http.ResponseWriter, serving *weights, stream bool) {
	e.stateMu.Lock()
	incarnation := e.incarnation
	e.stateMu.Unlock()
	w.Header().Set(engines.HeaderWeightsDigest, serving.claimed.String())
	w.Header().Set(engines.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
	if !stream {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c CancelRequest
	if !decode(w, r, &c) {
		return
	}
	if !e.batch.cancel(c.RequestID) {
		fail(w, http.StatusNotFound, "no such request")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) count(change func(*EngineCounts)) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	change(&e.counts)
}

func notServing(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	fail(w, http.StatusServiceUnavailable, "no weights are loaded")
}

// completionWriter writes tokens as server-sent events, or collects them.
type completionWriter struct {
	w         http.ResponseWriter
	stream    bool
	flushEach bool
	sent      int
	buffer    []byte
	collected []CompletionToken
}

func (c *completionWriter) token(i int, token string) error {
	c.sent++
	if !c.stream {
		c.collected = append(c.collected, CompletionToken{Index: i, Token: token})
		return nil
	}
	c.buffer = append(c.buffer, `data: {"index":`...)
	c.buffer = strconv.AppendInt(c.buffer, int64(i), 10)
	c.buffer = append(c.buffer, `,"token":"`...)
	c.buffer = append(c.buffer, token...)
	c.buffer = append(c.buffer, "\"}\n\n"...)
	if !c.flushEach && c.sent%flushTokens != 0 {
		return nil
	}
	return c.flush()
}

func (c *completionWriter) finish() {
	if !c.stream {
		answer(c.w, http.StatusOK, CompletionAnswer{Tokens: c.collected})
		return
	}
	c.buffer = append(c.buffer, "data: [DONE]\n\n"...)
	_ = c.flush()
}

func (c *completionWriter) flush() error {
	_, err := c.w.Write(c.buffer)
	c.buffer = c.buffer[:0]
	flush(c.w)
	return err
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
