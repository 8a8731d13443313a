package fleetprocess

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/platform"
)

// Rows of entries name peers only if they have a peer address. Others do not affect them.
func TestOddRowsOfEntries(t *testing.T) {
	s, err := platform.ParseSettings("node-name=e\nip=10.0.0.1\nzone=a\nregion=a\ninternal-ports=7700,7715\nplatform.address=10.0.0.9:8007\n")
	require.NoError(t, err)
	rows := []watch.Row{{Key: "sound", Version: 1, Value: []byte(`{"peerAddress":"10.0.0.2:7700"}`)}}
	odd := []string{
		"", "null", "[]", "7", "\xff", `{"peerAddress":7}`, `{"peerAddress":null}`, `{}`,
		strings.Repeat("[", 100_000), `{"peerAddress":"` + strings.Repeat("1", 3000) + `"}`,
		`{"peerAddress":"10.0.0.3"}`, `{"peerAddress":"10.0.0.3:0"}`, `{"peerAddress":"10.0.0.3:65536"}`, `{"peerAddress":"10.0.0.3:-1"}`,
		`{"peerAddress":"10.0.0.3:8005"}`, `{"peerAddress":"entry.example:7700"}`, `{"peerAddress":":7700"}`,
		`{"peerAddress":"0.0.0.0:7700"}`, `{"peerAddress":"255.255.255.255:7700"}`, `{"peerAddress":"[fe80::1%eth0]:7700"}`,
	}
	for _, value := range odd {
		rows = append(rows, watch.Row{Key: "odd", Version: 2, Value: []byte(value)})
	}
	addresses, failures := decodeEntries(rows, s.PeerAddressOfEndpoint)
	require.Equal(t, []string{"10.0.0.2:7700"}, addresses)
	require.Len(t, failures, len(odd))
	for _, f := range failures {
		require.Less(t, len(f.Err.Error()), 1<<10)
	}
}
