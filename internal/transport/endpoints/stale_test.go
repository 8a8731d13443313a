package endpoints

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMatchID(t *testing.T) {
	for _, test := range []struct {
		name  string
		named []string
		id    string
		want  Match
	}{
		{"own", []string{"a"}, "a", Own},
		{"own, twice", []string{"a", "a"}, "a", Own},
		{"other", []string{"b"}, "a", Foreign},
		{"another case", []string{"A"}, "a", Foreign},
		{"none", nil, "a", Unnamed},
		{"empty", []string{""}, "a", Unnamed},
		{"own first", []string{"a", "b"}, "a", Ambiguous},
		{"own last", []string{"b", "a"}, "a", Ambiguous},
		{"own between", []string{"b", "a", "b"}, "a", Ambiguous},
		{"own and empty", []string{"a", ""}, "a", Ambiguous},
		{"two others", []string{"b", "c"}, "a", Ambiguous},
		{"none, request without an id", nil, "", Unnamed},
		{"other, request without an id", []string{"b"}, "", Foreign},
	} {
		require.Equal(t, test.want, MatchID(test.named, test.id), test.name)
	}
}

const (
	staleRefusal = "HTTP/1.1 503 Service Unavailable\r\nId: earlier\r\nContent-Length: 4\r\n\r\nfull"
	unnamedOne   = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// What arrives on a connection after the check that it is quiet, and before the request is
// written, is not taken for its answer.
func TestAnswerBetweenCheckAndWrite(t *testing.T) {
	for _, test := range []struct {
		name, stale string
		answered    bool
	}{
		{"named", staleRefusal, true},
		{"unnamed", unnamedOne, false},
		{"cut", staleRefusal[:len(staleRefusal)-10], false},
	} {
		t.Run(test.name, func(t *testing.T) {
			checked := make(chan struct{})
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				for i := range 2 {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, whole)
					if i == 0 {
						<-checked
						_, _ = io.WriteString(c, test.stale)
					}
				}
			})
			p := NewPool()
			_, _, err := exchange(t.Context(), p, address, nil)
			require.NoError(t, err)
			x, err := p.Begin(t.Context(), address, time.Minute)
			require.NoError(t, err)
			defer x.End()
			require.True(t, x.Reused())
			close(checked)
			require.Eventually(t, func() bool { return !x.conn.quiet() }, 5*time.Second, time.Millisecond)
			response, err := x.Send(t.Context(), Head{Method: "GET", Target: "/a", Host: "h", Header: http.Header{}}, nil, mine)
			require.NotErrorIs(t, err, ErrNotSent)
			require.Equal(t, test.answered, err == nil, "%v", err)
			if test.answered {
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
		})
	}
}

// An earlier refusal comes while a long body is being written. The request runs once its
// body is read, and its own answer comes then.
func TestStaleRefusalDuringLongBody(t *testing.T) {
	body := make([]byte, 8<<20)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, staleRefusal)
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil || n != int64(len(body)) {
			return
		}
		_, _ = io.WriteString(c, whole)
	})
	text, _, err := exchange(t.Context(), NewPool(), address, body)
	require.NoError(t, err)
	require.Equal(t, "ok", text)
}

// A new connection on which an answer of another request has come is like a used one.
func TestUnnamedAnswerAfterForeign(t *testing.T) {
	for _, test := range []struct {
		name, text string
		taken      bool
	}{
		{"first", unnamedOne, true},
		{"after another request's", staleRefusal + unnamedOne, false},
	} {
		_, _, err := exchange(t.Context(), NewPool(), serve(t, answers(test.text)), nil)
		require.Equal(t, test.taken, err == nil, test.name)
	}
}
