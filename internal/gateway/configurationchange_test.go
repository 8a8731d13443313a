package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// A key is revoked, or its confirmation expires, while a request that was sent with it is in
// progress. One that may have run goes on as if nothing had happened: it was sent while the
// key was valid. One that did not run is not begun any more.
func TestKeyIsRevokedBetweenAttempts(t *testing.T) {
	const id = rawRequestID
	key := func(key string) fleet.ConfigurationOption { return fleet.WithAccount(fleet.NewAccount("shop"), key) }
	rest := head("200 OK", proven+typeEvents+inChunks) + chunked(eventsOf(4, rawStreamEvents)) + lastChunk
	refused := answerTo(id, "503 Service Unavailable", notRun, "")
	own := answerTo(id, "200 OK", proven, answerText)
	for _, test := range []struct {
		name    string
		path    string
		answers []rawAnswer
		revoked bool // if not, the confirmation expires
		status  int
		whole   bool
	}{
		{"stream that has begun, key revoked", rawPathStream, []rawAnswer{firstOf(eventsOf(1, 3)), {text: rest}}, true, http.StatusOK, true},
		{"stream that has begun, not confirmed", rawPathStream, []rawAnswer{firstOf(eventsOf(1, 3)), {text: rest}}, false, http.StatusOK, true},
		{"may have run, key revoked", rawPathRead, []rawAnswer{{end: rawClose}, {text: own}}, true, http.StatusOK, true},
		{"may have run, not confirmed", rawPathRead, []rawAnswer{{end: rawClose}, {text: own}}, false, http.StatusOK, true},
		{"did not run, key revoked", rawPathRead, []rawAnswer{{text: refused}}, true, http.StatusUnauthorized, true},
		{"did not run, not confirmed", rawPathRead, []rawAnswer{{text: refused}}, false, http.StatusServiceUnavailable, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var expired atomic.Bool
			confirmed := func() time.Duration {
				if expired.Load() {
					return boottime.Now() - time.Minute
				}
				return boottime.Now()
			}
			f := startRawFleet(t, 2, nil, WithConfirmation(confirmed, 10*time.Second))
			f.gateway.ApplyConfiguration(rawConfiguration(2, key("key")), nil)
			test.answers[0].before = func() {
				if test.revoked {
					f.gateway.ApplyConfiguration(rawConfiguration(3, key("other")), nil)
				}
				expired.Store(!test.revoked)
			}
			f.answers = test.answers
			p := rawProtocol{version: "HTTP/1.1", header: rawKey + ": key\r\n", framed: true}
			r := readResult(t, p, f.dial(p, test.path, id))
			require.Equal(t, test.status, r.status)
			require.Equal(t, test.whole, r.whole)
			require.Len(t, f.seen(), len(test.answers))
			if test.path == rawPathStream {
				require.Equal(t, eventsOf(1, rawStreamEvents), r.body)
			}
		})
	}
}
