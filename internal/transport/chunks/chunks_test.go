package chunks_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/chunks"
)

// A peer that sends a manifest without end costs some bytes, not the memory.
func TestManifestWithoutEnd(t *testing.T) {
	const mostSent = 64 << 20
	endless := standin.NewEndless(standin.EndlessBody, "application/proto")
	server := httptest.NewServer(endless)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := chunks.Manifest(ctx, http.DefaultClient, strings.TrimPrefix(server.URL, "http://"), "m", 1)
	require.Error(t, err)
	require.NoError(t, ctx.Err())
	require.Less(t, endless.Sent(), int64(mostSent))
}
