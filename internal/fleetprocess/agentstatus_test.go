package fleetprocess

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/platform"
)

// An agent that was told a target version before it has the configuration can't tell
// whether its engine has all layers, so it takes no version for loaded.
func TestVersionOfEngineNeedsConfiguration(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"models":[{"name":"m","version":3}],"layers":{"from":0,"target":8,"version":3},"sequence":1}`)
		require.NoError(t, err)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	settings, err := platform.ParseSettings("node-name=agent-1\nip=10.1.0.40\nzone=riga-a\nregion=riga\ninternal-ports=7700,7715\nplatform.address=10.200.1.7:8007\nservice=s\n")
	require.NoError(t, err)
	for _, test := range []struct {
		name   string
		layers int // of the configured engine, 0 for no configuration
		want   int64
		err    error
	}{
		{"no configuration", 0, 0, errNoConfiguration},
		{"some layers are loaded", 16, 0, nil},
		{"all layers are loaded", 8, 3, nil},
	} {
		a := &Agent{process: &process{settings: settings}, engine: platform.NewEngine(address)}
		if test.layers > 0 {
			engine := fleet.WithEngine(&fleet.Engine{Layers: test.layers, Models: []string{"m"}})
			a.fleet.Store(fleet.NewConfiguration(1, fleet.WithServices(fleet.NewService("s", engine))))
		}
		status, err := a.status(t.Context(), "m")
		require.ErrorIs(t, err, test.err, test.name)
		require.Equal(t, test.want, status.Version, test.name)
	}
}
