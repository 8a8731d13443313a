package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// A stream that its endpoint ends in good order as its time left ends may be whole, or cut by
// that time. It is sought further at another endpoint: if that has no further event, the
// stream is whole. Where no other endpoint can be asked, it counts as whole too, since an
// endpoint that cuts a stream resets its connection as a rule.

// confirmWait bounds both the wait for an endpoint that may have more of a stream which may be
// whole and the wait for its first event: the caller has every event that is known of.
const confirmWait = 500 * time.Millisecond

var errNotConfirmed = eris.New("endpoint has not begun to continue a stream that may be whole")

// recordEnd records that an endpoint has ended a stream in good order as its time left ended.
// A response that ends with its connection may as well have been cut.
func (a *responseWriter) recordEnd(r *http.Response) {
	if !unframed(r) {
		a.endedWith = a.events
	}
}

// mayBeWhole reports whether the events that the caller has are a whole stream as far as is
// known. The stream is then sought further at another endpoint, but never broken off.
func (a *responseWriter) mayBeWhole() bool {
	return a.headerWritten && a.endedWith > 0 && a.endedWith == a.events
}

// confirm calls cancel if an attempt for a stream that may be whole has not brought an event
// in time. The timer must be stopped with the first one and when the attempt has ended.
func confirm(out *responseWriter, cancel context.CancelCauseFunc) *time.Timer {
	t := time.AfterFunc(confirmWait, func() { cancel(errNotConfirmed) })
	if !out.mayBeWhole() {
		t.Stop()
	}
	return t
}
