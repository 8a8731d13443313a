package tcp

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrEndless is returned by the body of an answer that is longer than a message may be.
var ErrEndless = eris.New("answer is longer than a message may be")

// Bounded is a client whose answers end with ErrEndless after a number of bytes, so that
// a peer which sends without end does not hold the link for as long as the call may take.
// It is for calls with one message each way.
type Bounded struct {
	do    func(*http.Request) (*http.Response, error)
	limit int // bytes
}

// NewBounded returns a client that makes its calls with do and reads answers of up to limit
// bytes.
func NewBounded(limit int, do func(*http.Request) (*http.Response, error)) Bounded {
	return Bounded{do: do, limit: limit}
}

// Do implements connect.HTTPClient.
func (b Bounded) Do(q *http.Request) (*http.Response, error) {
	answer, err := b.do(q)
	if err != nil {
		return nil, err
	}
	answer.Body = &boundedBody{ReadCloser: answer.Body, left: b.limit}
	return answer, nil
}

// boundedBody fails once more than a number of bytes has been read.
type boundedBody struct {
	io.ReadCloser
	left int // bytes
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= n
	if b.left < 0 {
		return n, ErrEndless
	}
	return n, err
}
