package gateway

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// Bounds of what other processes send. Anyone may send a datagram, and an entry of another
// build may mean something else.
const (
	// maxAddressBytes bounds an address, so that a summary with addresses of peers fits in
	// a datagram.
	maxAddressBytes = 64
	// maxVersion bounds versions of weights. A larger one would leave no later version.
	maxVersion = 1 << 53
	// maxSummaryInterval bounds the interval that a summary names. It is above that of
	// a fleet of thousands of entries.
	maxSummaryInterval = 5 * time.Minute
	// maxPeerRequests and maxPeerTokens bound the load of one peer at one endpoint, so that
	// sums and predictions do not overflow.
	maxPeerRequests = 1 << 20
	maxPeerTokens   = 1 << 24
	// maxStart bounds the start of a process, in Unix milliseconds. A later one would make
	// every real start look like an earlier incarnation.
	maxStart = 1 << 53
	// maxShare bounds the rate of permits that a grant names, in requests a second.
	maxShare = 1e6
)

// validAddress reports whether text may be the address of a peer.
func validAddress(text string) bool { return text != "" && len(text) <= maxAddressBytes }

// validStart reports whether a process may have started at a time in Unix milliseconds; 0
// stands for an unknown time.
func validStart(started int64) bool { return started >= 0 && started <= maxStart }

// shareOf returns the rate of permits that a grant names, in requests a second, 0 if it is
// not a number.
func shareOf(m *nodev1.EndpointPermits) float64 {
	share := float64(m.GetShare())
	if !(share > 0) {
		return 0
	}
	return min(share, maxShare)
}

// validVersion reports whether a version of weights can be a target version.
func validVersion(version int64) bool { return version >= 1 && version <= maxVersion }
