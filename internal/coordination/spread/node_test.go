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

var errNoAnswer = eris.New("no answer")

// snapshot returns a revision with one section a text.
func snapshot(t require.TestingT, revision uint64, texts ...string) *spread.Snapshot {
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

func first(s *spread.Snapshot) spread.Section {
	section, _ := s.Section(s.Head().Refs()[0].Digest())
	return section
}

func pushOf(s *spread.Snapshot, sections ...spread.Section) spread.Push {
	return spread.Push{Head: s.Head(), Sections: sections, Depth: 3}
}

// newNode returns the first of two members that know each other.
func newNode(options ...spread.Option) (node *spread.Node, peer member.Member) {
	list := members(1, 1, 2)
	view := membership.NewStaticView(list)
	options = append(options, spread.WithRandom(func() float64 { return 0.5 }))
	return spread.New(list[0], func() *membership.View { return view }, options...), list[1]
}

var start = time.Unix(1000, 0)

func TestOnlyAGreaterRevisionComesInForce(t *testing.T) {
	tests := []struct {
		name     string
		revision uint64
		text     string
		want     uint64
		diverges bool
	}{
		{"older is replayed", 4, "b1", 5, false},
		{"same again", 5, "a1", 5, false},
		{"same number, other text", 5, "b1", 5, true},
		{"next", 6, "b1", 6, false},
		{"several ahead", 60, "b1", 60, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, peer := newNode(spread.WithSnapshot(snapshot(t, 5, "a1")))
			s := snapshot(t, tt.revision, tt.text)
			revision, a := n.PushReceived(start, peer.Name(), pushOf(s, first(s)))
			require.Equal(t, tt.want, revision)
			require.Equal(t, tt.want, n.InForce().Head().Revision())
			require.Equal(t, tt.diverges, a.Divergence != nil)
			require.Equal(t, tt.want > 5, a.Applied != nil)
		})
	}
}

func TestMissingSectionsAreFetchedFromTheSenderThenTheTable(t *testing.T) {
	n, peer := newNode(spread.WithSnapshot(snapshot(t, 5, "a1", "b1")))
	next := snapshot(t, 7, "a2", "b2")
	a2, _ := next.Section(digest.Of([]byte("a2")))
	b2, _ := next.Section(digest.Of([]byte("b2")))
	revision, a := n.PushReceived(start, peer.Name(), pushOf(next, a2))
	require.EqualValues(t, 5, revision)
	for range 2 {
		require.Len(t, a.Fetches, 1)
		require.Equal(t, peer.Name(), a.Fetches[0].From.Name())
		require.Equal(t, []digest.Digest{b2.Digest()}, a.Fetches[0].Digests)
		a = n.FetchCompleted(start, a.Fetches[0], nil, errNoAnswer)
	}
	require.Len(t, a.Fetches, 1)
	require.Nil(t, a.Fetches[0].From, "the table is asked last")
	a = n.FetchCompleted(start, a.Fetches[0], []spread.Section{b2}, nil)
	require.NotNil(t, a.Applied)
	require.EqualValues(t, 7, n.InForce().Head().Revision())
}

func TestLostPushGoesToTheNextDelegate(t *testing.T) {
	list := members(1, 2, 3)
	view := membership.NewStaticView(list)
	n := spread.New(list[0], func() *membership.View { return view })
	a := n.ChangeAccepted(start, snapshot(t, 1, "a1"))
	queue := a.Pushes
	subtrees, alone := map[string]int{}, map[string]int{}
	for len(queue) > 0 {
		p := queue[0]
		queue = queue[1:]
		if p.To.FailureDomain() == list[0].FailureDomain() {
			continue
		}
		if p.Push.Depth == 2 {
			subtrees[p.To.Name()]++
		} else {
			alone[p.To.Name()]++
		}
		queue = append(queue, n.PushCompleted(start, p.To.Name(), 1, 0, errNoAnswer).Pushes...)
	}
	require.Len(t, subtrees, 3, "every member of the failure domain is tried as delegate")
	require.Len(t, alone, 3)
	for name := range subtrees {
		require.Equal(t, 1, subtrees[name])
		require.Equal(t, 3, alone[name], "a silent delegate is pushed to for itself")
	}
}

func TestBurstTravelsAsItsLast(t *testing.T) {
	n, _ := newNode(spread.WithSnapshot(snapshot(t, 1, "a1", "b1", "c1")))
	require.Len(t, n.ChangeAccepted(start, snapshot(t, 2, "a2", "b1", "c1")).Pushes, 1)
	require.Empty(t, n.ChangeAccepted(start.Add(time.Millisecond), snapshot(t, 3, "a2", "b2", "c1")).Pushes)
	require.Empty(t, n.ChangeAccepted(start.Add(2*time.Millisecond), snapshot(t, 4, "a2", "b2", "c2")).Pushes)
	a := n.Tick(start.Add(spread.MinPushInterval))
	require.Len(t, a.Pushes, 1)
	require.EqualValues(t, 4, a.Pushes[0].Push.Head.Revision())
	require.Len(t, a.Pushes[0].Push.Sections, 2, "sections of both changes")
}

func TestNewProcessTakesTheHighestItHears(t *testing.T) {
	n, peer := newNode()
	require.False(t, n.Ready(start))
	a := n.Tick(start)
	require.True(t, a.Poll)
	require.Len(t, a.Compares, 1)
	n.PollCompleted(start, spread.Head{}, errNoAnswer)
	require.False(t, n.Ready(start), "no configuration, no work")
	older, newer := snapshot(t, 5, "a1"), snapshot(t, 6, "a2")
	_, _ = n.PushReceived(start, peer.Name(), pushOf(older, first(older)))
	require.False(t, n.Ready(start), "one push alone may be an old one")
	head := newer.Head()
	a = n.CompareCompleted(start, peer, spread.CompareReply{Revision: 6, Digest: head.Digest(), Head: &head}, nil)
	n.FetchCompleted(start, a.Fetches[0], []spread.Section{first(newer)}, nil)
	require.EqualValues(t, 6, n.InForce().Head().Revision())
	require.True(t, n.Ready(start.Add(spread.JoinTimeout)))
}

func TestFrozenProcessAsksAtOnceWhatItMissed(t *testing.T) {
	n, _ := newNode(spread.WithSnapshot(snapshot(t, 1, "a1")))
	n.Tick(start)
	a := n.Tick(start.Add(30 * time.Second))
	require.True(t, a.Poll)
	require.NotEmpty(t, a.Compares)
}

func TestConfirmationTravelsWithComparisons(t *testing.T) {
	n, peer := newNode(spread.WithSnapshot(snapshot(t, 1, "a1")))
	require.Equal(t, spread.Unconfirmed, n.Confirmation(start).Age)
	same := spread.CompareReply{Revision: 1, Digest: n.InForce().Head().Digest(), ConfirmedAge: 2 * time.Second}
	n.CompareCompleted(start, peer, same, nil)
	require.Equal(t, 5*time.Second, n.Confirmation(start.Add(3*time.Second)).Age)
	same.ConfirmedAge = spread.Unconfirmed
	n.CompareCompleted(start, peer, same, nil)
	require.Equal(t, 2*time.Second, n.Confirmation(start).Age)
	require.Equal(t, spread.Unconfirmed, n.Confirmation(start).OtherRegions)
}

func TestHeadIsCheckedAgainstItsDigest(t *testing.T) {
	h := snapshot(t, 1, "a1").Head()
	require.NoError(t, h.VerifyDigest(h.Digest()))
	require.ErrorIs(t, h.VerifyDigest(digest.Of([]byte("x"))), spread.ErrDigestMismatch)
	_, err := spread.NewSnapshot(h, nil)
	require.ErrorIs(t, err, spread.ErrMissingSection)
}
