package agent

import (
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// maxAttempts limits the number of attempts that an agent records.
const maxAttempts = 4096

var errDuplicateAttempt = eris.New("attempt arrived before")

// attemptHistory records the latest attempts by request and attempt number, so that a
// duplicated message does not run twice. It does not record whether the first message
// ran.
type attemptHistory struct {
	mu    sync.Mutex
	seen  map[string]struct{}
	order [maxAttempts]string
	next  int
}

// record records an attempt and reports whether it is new.
func (a *attemptHistory) record(r *nodev1.AttemptRequest) bool {
	name := r.GetRequestId() + "/" + strconv.FormatUint(uint64(r.GetAttempt()), 10)
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, duplicate := a.seen[name]; duplicate {
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

// removeSuspectHeader removes the header that marks a suspect request and reports
// whether the header was present.
func removeSuspectHeader(r *nodev1.AttemptRequest) bool {
	found := false
	kept := r.GetHeaders()[:0]
	for _, h := range r.GetHeaders() {
		if h.GetName() == suspects.Header {
			found = true
			continue
		}
		kept = append(kept, h)
	}
	r.Headers = kept
	return found
}
