package spread_test

import (
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

var errNoReply = eris.New("no reply")

// newSnapshot returns a snapshot with one section per text.
func newSnapshot(t require.TestingT, revision uint64, texts ...string) *spread.Snapshot {
	var refs []spread.SectionRef
	var sections []spread.Section
	for _, text := range texts {
		s := spread.NewSection([]byte(text))
		sections = append(sections, s)
		refs = append(refs, spread.NewSectionRef("service-"+text[:1], s.Digest()))
	}
	s, err := spread.NewSnapshot(spread.NewHead(revision, "change", refs), sections)
	require.NoError(t, err)
	return s
}

func firstSection(s *spread.Snapshot) spread.Section {
	section, _ := s.Section(s.Head().Refs()[0].Digest())
	return section
}

func newPush(s *spread.Snapshot, sections ...spread.Section) spread.Push {
	return spread.Push{Head: s.Head(), Sections: sections, Depth: 3}
}

// newNode returns the node of the first of two members and the other member.
func newNode(options ...spread.Option) (node *spread.Node, peer member.Member) {
	list := members(1, 1, 2)
	view := membership.NewStaticView(list)
	options = append(options, spread.WithRandom(func() float64 { return 0.5 }))
	return spread.New(list[0], func() *membership.View { return view }, options...), list[1]
}

var start = time.Unix(1000, 0)

func TestPushAppliesOnlyNewerRevision(t *testing.T) {
	tests := []struct {
		name     string
		revision uint64
		text     string
		want     uint64
		diverges bool
	}{
		{"older revision", 4, "b1", 5, false},
		{"same revision and text", 5, "a1", 5, false},
		{"same revision, different text", 5, "b1", 5, true},
		{"next revision", 6, "b1", 6, false},
		{"several revisions ahead", 60, "b1", 60, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, peer := newNode(spread.WithSnapshot(newSnapshot(t, 5, "a1")))
			s := newSnapshot(t, tt.revision, tt.text)
			revision, a := n.PushReceived(start, peer.Name(), newPush(s, firstSection(s)))
			require.Equal(t, tt.want, revision)
			require.Equal(t, tt.want, n.InForce().Head().Revision())
			require.Equal(t, tt.diverges, a.Divergence != nil)
			require.Equal(t, tt.want > 5, a.Applied != nil)
		})
	}
}

func TestMissingSectionsFetchedFromSenderThenTable(t *testing.T) {
	n, peer := newNode(spread.WithSnapshot(newSnapshot(t, 5, "a1", "b1")))
	next := newSnapshot(t, 7, "a2", "b2")
	a2, _ := next.Section(digest.Of([]byte("a2")))
	b2, _ := next.Section(digest.Of([]byte("b2")))
	revision, a := n.PushReceived(start, peer.Name(), newPush(next, a2))
	require.EqualValues(t, 5, revision)
	for range 2 {
		require.Len(t, a.Fetches, 1)
		require.Equal(t, peer.Name(), a.Fetches[0].From.Name())
		require.Equal(t, []digest.Digest{b2.Digest()}, a.Fetches[0].Digests)
		a = n.FetchCompleted(start, a.Fetches[0], nil, errNoReply)
	}
	require.Len(t, a.Fetches, 1)
	require.Nil(t, a.Fetches[0].From, "the table is the last source")
	a = n.FetchCompleted(start, a.Fetches[0], []spread.Section{b2}, nil)
	require.NotNil(t, a.Applied)
	require.EqualValues(t, 7, n.InForce().Head().Revision())
}

func TestFailedPushGoesToNextDelegate(t *testing.T) {
	list := members(1, 2, 3)
	view := membership.NewStaticView(list)
	n := spread.New(list[0], func() *membership.View { return view })
	a := n.ChangeAccepted(start, newSnapshot(t, 1, "a1"))
	queue := a.Pushes
	delegated, direct := map[string]int{}, map[string]int{}
	for len(queue) > 0 {
		p := queue[0]
		queue = queue[1:]
		if p.To.FailureDomain() == list[0].FailureDomain() {
			continue
		}
		if p.Push.Depth == 2 {
			delegated[p.To.Name()]++
		} else {
			direct[p.To.Name()]++
		}
		queue = append(queue, n.PushCompleted(start, p.To.Name(), 1, 0, errNoReply).Pushes...)
	}
	require.Len(t, delegated, 3, "every member of the failure domain is tried as a delegate")
	require.Len(t, direct, 3)
	for name := range delegated {
		require.Equal(t, 1, delegated[name])
		require.Equal(t, 3, direct[name], "direct retries to an unresponsive delegate")
	}
}

func TestBurstPushesOnlyLastRevision(t *testing.T) {
	n, _ := newNode(spread.WithSnapshot(newSnapshot(t, 1, "a1", "b1", "c1")))
	require.Len(t, n.ChangeAccepted(start, newSnapshot(t, 2, "a2", "b1", "c1")).Pushes, 1)
	require.Empty(t, n.ChangeAccepted(start.Add(time.Millisecond), newSnapshot(t, 3, "a2", "b2", "c1")).Pushes)
	require.Empty(t, n.ChangeAccepted(start.Add(2*time.Millisecond), newSnapshot(t, 4, "a2", "b2", "c2")).Pushes)
	a := n.Tick(start.Add(spread.MinPushInterval))
	require.Len(t, a.Pushes, 1)
	require.EqualValues(t, 4, a.Pushes[0].Push.Head.Revision())
	require.Len(t, a.Pushes[0].Push.Sections, 2, "sections of both delayed changes")
}

func TestNewProcessAppliesHighestRevision(t *testing.T) {
	n, peer := newNode()
	require.False(t, n.Ready(start))
	a := n.Tick(start)
	require.True(t, a.Poll)
	require.Len(t, a.Compares, 1)
	n.PollCompleted(start, spread.Head{}, errNoReply)
	require.False(t, n.Ready(start), "not ready without a configuration")
	older, newer := newSnapshot(t, 5, "a1"), newSnapshot(t, 6, "a2")
	_, _ = n.PushReceived(start, peer.Name(), newPush(older, firstSection(older)))
	require.False(t, n.Ready(start), "a single push may carry an old revision")
	head := newer.Head()
	a = n.CompareCompleted(start, peer, spread.CompareReply{Revision: 6, Digest: head.Digest(), Head: &head}, nil)
	n.FetchCompleted(start, a.Fetches[0], []spread.Section{firstSection(newer)}, nil)
	require.EqualValues(t, 6, n.InForce().Head().Revision())
	require.True(t, n.Ready(start.Add(spread.JoinTimeout)))
}

func TestPausedProcessPollsAndComparesOnResume(t *testing.T) {
	n, _ := newNode(spread.WithSnapshot(newSnapshot(t, 1, "a1")))
	n.Tick(start)
	a := n.Tick(start.Add(30 * time.Second))
	require.True(t, a.Poll)
	require.NotEmpty(t, a.Compares)
}

func TestConfirmationSpreadsWithComparisons(t *testing.T) {
	n, peer := newNode(spread.WithSnapshot(newSnapshot(t, 1, "a1")))
	require.Equal(t, spread.Unconfirmed, n.Confirmation(start).Age)
	reply := spread.CompareReply{Revision: 1, Digest: n.InForce().Head().Digest(), ConfirmedAge: 2 * time.Second}
	n.CompareCompleted(start, peer, reply, nil)
	require.Equal(t, 5*time.Second, n.Confirmation(start.Add(3*time.Second)).Age)
	reply.ConfirmedAge = spread.Unconfirmed
	n.CompareCompleted(start, peer, reply, nil)
	require.Equal(t, 2*time.Second, n.Confirmation(start).Age)
	require.Equal(t, spread.Unconfirmed, n.Confirmation(start).OtherRegions)
}

func TestHeadDigestCheck(t *testing.T) {
	h := newSnapshot(t, 1, "a1").Head()
	require.NoError(t, h.VerifyDigest(h.Digest()))
	require.ErrorIs(t, h.VerifyDigest(digest.Of([]byte("x"))), spread.ErrDigestMismatch)
	_, err := spread.NewSnapshot(h, nil)
	require.ErrorIs(t, err, spread.ErrMissingSection)
}
