package swarm_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

var start = time.Unix(0, 0)

// view is what a peer announces.
type view struct {
	name   string
	region string
	domain string
	chunks []int
	load   int
}

// observed returns a picker of an instance in riga-a that has seen the peers.
func observed(t *testing.T, chunks int, views ...view) (*swarm.Picker, *model.Manifest) {
	m, _ := weights(t, "1", chunks, 3)
	self := member.New("self", member.RoleAgent, "127.0.0.1:1", member.WithPlace("riga", "riga-a"))
	p := swarm.NewPicker(m, self, swarm.WithOriginRegion("liepaja"), swarm.WithMaxOriginCopies(1))
	var members []member.Member
	for _, v := range views {
		members = append(members, member.New(v.name, member.RoleAgent, "127.0.0.1:1", member.WithPlace(v.region, v.domain)))
	}
	p.SetMembers(start, members)
	for _, v := range views {
		held := swarm.NewBitmap(chunks)
		for _, i := range v.chunks {
			held.Set(i)
		}
		p.RecordChunkMap(start, v.name, held, v.load)
	}
	return p, m
}

func TestFirstFetch(t *testing.T) {
	tests := []struct {
		name  string
		views []view
		chunk int
		peer  string
	}{
		{"the rarest chunk", []view{
			{"near-1", "riga", "riga-a", []int{0, 1}, 0},
			{"near-2", "riga", "riga-a", []int{0}, 0},
			{"near-3", "riga", "riga-a", []int{0}, 0},
		}, 1, "near-1"},
		{"the own failure domain", []view{
			{"far", "riga", "riga-b", []int{0}, 0},
			{"near", "riga", "riga-a", []int{0}, 3},
		}, 0, "near"},
		{"another domain when the own one is busy", []view{
			{"far", "riga", "riga-b", []int{0}, 0},
			{"near", "riga", "riga-a", []int{0}, swarm.DefaultUploadSlots},
		}, 0, "far"},
		{"the fewest uploads", []view{
			{"loaded", "riga", "riga-a", []int{0}, 2},
			{"free", "riga", "riga-a", []int{0}, 1},
		}, 0, "free"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := observed(t, 3, tt.views...)
			inside := slices.DeleteFunc(p.Next(start), swarm.Fetch.Ingress)
			require.NotEmpty(t, inside)
			require.Equal(t, tt.chunk, inside[0].Chunk)
			require.Equal(t, tt.peer, inside[0].Source.Peer)
		})
	}
}

func TestOutcomes(t *testing.T) {
	only := view{"only", "riga", "riga-a", []int{0}, 0}
	tests := []struct {
		name    string
		outcome swarm.Outcome
		hint    time.Duration
		got     int64
		rest    time.Duration
		offset  int64
	}{
		{"corrupt rests the sender and keeps nothing", swarm.Corrupt, 0, 100, time.Second, 0},
		{"failed resumes after a rest", swarm.Failed, 0, 100, time.Second, 100},
		{"refused waits for the hint", swarm.Refused, 300 * time.Millisecond, 0, 300 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := observed(t, 1, only)
			first := p.Next(start)
			require.Len(t, first, 1)
			p.Progress(start, first[0].ID, tt.got)
			p.Done(start, first[0].ID, tt.outcome, tt.hint)
			require.Empty(t, p.Next(start.Add(tt.rest-time.Millisecond)))
			second := p.Next(start.Add(tt.rest))
			require.Len(t, second, 1)
			require.Equal(t, tt.offset, second[0].Offset)
		})
	}
}

func TestStalledFetchIsDropped(t *testing.T) {
	p, _ := observed(t, 1, view{"only", "riga", "riga-a", []int{0}, 0})
	f := p.Next(start)[0]
	p.Progress(start.Add(3*time.Second), f.ID, 10)
	require.Empty(t, p.ToCancel(start.Add(7*time.Second)))
	drops := p.ToCancel(start.Add(8 * time.Second))
	require.Equal(t, []swarm.Fetch{f}, drops)
}

func TestCrossingIsPaced(t *testing.T) {
	m, _ := weights(t, "1", 8, 3)
	self := member.New("self", member.RoleAgent, "127.0.0.1:1", member.WithPlace("liepaja", "liepaja-a"))
	p := swarm.NewPicker(m, self, swarm.WithOriginRegion("riga"), swarm.WithRegionLink(1000, 0.95))
	p.SetMembers(start, []member.Member{self})
	fetches := p.Next(start)
	require.Len(t, fetches, 1, "one fetch a link at a time")
	require.True(t, fetches[0].Source.Origin())
	require.Equal(t, "riga", fetches[0].Link)
	require.InDelta(t, 950, fetches[0].Rate, 1e-9)
}

func TestUploads(t *testing.T) {
	u := swarm.NewUploadLimiter(100, swarm.WithSlots(2))
	require.True(t, u.Admit(60, false).Admitted)
	require.True(t, u.Admit(60, false).Admitted)
	busy := u.Admit(60, false)
	require.False(t, busy.Admitted)
	require.Positive(t, busy.RetryAfter)
	require.Equal(t, 2, u.ActiveInRegion())
	require.True(t, u.Admit(60, true).Admitted, "slots of other regions are apart")
	u.Release(0, false)
	spent := u.Admit(60, false)
	require.False(t, spent.Admitted, "two copies are spent")
	require.Greater(t, spent.RetryAfter, busy.RetryAfter)
	u.Release(40, false)
	require.True(t, u.Admit(60, false).Admitted, "unsent bytes go back")
	require.EqualValues(t, 200, u.BytesAdmitted())
}

func TestBitmapFromHostileBytes(t *testing.T) {
	tests := []struct {
		name  string
		data  []byte
		count int
	}{
		{"empty", nil, 0},
		{"too short", []byte{0xff}, 8},
		{"bits beyond the end", []byte{0xff, 0xff}, 10},
		{"too long", []byte{0xff, 0xff, 0xff, 0xff}, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := swarm.BitmapFromBytes(10, tt.data)
			require.Equal(t, tt.count, b.Count())
			require.False(t, b.Has(10))
		})
	}
}
