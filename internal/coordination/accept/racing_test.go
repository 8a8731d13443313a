package accept_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// TestMain fixes the seed of the property tests, which -rapid.seed overrides.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// operatorsModel is the state of a property test in which operators submit changes
// concurrently through a table service that fails. Before each read of one Submit,
// steps of other operators may run.
type operatorsModel struct {
	table *fakeTable
	// outcomes holds the outcome that was returned for each submission: the first
	// that is not Unknown, if there is one.
	outcomes        map[submission]accept.Outcome
	changes         []accept.Change
	highestRevision uint64
	depth           int
	submitted       int
}

// submission identifies a change. Several may have the same change ID.
type submission struct {
	id     string
	base   uint64
	digest digest.Digest
}

func submissionOf(c accept.Change) submission {
	return submission{id: c.ID, base: c.Base, digest: c.Config.HeadDigest()}
}

func newOperatorsModel() *operatorsModel {
	return &operatorsModel{table: newFakeTable(), outcomes: map[submission]accept.Outcome{}}
}

// submitNew submits a change under a new change ID.
func (m *operatorsModel) submitNew(t *rapid.T) {
	m.submitUnder(t, fmt.Sprintf("c%d", m.submitted+1))
}

// submitReused submits another configuration under a change ID that was used
// before.
func (m *operatorsModel) submitReused(t *rapid.T) {
	if len(m.changes) > 0 {
		m.submitUnder(t, rapid.SampledFrom(m.changes).Draw(t, "used").ID)
	}
}

func (m *operatorsModel) submitUnder(t *rapid.T, id string) {
	m.submitted++
	base := m.table.head(t).Revision
	if base > 0 {
		base -= rapid.Uint64Range(0, min(base-1, 1)).Draw(t, "staleness")
	}
	team := "shops"
	if base == 0 {
		team = "admin"
	}
	c := accept.Change{ID: id, Base: base, Config: configWithWeight(m.submitted), Token: team}
	m.changes = append(m.changes, c)
	m.submit(t, c)
}

// submitAgain submits a change once more, through another entry.
func (m *operatorsModel) submitAgain(t *rapid.T) {
	if len(m.changes) > 0 {
		m.submit(t, rapid.SampledFrom(m.changes).Draw(t, "change"))
	}
}

// applyDelayed applies the delayed transactions.
func (m *operatorsModel) applyDelayed(*rapid.T) { m.table.applyDelayed() }

func (m *operatorsModel) submit(t *rapid.T, c accept.Change) {
	faults := []fault{noFault, noFault, noFault, outage, lostRequest, lostResponse, delayed}
	commitFaults := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 4).Draw(t, "commits")
	getFaults := rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, noFault, outage}), 0, 8).Draw(t, "gets")
	actions := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 8).Draw(t, "turns")
	faulty := rapid.IntRange(0, 3).Draw(t, "missing") == 0
	outerHasFaults := m.table.hasFaults
	m.table.hasFaults = func() bool { return faulty }
	reads := 0
	outerBeforeGet := m.table.beforeGet
	outerCommits, outerGets := m.table.commitFaults, m.table.getFaults
	m.table.beforeGet = func() {
		if reads++; reads <= len(actions) {
			m.interfere(t, actions[reads-1])
		}
	}
	m.table.commitFaults, m.table.getFaults = commitFaults, getFaults
	m.depth++
	r := m.table.acceptor().Submit(context.Background(), c)
	m.depth--
	m.table.beforeGet, m.table.hasFaults = outerBeforeGet, outerHasFaults
	m.table.commitFaults, m.table.getFaults = outerCommits, outerGets
	m.checkResult(t, c, r)
}

// interfere runs an action between two steps of a Submit.
func (m *operatorsModel) interfere(t *rapid.T, action int) {
	const maxDepth = 2
	switch {
	case action == 0:
		m.table.applyDelayed()
	case action == 1 && m.depth < maxDepth:
		m.submitNew(t)
	case action == 3 && m.depth < maxDepth:
		m.submitReused(t)
	case action == 2 && m.depth < maxDepth:
		m.submitAgain(t)
	}
}

// checkResult checks a result against the earlier outcomes of the same change. A
// conflict may later become a refusal if the operator used the change ID again for
// another configuration; both mean that the change never takes effect.
func (m *operatorsModel) checkResult(t *rapid.T, c accept.Change, r accept.Result) {
	key := submissionOf(c)
	before, known := m.outcomes[key]
	if known && before != accept.Unknown && r.Outcome() != accept.Unknown {
		require.Equal(t, before == accept.Accepted, r.Outcome() == accept.Accepted, "change %s", c.ID)
	}
	if !known || before == accept.Unknown {
		m.outcomes[key] = r.Outcome()
	}
	if r.Outcome() == accept.Accepted {
		require.Equal(t, c.Base+1, r.Head().Revision)
	}
}

// checkInvariants checks the guarantees of the package after each step.
func (m *operatorsModel) checkInvariants(t *rapid.T) {
	head := m.table.head(t)
	require.GreaterOrEqual(t, head.Revision, m.highestRevision, "the revision decreased")
	m.highestRevision = head.Revision
	entries, err := m.table.acceptor().History(context.Background(), accept.MaxHistory)
	require.NoError(t, err)
	require.Len(t, entries, int(head.Revision), "each revision must be recorded once")
	entryOf := map[string]accept.Entry{}
	for i, e := range entries {
		require.Equal(t, head.Revision-uint64(i), e.Revision())
		require.NotContains(t, entryOf, e.ChangeID(), "a change was accepted twice")
		entryOf[e.ChangeID()] = e
	}
	for key, outcome := range m.outcomes {
		e, found := entryOf[key.id]
		accepted := found && e.Digest() == key.digest && e.Revision() == key.base+1
		switch outcome {
		case accept.Accepted:
			require.True(t, accepted, "change %s was reported as accepted", key.id)
		case accept.Conflict, accept.Refused:
			require.False(t, accepted, "change %s was reported as not taking effect", key.id)
		}
	}
}

func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOperatorsModel()
		t.Repeat(map[string]func(*rapid.T){
			"submit new":    m.submitNew,
			"submit reused": m.submitReused,
			"submit again":  m.submitAgain,
			"apply delayed": m.applyDelayed,
			"":              m.checkInvariants,
		})
		m.table.applyDelayed()
		m.checkInvariants(t)
		m.resolveAll(t)
	})
}

// resolveAll submits every change again through a table without faults. The outcome
// of each must be known and agree with the earlier outcomes.
func (m *operatorsModel) resolveAll(t *rapid.T) {
	for _, c := range m.changes {
		r := m.table.acceptor().Submit(context.Background(), c)
		require.NotEqual(t, accept.Unknown, r.Outcome(), "change %s: %s", c.ID, r.Reason())
		m.checkResult(t, c, r)
		m.checkInvariants(t)
	}
}
