package fleetprocess

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// callerConn is a caller's connection to an entry.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (s *system) dial(address string) *callerConn {
	c, err := net.Dial("tcp", address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	return &callerConn{Conn: c, reader: bufio.NewReader(c)}
}

// receive reads a whole response.
func (c *callerConn) receive(attempt string) callResult {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return callResult{callErr: err, attempt: attempt}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.Close {
		response.Header.Set("Connection", "close") // ReadResponse has removed it
	}
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), callErr: err, attempt: attempt}
}

// requestText returns a request as a caller writes it; of an unfinished one, half of the body
// is missing.
func requestText(method, address, path, attempt string, left time.Duration, unfinished bool) (string, error) {
	const half, halfLength, wholeLength = "half of", "Content-Length: 7", "Content-Length: 14"
	r, err := standin.NewRequest(method, address, path, attempt, standin.Key, left)
	if err != nil {
		return "", err
	}
	if unfinished {
		r.Body = io.NopCloser(strings.NewReader(half))
		r.ContentLength = int64(len(half))
	}
	var text strings.Builder
	err = r.Write(&text)
	return strings.Replace(text.String(), halfLength, wholeLength, 1), err
}
