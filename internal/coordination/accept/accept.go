// Package accept decides whether an operators' change becomes the next revision
// of the configuration, and settles what became of a change whose answer was
// lost.
//
// A change is accepted by one table transaction. It expects the head row as it
// was read and the change row to be absent, and it writes the head, the change
// and the revision row together. So of several changes with one base revision
// at most one is accepted, a change ID is accepted at most once, and the
// revision only grows. The texts of the sections are in the object store before
// the transaction names them. Rows name a revision by its digest only, since
// the head row is read every second: the list of sections is an object as well,
// named by that digest.
//
// An operator is told "refused" or "conflict" only where the change can't take
// effect any more, also not through an earlier attempt with the same change ID
// that is still under way at another entry:
//
//   - a conflict is said after the head was read beyond the base revision, and
//     the change row was read absent after that. Every attempt expects the head
//     row of the base, so none can succeed any more;
//   - a refusal depends on nothing but the change, its token and its base, or
//     it is recorded in the change row, which every attempt expects absent.
//
// Everything else that isn't known to be accepted is "unknown". Submitting the
// same change again is harmless and settles it.
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
	// maxCommits bounds the transactions that one Submit sends.
	maxCommits = 3
	// firstWait is the wait before the second transaction; it doubles.
	firstWait = 100 * time.Millisecond
)

// Acceptor accepts changes. It keeps no state between calls, so any number of
// them may work on one table at once, and it is safe for concurrent use.
type Acceptor struct {
	get       func(ctx context.Context, key string) (Row, error)
	list      func(ctx context.Context, prefix string, limit int) ([]Row, error)
	commit    func(ctx context.Context, t Transaction) error
	putObject func(ctx context.Context, key string, data []byte) error
	getObject func(ctx context.Context, key string) ([]byte, error)
	inForce   func() *configtext.Config
	check     func(ctx context.Context, base, cfg *configtext.Config) error
	now       func() time.Time
	wait      func(ctx context.Context, d time.Duration) error
}

// New returns an acceptor. WithTables or WithTableFuncs, and WithObjects, are
// required.
func New(options ...Option) *Acceptor {
	a := &Acceptor{
		inForce: func() *configtext.Config { return nil },
		check:   func(context.Context, *configtext.Config, *configtext.Config) error { return nil },
		now:     time.Now,
		wait:    waitFor,
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// Change is what an operator submits.
type Change struct {
	// ID is chosen by the operator and names the change for good.
	ID string
	// Base is the revision that the change was made from, 0 for the first.
	Base uint64
	// Config is the whole text after the change.
	Config *configtext.Config
	// Token is the token of the team that makes the change. It is looked up in
	// the base, and for the first revision in the text itself.
	Token string
}

// Submit makes c the next revision, or tells what became of it earlier.
func (a *Acceptor) Submit(ctx context.Context, c Change) Result {
	if !idPattern.MatchString(c.ID) {
		return refused("change ID must match " + idPattern.String())
	}
	s, result := a.settle(ctx, c)
	if result != nil {
		return *result
	}
	next, result := a.prepare(ctx, c, s)
	if result != nil {
		return *result
	}
	return a.commitNext(ctx, c, s, next)
}

// state is what the table says while a change is undecided.
type state struct {
	head    snapshot.Head
	version uint64
}

// settle reads what is known of c. It returns a result where c is decided or
// the table can't be read, and the state to build on otherwise. The head is
// read before the change: were the change read first, it could be accepted in
// between and be reported as a conflict with itself.
func (a *Acceptor) settle(ctx context.Context, c Change) (state, *Result) {
	head, version, err := a.readHead(ctx)
	if err != nil {
		return state{}, unknown(err)
	}
	row, err := a.get(ctx, ChangePrefix+c.ID)
	if err != nil {
		return state{}, unknown(err)
	}
	if row.version != 0 {
		return state{}, earlier(c, row)
	}
	switch {
	case head.Revision < c.Base:
		r := refused("base revision was never accepted")
		return state{}, &r
	case head.Revision > c.Base:
		return state{}, a.conflict(ctx, c, head)
	}
	return state{head: head, version: version}, nil
}

// earlier returns the result of the accepted change that row records.
func earlier(c Change, row Row) *Result {
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
		Sections:     refsOf(c.Config),
	}
	result := Result{outcome: Accepted, head: head, repeated: true}
	return &result
}

// conflict names the change that was accepted in place of c.
func (a *Acceptor) conflict(ctx context.Context, c Change, head snapshot.Head) *Result {
	result := Result{
		outcome: Conflict,
		head:    snapshot.Head{Revision: head.Revision},
		other:   head.ChangeID,
		reason:  "revision " + decimal(head.Revision) + " is accepted",
	}
	if row, err := a.get(ctx, revisionKey(c.Base+1)); err == nil {
		if r, err := decodeRecord(row.value); err == nil {
			result.other = r.ChangeID
		}
	}
	return &result
}

// next is a revision ready to be committed.
type next struct {
	head        snapshot.Head
	transaction Transaction
}

// prepare checks the team's right to the change and stores the sections.
func (a *Acceptor) prepare(ctx context.Context, c Change, s state) (next, *Result) {
	base, err := a.configOf(ctx, s.head)
	if err != nil {
		return next{}, unknown(err)
	}
	team, result := authorize(base, c)
	if result != nil {
		return next{}, result
	}
	if err := a.check(ctx, base, c.Config); err != nil {
		return next{}, a.refuseFaults(ctx, c, team, err)
	}
	head := snapshot.Head{
		Revision:     c.Base + 1,
		Digest:       c.Config.HeadDigest(),
		ChangeID:     c.ID,
		AcceptedUnix: a.now().Unix(),
		Sections:     refsOf(c.Config),
	}
	if err := a.putSections(ctx, c.Config, base); err != nil {
		return next{}, unknown(err)
	}
	return next{head: head, transaction: newTransaction(s, head, team, changedNames(base, c.Config))}, nil
}

// authorize returns the team of the token, or a refusal.
func authorize(base *configtext.Config, c Change) (string, *Result) {
	known := base
	if known == nil {
		known = c.Config
	}
	team, found := known.TeamOfToken(c.Token)
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

// refuseFaults refuses a change whose text names what doesn't exist. Since that
// may be seen differently by another attempt, the refusal is recorded.
func (a *Acceptor) refuseFaults(ctx context.Context, c Change, team string, err error) *Result {
	var faults configtext.Faults
	if !errors.As(err, &faults) {
		return unknown(err)
	}
	if err := a.commit(ctx, newRefusal(c, team, a.now().Unix(), faults.Error())); err != nil {
		if _, result := a.settle(ctx, c); result != nil {
			return result
		}
		return unknown(err)
	}
	r := refused("the text has faults")
	r.faults = faults
	return &r
}

// putSections stores the list of sections and those sections that base lacks.
func (a *Acceptor) putSections(ctx context.Context, cfg, base *configtext.Config) error {
	stored := map[digest.Digest]bool{}
	if base != nil {
		for _, s := range base.Sections() {
			stored[s.Digest()] = true
		}
	}
	writes := newCalls(ctx)
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

// commitNext sends the transaction until the table says what became of it.
// Sending it again is harmless, since it expects the change row to be absent.
func (a *Acceptor) commitNext(ctx context.Context, c Change, s state, n next) Result {
	var last error
	for i := range maxCommits {
		if i > 0 {
			if err := a.wait(ctx, firstWait<<(i-1)); err != nil {
				return *unknown(errors.Join(last, err))
			}
		}
		last = a.commit(ctx, n.transaction)
		if last == nil {
			return Result{outcome: Accepted, head: n.head}
		}
		if errors.Is(last, tables.ErrRejected) {
			return refused("table service takes no such row: " + last.Error())
		}
		if errors.Is(last, tables.ErrUnavailable) {
			continue
		}
		now, result := a.settle(ctx, c)
		if result != nil && result.outcome != Unknown {
			return *result
		}
		if result == nil && now.version != s.version {
			return *unknown(eris.New("head row was written without a new revision"))
		}
	}
	return *unknown(last)
}

// configOf returns the configuration that head names, or nil for no revision.
func (a *Acceptor) configOf(ctx context.Context, head snapshot.Head) (*configtext.Config, error) {
	if head.Revision == 0 {
		return nil, nil
	}
	if cfg := a.inForce(); cfg != nil && cfg.HeadDigest() == head.Digest {
		return cfg, nil
	}
	refs, err := a.sectionsOf(ctx, head.Digest)
	if err != nil {
		return nil, err
	}
	return a.load(ctx, refs)
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
