package replica

import (
	"context"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// target is the version to load on the endpoint.
type target struct {
	model   string
	version int64
	setAt   time.Duration
	exact   bool // an entry observed when the version was set
	initial bool // the initial version, without a version bound
	pinned  bool // an order to load it may still be accepted, so it is not superseded
}

// Target describes a version that the operators have set.
type Target struct {
	Model   string
	Version int64
	// Age is an upper bound of the time since the version was set. It is Exact if an entry
	// observed the change; a process that has just started has no record of the time.
	Age   time.Duration
	Exact bool
	// Initial marks the initial version, to which the version bound does not apply.
	Initial bool
}

// SetTarget sets the version to load on the endpoint. A version older than the target has
// no effect; for a version that was set before, only its time may be corrected.
func (r *Replica) SetTarget(v Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An age above the version bound means that the time is unknown. No version is set in
	// the future.
	age := max(min(v.Age, r.versionBound), 0)
	t := target{model: v.Model, version: v.Version, setAt: r.now() - age, exact: v.Exact, initial: v.Initial}
	if r.refineSetAt(t) || r.target.model == v.Model && v.Version <= r.target.version {
		return
	}
	r.target = t
	r.targets = append(r.targets, t)
	telemetry.WeightsNamed.Log(context.Background(), r.logger, "model", v.Model, "version", v.Version, "age", v.Age, "exact", v.Exact)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// refineSetAt corrects the time at which a version was set, if t is the first exact time
// or equally exact and earlier. It reports whether the version was set before. The caller
// holds the mutex.
func (r *Replica) refineSetAt(t target) bool {
	i := slices.IndexFunc(r.targets, func(k target) bool { return k.model == t.model && k.version == t.version })
	if i < 0 {
		return false
	}
	recorded := &r.targets[i]
	better := t.exact && !recorded.exact || t.exact == recorded.exact && t.setAt < recorded.setAt
	if recorded.initial || !better {
		return true
	}
	if r.target == *recorded {
		r.target.setAt, r.target.exact = t.setAt, t.exact
	}
	recorded.setAt, recorded.exact = t.setAt, t.exact
	return true
}

// superseded reports whether the target is another version now and t is not pinned.
func (r *Replica) superseded(t target) bool {
	if t.pinned {
		return false
	}
	now := r.currentTarget()
	return now.model != t.model || now.version != t.version
}

func (r *Replica) currentTarget() target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}
