package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A retry of a refused request must be recognized at this entry and at those that
// received the refusal, once for each refusal.
func TestRefusals(t *testing.T) {
	const fingerprint, other = 7, 8
	own, remote := newRefusals(), newRefusals()
	own.addOwn(fingerprint, time.Second, 1200*time.Millisecond)
	fingerprints, ages := own.takePending(1300 * time.Millisecond)
	remote.addRemote(fingerprints, ages, 1300*time.Millisecond)
	for _, l := range []*refusalList{own, remote} {
		require.Zero(t, l.takeRetry(other, 2*time.Second))
		require.Equal(t, time.Second, l.takeRetry(fingerprint, 2*time.Second))
		require.Zero(t, l.takeRetry(fingerprint, 2*time.Second), "same fingerprint as the retried request")
	}
	fingerprints, _ = own.takePending(1400 * time.Millisecond)
	require.Empty(t, fingerprints, "sent once")
	own.addOwn(fingerprint, time.Second, time.Second)
	own.expire(time.Second + refusalTTL + time.Millisecond)
	require.Zero(t, own.takeRetry(fingerprint, 6*time.Second))
}
