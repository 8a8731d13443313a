package gateway

// Bounds of what other processes send. Anyone may send a datagram, and an entry of another
// build may mean something else.
const (
	// maxAddressBytes bounds an address, so that a summary with addresses of peers fits in
	// a datagram.
	maxAddressBytes = 64
)

// validAddress reports whether text may be the address of a peer.
func validAddress(text string) bool { return text != "" && len(text) <= maxAddressBytes }
