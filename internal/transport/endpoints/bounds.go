package endpoints

import (
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/protocol/http1"
)

// ErrTooLong is wrapped where an endpoint sends more than an answer may have.
var ErrTooLong = eris.New("endpoint sends too much")

// Bounds of what is read of an endpoint. The time is that of the exchange's context.
const (
	// maxHead is the size of a head in bytes, maxHeadLines that in lines: one of many short
	// lines takes a hundred times its size in memory.
	maxHead      = 16 << 10
	maxHeadLines = 256
	// maxBefore is the number of bytes that may come before the head of the own answer:
	// interim answers, and answers of other requests.
	maxBefore = 64 << 10
	// maxDrained bytes and drainTime are what the rest of an answer that is of no use
	// may take; it only matters for keeping the connection.
	maxDrained = 4 << 10
	drainTime  = 20 * time.Millisecond
)

// boundedReader reads from a connection until its allowance is used up. Only heads have an
// allowance, and are checked as they are read.
type boundedReader struct {
	from net.Conn
	left int64 // bytes
	head http1.HeadScanner
}

const unbounded = math.MaxInt64

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrTooLong
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.from.Read(p)
	if b.left == unbounded {
		return n, err
	}
	b.left -= int64(n)
	if malformed := b.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// check checks the next bytes of a head, and does nothing after its end.
func (b *boundedReader) check(data []byte) error {
	if _, err := b.head.Scan(data); err != nil {
		return err
	}
	if b.head.Lines() > maxHeadLines {
		return ErrTooLong
	}
	return nil
}

// nextHead reads a head, of at most so many bytes, and returns what it took.
func (x *Exchange) nextHead(request *http.Request, limit int64) (response *http.Response, taken int64, err error) {
	c := x.conn
	buffered := int64(c.reader.Buffered())
	c.bounded.left, c.bounded.head = limit, http1.HeadScanner{}
	begun, _ := c.reader.Peek(int(buffered)) // what is buffered is there
	if err := c.bounded.check(begun); err != nil {
		return nil, 0, err
	}
	response, err = http.ReadResponse(c.reader, request)
	taken = limit - c.bounded.left + buffered - int64(c.reader.Buffered())
	c.bounded.left = unbounded
	if err == nil && holdsStatusLine(response) {
		err = errMergedHeads
	}
	return response, taken, err
}

// Drain reads what is left of an answer that is of no use, so that the connection may
// be kept. One that is long or slow costs the connection instead.
func (x *Exchange) Drain() {
	if x.body == nil || x.body.done {
		return
	}
	if err := x.conn.net.SetReadDeadline(time.Now().Add(drainTime)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, x.body, maxDrained); err == io.EOF {
		x.body.done = x.conn.net.SetReadDeadline(time.Time{}) == nil
		return
	}
	x.body.done = false
}
