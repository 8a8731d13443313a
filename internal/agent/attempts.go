package agent

import (
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// maxAttempts bounds the attempts that an agent remembers.
const maxAttempts = 4096

var errDoubled = eris.New("attempt arrived before")

// attempts remembers the latest attempts by number, so that a message that
// arrives twice is not run twice. Nothing is said of whether the first ran.
type attempts struct {
	mu    sync.Mutex
	seen  map[string]struct{}
	order [maxAttempts]string
	next  int
}

// first records an attempt and reports whether it is new.
func (a *attempts) first(r *nodev1.AttemptRequest) bool {
	name := r.GetRequestId() + "/" + strconv.FormatUint(uint64(r.GetAttempt()), 10)
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, doubled := a.seen[name]; doubled {
		return false
	}
	if a.seen == nil {
		a.seen = make(map[string]struct{}, maxAttempts)
	}
	delete(a.seen, a.order[a.next])
	a.seen[name] = struct{}{}
	a.order[a.next] = name
	a.next = (a.next + 1) % maxAttempts
	return true
}

// takeSuspectMark removes the mark of a suspect from the headers and reports
// whether it was there.
func takeSuspectMark(r *nodev1.AttemptRequest) bool {
	marked := false
	kept := r.GetHeaders()[:0]
	for _, h := range r.GetHeaders() {
		if h.GetName() == suspects.Header {
			marked = true
			continue
		}
		kept = append(kept, h)
	}
	r.Headers = kept
	return marked
}
