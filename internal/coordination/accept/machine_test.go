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

// machine races operators against each other over a failing table service. An
// operator's calls are interleaved with those of others at every read.
type machine struct {
	table *fakeTable
	// answers holds what operators were told of each submission.
	answers map[submission]accept.Outcome
	changes []accept.Change
	highest uint64
	depth   int
	changed int
}

// submission tells apart what is submitted under one change ID.
type submission struct {
	id     string
	base   uint64
	digest digest.Digest
}

func submissionOf(c accept.Change) submission {
	return submission{id: c.ID, base: c.Base, digest: c.Config.HeadDigest()}
}

func newMachine() *machine {
	return &machine{table: newFakeTable(), answers: map[submission]accept.Outcome{}}
}

// submitNew submits a change that nobody has seen yet.
func (m *machine) submitNew(t *rapid.T) {
	m.submitText(t, fmt.Sprintf("c%d", m.changed+1))
}

// submitReused submits another text under a change ID that was used before.
func (m *machine) submitReused(t *rapid.T) {
	if len(m.changes) > 0 {
		m.submitText(t, rapid.SampledFrom(m.changes).Draw(t, "used").ID)
	}
}

func (m *machine) submitText(t *rapid.T, id string) {
	m.changed++
	base := m.table.head(t).Revision
	if base > 0 {
		base -= rapid.Uint64Range(0, min(base-1, 1)).Draw(t, "staleness")
	}
	team := "shops"
	if base == 0 {
		team = "admin"
	}
	c := accept.Change{ID: id, Base: base, Config: textWith(m.changed), Token: team}
	m.changes = append(m.changes, c)
	m.submit(t, c)
}

// submitAgain settles a change that was submitted earlier, from another entry.
func (m *machine) submitAgain(t *rapid.T) {
	if len(m.changes) > 0 {
		m.submit(t, rapid.SampledFrom(m.changes).Draw(t, "change"))
	}
}

// arrive lets the delayed transactions take effect.
func (m *machine) arrive(*rapid.T) { m.table.arrive() }

func (m *machine) submit(t *rapid.T, c accept.Change) {
	kinds := []fault{noFault, noFault, noFault, outage, lostRequest, lostAnswer, delayed}
	commits := rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 4).Draw(t, "commits")
	gets := rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, noFault, outage}), 0, 8).Draw(t, "gets")
	turns := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 8).Draw(t, "turns")
	missing := rapid.IntRange(0, 3).Draw(t, "missing") == 0
	outerMissing := m.table.missing
	m.table.missing = func() bool { return missing }
	reads := 0
	outer := m.table.beforeGet
	outerCommits, outerGets := m.table.commits, m.table.gets
	m.table.beforeGet = func() {
		if reads++; reads <= len(turns) {
			m.interfere(t, turns[reads-1])
		}
	}
	m.table.commits, m.table.gets = commits, gets
	m.depth++
	r := m.table.acceptor().Submit(context.Background(), c)
	m.depth--
	m.table.beforeGet, m.table.missing = outer, outerMissing
	m.table.commits, m.table.gets = outerCommits, outerGets
	m.told(t, c, r)
}

// interfere is what else may happen between two steps of a Submit.
func (m *machine) interfere(t *rapid.T, turn int) {
	const maxDepth = 2
	switch {
	case turn == 0:
		m.table.arrive()
	case turn == 1 && m.depth < maxDepth:
		m.submitNew(t)
	case turn == 3 && m.depth < maxDepth:
		m.submitReused(t)
	case turn == 2 && m.depth < maxDepth:
		m.submitAgain(t)
	}
}

// told checks an answer against what was told before of the same change. A
// conflict may later be a refusal, where the operator used the change ID again
// for another text; both say that the change never takes effect.
func (m *machine) told(t *rapid.T, c accept.Change, r accept.Result) {
	key := submissionOf(c)
	before, known := m.answers[key]
	if known && before != accept.Unknown && r.Outcome() != accept.Unknown {
		require.Equal(t, before == accept.Accepted, r.Outcome() == accept.Accepted, "change %s", c.ID)
	}
	if !known || before == accept.Unknown {
		m.answers[key] = r.Outcome()
	}
	if r.Outcome() == accept.Accepted {
		require.Equal(t, c.Base+1, r.Head().Revision)
	}
}

// check holds the promises after each step.
func (m *machine) check(t *rapid.T) {
	head := m.table.head(t)
	require.GreaterOrEqual(t, head.Revision, m.highest, "the revision went back")
	m.highest = head.Revision
	entries, err := m.table.acceptor().History(context.Background(), accept.MaxHistory)
	require.NoError(t, err)
	require.Len(t, entries, int(head.Revision), "every revision is recorded once")
	became := map[string]accept.Entry{}
	for i, e := range entries {
		require.Equal(t, head.Revision-uint64(i), e.Revision())
		require.NotContains(t, became, e.ChangeID(), "a change was accepted twice")
		became[e.ChangeID()] = e
	}
	for key, outcome := range m.answers {
		e, found := became[key.id]
		accepted := found && e.Digest() == key.digest && e.Revision() == key.base+1
		switch outcome {
		case accept.Accepted:
			require.True(t, accepted, "change %s was said to be accepted", key.id)
		case accept.Conflict, accept.Refused:
			require.False(t, accepted, "change %s was said not to take effect", key.id)
		}
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit new":    m.submitNew,
			"submit reused": m.submitReused,
			"submit again":  m.submitAgain,
			"arrive":        m.arrive,
			"":              m.check,
		})
		m.table.arrive()
		m.check(t)
		m.settleAll(t)
	})
}

// settleAll submits every change again over a table that works: each is
// decided, and as it was told before.
func (m *machine) settleAll(t *rapid.T) {
	for _, c := range m.changes {
		r := m.table.acceptor().Submit(context.Background(), c)
		require.NotEqual(t, accept.Unknown, r.Outcome(), "change %s: %s", c.ID, r.Reason())
		m.told(t, c, r)
		m.check(t)
	}
}
