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

// peerView is a peer and what it announces.
type peerView struct {
	name          string
	region        string
	failureDomain string
	chunks        []int
	uploads       int
}

// newPickerWithPeers returns a picker for an instance in riga-a that has recorded the
// peers and their chunk maps.
func newPickerWithPeers(t *testing.T, chunks int, views ...peerView) (*swarm.Picker, *model.Manifest) {
	m, _ := randomModel(t, "1", chunks, 3)
	self := member.New("self", member.RoleAgent, "127.0.0.1:1", member.WithPlace("riga", "riga-a"))
	p := swarm.NewPicker(m, self, swarm.WithOriginRegion("liepaja"), swarm.WithMaxOriginCopies(1))
	var members []member.Member
	for _, v := range views {
		members = append(members, member.New(v.name, member.RoleAgent, "127.0.0.1:1", member.WithPlace(v.region, v.failureDomain)))
	}
	p.SetMembers(start, members)
	for _, v := range views {
		held := swarm.NewBitmap(chunks)
		for _, i := range v.chunks {
			held.Set(i)
		}
		p.RecordChunkMap(start, v.name, held, v.uploads)
	}
	return p, m
}

func TestFirstFetch(t *testing.T) {
	tests := []struct {
		name  string
		views []peerView
		chunk int
		peer  string
	}{
		{"rarest chunk", []peerView{
			{"near-1", "riga", "riga-a", []int{0, 1}, 0},
			{"near-2", "riga", "riga-a", []int{0}, 0},
			{"near-3", "riga", "riga-a", []int{0}, 0},
		}, 1, "near-1"},
		{"same failure domain", []peerView{
			{"far", "riga", "riga-b", []int{0}, 0},
			{"near", "riga", "riga-a", []int{0}, 3},
		}, 0, "near"},
		{"other failure domain when the same one is busy", []peerView{
			{"far", "riga", "riga-b", []int{0}, 0},
			{"near", "riga", "riga-a", []int{0}, swarm.DefaultUploadSlots},
		}, 0, "far"},
		{"fewest uploads", []peerView{
			{"loaded", "riga", "riga-a", []int{0}, 2},
			{"free", "riga", "riga-a", []int{0}, 1},
		}, 0, "free"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := newPickerWithPeers(t, 3, tt.views...)
			inside := slices.DeleteFunc(p.Next(start), swarm.Fetch.Ingress)
			require.NotEmpty(t, inside)
			require.Equal(t, tt.chunk, inside[0].Chunk)
			require.Equal(t, tt.peer, inside[0].Source.Peer)
		})
	}
}

func TestRetryAfterOutcome(t *testing.T) {
	only := peerView{"only", "riga", "riga-a", []int{0}, 0}
	tests := []struct {
		name    string
		outcome swarm.Outcome
		hint    time.Duration
		got     int64
		wait    time.Duration
		offset  int64
	}{
		{"corrupt delays the sender and discards the bytes", swarm.Corrupt, 0, 100, time.Second, 0},
		{"failed resumes after the backoff", swarm.Failed, 0, 100, time.Second, 100},
		{"refused retries after the given delay", swarm.Refused, 300 * time.Millisecond, 0, 300 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := newPickerWithPeers(t, 1, only)
			first := p.Next(start)
			require.Len(t, first, 1)
			p.Progress(start, first[0].ID, tt.got)
			p.Done(start, first[0].ID, tt.outcome, tt.hint)
			require.Empty(t, p.Next(start.Add(tt.wait-time.Millisecond)))
			second := p.Next(start.Add(tt.wait))
			require.Len(t, second, 1)
			require.Equal(t, tt.offset, second[0].Offset)
		})
	}
}

func TestStalledFetchIsCanceled(t *testing.T) {
	p, _ := newPickerWithPeers(t, 1, peerView{"only", "riga", "riga-a", []int{0}, 0})
	f := p.Next(start)[0]
	p.Progress(start.Add(3*time.Second), f.ID, 10)
	require.Empty(t, p.ToCancel(start.Add(7*time.Second)))
	canceled := p.ToCancel(start.Add(8 * time.Second))
	require.Equal(t, []swarm.Fetch{f}, canceled)
}

func TestIngressFetchIsRateLimited(t *testing.T) {
	m, _ := randomModel(t, "1", 8, 3)
	self := member.New("self", member.RoleAgent, "127.0.0.1:1", member.WithPlace("liepaja", "liepaja-a"))
	p := swarm.NewPicker(m, self, swarm.WithOriginRegion("riga"), swarm.WithRegionLink(1000, 0.95))
	p.SetMembers(start, []member.Member{self})
	fetches := p.Next(start)
	require.Len(t, fetches, 1, "one concurrent fetch per link")
	require.True(t, fetches[0].Source.Origin())
	require.Equal(t, "riga", fetches[0].Link)
	require.InDelta(t, 950, fetches[0].Rate, 1e-9)
}

func TestUploadLimiter(t *testing.T) {
	u := swarm.NewUploadLimiter(100, swarm.WithSlots(2))
	require.True(t, u.Admit(60, false).Admitted)
	require.True(t, u.Admit(60, false).Admitted)
	busy := u.Admit(60, false)
	require.False(t, busy.Admitted)
	require.Positive(t, busy.RetryAfter)
	require.Equal(t, 2, u.ActiveInRegion())
	require.True(t, u.Admit(60, true).Admitted, "peers in other regions have separate slots")
	u.Release(0, false)
	overBudget := u.Admit(60, false)
	require.False(t, overBudget.Admitted, "the budget of two copies is exhausted")
	require.Greater(t, overBudget.RetryAfter, busy.RetryAfter)
	u.Release(40, false)
	require.True(t, u.Admit(60, false).Admitted, "unsent bytes return to the budget")
	require.EqualValues(t, 200, u.BytesAdmitted())
}

func TestBitmapFromMalformedBytes(t *testing.T) {
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
