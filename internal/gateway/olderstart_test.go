package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// An entry started with the configuration of an older copy of the store, and served with
// keys and routes that others no longer had.
func TestStartWithOlderConfiguration(t *testing.T) {
	position := func(era, version int64) watch.Position { return watch.Position{Era: era, Version: version} }
	own := watch.State{Position: position(2, 90), Digest: 1}
	for _, test := range []struct {
		name    string
		version int64         // of this entry's configuration when it hears the other one
		peer    watch.State   // of the other entry's copy
		theirs  int64         // version of its configuration
		then    int64         // version that is read afterwards, 0 for none
		after   time.Duration // since the start
		ready   bool
	}{
		{"others have lost nothing", 4, own, 4, 0, 0, true},
		{"others have a newer one, which the store lacks", 4, own, 5, 0, 0, false},
		{"others have read less of the store", 4, watch.State{Position: position(2, 80), Digest: 2}, 5, 0, 0, false},
		{"others have not heard of the return", 4, watch.State{Position: position(1, 100), Digest: 2}, 5, 0, 0, false},
		{"others are further, with the same rows", 4, watch.State{Position: position(2, 95), Digest: 1}, 5, 0, 0, false},
		{"others have read more of the store", 4, watch.State{Position: position(2, 91), Digest: 2}, 5, 0, 0, true},
		{"nothing is read yet, then an older one", 0, watch.State{Position: position(1, 100), Digest: 2}, 5, 4, 0, false},
		{"nothing is read yet, then the same one", 0, watch.State{Position: position(1, 100), Digest: 2}, 5, 5, 0, true},
		{"the operators write it again", 4, own, 5, 5, 0, true},
		{"the operators write a newer one", 4, own, 5, 6, 0, true},
		{"it is never written again", 4, own, 5, 0, olderStartTime, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &clock{at: 100 * time.Second}
			state := func(nodev1.Table) watch.State {
				if test.version == 0 {
					return watch.State{}
				}
				return own
			}
			g := newGateway(c, WithTables(state, func(context.Context, string, nodev1.Table) error { return nil }))
			g.codec.ReadRequest = func(http.Header) (RequestHead, error) { return RequestHead{}, nil }
			apply := func(version int64) {
				if version > 0 {
					g.ApplyConfiguration(fleet.NewConfiguration(version), nil)
				}
			}
			apply(test.version)
			g.ApplyEndpoints(nil)
			g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: "10.0.0.2:1", ConfigurationVersion: test.theirs, OperatorCopy: copyMessage(test.peer)})
			apply(test.then)
			c.at += test.after
			require.Equal(t, test.ready, g.Ready())
			w := httptest.NewRecorder()
			g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			require.Equal(t, test.ready, w.Code != http.StatusServiceUnavailable)
		})
	}
}
