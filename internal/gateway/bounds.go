package gateway

import "time"

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
)

// validAddress reports whether text may be the address of a peer.
func validAddress(text string) bool { return text != "" && len(text) <= maxAddressBytes }

// validVersion reports whether a version of weights can be a target version.
func validVersion(version int64) bool { return version >= 1 && version <= maxVersion }
