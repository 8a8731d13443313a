package endpoints

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/protocol/http1"
)

// Exchange is one request and its answer on a connection of its own.
type Exchange struct {
	pool    *Pool
	address string
	conn    *conn
	reused  bool
	stop    func() bool
	written chan error
	answer  *http.Response
	body    *trackedBody
}

// Reused reports whether the connection has carried an exchange before.
func (x *Exchange) Reused() bool { return x.reused }

// Head is the first part of a request.
type Head struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
}

// Match is the request to which the head of an answer belongs.
type Match int

// The matches.
const (
	// Foreign: to another request.
	Foreign Match = iota
	// Own: to the request of the exchange.
	Own
	// Unnamed: the head does not name a request.
	Unnamed
	// Ambiguous: the head names several requests.
	Ambiguous
)

// MatchID returns the match of a head that names requests by the given ids, for a request
// with an id.
func MatchID(named []string, id string) Match {
	switch named = slices.Compact(slices.Clone(named)); {
	case len(named) > 1:
		return Ambiguous
	case len(named) == 0 || named[0] == "":
		return Unnamed
	case named[0] == id:
		return Own
	}
	return Foreign
}

// Errors of answers that may belong to another request.
var (
	errUnnamed   = eris.New("answer on a connection that had others before names no request")
	errAmbiguous = eris.New("answer names several requests")
)

// errStatus is the error of an answer whose status is none of a final answer: one outside of
// HTTP's, a change of the protocol that no request asks for, or an interim answer with a body.
// Where such an answer ends is unknown, so nothing after its head is read as an answer.
var errStatus = eris.New("answer has no status of a final answer")

// isInterim reports whether another head follows the one of an answer: HTTP allows any number
// of interim answers before the final one, also without a request for them. They have no body.
func isInterim(r *http.Response) bool {
	if r.StatusCode < http.StatusContinue || r.StatusCode >= http.StatusOK || r.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	length := r.Header.Get("Content-Length")
	return (length == "" || length == "0") && len(r.TransferEncoding) == 0 && r.Header.Get("Transfer-Encoding") == ""
}

// NewConnection is a longest idle time that no connection has: the exchange begins on a
// new one, on which no answer to an earlier request can arrive.
const NewConnection = time.Duration(-1)

// Send writes the request, whose body is in parts, and reads the head of its answer. match reports which answer
// belongs to the request; those of others are read to their end and dropped. One that
// names no request is taken only as the first on a new connection, one that names several
// not at all. The error wraps ErrNotSent where
// nothing was written. The end of ctx closes the connection.
func (x *Exchange) Send(ctx context.Context, head Head, body [][]byte, match func(http.Header) Match) (*http.Response, error) {
	// The callback may run after End has given the connection up.
	c := x.conn
	x.stop = context.AfterFunc(ctx, func() { c.net.Close() })
	if ctx.Err() != nil {
		return nil, eris.Wrap(ErrNotSent, ctx.Err().Error())
	}
	if err := x.write(head, body); err != nil {
		return nil, err
	}
	return x.readAnswer(&http.Request{Method: head.Method}, match)
}

// readAnswer reads up to the head of the own answer.
func (x *Exchange) readAnswer(request *http.Request, match func(http.Header) Match) (*http.Response, error) {
	left := int64(maxBefore)
	others := x.reused // answers to other requests may come on the connection
	for left > 0 {
		response, taken, err := x.nextHead(request, min(left, maxHead))
		if err != nil {
			return nil, eris.Wrap(err, "no answer")
		}
		left -= taken
		if isInterim(response) {
			continue
		}
		m, err := matchOf(response, match, others)
		if err != nil {
			return nil, err
		}
		if m != Foreign {
			x.answer = response
			x.body = &trackedBody{from: http1.CheckTrailer(response)}
			response.Body = x.body
			return response, nil
		}
		others = true
		n, err := discardForeign(response, left)
		if err != nil {
			return nil, err
		}
		left -= n
	}
	return nil, eris.Wrap(ErrTooLong, "before the answer")
}

// matchOf returns to which request a final answer belongs. Others is set if answers to other
// requests may come on its connection.
func matchOf(response *http.Response, match func(http.Header) Match, others bool) (Match, error) {
	if !http1.FinalStatus(response.StatusCode) {
		return Foreign, eris.Wrapf(errStatus, "%03d", response.StatusCode)
	}
	m := match(response.Header)
	switch {
	case m == Ambiguous:
		return m, errAmbiguous
	case m == Unnamed && others:
		return m, errUnnamed
	}
	return m, nil
}

// discardForeign reads the body of an answer of another request, and returns its length if another
// answer may follow it. One that is longer than most is left where it is.
func discardForeign(response *http.Response, most int64) (int64, error) {
	n, err := io.CopyN(io.Discard, response.Body, most)
	if err != nil && err != io.EOF {
		return n, eris.Wrap(err, "answer of another request")
	}
	if response.Close {
		return n, eris.New("answer of another request closed the connection")
	}
	return n, nil
}

func (x *Exchange) write(head Head, body [][]byte) error {
	var b strings.Builder
	b.Grow(1024)
	size := 0
	for _, part := range body {
		size += len(part)
	}
	b.WriteString(head.Method + " " + head.Target + " HTTP/1.1\r\nHost: " + head.Host + "\r\n")
	if size > 0 || head.Method == http.MethodPost || head.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	if err := head.Header.Write(&b); err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	b.WriteString("\r\n")
	if size < concurrentBody {
		for _, part := range body {
			b.Write(part)
		}
		body = nil
	}
	n, err := io.WriteString(x.conn.net, b.String())
	if err != nil && n == 0 {
		return eris.Wrapf(ErrNotSent, "%v", err)
	}
	if err != nil {
		return eris.Wrap(err, "write the request")
	}
	if body != nil {
		x.writeBody(x.conn.net, body)
	}
	return nil
}

// writeBody writes a long body while the answer is read. The exchange may end, and give
// the connection up, before the writing has begun.
func (x *Exchange) writeBody(c net.Conn, body [][]byte) {
	written := make(chan error, 1)
	x.written = written
	go func() {
		var err error
		for _, part := range body {
			if _, err = c.Write(part); err != nil {
				break
			}
		}
		written <- err
	}()
}

// trackedBody remembers whether the body was read to its end.
type trackedBody struct {
	from io.ReadCloser
	done bool
}

// Read implements io.Reader.
func (t *trackedBody) Read(p []byte) (int, error) {
	n, err := t.from.Read(p)
	t.done = t.done || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (t *trackedBody) Close() error { return nil }

// End gives the connection back after a whole answer and closes it otherwise.
func (x *Exchange) End() {
	if x.conn == nil {
		return
	}
	keep := x.reusable()
	if x.stop != nil && !x.stop() {
		keep = false
	}
	c := x.conn
	x.conn = nil
	x.pool.mu.Lock()
	defer x.pool.mu.Unlock()
	h := x.pool.host(x.address)
	if !keep {
		c.net.Close()
		h.open--
		return
	}
	c.since = x.pool.now()
	h.idle = append(h.idle, c)
	h.dropBeyond(x.pool.limitOf(x.address))
}

func (x *Exchange) reusable() bool {
	if x.answer == nil || !x.body.done || x.answer.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	framed := x.answer.ContentLength >= 0 || len(x.answer.TransferEncoding) > 0
	if !framed || !x.wroteAll() {
		return false
	}
	if seconds, named := keepAliveSeconds(x.answer.Header.Get("Keep-Alive")); named {
		x.conn.keep = time.Duration(seconds)*time.Second - idleMargin
	}
	return x.conn.keep > 0
}

func (x *Exchange) wroteAll() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// keepAliveSeconds reads the timeout of a Keep-Alive header.
func keepAliveSeconds(header string) (int, bool) {
	for part := range strings.SplitSeq(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return n, true
		}
	}
	return 0, false
}
