package endpoints

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// errMergedHeads is the error of a head that breaks off, where another one follows it on the
// connection. Its last field, or its status line, then ends with the status line of the other.
var errMergedHeads = eris.New("head of an answer holds the status line of another one")

const protocolPrefix = "HTTP/1."

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}( |$)`)

// holdsStatusLine reports whether the reason phrase or a field of a head contains a status line.
func holdsStatusLine(r *http.Response) bool {
	if containsStatusLine(r.Status) {
		return true
	}
	for name := range r.Trailer { // the values of the field Trailer
		if containsStatusLine(name) {
			return true
		}
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

func containsStatusLine(text string) bool {
	return strings.Contains(text, protocolPrefix) && statusLine.MatchString(text)
}
