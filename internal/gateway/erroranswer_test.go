package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// An endpoint's whole error answer is dropped when the retry that follows it is not answered
// in time.
func TestErrorAnswerIsLostAtTheDeadline(t *testing.T) {
	const timeout = 700 * time.Millisecond
	g := New(Identity{Name: "entry-1", Region: "riga", FailureDomain: "riga-a", PeerAddress: "10.0.0.1:1"}, rawCodec(),
		WithRetries(1, 100), WithConfirmation(boottime.Now, time.Minute))
	g.ApplyConfiguration(fleet.NewConfiguration(1, fleet.WithServices(fleet.NewService("s")),
		fleet.WithRoutes(fleet.NewRoute("r", "h", "/", fleet.WithKind(fleet.Idempotent), fleet.WithMaxAttempts(2),
			fleet.WithSplits(fleet.NewSplit("s", 1)), fleet.WithTimes(timeout, timeout, 0)))), nil)
	var attempts atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(rawID, r.Header.Get(rawID))
		w.Header().Set(rawProof, "p")
		if attempts.Add(1) > 1 {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failure of the endpoint")
	}
	var list []*fleet.Endpoint
	for _, id := range []string{"e1", "e2"} {
		server := httptest.NewServer(http.HandlerFunc(serve))
		t.Cleanup(server.Close)
		list = append(list, fleet.NewEndpoint(id, "s", strings.TrimPrefix(server.URL, "http://"), fleet.WithPlace("riga-a"), fleet.WithSlots(8)))
	}
	g.ApplyEndpoints(list)
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)
	request, err := http.NewRequest(http.MethodGet, front.URL+"/page", nil)
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set(rawID, rawRequestID)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, int64(2), attempts.Load())
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Equal(t, "failure of the endpoint", string(body))
	require.Equal(t, "p", response.Header.Get(rawProof))
}
