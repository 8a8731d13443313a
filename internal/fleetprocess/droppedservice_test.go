package fleetprocess

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// The service of a request is dropped while the request runs, and then its endpoint breaks off
// without an answer. The request goes on at the other endpoint, unless that drains since.
func TestRequestGoesOnAfterItsServiceIsDropped(t *testing.T) {
	const learned = 800 * time.Millisecond // changes have reached the entry by then
	for _, test := range []struct {
		name   string
		drains bool // the other endpoint, after the service is dropped
		status int
		runs   int
	}{
		{"other endpoint goes on", false, http.StatusOK, 2},
		{"other endpoint drains", true, http.StatusBadGateway, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, standin.WithSize(1, 1, 1, 2))
			var asked atomic.Bool
			change := func(other *standin.Server) func() standin.Breakage {
				return func() standin.Breakage {
					if asked.Swap(true) {
						return standin.BreakNone
					}
					s.DropService(standin.ServicePlain)
					time.Sleep(learned)
					if test.drains {
						other.Drain()
						time.Sleep(learned)
					}
					return standin.BreakBefore
				}
			}
			first, second := s.Servers["i-plain-1-1"], s.Servers["i-plain-1-2"]
			first.SetBroken(change(second))
			second.SetBroken(change(first))
			r := s.call("GET", standin.PathRead, standin.Key)
			require.NoError(t, r.callErr)
			require.Equal(t, test.status, r.status)
			require.Len(t, s.runs.forAttempt(r.attempt), test.runs)
			require.Equal(t, http.StatusNotFound, s.call("GET", standin.PathRead, standin.Key).status, "the route is dropped too")
		})
	}
}
