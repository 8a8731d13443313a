// Package http1 has rules of HTTP/1 that package net/http does not apply to the answers that a
// client reads. A faulty peer sends answers that break them; where the body of such an
// answer ends is unknown, so that it must not be used.
//
// # Usage
//
//	var s http1.HeadScanner
//	n, err := s.Scan(data) // as the bytes arrive, until s.Ended()
//	response, err := http.ReadResponse(reader, request)
//	if err == nil && !http1.FinalStatus(response.StatusCode) { ... }
//	response.Body = http1.CheckTrailer(response)
package http1

import "net/http"

// maxStatus is the largest status.
const maxStatus = 599

// FinalStatus reports whether a status is that of a final answer: neither one outside of HTTP's
// nor an interim one. An http.ResponseWriter panics on some of the others.
func FinalStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}
