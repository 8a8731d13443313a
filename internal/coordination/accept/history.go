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

// MaxHistory is the maximum number of entries that History returns.
const MaxHistory = 1000

// revisionsPerList is the number of revisions whose keys differ only in the last
// two digits. One list call reads all of them.
const revisionsPerList = 100

// Entry is one accepted change.
type Entry struct {
	record record
}

// Revision returns the revision that the change became.
func (e Entry) Revision() uint64 { return e.record.Revision }

// Digest returns the digest of the configuration.
func (e Entry) Digest() digest.Digest { return e.record.Digest }

// ChangeID returns the ID that the operator chose for the change.
func (e Entry) ChangeID() string { return e.record.ChangeID }

// AcceptedAt returns the time at which an entry instance built the accepted
// transaction, by the clock of that instance.
func (e Entry) AcceptedAt() time.Time { return time.Unix(e.record.AcceptedUnix, 0) }

// Team returns the team that made the change.
func (e Entry) Team() string { return e.record.Team }

// ChangedSections returns the names of the sections that the change modified.
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
		rows, err := a.list(ctx, key[:len(key)-2], revisionsPerList)
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
		top = top / revisionsPerList * revisionsPerList
		if top > 0 {
			top--
		}
	}
	return entries, nil
}

// Show returns the configuration of an accepted revision and its head without the
// sections. Revision 0 stands for the latest revision. It returns ErrNoRevision if
// the revision was never accepted.
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

// sectionList reads and parses the section list of a revision from the object store.
func (a *Acceptor) sectionList(ctx context.Context, d digest.Digest) ([]snapshot.SectionRef, error) {
	list, err := a.getObject(ctx, SectionPrefix+d.String())
	if err != nil {
		return nil, eris.Wrap(err, "read section list")
	}
	return ParseSectionList(list, d)
}

// maxConcurrentCalls is the maximum number of concurrent calls to the object store
// for one change or for reading one revision.
const maxConcurrentCalls = 32

// newCallPool returns a pool that cancels its calls at the first error and returns
// that error.
func newCallPool(ctx context.Context) *pool.ContextPool {
	return pool.New().WithMaxGoroutines(maxConcurrentCalls).WithContext(ctx).WithCancelOnError().WithFirstError()
}

// loadSections reads the sections from the object store and builds the
// configuration from them.
func (a *Acceptor) loadSections(ctx context.Context, refs []snapshot.SectionRef) (*configtext.Config, error) {
	sections := make([]configtext.Section, len(refs))
	reads := newCallPool(ctx)
	for i, r := range refs {
		reads.Go(func(ctx context.Context) error {
			text, err := a.getObject(ctx, SectionPrefix+r.Digest.String())
			if err != nil {
				return eris.Wrapf(err, "read section %s", r.Name)
			}
			if digest.Of(text) != r.Digest {
				return eris.Wrapf(ErrMalformed, "section %s does not match its digest", r.Name)
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
