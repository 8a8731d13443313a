// Package accept decides whether an operator's change becomes the next revision
// of the configuration, and resolves the outcome of a change whose response was
// lost.
//
// A change is accepted by one table transaction. The transaction expects the
// version at which the head row was read and expects the change row to be absent,
// and it writes the head row, the change row and the revision row together. So of
// several changes with one base revision at most one is accepted, a change ID is
// accepted at most once, and the revision only grows. The texts of the sections
// are in the object store before the transaction refers to them. Rows hold only
// the digest of a revision, since the head row is read every second: the list of
// sections is also an object, with that digest in its key.
//
// The outcome is "refused" or "conflict" only when the change can no longer take
// effect, not even through an earlier attempt with the same change ID that is
// still in progress at another entry:
//
//   - a conflict is reported after the head was read beyond the base revision and
//     the change row was then read as absent. Every attempt expects the version of
//     the head row at the base, so none can succeed any more;
//   - a refusal either depends only on the change, its token and its base, or it is
//     recorded in the change row, which every attempt expects to be absent.
//
// Every other change that is not confirmed as accepted is "unknown". Submitting
// the same change again is harmless and resolves its outcome.
//
// # Usage
//
//	a := accept.New(accept.WithTables(tablesClient), accept.WithObjects(put, get))
//	r := a.Submit(ctx, accept.Change{ID: "42", Base: 7, Config: cfg, Token: token})
//	if r.Outcome() == accept.Accepted {
//		push(r.Head(), cfg)
//	}
package accept

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

const (
	// maxCommitAttempts is the maximum number of transactions that one Submit sends.
	maxCommitAttempts = 3
	// initialBackoff is the delay before the second transaction. It doubles for
	// each further one.
	initialBackoff = 100 * time.Millisecond
)

// Acceptor accepts changes. It keeps no state between calls, so any number of
// acceptors may use one table at the same time. It is safe for concurrent use.
type Acceptor struct {
	get       func(ctx context.Context, key string) (Row, error)
	list      func(ctx context.Context, prefix string, limit int) ([]Row, error)
	commit    func(ctx context.Context, t Transaction) error
	putObject func(ctx context.Context, key string, data []byte) error
	getObject func(ctx context.Context, key string) ([]byte, error)
	inForce   func() *configtext.Config
	check     func(ctx context.Context, base, cfg *configtext.Config) error
	now       func() time.Time
	sleep     func(ctx context.Context, d time.Duration) error
}

// New returns an Acceptor. WithTables or WithTableFuncs, and WithObjects, are
// required.
func New(options ...Option) *Acceptor {
	a := &Acceptor{
		inForce: func() *configtext.Config { return nil },
		check:   func(context.Context, *configtext.Config, *configtext.Config) error { return nil },
		now:     time.Now,
		sleep:   sleepContext,
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// Change is a change of the configuration that an operator submits.
type Change struct {
	// ID is chosen by the operator and permanently identifies the change.
	ID string
	// Base is the revision that the change is based on, 0 for the first change.
	Base uint64
	// Config is the complete configuration after the change.
	Config *configtext.Config
	// Token is the token of the team that makes the change. It is looked up in
	// the base configuration, and for the first revision in Config.
	Token string
}

// Submit tries to make c the next revision. If c was submitted before and its
// outcome is known, it returns that outcome.
func (a *Acceptor) Submit(ctx context.Context, c Change) Result {
	if !changeIDPattern.MatchString(c.ID) {
		return refused("change ID must match " + changeIDPattern.String())
	}
	s, result := a.resolve(ctx, c)
	if result != nil {
		return *result
	}
	next, result := a.prepare(ctx, c, s)
	if result != nil {
		return *result
	}
	return a.commitPrepared(ctx, c, s, next)
}

// tableState is the head that was read from the table while the outcome of a
// change is open, with the version of the head row.
type tableState struct {
	head        snapshot.Head
	headVersion uint64
}

// resolve reads the head row and the change row of c. It returns a result if the
// outcome of c is known or the table can't be read, and otherwise the state that
// the transaction must expect. The head is read before the change row: if the
// change row were read first, c could be accepted between the two reads and be
// reported as a conflict with itself.
func (a *Acceptor) resolve(ctx context.Context, c Change) (tableState, *Result) {
	head, headVersion, err := a.readHead(ctx)
	if err != nil {
		return tableState{}, unknown(err)
	}
	row, err := a.get(ctx, ChangePrefix+c.ID)
	if err != nil {
		return tableState{}, unknown(err)
	}
	if row.version != 0 {
		return tableState{}, recordedResult(c, row)
	}
	switch {
	case head.Revision < c.Base:
		r := refused("base revision was never accepted")
		return tableState{}, &r
	case head.Revision > c.Base:
		return tableState{}, a.conflict(ctx, c, head)
	}
	return tableState{head: head, headVersion: headVersion}, nil
}

// recordedResult returns the outcome that the change row records, or a refusal if
// the row records another configuration under the ID of c.
func recordedResult(c Change, row Row) *Result {
	r, err := decodeRecord(row.value)
	if err != nil {
		return unknown(err)
	}
	if r.Digest != c.Config.HeadDigest() {
		result := refused("change ID was used for another text")
		return &result
	}
	if r.Refused != "" {
		result := refused(r.Refused)
		return &result
	}
	head := snapshot.Head{
		Revision:     r.Revision,
		Digest:       r.Digest,
		ChangeID:     r.ChangeID,
		AcceptedUnix: r.AcceptedUnix,
		Sections:     sectionRefs(c.Config),
	}
	result := Result{outcome: Accepted, head: head, repeated: true}
	return &result
}

// conflict returns a conflict with the change that was accepted instead of c.
func (a *Acceptor) conflict(ctx context.Context, c Change, head snapshot.Head) *Result {
	result := Result{
		outcome:       Conflict,
		head:          snapshot.Head{Revision: head.Revision},
		otherChangeID: head.ChangeID,
		reason:        "revision " + decimal(head.Revision) + " is accepted",
	}
	if row, err := a.get(ctx, revisionKey(c.Base+1)); err == nil {
		if r, err := decodeRecord(row.value); err == nil {
			result.otherChangeID = r.ChangeID
		}
	}
	return &result
}

// preparedRevision is a revision that is ready to be committed.
type preparedRevision struct {
	head        snapshot.Head
	transaction Transaction
}

// prepare checks that the team may make the change, and stores the sections.
func (a *Acceptor) prepare(ctx context.Context, c Change, s tableState) (preparedRevision, *Result) {
	base, err := a.configOf(ctx, s.head)
	if err != nil {
		return preparedRevision{}, unknown(err)
	}
	team, result := authorize(base, c)
	if result != nil {
		return preparedRevision{}, result
	}
	if err := a.check(ctx, base, c.Config); err != nil {
		return preparedRevision{}, a.recordRefusal(ctx, c, team, err)
	}
	head := snapshot.Head{
		Revision:     c.Base + 1,
		Digest:       c.Config.HeadDigest(),
		ChangeID:     c.ID,
		AcceptedUnix: a.now().Unix(),
		Sections:     sectionRefs(c.Config),
	}
	if err := a.putSections(ctx, c.Config, base); err != nil {
		return preparedRevision{}, unknown(err)
	}
	return preparedRevision{head: head, transaction: newTransaction(s, head, team, changedSectionNames(base, c.Config))}, nil
}

// authorize returns the name of the token's team, or a refusal.
func authorize(base *configtext.Config, c Change) (string, *Result) {
	teams := base
	if teams == nil {
		teams = c.Config
	}
	team, found := teams.TeamOfToken(c.Token)
	if !found {
		r := refused("token belongs to no team")
		return "", &r
	}
	if faults := configtext.Authorize(base, c.Config, team.Name()); len(faults) > 0 {
		r := refused("team " + team.Name() + " may not change every section")
		r.faults = faults
		return "", &r
	}
	return team.Name(), nil
}

// recordRefusal refuses a change for which the check returned faults, for example
// a reference to an object that doesn't exist. The check of another attempt may
// have another result, so the refusal is recorded in the change row.
func (a *Acceptor) recordRefusal(ctx context.Context, c Change, team string, err error) *Result {
	var faults configtext.Faults
	if !errors.As(err, &faults) {
		return unknown(err)
	}
	if err := a.commit(ctx, newRefusal(c, team, a.now().Unix(), faults.Error())); err != nil {
		if _, result := a.resolve(ctx, c); result != nil {
			return result
		}
		return unknown(err)
	}
	r := refused("the text has faults")
	r.faults = faults
	return &r
}

// putSections stores the list of sections and the sections that are not in base.
func (a *Acceptor) putSections(ctx context.Context, cfg, base *configtext.Config) error {
	stored := map[digest.Digest]bool{}
	if base != nil {
		for _, s := range base.Sections() {
			stored[s.Digest()] = true
		}
	}
	writes := newCallPool(ctx)
	put := func(name string, d digest.Digest, text []byte) {
		writes.Go(func(ctx context.Context) error {
			err := a.putObject(ctx, SectionPrefix+d.String(), text)
			return eris.Wrapf(err, "store %s", name)
		})
	}
	for _, s := range cfg.Sections() {
		if !stored[s.Digest()] {
			put(s.Name(), s.Digest(), s.Text())
		}
	}
	put("section list", cfg.HeadDigest(), cfg.SectionList())
	return writes.Wait()
}

// commitPrepared sends the transaction up to maxCommitAttempts times, until its
// outcome is known. Sending it again is harmless, since it expects the change row
// to be absent.
func (a *Acceptor) commitPrepared(ctx context.Context, c Change, s tableState, n preparedRevision) Result {
	var lastErr error
	for i := range maxCommitAttempts {
		if i > 0 {
			if err := a.sleep(ctx, initialBackoff<<(i-1)); err != nil {
				return *unknown(errors.Join(lastErr, err))
			}
		}
		lastErr = a.commit(ctx, n.transaction)
		if lastErr == nil {
			return Result{outcome: Accepted, head: n.head}
		}
		if errors.Is(lastErr, tables.ErrRejected) {
			return refused("table service takes no such row: " + lastErr.Error())
		}
		if errors.Is(lastErr, tables.ErrUnavailable) {
			continue
		}
		current, result := a.resolve(ctx, c)
		if result != nil && result.outcome != Unknown {
			return *result
		}
		if result == nil && current.headVersion != s.headVersion {
			return *unknown(eris.New("head row was written without a new revision"))
		}
	}
	return *unknown(lastErr)
}

// configOf returns the configuration of head, or nil before the first revision.
func (a *Acceptor) configOf(ctx context.Context, head snapshot.Head) (*configtext.Config, error) {
	if head.Revision == 0 {
		return nil, nil
	}
	if cfg := a.inForce(); cfg != nil && cfg.HeadDigest() == head.Digest {
		return cfg, nil
	}
	refs, err := a.sectionList(ctx, head.Digest)
	if err != nil {
		return nil, err
	}
	return a.loadSections(ctx, refs)
}

// readHead returns the head without its sections and the version of its row.
// Before the first revision both are zero.
func (a *Acceptor) readHead(ctx context.Context) (snapshot.Head, uint64, error) {
	row, err := a.get(ctx, HeadKey)
	if err != nil || row.version == 0 {
		return snapshot.Head{}, 0, err
	}
	r, err := decodeRecord(row.value)
	return r.head(), row.version, err
}
