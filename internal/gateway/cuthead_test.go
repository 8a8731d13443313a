package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// cutCase is a whole answer of an endpoint, which is cut at each byte.
type cutCase struct {
	name, path string
	text       string
	body       string // as the caller of the whole answer reads it
	// last is the number of bytes at the end without which it is whole all the same, if
	// the connection is closed in order.
	last int
}

// repeatable reports whether the request may be sent again.
func (c cutCase) repeatable() bool { return c.path == rawPathRead || c.path == rawPathStream }

func (c cutCase) stream() bool { return c.path == rawPathOnce || c.path == rawPathStream }

// headLength returns the length of the head.
func (c cutCase) headLength() int {
	interim := strings.LastIndex(c.text, "HTTP/1.")
	return interim + strings.Index(c.text[interim:], "\r\n\r\n") + 4
}

// everyByte reports whether the answer is cut at each byte of its head.
func (c cutCase) everyByte() bool { return c.name == "length" || c.name == "neither" }

// cutStep is the number of bytes between two cuts where not each byte is tried: the tests of
// the package endpoints do so.
const cutStep = 11

// cuts returns after how many bytes the answer is cut: at each byte of the head if each is
// set and now and then otherwise, and in any case just before and after its blank line and
// before the end.
func (c cutCase) cuts(each bool) []int {
	end := len(c.text) - c.last
	var list []int
	for at := range end {
		near := at >= c.headLength()-4 && at <= c.headLength()+1
		if each && at < c.headLength() || at%cutStep == 0 || near || at >= end-5 {
			list = append(list, at)
		}
	}
	return list
}

// cutCases returns plain answers and streams by how their end shows.
func cutCases() []cutCase {
	const text = "hello, world"
	events := eventsOf(1, rawStreamEvents)
	heads := map[bool]string{false: proven, true: proven + typeEvents}
	var list []cutCase
	for _, path := range []string{rawPathPublish, rawPathRead, rawPathOnce, rawPathStream} {
		c := cutCase{path: path, body: text}
		if c.stream() {
			c.body = events
		}
		lines := heads[c.stream()]
		add := func(name, text string, last int) {
			c.name, c.text, c.last = name, text, last
			list = append(list, c)
		}
		add("length", head("200 OK", lines+length(c.body))+c.body, 0)
		add("length, 100 first", "HTTP/1.1 100 Continue\r\n\r\n"+head("200 OK", length(c.body)+lines)+c.body, 0)
		add("chunks", head("200 OK", inChunks+lines)+chunked(c.body)+lastChunk, 0)
		add("trailer", head("200 OK", lines+inChunks)+chunked(c.body)+"0\r\nSum: 12\r\n\r\n", 0)
		add("HTTP 1.0", strings.Replace(head("200 OK", lines+length(c.body)), "HTTP/1.1", "HTTP/1.0", 1)+c.body, 0)
		if !c.stream() {
			add("neither", head("200 OK", lines)+c.body, len(c.body)-1)
			add("neither, HTTP 1.0", strings.Replace(head("200 OK", lines), "HTTP/1.1", "HTTP/1.0", 1)+c.body, len(c.body)-1)
			continue
		}
		add("neither", head("200 OK", lines)+c.body, len(events)-len(event(1))+1)
	}
	return list
}

// An answer that breaks off at any byte was passed on as whole, or its request was refused
// or sent again although it may have run.
func TestCutAnswer(t *testing.T) {
	for _, test := range cutCases() {
		for _, end := range []rawEnd{rawClose, rawReset} {
			for _, p := range []rawProtocol{rawProtocols[0], rawProtocols[2]} {
				t.Run(fmt.Sprintf("%s, %s, end %d, %s", test.path, test.name, end, p.name), func(t *testing.T) {
					t.Parallel()
					f := startRawFleet(t, 2, nil)
					for _, at := range test.cuts(end == rawClose && p.framed && test.everyByte()) {
						requireNeverCutAsWhole(f, test, rawAnswer{text: test.text[:at], end: end}, p)
					}
				})
			}
		}
	}
}

// requireNeverCutAsWhole requires that the caller of a request whose first answer is cut
// sees that, or gets the whole answer of a second endpoint where there may be one.
func requireNeverCutAsWhole(f *rawFleet, c cutCase, cut rawAnswer, p rawProtocol) {
	t := f.t
	t.Helper()
	f.renew([]rawAnswer{cut, {text: c.text, end: rawClose}})
	r := readResult(t, p, f.dial(p, c.path, rawRequestID))
	require.Zero(t, r.after)
	sent := 1
	if c.repeatable() {
		sent = 2
	}
	require.Len(t, f.seen(), sent, "%q", cut.text)
	if r.status != http.StatusOK {
		require.Equal(t, http.StatusBadGateway, r.status, "%q", cut.text)
		require.False(t, c.repeatable(), "%q", cut.text)
		return
	}
	if r.whole {
		require.True(t, c.repeatable(), "%q: body %q", cut.text, r.body)
		require.Equal(t, c.body, r.body, "%q", cut.text)
		return
	}
	require.True(t, c.stream(), "%q: body %q", cut.text, r.body)
	require.True(t, strings.HasPrefix(c.body, r.body), "body %q", r.body)
	if c.repeatable() {
		require.Equal(t, c.body, r.body, "a stream that may be resumed lacks its end at most")
	}
}

// An answer that breaks off in its head, on a connection that has carried another, was
// passed on as whole, or its request was refused or sent again.
func TestCutAnswerOnKeptConnection(t *testing.T) {
	const first = "request-0"
	for _, test := range cutCases() {
		if test.path != rawPathPublish {
			continue
		}
		for _, end := range []rawEnd{rawClose, rawReset} {
			t.Run(test.name+", end "+strconv.Itoa(int(end)), func(t *testing.T) {
				t.Parallel()
				f := startRawFleet(t, 1, nil)
				for _, at := range test.cuts(end == rawClose) {
					f.renew([]rawAnswer{
						{text: answerTo(first, "200 OK", proven, answerText)},
						{text: test.text[:at], end: end},
					})
					p := rawProtocols[0]
					require.Equal(t, http.StatusOK, readResult(t, p, f.dial(p, test.path, first)).status)
					r := readResult(t, p, f.dial(p, test.path, rawRequestID))
					require.Equal(t, http.StatusBadGateway, r.status, "%q", test.text[:at])
					require.Len(t, f.seen(), 2)
					require.EqualValues(t, 1, f.gateway.pool.Dials())
				}
			})
		}
	}
}

// A stream whose second answer breaks off in its head looked as if it ended there.
func TestResumedStreamCutInHead(t *testing.T) {
	for _, test := range cutCases() {
		if test.path != rawPathStream {
			continue
		}
		for _, end := range []rawEnd{rawClose, rawReset} {
			for _, p := range rawProtocols {
				t.Run(fmt.Sprintf("%s, end %d, %s", test.name, end, p.name), func(t *testing.T) {
					t.Parallel()
					f := startRawFleet(t, 2, nil)
					for _, at := range test.cuts(end == rawClose && p == rawProtocols[0] && test.everyByte()) {
						if at > test.headLength() {
							break
						}
						f.renew([]rawAnswer{firstOf(eventsOf(1, 3)), {text: test.text[:at], end: end}})
						r := readResult(t, p, f.dial(p, test.path, rawRequestID))
						require.False(t, r.whole, "%q: body %q", test.text[:at], r.body)
						require.Len(t, f.seen(), 2)
					}
				})
			}
		}
	}
}

// An answer too large to be read before it is passed on broke off and looked whole.
func TestLargeAnswerCut(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", maxBufferedResponse/16+1024)
	for _, test := range []struct {
		name   string
		answer rawAnswer
	}{
		{"length", rawAnswer{text: head("200 OK", proven+length(body)) + body[1:], end: rawClose}},
		{"length, reset", rawAnswer{text: head("200 OK", proven+length(body)) + body[1:], end: rawReset}},
		{"chunks", rawAnswer{text: head("200 OK", proven+inChunks) + chunked(body), end: rawClose}},
		{"last chunk", rawAnswer{text: head("200 OK", proven+inChunks) + chunked(body) + "0\r\n", end: rawClose}},
		{"trailer", rawAnswer{text: head("200 OK", proven+inChunks) + chunked(body) + "0\r\nSum: 1\r\n", end: rawClose}},
		{"neither, reset", rawAnswer{text: head("200 OK", proven) + body, end: rawReset}},
	} {
		for _, path := range []string{rawPathPublish, rawPathRead} {
			for _, p := range rawProtocols {
				t.Run(test.name+", "+path+", "+p.name, func(t *testing.T) {
					f := startRawFleet(t, 2, []rawAnswer{test.answer, {text: head("200 OK", proven+length(body)) + body}})
					r := readResult(t, p, f.dial(p, path, rawRequestID))
					if r.status == http.StatusOK && r.whole {
						require.Equal(t, rawPathRead, path)
						require.Len(t, f.seen(), 2, "a reset may come before the head is read")
						require.Equal(t, body, r.body)
						return
					}
					require.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, r.status)
					require.Len(t, f.seen(), 1)
				})
			}
		}
	}
}

// A refusal that was written once more broke off in its head, and the answer followed it.
// The request had run, and its caller was told that it had not.
func TestAnswerAfterRefusalCutInHead(t *testing.T) {
	const first = "request-0"
	own := head("200 OK", proven+length(answerText)) + answerText
	for _, refusal := range []string{
		"HTTP/1.1 421 Misdirected Request\r\n" + notRun,
		"HTTP/1.1 503 Service Unavailable\r\n" + notRun + "Retry-After: 0.2\r\n",
	} {
		f := startRawFleet(t, 1, nil)
		for at := 1; at <= len(refusal); at++ {
			f.renew([]rawAnswer{{text: answerTo(first, "200 OK", proven, answerText)}, {text: refusal[:at] + own}})
			p := rawProtocols[0]
			require.Equal(t, http.StatusOK, readResult(t, p, f.dial(p, rawPathPublish, first)).status)
			r := readResult(t, p, f.dial(p, rawPathPublish, rawRequestID))
			require.Equal(t, http.StatusBadGateway, r.status, "%q", refusal[:at])
			require.Len(t, f.seen(), 2)
		}
	}
}

// An answer with neither a length nor chunks that ended after its head looked whole: the
// fields that frame its body may be lost.
func TestAnswerWithoutFraming(t *testing.T) {
	for _, test := range []struct {
		name, method, answer string
		status               int
	}{
		{"no body", http.MethodPost, head("200 OK", proven), http.StatusBadGateway},
		{"no body, HTTP 1.0", http.MethodPost, "HTTP/1.0 200 OK\r\nId: " + rawRequestID + "\r\n" + proven + "\r\n", http.StatusBadGateway},
		{"no body, other media type", http.MethodPost, head("200 OK", proven+typeJSON), http.StatusBadGateway},
		{"no body, 201", http.MethodPost, head("201 Created", proven), http.StatusBadGateway},
		{"body", http.MethodPost, head("200 OK", proven) + answerText, http.StatusOK},
		{"length of nothing", http.MethodPost, head("200 OK", proven+length("")), http.StatusOK},
		{"no chunks", http.MethodPost, head("200 OK", proven+inChunks) + lastChunk, http.StatusOK},
		{"204", http.MethodPost, head("204 No Content", proven), http.StatusNoContent},
		{"HEAD", http.MethodHead, head("200 OK", proven), http.StatusOK},
		{"failure", http.MethodPost, head("500 Internal Server Error", proven), http.StatusInternalServerError},
	} {
		for _, p := range rawProtocols {
			t.Run(test.name+", "+p.name, func(t *testing.T) {
				f := startRawFleet(t, 2, []rawAnswer{{text: test.answer, end: rawClose}})
				r := readResult(t, p, f.dialMethod(test.method, p, rawPathPublish, rawRequestID))
				require.Equal(t, test.status, r.status)
				require.True(t, r.whole)
				require.Len(t, f.seen(), 1)
			})
		}
	}
}
