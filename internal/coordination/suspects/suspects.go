// Package suspects identifies the requests that crash endpoints and stops dispatching
// them. It has a type for each way in which entries share what they know.
//
// # Evidence
//
// Evidence is for entries that report crashes to each other. Requests are compared by what
// they share: a Request has a key of its own and those of the parts of its prompt that
// others have too. An attempt that its endpoint broke off as its answer began, or could
// begin, is evidence once the endpoint is known to have crashed; an answer that began
// later clears its keys. From three incidents on, requests that have all of the suspected
// keys in common are in quarantine, until one that is sent as a trial is answered. The
// decision follows from the crashes and the clearings alone, so that all entries with the
// same evidence decide alike.
//
// # Registry
//
// Registry is for entries that share suspects through table rows. It compares requests as
// wholes. Every request that is in flight at an endpoint when it crashes becomes a suspect,
// although most of them are harmless. A suspect is retried only on an endpoint where no
// other suspect runs, so that the next crash identifies the cause. It is cleared when
// it completes. A fingerprint that was in flight at two crashes is quarantined: every
// entry refuses it until the quarantine expires, and the quarantine is renewed as long
// as callers send the request.
//
// The rows are suspect/<fingerprint>. Refresh reads them periodically. Admit reads a single
// row before it admits a known suspect or a request that is not idempotent. An idempotent
// request is retried only after PropagationDelay, when the other entries have the suspect
// too, so that the row is read whichever entry its caller retries through. The request path
// reads a snapshot, an immutable map behind an atomic pointer.
//
// # Usage
//
//	e := suspects.NewEvidence(suspects.WithReportDue(wake))
//	if d := e.Check(now, request); d.Kind() == suspects.Quarantined {
//		refuse(d.RetryAfter())
//	}
//	if e.Break(now, incarnation, attempt) {
//		check whether the endpoint is there, and if not: e.Confirm(now, incarnation)
//	}
//	e.Survived(now, request, begun)
//	report, next := e.TakeReport(now) // for the others, which pass it to Merge
//
//	g := suspects.New(get, compareAndSet, list)
//	switch decision := g.Admit(ctx, fp, idempotent); decision.Kind() {
//	case suspects.Quarantined:
//		refuse(decision.RetryAfter())
//	case suspects.Isolated:
//		dispatch where Isolation allows, to the endpoint that ranks first for fp
//	}
//	g.RecordCrash(ctx, suspects.NewCrash("writer-3", 7, servedDigest), inFlight)
//	g.RecordCompletion(ctx, fp, servedDigest)
//	wait(g.PropagationDelay())           // before the next attempt
//	err := g.Refresh(ctx)
package suspects

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// ErrConflict is returned by CompareAndSet if the row has another version.
var ErrConflict = eris.New("suspect row version mismatch")

const (
	defaultThreshold        = 2 // crashes
	defaultExpiry           = 10 * time.Minute
	defaultPropagationDelay = 500 * time.Millisecond
	maxCrashes              = 8
	maxWriteAttempts        = 5
	maxRows                 = 4096
)

// Header is the header field that marks an attempt of a suspect that an entry sends to
// an agent, which runs only one of them at a time. Entries remove the field from
// callers' requests.
const Header = "Crash-Suspect"

// ReasonEndpointBusy is the reason with which an agent refuses a suspect while another
// one runs.
const ReasonEndpointBusy = "another suspect runs on the endpoint"

// RowPrefix is the prefix of the row keys of all suspects.
const RowPrefix = "suspect/"

// Get reads one row. A missing row is returned with version 0 and no error.
type Get func(ctx context.Context, key string) (value []byte, version uint64, err error)

// CompareAndSet writes the row if its current version equals version, or else returns
// ErrConflict.
type CompareAndSet func(ctx context.Context, key string, version uint64, value []byte) error

// List reads up to limit values of rows whose keys begin with prefix.
type List func(ctx context.Context, prefix string, limit int) ([][]byte, error)

// FingerprintOf returns the digest of the parts of a request that may cause a crash of
// the endpoint.
func FingerprintOf(service, method, path string, body []byte) digest.Digest {
	sum := digest.Of(body)
	return digest.Of([]byte(service + "\x00" + method + "\x00" + path + "\x00" + string(sum[:])))
}

// Crash identifies one crash of an endpoint.
type Crash struct {
	id           string
	servedDigest string
}

// NewCrash returns the crash of one incarnation of an endpoint. servedDigest is the
// digest of the manifest that it served, empty for a plain service.
func NewCrash(endpoint string, incarnation uint64, servedDigest string) Crash {
	return Crash{id: endpoint + "/" + strconv.FormatUint(incarnation, 10), servedDigest: servedDigest}
}

// Registry holds the suspects known at one entry. It is safe for concurrent use.
type Registry struct {
	get              Get
	compareAndSet    CompareAndSet
	list             List
	announce         func(context.Context, []*Suspect)
	now              func() time.Time
	threshold        int
	expiry           time.Duration
	propagationDelay atomic.Int64 // nanoseconds
	completed        completedCache

	mu       sync.Mutex // serializes writers of snapshot and unsaved
	unsaved  map[digest.Digest][]string
	snapshot atomic.Pointer[map[digest.Digest]*Suspect]
}

// Option sets an optional property of a Registry.
type Option func(*Registry)

// WithNow sets the clock, time.Now by default.
func WithNow(now func() time.Time) Option {
	return func(g *Registry) { g.now = now }
}

// WithThreshold sets the number of crashes after which a fingerprint is quarantined, 2
// by default.
func WithThreshold(crashes int) Option {
	return func(g *Registry) { g.threshold = crashes }
}

// WithExpiry sets the time after which a fingerprint that callers no longer send is
// removed, 10 minutes by default.
func WithExpiry(d time.Duration) Option {
	return func(g *Registry) { g.expiry = d }
}

// WithPropagationDelay sets the time after which all other entries have a new suspect:
// the interval of their calls of Refresh, or the delay of announcements.
func WithPropagationDelay(d time.Duration) Option {
	return func(g *Registry) { g.SetPropagationDelay(d) }
}

// WithAnnounce sets a function that sends new suspects to the other entries, so that
// they receive them before their next Refresh. They pass them to MergeAnnounced.
func WithAnnounce(announce func(context.Context, []*Suspect)) Option {
	return func(g *Registry) { g.announce = announce }
}

// New returns a registry without suspects.
func New(get Get, compareAndSet CompareAndSet, list List, options ...Option) *Registry {
	g := &Registry{
		get:           get,
		compareAndSet: compareAndSet,
		list:          list,
		announce:      func(context.Context, []*Suspect) {},
		now:           time.Now,
		threshold:     defaultThreshold,
		expiry:        defaultExpiry,
		unsaved:       map[digest.Digest][]string{},
	}
	g.SetPropagationDelay(defaultPropagationDelay)
	for _, o := range options {
		o(g)
	}
	g.completed.init(g.now())
	g.snapshot.Store(&map[digest.Digest]*Suspect{})
	return g
}

// Check decides on a request by the snapshot, without reading the table.
func (g *Registry) Check(fp digest.Digest) Decision {
	s := (*g.snapshot.Load())[fp]
	if s == nil {
		return Decision{}
	}
	remaining := s.expires.Sub(g.now())
	switch {
	case remaining <= 0 || len(s.crashes) == 0:
		return Decision{}
	case len(s.crashes) >= g.threshold:
		s.requested.Store(true)
		return Decision{kind: Quarantined, retryAfter: remaining}
	}
	return Decision{kind: Isolated}
}

// PropagationDelay returns the minimum delay before a suspect is retried.
func (g *Registry) PropagationDelay() time.Duration { return time.Duration(g.propagationDelay.Load()) }

// SetPropagationDelay changes the propagation delay, for instance when more entries
// share the table and each of them reads it less often.
func (g *Registry) SetPropagationDelay(d time.Duration) { g.propagationDelay.Store(int64(d)) }

// Admit decides on a request before its dispatch. It reads the table's row for a known
// suspect and for a request that is not idempotent. The caller of the latter gets the
// final response immediately after a crash, and may retry through another entry before
// that entry has the suspect.
func (g *Registry) Admit(ctx context.Context, fp digest.Digest, idempotent bool) Decision {
	decision := g.Check(fp)
	if decision.kind == Isolated || (decision.kind == Allowed && !idempotent) {
		return g.checkRow(ctx, fp)
	}
	return decision
}

// checkRow updates the snapshot from the table's row and decides by the snapshot. If
// the row cannot be read, it decides by the snapshot as it is.
func (g *Registry) checkRow(ctx context.Context, fp digest.Digest) Decision {
	s, _, err := g.read(ctx, fp)
	switch {
	case err != nil || s == nil:
	case len(s.crashes) == 0:
		g.remove(fp)
	default:
		g.merge([]*Suspect{s})
	}
	return g.Check(fp)
}

// RecordCrash records the requests that were in flight at a crash. It returns the error
// of a row that could not be written; Refresh writes that row later. Requests that
// completed recently on the same weights are not recorded.
func (g *Registry) RecordCrash(ctx context.Context, crash Crash, inFlight []digest.Digest) error {
	var newSuspects []*Suspect
	for _, fp := range inFlight {
		if !g.completed.has(fp, crash.servedDigest, g.now()) {
			newSuspects = append(newSuspects, g.newSuspect(fp, crash.id))
		}
	}
	if len(newSuspects) == 0 {
		return nil
	}
	g.merge(newSuspects)
	return g.publish(ctx, newSuspects, crash.id)
}

// RecordCompletion clears a suspect whose complete response was received. It does not
// lift a quarantine.
func (g *Registry) RecordCompletion(ctx context.Context, fp digest.Digest, servedDigest string) {
	g.completed.add(fp, servedDigest, g.now())
	if g.Check(fp).kind != Isolated {
		return
	}
	// A row that cannot be written remains until it expires. The only effect is that
	// the request still runs isolated from other suspects.
	_, _ = g.Clear(ctx, fp)
}

// MergeAnnounced adds the suspects that another entry announced.
func (g *Registry) MergeAnnounced(suspects []*Suspect) {
	g.merge(suspects)
}

// Suspects returns all suspects of the snapshot, sorted by fingerprint, for operators.
func (g *Registry) Suspects() []*Suspect {
	all := slices.Collect(maps.Values(*g.snapshot.Load()))
	slices.SortFunc(all, func(a, b *Suspect) int {
		return slices.Compare(a.fingerprint[:], b.fingerprint[:])
	})
	return all
}

func (g *Registry) newSuspect(fp digest.Digest, crashes ...string) *Suspect {
	return &Suspect{fingerprint: fp, crashes: crashes, expires: g.now().Add(g.expiry)}
}

// merge adds the crashes of suspects to the snapshot.
func (g *Registry) merge(suspects []*Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	snapshot := maps.Clone(*g.snapshot.Load())
	for _, s := range suspects {
		snapshot[s.fingerprint] = s.union(snapshot[s.fingerprint], g.now())
	}
	g.snapshot.Store(&snapshot)
}

// remove deletes a suspect that another entry cleared from the snapshot, unless one of
// its crashes is not yet in the table.
func (g *Registry) remove(fp digest.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unsaved[fp]) > 0 {
		return
	}
	snapshot := maps.Clone(*g.snapshot.Load())
	delete(snapshot, fp)
	g.snapshot.Store(&snapshot)
}

// publish writes the crash into the row of each suspect and announces the suspects to
// the other entries.
func (g *Registry) publish(ctx context.Context, newSuspects []*Suspect, crash string) error {
	var lastErr error
	current := make([]*Suspect, 0, len(newSuspects))
	for _, s := range newSuspects {
		if err := g.addCrash(ctx, s.fingerprint, crash); err != nil {
			g.addUnsaved(s.fingerprint, crash)
			lastErr = err
		}
		if latest := (*g.snapshot.Load())[s.fingerprint]; latest != nil {
			current = append(current, latest)
		}
	}
	g.announce(ctx, current)
	return lastErr
}

func (g *Registry) addUnsaved(fp digest.Digest, crash string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Contains(g.unsaved[fp], crash) && len(g.unsaved) < maxRows {
		g.unsaved[fp] = append(g.unsaved[fp], crash)
	}
}
