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
	m, err := model.New("m", versionText(version), list, digest.Of([]byte("whole")))
	require.NoError(t, err)
	return m
}

func TestWaves(t *testing.T) {
	const bound = 8 * time.Second
	for _, test := range []struct {
		name         string
		named, limit time.Duration
		rank, n      int
		want         time.Duration
	}{
		{"first", 0, bound, 0, 11, 3360 * time.Millisecond},
		{"last", 0, bound, 10, 11, 7200 * time.Millisecond},
		{"alone", 0, bound, 0, 1, 3360 * time.Millisecond},
		{"the version before has its own limit", 2 * time.Second, bound, 10, 11, 7200 * time.Millisecond},
		{"that limit is over", 6 * time.Second, bound, 3, 11, 9360 * time.Millisecond},
	} {
		require.Equal(t, test.want, waveAt(bound, test.named, test.limit, test.rank, test.n), test.name)
	}
}

// Every agent computes the same order, and another one for each version.
func TestRanks(t *testing.T) {
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

// A manifest that is spoilt on the way must not be taken.
func TestManifestNeedsTwoReadings(t *testing.T) {
	good, spoilt, other := manifest(t, 2, "a", "b"), manifest(t, 2, "a", "x"), manifest(t, 2, "y", "b")
	for _, test := range []struct {
		name     string
		readings []*model.Manifest
		want     *model.Manifest
	}{
		{"good", []*model.Manifest{good, good}, good},
		{"first is spoilt", []*model.Manifest{spoilt, good, good}, good},
		{"one between is spoilt", []*model.Manifest{good, spoilt, good, good}, good},
		{"never the same", []*model.Manifest{good, spoilt, other, spoilt}, nil},
	} {
		n := 0
		r := New(agent(1), Callbacks{
			ListPeers: func(context.Context) ([]member.Member, error) { return nil, nil },
			OriginManifest: func(context.Context, string, int64) (*model.Manifest, error) {
				n++
				return test.readings[n-1], nil
			},
		})
		m, err := r.fetchManifest(t.Context(), want{model: "m", version: 2})
		if test.want == nil {
			require.ErrorIs(t, err, errManifests, test.name)
			continue
		}
		require.NoError(t, err, test.name)
		require.Equal(t, test.want.ID(), m.ID(), test.name)
	}
}

// The others take the manifest over from the first in rank.
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
	r.wanted = want{model: "m", version: 2}
	m, err := r.fetchManifest(t.Context(), r.wanted)
	require.NoError(t, err)
	require.Equal(t, good.ID(), m.ID())
	require.Equal(t, 3, asked)
}

// What a version before has verified at the same place is not fetched again; a chunk
// that rots in the staging area is.
func TestHoldings(t *testing.T) {
	before := holding{manifest: manifest(t, 1, "a", "b", "c"), staged: []bool{true, true, false}}
	next := holding{manifest: manifest(t, 2, "a", "x", "c"), staged: make([]bool, 3)}
	next.carry(before)
	require.Equal(t, []bool{true, false, false}, next.staged)
	staged := []string{"a", "rotten", "c"}
	r := New(agent(1), Callbacks{ReadStaged: func(_ context.Context, _ string, i int) ([]byte, error) { return []byte(staged[i]), nil }})
	r.held = holding{manifest: next.manifest, staged: []bool{true, true, true}}
	require.False(t, r.readBack(t.Context(), want{model: "m", version: 2}))
	require.Equal(t, []bool{true, false, true}, r.held.staged)
	staged[1] = "x"
	require.True(t, r.readBack(t.Context(), want{model: "m", version: 2}))
}

// Only a newer version is wanted; the date of a known one may improve. An agent that
// starts after the naming learns the version from the operators' row, without its age,
// and the age from an entry.
func TestWantOnlyGrows(t *testing.T) {
	r := New(agent(1), Callbacks{}, WithVersionBound(8*time.Second), WithClock(func() time.Duration { return time.Minute }))
	for _, test := range []struct {
		name    string
		version int64
		age     time.Duration
		exact   bool
		want    int64
		since   time.Duration
	}{
		{"first", 1, 0, false, 1, time.Minute},
		{"newer", 3, 2 * time.Second, false, 3, 58 * time.Second},
		{"older", 2, 0, false, 3, 58 * time.Second},
		{"longer ago than was thought", 3, 3 * time.Second, false, 3, 57 * time.Second},
		{"a guess that is no better", 3, time.Second, false, 3, 57 * time.Second},
		{"seen as it was named", 3, time.Second, true, 3, 59 * time.Second},
		{"a guess after that", 3, 5 * time.Second, false, 3, 59 * time.Second},
		{"of unknown age", 4, time.Hour, false, 4, 52 * time.Second},
	} {
		r.SetTarget(Target{Model: "m", Version: test.version, Age: test.age, Exact: test.exact})
		require.Equal(t, test.want, r.current().version, test.name)
		require.Equal(t, test.since, r.current().since, test.name)
	}
	require.Equal(t, time.Minute+7*time.Second, r.usableUntil(r.current(), 2), "until version 3 binds")
}

// A version that is named while an endpoint waits for its turn with the one before takes
// its place: the endpoint must not load the older one and fetch the newer one afterwards.
func TestVersionNamedDuringWave(t *testing.T) {
	peers := []member.Member{agent(1), agent(2), agent(3)}
	last := slices.MaxFunc(peers, func(a, b member.Member) int {
		return cmp.Compare(rankOf(a.Name(), 2), rankOf(b.Name(), 2))
	})
	for _, test := range []struct {
		name  string
		named time.Duration // after the wait began
	}{
		{"as the wait begins", 0},
		{"during the wait", 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			var r *Replica
			r = New(last, Callbacks{
				Status: func(context.Context, string) (Status, error) { return Status{Version: 1}, nil },
				ListPeers: func(context.Context) ([]member.Member, error) {
					time.AfterFunc(test.named, func() { r.SetTarget(Target{Model: "m", Version: 3, Exact: true}) })
					synctest.Wait()
					return peers, nil
				},
			}, WithVersionBound(8*time.Second), WithClock(func() time.Duration { return time.Minute + time.Since(begun) }))
			r.SetTarget(Target{Model: "m", Version: 1, Initial: true})
			r.SetTarget(Target{Model: "m", Version: 2, Exact: true})
			require.ErrorIs(t, r.awaitWave(t.Context(), r.current()), errSuperseded, test.name)
			require.Equal(t, test.named, time.Since(begun), test.name)
		})
	}
}

// The first in rank is asked every second time; the others take turns.
func TestManifestAskedOf(t *testing.T) {
	for _, test := range []struct {
		peers int
		want  []int
	}{
		{1, []int{0, 0, 0, 0}},
		{2, []int{0, 1, 0, 1, 0, 1}},
		{4, []int{0, 1, 0, 2, 0, 3, 0, 1}},
	} {
		var asked []int
		for try := range test.want {
			asked = append(asked, askedAt(try, test.peers))
		}
		require.Equal(t, test.want, asked)
	}
}

// A better date of the version that is wanted does not end the search for its manifest.
func TestManifestSearchOutlivesDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := manifest(t, 2, "a")
		self := agent(1)
		var peers []member.Member
		for i := 2; rankAmong(self.Name(), peers, 2) < 2; i++ {
			peers = append(peers, agent(i))
		}
		begun := time.Now()
		var r *Replica
		r = New(self, Callbacks{
			ListPeers: func(context.Context) ([]member.Member, error) { return peers, nil },
			PeerManifest: func(context.Context, member.Member, string, int64) (*model.Manifest, error) {
				if time.Since(begun) < 200*time.Millisecond {
					r.SetTarget(Target{Model: "m", Version: 2, Age: time.Second, Exact: true})
					return nil, eris.New("not yet")
				}
				return good, nil
			},
		}, WithVersionBound(8*time.Second), WithClock(func() time.Duration { return time.Minute + time.Since(begun) }))
		r.SetTarget(Target{Model: "m", Version: 2})
		m, err := r.fetchManifest(t.Context(), r.current())
		require.NoError(t, err)
		require.Equal(t, good.ID(), m.ID())
	})
}
