package gateway

import "net/http"

// A stream that its endpoint ends in good order as its time left ends may be whole, or cut by
// that time. It is sought further at another endpoint: if that has no further event, the
// stream is whole. Without such a confirmation it is broken off, since a stream that is cut
// must not look whole.

// recordEnd records that an endpoint has ended a stream in good order as its time left ended.
// A response that ends with its connection may as well have been cut.
func (a *responseWriter) recordEnd(r *http.Response) {
	if !unframed(r) {
		a.endedWith = a.events
	}
}

// mayBeWhole reports whether the events that the caller has are all that an endpoint sent
// before it ended the stream in good order.
func (a *responseWriter) mayBeWhole() bool {
	return a.headerWritten && a.endedWith > 0 && a.endedWith == a.events
}
