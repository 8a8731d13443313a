// Package suspects finds the requests that crash endpoints and keeps them away.
//
// All requests in flight at an endpoint when it crashes are suspect, and most
// are innocent. A suspect is tried again only where no other suspect runs, so
// that the next crash tells them apart, and is cleared when it finishes. A
// fingerprint that was in flight at two crashes is quarantined: every entry
// refuses it until the quarantine expires, and it does not expire while the
// request keeps coming.
//
// Entries share what they know in table rows suspect/<fingerprint>. Refresh
// reads them at an interval; Admit reads one before it lets a known suspect or a
// request that is not idempotent through. An idempotent request is tried again
// only after SpreadTime, when the other entries know of it too: whichever entry
// its caller comes back by, the row is then read. The view on the path of a
// request is an immutable map behind an atomic pointer.
//
// # Usage
//
//	g := suspects.New(get, compareAndSet, list)
//	switch verdict := g.Admit(ctx, fp, idempotent); verdict.Kind() {
//	case suspects.Quarantined:
//		refuse(verdict.RetryAfter())
//	case suspects.Alone:
//		dispatch where Isolation allows, to the endpoint that ranks first for fp
//	}
//	g.Crashed(ctx, suspects.NewCrash("writer-3", 7, servedDigest), inFlight)
//	g.Finished(ctx, fp, servedDigest)
//	wait(g.SpreadTime())                 // before the next attempt
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

// ErrConflict is what the table seams return for a row with another version.
var ErrConflict = eris.New("suspect row has another version")

const (
	defaultThreshold  = 2 // crashes
	defaultExpiry     = 10 * time.Minute
	defaultSpreadTime = 500 * time.Millisecond
	maxCrashes        = 8
	maxWrites         = 5
	maxRows           = 4096
)

// Header marks an attempt of a suspect on its way to the agent, which lets only
// one of them run at a time. Entries drop it from callers' requests.
const Header = "Crash-Suspect"

// ReasonEndpointBusy is why an agent refuses a suspect while another one runs.
const ReasonEndpointBusy = "another suspect runs on the endpoint"

// RowPrefix begins the keys of all suspect rows.
const RowPrefix = "suspect/"

// Get reads one row. An absent row has version 0 and no error.
type Get func(ctx context.Context, key string) (value []byte, version uint64, err error)

// CompareAndSet writes the row if it has the version.
type CompareAndSet func(ctx context.Context, key string, version uint64, value []byte) error

// List reads up to limit values of rows whose keys begin with prefix.
type List func(ctx context.Context, prefix string, limit int) ([][]byte, error)

// FingerprintOf names a request by what may make an endpoint crash.
func FingerprintOf(service, method, path string, body []byte) digest.Digest {
	sum := digest.Of(body)
	return digest.Of([]byte(service + "\x00" + method + "\x00" + path + "\x00" + string(sum[:])))
}

// Crash names one crash of an endpoint.
type Crash struct {
	id     string
	served string
}

// NewCrash returns the crash of one start of an endpoint. The digest is the
// manifest that it served, empty for a plain service.
func NewCrash(endpoint string, incarnation uint64, served string) Crash {
	return Crash{id: endpoint + "/" + strconv.FormatUint(incarnation, 10), served: served}
}

// Kind tells how a request may be dispatched.
type Kind int

// The verdicts.
const (
	Allowed Kind = iota
	// Isolated lets the request run only where no other suspect runs.
	Isolated
	// Quarantined refuses the request.
	Quarantined
)

// Decision is the decision on one request.
type Decision struct {
	kind       Kind
	retryAfter time.Duration
}

// Kind returns the decision.
func (v Decision) Kind() Kind { return v.kind }

// RetryAfter returns when a quarantined request may come back.
func (v Decision) RetryAfter() time.Duration { return v.retryAfter }

// Registry is what one entry knows of suspects. It is safe for concurrent use.
type Registry struct {
	get           Get
	compareAndSet CompareAndSet
	list          List
	announce      func(context.Context, []*Suspect)
	now           func() time.Time
	threshold     int
	expiry        time.Duration
	spreadTime    atomic.Int64 // nanoseconds
	proven        proven

	mu      sync.Mutex // serialises writers of view and unsaved
	unsaved map[digest.Digest][]string
	view    atomic.Pointer[map[digest.Digest]*Suspect]
}

// Option sets an optional property of a Registry.
type Option func(*Registry)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(g *Registry) { g.now = now }
}

// WithThreshold sets the crashes after which a fingerprint is quarantined.
func WithThreshold(crashes int) Option {
	return func(g *Registry) { g.threshold = crashes }
}

// WithExpiry sets for how long a fingerprint that no longer comes is kept.
func WithExpiry(d time.Duration) Option {
	return func(g *Registry) { g.expiry = d }
}

// WithPropagationDelay sets the time within which the other entries know of a new
// suspect: the interval of their calls of Refresh, or the delay of announcements.
func WithPropagationDelay(d time.Duration) Option {
	return func(g *Registry) { g.SetPropagationDelay(d) }
}

// WithAnnounce sets how other entries are told of suspects before the table
// brings them round. They take them in with Learn.
func WithAnnounce(announce func(context.Context, []*Suspect)) Option {
	return func(g *Registry) { g.announce = announce }
}

// New returns a registry that knows no suspects.
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
	g.SetPropagationDelay(defaultSpreadTime)
	for _, o := range options {
		o(g)
	}
	g.proven.init(g.now())
	g.view.Store(&map[digest.Digest]*Suspect{})
	return g
}

// Check decides on a request from what the entry knows.
func (g *Registry) Check(fp digest.Digest) Decision {
	s := (*g.view.Load())[fp]
	if s == nil {
		return Decision{}
	}
	left := s.expires.Sub(g.now())
	switch {
	case left <= 0 || len(s.crashes) == 0:
		return Decision{}
	case len(s.crashes) >= g.threshold:
		s.asked.Store(true)
		return Decision{kind: Quarantined, retryAfter: left}
	}
	return Decision{kind: Isolated}
}

// PropagationDelay returns how long a suspect waits before it is tried again.
func (g *Registry) PropagationDelay() time.Duration { return time.Duration(g.spreadTime.Load()) }

// SetPropagationDelay changes the spread time, for instance when more entries share
// the table and each of them reads less often.
func (g *Registry) SetPropagationDelay(d time.Duration) { g.spreadTime.Store(int64(d)) }

// Admit decides on a request before its dispatch. The table's row is read for a
// known suspect, and for a request that is not idempotent: its caller gets the
// final answer right after a crash, and may come back by another entry before
// that one knows.
func (g *Registry) Admit(ctx context.Context, fp digest.Digest, idempotent bool) Decision {
	verdict := g.Check(fp)
	if verdict.kind == Isolated || (verdict.kind == Allowed && !idempotent) {
		return g.confirm(ctx, fp)
	}
	return verdict
}

// confirm decides by the table's row, and by what the entry knows if the row
// cannot be read.
func (g *Registry) confirm(ctx context.Context, fp digest.Digest) Decision {
	s, _, err := g.read(ctx, fp)
	switch {
	case err != nil || s == nil:
	case len(s.crashes) == 0:
		g.forget(fp)
	default:
		g.merge([]*Suspect{s})
	}
	return g.Check(fp)
}

// RecordCrash records the requests that were in flight at a crash, and returns the
// error of a row that could not be written; Refresh writes it later. Requests
// that finished a short while ago on the same weights are not recorded.
func (g *Registry) RecordCrash(ctx context.Context, crash Crash, inFlight []digest.Digest) error {
	var suspected []*Suspect
	for _, fp := range inFlight {
		if !g.proven.has(fp, crash.served, g.now()) {
			suspected = append(suspected, g.suspect(fp, crash.id))
		}
	}
	if len(suspected) == 0 {
		return nil
	}
	g.merge(suspected)
	return g.share(ctx, suspected, crash.id)
}

// RecordCompletion clears a suspect that gave its whole answer.
func (g *Registry) RecordCompletion(ctx context.Context, fp digest.Digest, served string) {
	g.proven.add(fp, served, g.now())
	if g.Check(fp).kind != Isolated {
		return
	}
	// A row that cannot be written stays until it expires; the request only
	// goes on being tried apart from other suspects.
	_, _ = g.Clear(ctx, fp)
}

// MergeAnnounced takes in what another entry announced.
func (g *Registry) MergeAnnounced(suspects []*Suspect) {
	g.merge(suspects)
}

// Suspects returns all that the entry knows, for operators.
func (g *Registry) Suspects() []*Suspect {
	all := slices.Collect(maps.Values(*g.view.Load()))
	slices.SortFunc(all, func(a, b *Suspect) int {
		return slices.Compare(a.fingerprint[:], b.fingerprint[:])
	})
	return all
}

func (g *Registry) suspect(fp digest.Digest, crashes ...string) *Suspect {
	return &Suspect{fingerprint: fp, crashes: crashes, expires: g.now().Add(g.expiry)}
}

// merge adds crashes to the view.
func (g *Registry) merge(suspects []*Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	view := maps.Clone(*g.view.Load())
	for _, s := range suspects {
		view[s.fingerprint] = s.union(view[s.fingerprint], g.now())
	}
	g.view.Store(&view)
}

// forget drops a suspect that another entry cleared, unless a crash of it is not
// yet in the table.
func (g *Registry) forget(fp digest.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unsaved[fp]) > 0 {
		return
	}
	view := maps.Clone(*g.view.Load())
	delete(view, fp)
	g.view.Store(&view)
}

// share writes the crash into the row of each suspect, and announces them.
func (g *Registry) share(ctx context.Context, suspected []*Suspect, crash string) error {
	var failed error
	known := make([]*Suspect, 0, len(suspected))
	for _, s := range suspected {
		if err := g.addCrash(ctx, s.fingerprint, crash); err != nil {
			g.keepUnsaved(s.fingerprint, crash)
			failed = err
		}
		if now := (*g.view.Load())[s.fingerprint]; now != nil {
			known = append(known, now)
		}
	}
	g.announce(ctx, known)
	return failed
}

func (g *Registry) keepUnsaved(fp digest.Digest, crash string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Contains(g.unsaved[fp], crash) && len(g.unsaved) < maxRows {
		g.unsaved[fp] = append(g.unsaved[fp], crash)
	}
}
