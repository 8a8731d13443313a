// Package http1 has rules of HTTP/1 that package net/http does not apply to the answers that a
// client reads. A peer in trouble sends answers that break them; such an answer is that of
// nobody, and where its body ends is unknown.
//
// # Usage
//
//	response, err := http.ReadResponse(reader, request)
//	if err == nil && !http1.FinalStatus(response.StatusCode) { ... }
package http1

import "net/http"

// maxStatus is the largest status.
const maxStatus = 599

// FinalStatus reports whether a status is that of a final answer: neither one outside of HTTP's
// nor an interim one. An http.ResponseWriter panics on some of the others.
func FinalStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}
