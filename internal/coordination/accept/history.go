package accept

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// ErrNoRevision is returned for a revision that was never accepted.
var ErrNoRevision = eris.New("no such revision")

// MaxHistory bounds the entries that History returns.
const MaxHistory = 1000

// rowsRead is the number of revisions that share all digits of their key but
// the last two, and so one list call.
const rowsRead = 100

// Entry is one accepted change.
type Entry struct {
	record record
}

// Revision returns the revision that the change became.
func (e Entry) Revision() uint64 { return e.record.Revision }

// Digest returns the digest of the configuration.
func (e Entry) Digest() digest.Digest { return e.record.Digest }

// ChangeID returns the operator's name of the change.
func (e Entry) ChangeID() string { return e.record.ChangeID }

// AcceptedAt returns when an entry instance built the accepted transaction, by
// its own clock.
func (e Entry) AcceptedAt() time.Time { return time.Unix(e.record.AcceptedUnix, 0) }

// Team returns the team that made the change.
func (e Entry) Team() string { return e.record.Team }

// ChangedSections returns the names of the sections that the change touched.
func (e Entry) ChangedSections() []string { return slices.Clone(e.record.Changed) }

// History returns up to limit accepted changes, the latest first.
func (a *Acceptor) History(ctx context.Context, limit int) ([]Entry, error) {
	limit = min(limit, MaxHistory)
	head, _, err := a.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for top := head.Revision; top > 0 && len(entries) < limit; {
		key := revisionKey(top)
		rows, err := a.list(ctx, key[:len(key)-2], rowsRead)
		if err != nil {
			return nil, err
		}
		for _, row := range slices.Backward(rows) {
			r, err := decodeRecord(row.value)
			if err != nil {
				return nil, err
			}
			if r.Revision <= head.Revision && len(entries) < limit {
				entries = append(entries, Entry{record: r})
			}
		}
		top = top / rowsRead * rowsRead
		if top > 0 {
			top--
		}
	}
	return entries, nil
}

// Show returns an accepted revision and its head, which has no sections; 0
// stands for the latest revision.
func (a *Acceptor) Show(ctx context.Context, revision uint64) (snapshot.Head, *configtext.Config, error) {
	head, _, err := a.readHead(ctx)
	if err != nil {
		return snapshot.Head{}, nil, err
	}
	if revision != 0 && revision != head.Revision {
		head, err = a.headAt(ctx, revision)
		if err != nil {
			return snapshot.Head{}, nil, err
		}
	}
	if head.Revision == 0 {
		return snapshot.Head{}, nil, eris.Wrap(ErrNoRevision, "nothing is accepted yet")
	}
	cfg, err := a.configOf(ctx, head)
	return head, cfg, err
}

func (a *Acceptor) headAt(ctx context.Context, revision uint64) (snapshot.Head, error) {
	row, err := a.get(ctx, revisionKey(revision))
	if err != nil {
		return snapshot.Head{}, err
	}
	if row.version == 0 {
		return snapshot.Head{}, eris.Wrapf(ErrNoRevision, "revision %d", revision)
	}
	return ParseHead(row.value)
}

// sectionsOf reads the section list of a revision from the object store.
func (a *Acceptor) sectionsOf(ctx context.Context, d digest.Digest) ([]snapshot.SectionRef, error) {
	list, err := a.getObject(ctx, SectionPrefix+d.String())
	if err != nil {
		return nil, eris.Wrap(err, "section list")
	}
	return ParseSectionList(list, d)
}

// maxCalls bounds the calls of the object store that one change or one look at a
// revision has open at a time.
const maxCalls = 32

// newCalls returns a pool of calls that ends with the first error.
func newCalls(ctx context.Context) *pool.ContextPool {
	return pool.New().WithMaxGoroutines(maxCalls).WithContext(ctx).WithCancelOnError().WithFirstError()
}

// load reads the sections from the object store and rebuilds the Config.
func (a *Acceptor) load(ctx context.Context, refs []snapshot.SectionRef) (*configtext.Config, error) {
	sections := make([]configtext.Section, len(refs))
	reads := newCalls(ctx)
	for i, r := range refs {
		reads.Go(func(ctx context.Context) error {
			text, err := a.getObject(ctx, SectionPrefix+r.Digest.String())
			if err != nil {
				return eris.Wrapf(err, "section %s", r.Name)
			}
			if digest.Of(text) != r.Digest {
				return eris.Wrapf(ErrMalformed, "section %s has another digest", r.Name)
			}
			sections[i] = configtext.NewSection(r.Name, text)
			return nil
		})
	}
	if err := reads.Wait(); err != nil {
		return nil, err
	}
	return configtext.FromSections(sections)
}
