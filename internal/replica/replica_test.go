package replica

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

func agent(n int) member.Member {
	return member.New(fmt.Sprintf("10.0.0.%d:7700", n), member.RoleAgent, fmt.Sprintf("10.0.0.%d:7700", n), member.WithPlace("riga", "riga-a"))
}

func manifest(t *testing.T, version int64, chunks ...string) *model.Manifest {
	t.Helper()
	var list []model.Chunk
	for _, c := range chunks {
		list = append(list, model.NewChunk(digest.Of([]byte(c)), int64(len(c))))
	}
	m, err := model.New("m", formatVersion(version), list, digest.Of([]byte("whole")))
	require.NoError(t, err)
	return m
}

func TestWaveStart(t *testing.T) {
	const bound = 8 * time.Second
	for _, test := range []struct {
		name         string
		setAt, limit time.Duration
		rank, n      int
		pace         float64
		want         time.Duration
	}{
		{"first", 0, bound, 0, 11, 1, 3360 * time.Millisecond},
		{"last", 0, bound, 10, 11, 1, 7200 * time.Millisecond},
		{"single endpoint", 0, bound, 0, 1, 1, 3360 * time.Millisecond},
		{"limit of the previous version", 2 * time.Second, bound, 10, 11, 1, 7200 * time.Millisecond},
		{"limit of the previous version has passed", 6 * time.Second, bound, 3, 11, 1, 9360 * time.Millisecond},
		{"pace is not reported", 0, bound, 10, 11, 0, 7200 * time.Millisecond},
		{"faster than usual", 0, bound, 10, 11, 0.5, 7200 * time.Millisecond},
		{"slow and first", 0, bound, 0, 11, 5, 3360 * time.Millisecond},
		{"slow and last", 0, bound, 10, 11, 5, 4 * time.Second},
		{"so slow that no time is left", 0, bound, 10, 11, 20, 3360 * time.Millisecond},
	} {
		require.Equal(t, test.want, waveStart(bound, test.setAt, test.limit, test.rank, test.n, test.pace), test.name)
	}
}

// Every agent computes the same ranks, and different ones for each version.
func TestRankAmong(t *testing.T) {
	var all []member.Member
	for i := range 8 {
		all = append(all, agent(i))
	}
	seen := make(map[int]bool)
	for _, m := range all {
		seen[rankAmong(m.Name(), all, 3)] = true
	}
	require.Len(t, seen, len(all))
	first := rankedPeers(all, 3)[0].Name()
	require.Zero(t, rankAmong(first, all, 3))
}

// A manifest that was corrupted in transit must not be accepted.
func TestManifestNeedsTwoMatchingReads(t *testing.T) {
	good, corrupt, other := manifest(t, 2, "a", "b"), manifest(t, 2, "a", "x"), manifest(t, 2, "y", "b")
	for _, test := range []struct {
		name     string
		readings []*model.Manifest
		want     *model.Manifest
	}{
		{"good", []*model.Manifest{good, good}, good},
		{"first read is corrupt", []*model.Manifest{corrupt, good, good}, good},
		{"second read is corrupt", []*model.Manifest{good, corrupt, good, good}, good},
		{"no two consecutive reads match", []*model.Manifest{good, corrupt, other, corrupt}, nil},
	} {
		n := 0
		r := New(agent(1), Callbacks{
			ListPeers: func(context.Context) ([]member.Member, error) { return nil, nil },
			OriginManifest: func(context.Context, string, int64) (*model.Manifest, error) {
				n++
				return test.readings[n-1], nil
			},
		})
		m, err := r.fetchManifest(t.Context(), target{model: "m", version: 2})
		if test.want == nil {
			require.ErrorIs(t, err, errManifestMismatch, test.name)
			continue
		}
		require.NoError(t, err, test.name)
		require.Equal(t, test.want.ID(), m.ID(), test.name)
	}
}

// An agent that is not first in rank fetches the manifest from its peers.
func TestManifestFromPeers(t *testing.T) {
	good := manifest(t, 2, "a")
	self := agent(1)
	var peers []member.Member
	for i := 2; rankAmong(self.Name(), peers, 2) < 2; i++ {
		peers = append(peers, agent(i))
	}
	asked := 0
	r := New(self, Callbacks{
		ListPeers: func(context.Context) ([]member.Member, error) { return peers, nil },
		PeerManifest: func(context.Context, member.Member, string, int64) (*model.Manifest, error) {
			asked++
			if asked < 3 {
				return nil, eris.New("not yet")
			}
			return good, nil
		},
	})
	r.target = target{model: "m", version: 2}
	m, err := r.fetchManifest(t.Context(), r.target)
	require.NoError(t, err)
	require.Equal(t, good.ID(), m.ID())
	require.Equal(t, 3, asked)
}

// A chunk that the previous version has verified at the same index is not fetched again; a
// chunk that becomes corrupt in the staging area is.
func TestStagedChunksAreVerified(t *testing.T) {
	previous := stagingState{manifest: manifest(t, 1, "a", "b", "c"), staged: []bool{true, true, false}}
	next := stagingState{manifest: manifest(t, 2, "a", "x", "c"), staged: make([]bool, 3)}
	next.copyVerified(previous)
	require.Equal(t, []bool{true, false, false}, next.staged)
	staged := []string{"a", "corrupt", "c"}
	r := New(agent(1), Callbacks{ReadStaged: func(_ context.Context, _ string, i int, _ int64) ([]byte, error) { return []byte(staged[i]), nil }})
	r.staging = stagingState{manifest: next.manifest, staged: []bool{true, true, true}}
	require.False(t, r.verifyAll(t.Context(), target{model: "m", version: 2}))
	require.Equal(t, []bool{true, false, true}, r.staging.staged)
	staged[1] = "x"
	require.True(t, r.verifyAll(t.Context(), target{model: "m", version: 2}))
}

// Only a newer version becomes the target; the time of a recorded one may be corrected. An
// agent that starts after the change reads the version from the operators' row, without
// its age, and receives the age from an entry.
func TestTargetVersionOnlyIncreases(t *testing.T) {
	r := New(agent(1), Callbacks{}, WithVersionBound(8*time.Second), WithClock(func() time.Duration { return time.Minute }))
	for _, test := range []struct {
		name    string
		version int64
		age     time.Duration
		exact   bool
		want    int64
		setAt   time.Duration
	}{
		{"first", 1, 0, false, 1, time.Minute},
		{"newer", 3, 2 * time.Second, false, 3, 58 * time.Second},
		{"older", 2, 0, false, 3, 58 * time.Second},
		{"earlier than recorded", 3, 3 * time.Second, false, 3, 57 * time.Second},
		{"later estimate", 3, time.Second, false, 3, 57 * time.Second},
		{"exact time", 3, time.Second, true, 3, 59 * time.Second},
		{"estimate after the exact time", 3, 5 * time.Second, false, 3, 59 * time.Second},
		{"unknown age", 4, time.Hour, false, 4, 52 * time.Second},
	} {
		r.SetTarget(Target{Model: "m", Version: test.version, Age: test.age, Exact: test.exact})
		require.Equal(t, test.want, r.currentTarget().version, test.name)
		require.Equal(t, test.setAt, r.currentTarget().setAt, test.name)
	}
	require.Equal(t, time.Minute+7*time.Second, r.usableUntil(r.currentTarget(), 2), "usable until the bound of version 3")
}

// A version that is set while an endpoint waits for its wave with the previous one replaces
// it: the endpoint must not load the older one and fetch the newer one afterwards.
func TestTargetSetDuringWave(t *testing.T) {
	peers := []member.Member{agent(1), agent(2), agent(3)}
	last := slices.MaxFunc(peers, func(a, b member.Member) int {
		return cmp.Compare(rankKey(a.Name(), 2), rankKey(b.Name(), 2))
	})
	for _, test := range []struct {
		name  string
		setAt time.Duration // after the wait began
	}{
		{"at the start of the wait", 0},
		{"during the wait", 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			var r *Replica
			r = New(last, Callbacks{
				Status: func(context.Context, string) (Status, error) { return Status{Version: 1}, nil },
				ListPeers: func(context.Context) ([]member.Member, error) {
					time.AfterFunc(test.setAt, func() { r.SetTarget(Target{Model: "m", Version: 3, Exact: true}) })
					synctest.Wait()
					return peers, nil
				},
			}, WithVersionBound(8*time.Second), WithClock(func() time.Duration { return time.Minute + time.Since(started) }))
			r.SetTarget(Target{Model: "m", Version: 1, Initial: true})
			r.SetTarget(Target{Model: "m", Version: 2, Exact: true})
			require.ErrorIs(t, r.awaitWave(t.Context(), r.currentTarget()), errSuperseded, test.name)
			require.Equal(t, test.setAt, time.Since(started), test.name)
		})
	}
}

// Every second attempt calls the first in rank; the attempts between call the others in
// turn.
func TestPeerIndex(t *testing.T) {
	for _, test := range []struct {
		peers int
		want  []int
	}{
		{1, []int{0, 0, 0, 0}},
		{2, []int{0, 1, 0, 1, 0, 1}},
		{4, []int{0, 1, 0, 2, 0, 3, 0, 1}},
	} {
		var ranks []int
		for attempt := range test.want {
			ranks = append(ranks, peerIndex(attempt, test.peers))
		}
		require.Equal(t, test.want, ranks)
	}
}

// A corrected time of the target version does not end the search for its manifest.
func TestManifestSearchContinuesAfterSetAtChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := manifest(t, 2, "a")
		self := agent(1)
		var peers []member.Member
		for i := 2; rankAmong(self.Name(), peers, 2) < 2; i++ {
			peers = append(peers, agent(i))
		}
		started := time.Now()
		var r *Replica
		r = New(self, Callbacks{
			ListPeers: func(context.Context) ([]member.Member, error) { return peers, nil },
			PeerManifest: func(context.Context, member.Member, string, int64) (*model.Manifest, error) {
				if time.Since(started) < 200*time.Millisecond {
					r.SetTarget(Target{Model: "m", Version: 2, Age: time.Second, Exact: true})
					return nil, eris.New("not yet")
				}
				return good, nil
			},
		}, WithVersionBound(8*time.Second), WithClock(func() time.Duration { return time.Minute + time.Since(started) }))
		r.SetTarget(Target{Model: "m", Version: 2})
		m, err := r.fetchManifest(t.Context(), r.currentTarget())
		require.NoError(t, err)
		require.Equal(t, good.ID(), m.ID())
	})
}

// An index that the manifest does not have is ignored in the list of staged chunks.
func TestStagedChunksWithInvalidIndex(t *testing.T) {
	r := New(agent(1), Callbacks{
		ListStaged: func(context.Context, string) ([]int, error) { return []int{-1, 0, 7}, nil },
		ReadStaged: func(context.Context, string, int, int64) ([]byte, error) { return []byte("a"), nil },
	})
	s := stagingState{manifest: manifest(t, 2, "a", "b"), staged: make([]bool, 2)}
	require.NoError(t, r.verifyStaged(t.Context(), target{model: "m", version: 2}, s))
	require.Equal(t, []bool{true, false}, s.staged)
}
