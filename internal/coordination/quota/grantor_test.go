package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func votes(n, entries int, until time.Duration) []Vote {
	var list []Vote
	for i := range n {
		list = append(list, Vote{Address: fmt.Sprint(i), Incarnation: 1, Until: until, Entries: entries})
	}
	return list
}

// A grantor may grant the fraction of a limit that its votes are of all entries, whose
// number is the largest that any voter knows.
func TestFraction(t *testing.T) {
	for _, test := range []struct {
		name    string
		votes   []Vote
		entries int
		at      time.Duration
		want    float64
	}{
		{"no vote", nil, 8, second, 0},
		{"a single entry", votes(1, 1, 2*second), 1, second, 1},
		{"all", votes(8, 8, 2*second), 8, second, 1},
		{"half", votes(4, 8, 2*second), 8, second, 0.5},
		{"leases have ended", votes(8, 8, second), 8, second, 0},
		{"a voter knows more entries", votes(2, 40, 2*second), 2, second, 0.05},
		{"more votes than entries known", votes(8, 2, 2*second), 2, second, 1},
		{"the same voter twice", append(votes(1, 8, 2*second), Vote{"0", 2, 3 * second, 8}), 8, second, 0.125},
		{"renewals out of order", append(votes(1, 8, 3*second), Vote{"0", 1, second, 8}), 8, 2 * second, 0.125},
	} {
		g := NewGrantor()
		for _, v := range test.votes {
			g.Vote(v)
		}
		fraction, _ := g.Fraction(test.at, test.entries)
		require.InDelta(t, test.want, fraction, 1e-9, test.name)
	}
}

func TestDistribute(t *testing.T) {
	a, b := Endpoint{Hash: 1, Started: 1000}, Endpoint{Hash: 2, Started: 1000}
	limits := []Observation{{Endpoint: a, Limit: NewLimit(2)}, {Endpoint: b, Limit: NewLimit(2)}}
	wants := func(address string, stamp uint64, total int, ttl time.Duration, count int) PermitRequest {
		return PermitRequest{Address: address, Incarnation: 1, Stamp: stamp, Total: total, TTL: ttl, Wanted: []Wanted{{a, count}, {b, count}}}
	}
	for _, test := range []struct {
		name     string
		requests []PermitRequest
		granted  []int // at 1 s, and at 2 s
	}{
		{"no request", nil, []int{0, 0}},
		{"one permit for either endpoint", []PermitRequest{wants("0", 1, 1, 0, 1)}, []int{1, 0}},
		{"as many as there are", []PermitRequest{wants("0", 1, 10, 0, 5)}, []int{2, 0}},
		{"more later while they are of use", []PermitRequest{wants("0", 1, 10, 5*second, 5)}, []int{2, 2}},
		{"two entries", []PermitRequest{wants("0", 1, 1, 0, 1), wants("1", 1, 1, 0, 1)}, []int{2, 0}},
		{"replaced by a later one", []PermitRequest{wants("0", 1, 5, 0, 5), wants("0", 2, 1, 0, 1)}, []int{1, 0}},
		{"not replaced by an earlier one", []PermitRequest{wants("0", 2, 1, 0, 1), wants("0", 1, 5, 0, 5)}, []int{1, 0}},
		{"withdrawn", []PermitRequest{wants("0", 1, 5, 0, 5), {Address: "0", Incarnation: 1, Stamp: 2}}, []int{0, 0}},
	} {
		g := NewGrantor()
		for _, v := range votes(4, 4, time.Hour) {
			g.Vote(v)
		}
		require.Empty(t, g.Distribute(0, limits, 4), "new buckets are empty")
		for _, r := range test.requests {
			g.Request(second, r)
		}
		for i, want := range test.granted {
			got := 0
			for _, grant := range g.Distribute(time.Duration(i+1)*second, limits, 4) {
				for _, p := range grant.Permits {
					got += p.Count
				}
			}
			require.Equal(t, want, got, "%s, distribution %d", test.name, i)
		}
	}
}

// An entry gives its vote to one grantor at a time.
func TestVote(t *testing.T) {
	from := func(address string, incarnation uint64) Announcement {
		return Announcement{Address: address, Incarnation: incarnation, Stamp: 1, Interval: second}
	}
	lease := VoteLease(second)
	start := VoteLease(minAnnounceInterval)
	for _, test := range []struct {
		name  string
		votes []Announcement // one a second, from the end of the start on
		given []bool
	}{
		{"renewed", []Announcement{from("a", 1), from("a", 1)}, []bool{true, true}},
		{"another grantor", []Announcement{from("a", 1), from("b", 1)}, []bool{true, false}},
		{"another process of the grantor", []Announcement{from("a", 1), from("a", 2)}, []bool{true, false}},
		{"another grantor after the lease", []Announcement{from("a", 1), from("b", 1), from("b", 1), from("b", 1), from("b", 1)}, []bool{true, false, false, false, true}},
	} {
		e := NewElection("self", 0)
		require.Zero(t, e.Vote(start-1, from("a", 1)), "the process before may have given its vote")
		for i, a := range test.votes {
			given := e.Vote(start+time.Duration(i)*second, a)
			require.Equal(t, test.given[i], given == lease, "%s, %d", test.name, i)
		}
	}
}

func TestElection(t *testing.T) {
	const now = 10 * second
	announcement := func(address string) Announcement {
		return Announcement{Address: address, Incarnation: 1, Stamp: 1, Interval: second}
	}
	live := func() []string { return []string{"c", "a"} }
	for _, test := range []struct {
		name     string
		prepare  func(e *Election)
		at       time.Duration
		want     string
		reportTo []string
	}{
		{"none announces itself", func(*Election) {}, now, "", []string{"a", "b"}},
		{"one does", func(e *Election) { e.RecordAnnouncement(now, announcement("c")) }, now, "c", nil},
		{"two do", func(e *Election) {
			e.RecordAnnouncement(now, announcement("c"))
			e.RecordAnnouncement(now, announcement("a"))
		}, now, "a", nil},
		{"one did", func(e *Election) { e.RecordAnnouncement(0, announcement("c")) }, now, "", []string{"a", "b"}},
		{"the first is silent", func(e *Election) { e.RecordReport(now-2*second, "a"); e.RecordReport(now-second, "a") }, now, "b", nil},
		{"the first was silent long ago", func(e *Election) { e.RecordReport(0, "a"); e.RecordReport(second, "a") }, now + 2*second, "", []string{"a", "b"}},
	} {
		e := NewElection("b", 0)
		test.prepare(e)
		grantor, candidates := e.Grantor(test.at, live)
		require.Equal(t, test.want, grantor, test.name)
		require.Equal(t, test.reportTo, candidates, test.name)
	}
	young := NewElection("a", now)
	grantor, _ := young.Grantor(now+startDelay/2, live)
	require.Empty(t, grantor, "a process that has just started does not know who else is there")
	grantor, _ = young.Grantor(now+startDelay, live)
	require.Equal(t, "a", grantor)
	grantor, _ = young.Grantor(now+startDelay, func() []string { return []string{"0"} })
	require.Equal(t, "a", grantor, "an entry that comes later does not replace the grantor")
}
