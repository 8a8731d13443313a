package configtext

import (
	"net/http"
	"net/url"
	"path"
	"strings"
)

// anyMethod matches every method in a call rule.
const anyMethod = "*"

// anySegment and anyRest are the wildcards of a call rule's path: one segment,
// and all segments that remain.
const (
	anySegment = "*"
	anyRest    = "**"
)

// completionsSuffix ends the paths of model completions.
const completionsSuffix = "/completions"

// callRule says whether the calls it matches may be repeated.
type callRule struct {
	method     string
	path       string
	idempotent bool
}

// Idempotent reports whether a call may be run more than once. The first rule
// of the text that matches decides. Without one, model completions follow
// `idempotentCompletions`, GET, HEAD and OPTIONS are idempotent, and every
// other method is not. A path that isn't clean might reach another rule at the
// endpoint, so it is never taken as idempotent.
func (s Service) Idempotent(method, requestPath string) bool {
	clean, ok := cleanPath(requestPath)
	if !ok {
		return false
	}
	for _, r := range s.calls {
		if r.matches(method, clean) {
			return r.idempotent
		}
	}
	if s.kind == KindModel && method == http.MethodPost && strings.HasSuffix(clean, completionsSuffix) {
		return s.idempotentCompletions
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// cleanPath returns the decoded path without query and trailing slash, and
// whether it has no empty, "." or ".." segments.
func cleanPath(requestPath string) (string, bool) {
	raw, _, _ := strings.Cut(requestPath, "?")
	decoded, err := url.PathUnescape(raw)
	if err != nil || !strings.HasPrefix(decoded, "/") || strings.Contains(decoded, "%") {
		return "", false
	}
	trimmed := decoded
	if len(trimmed) > 1 {
		trimmed = strings.TrimSuffix(trimmed, "/")
	}
	return trimmed, path.Clean(trimmed) == trimmed
}

func (r callRule) matches(method, clean string) bool {
	if r.method != anyMethod && r.method != method {
		return false
	}
	want := strings.Split(r.path, "/")
	got := strings.Split(clean, "/")
	for i, segment := range want {
		if segment == anyRest {
			return true
		}
		if i >= len(got) || segment != anySegment && segment != got[i] {
			return false
		}
	}
	return len(want) == len(got)
}

// refusesPattern returns why a rule's path can't be used, or "".
func refusesPattern(pattern string) string {
	clean, ok := cleanPath(pattern)
	if !ok || clean != pattern {
		return "must be a clean path that starts with \"/\""
	}
	segments := strings.Split(pattern, "/")
	for i, segment := range segments {
		if segment == anyRest && i < len(segments)-1 {
			return "\"**\" must be the last segment"
		}
		if segment != anyRest && segment != anySegment && strings.Contains(segment, "*") {
			return "\"*\" must stand for a whole segment"
		}
	}
	return ""
}
