package replica

import (
	"context"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// want is the version to bring onto the endpoint.
type want struct {
	model   string
	version int64
	since   time.Duration
	exact   bool // some entry saw it named
	first   bool // it is the version of the start, for which there is no bound
}

// Target is what is known of a version that the operators named.
type Target struct {
	Model   string
	Version int64
	// Age is the time since it was named at the most. It is Exact where an entry saw
	// the version appear; a process that has just started does not know the age.
	Age   time.Duration
	Exact bool
	// Initial marks the version of the start, for which there is no bound.
	Initial bool
}

// SetTarget names the version to bring onto the endpoint. One that is older than the wanted
// one changes nothing; of a version that is known only the date may improve.
func (r *Replica) SetTarget(n Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An age beyond the bound says that the time is not known.
	w := want{model: n.Model, version: n.Version, since: r.now() - min(n.Age, r.bound), exact: n.Exact, first: n.Initial}
	if r.refine(w) || r.wanted.model == n.Model && n.Version <= r.wanted.version {
		return
	}
	r.wanted = w
	r.named = append(r.named, w)
	telemetry.WeightsNamed.Log(context.Background(), r.logger, "model", n.Model, "version", n.Version, "age", n.Age, "exact", n.Exact)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// refine takes a better date of a version that is known, and reports whether it is.
// The caller holds the mutex.
func (r *Replica) refine(w want) bool {
	i := slices.IndexFunc(r.named, func(k want) bool { return k.model == w.model && k.version == w.version })
	if i < 0 {
		return false
	}
	known := &r.named[i]
	better := w.exact && !known.exact || w.exact == known.exact && w.since < known.since
	if known.first || !better {
		return true
	}
	if r.wanted == *known {
		r.wanted.since, r.wanted.exact = w.since, w.exact
	}
	known.since, known.exact = w.since, w.exact
	return true
}

// superseded reports whether another version is wanted by now.
func (r *Replica) superseded(w want) bool {
	now := r.current()
	return now.model != w.model || now.version != w.version
}

func (r *Replica) current() want {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wanted
}
