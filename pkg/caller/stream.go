package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/primrosetally/primrosetally/internal/transport/once"
)

// Values of the header or trailer Outcome.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "notRun"
)

const maxFinalAnswer = 64 << 10 // bytes

// finalAnswer is the body of an entry's own final answer.
type finalAnswer struct {
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs"`
}

// Stream is an answer while it arrives.
type Stream struct {
	response *http.Response
	whole    bool
}

// Stream sends the request once and returns the answer as it arrives. The error
// is ErrNotRun or ErrUnknown.
func (c *Client) Stream(ctx context.Context, r *Request) (*Stream, error) {
	s := r.startSend(c.now())
	response, err := c.send(ctx, r, s)
	if err == nil && response.Header.Get(HeaderOutcome) != "" && response.Header.Get(HeaderOutcome) != outcomeAnswered {
		err = readFinal(response)
	}
	if errors.Is(err, ErrNotRun) {
		r.didNotRun(s)
	}
	if err != nil {
		return nil, err
	}
	return &Stream{response: response, whole: response.Header.Get(HeaderOutcome) == outcomeAnswered}, nil
}

// send tries the addresses in turn until one is reached.
func (c *Client) send(ctx context.Context, r *Request, s send) (*http.Response, error) {
	list := c.currentAddresses(ctx)
	reason := "no entry is known"
	for _, base := range list {
		q, err := r.httpRequest(ctx, base, c.account, s)
		if err != nil {
			return nil, final(ErrNotRun, err.Error(), 0)
		}
		if c.secret != "" {
			q.Header.Set("Authorization", "Bearer "+c.secret)
		}
		response, err := c.sender.Do(ctx, q)
		if err == nil {
			return response, nil
		}
		if !errors.Is(err, once.ErrNotSent) {
			c.addresses.expire()
			return nil, final(ErrUnknown, err.Error(), defaultRetryAfter)
		}
		c.addresses.fail(base)
		reason = err.Error()
		if ctx.Err() != nil {
			break
		}
	}
	c.addresses.expire()
	return nil, final(ErrNotRun, reason, defaultRetryAfter)
}

// readFinal turns an entry's own final answer into an error.
func readFinal(response *http.Response) error {
	defer response.Body.Close()
	kind := ErrUnknown
	if response.Header.Get(HeaderOutcome) == outcomeNotRun {
		kind = ErrNotRun
	}
	var f finalAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxFinalAnswer)).Decode(&f); err != nil {
		return final(kind, "no reason given", defaultRetryAfter)
	}
	return final(kind, f.Reason, time.Duration(f.RetryAfterMs)*time.Millisecond)
}

// Status returns the HTTP status that the service gave.
func (s *Stream) Status() int { return s.response.StatusCode }

// Header returns the header fields.
func (s *Stream) Header() http.Header { return s.response.Header }

// Read reads the body. It returns io.EOF only after the whole answer, and
// ErrUnknown for one that broke off.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.response.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && (s.whole || s.response.Trailer.Get(HeaderOutcome) == outcomeAnswered):
		return n, io.EOF
	}
	return n, final(ErrUnknown, "answer broke off", defaultRetryAfter)
}

// Close gives the connection back. Closing before the end cancels the request.
func (s *Stream) Close() error { return s.response.Body.Close() }
