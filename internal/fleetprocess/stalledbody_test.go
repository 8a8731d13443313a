package fleetprocess

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// A request whose body did not come in time was refused, and the refusal was not written
// before the rest of the body had come.
func TestStalledBodyHoldsBackRefusal(t *testing.T) {
	s := startSystem(t, standin.WithSize(1, 1, 1, 1))
	address := s.Front(s.Entries[0])
	text, err := requestText("POST", address, standin.PathPublish, "stalled-1", 300*time.Millisecond, true)
	require.NoError(t, err)
	conn := s.dial(address)
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(4*time.Second)))
	r := conn.receive("stalled-1")
	require.NoError(t, r.callErr)
	require.Equal(t, http.StatusRequestTimeout, r.status)
	require.Empty(t, s.runs.forAttempt(r.attempt))
}
