package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// clock is a clock that tests set.
type clock struct{ at time.Duration }

func (c *clock) now() time.Duration { return c.at }

func newGateway(c *clock, options ...Option) *Gateway {
	self := Identity{Name: "entry-1", Region: "riga", FailureDomain: "riga-a", PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2", Incarnation: 7}
	return New(self, Codec{}, append([]Option{WithClock(c.now)}, options...)...)
}

// A version that nobody saw named binds at once in a process that has just started,
// and from the store's return where that was away. An exact time, of another entry or
// of the store, goes before both.
func TestWeightsBook(t *testing.T) {
	b := newWeightsBook()
	b.bound = 8 * time.Second
	require.Zero(t, b.required("m", 0))
	require.True(t, b.name("m", 3, 0, false), "a process that has just started")
	require.Equal(t, int64(3), b.required("m", 20*time.Second))
	require.False(t, b.name("m", 3, 15*time.Second, true), "another entry knows when it was named")
	require.Zero(t, b.required("m", 20*time.Second))
	require.False(t, b.name("m", 2, 13*time.Second, true), "the row of an older version")
	require.Equal(t, int64(2), b.required("m", 21*time.Second))
	require.Equal(t, int64(3), b.required("m", 23*time.Second))
	require.Equal(t, int64(3), b.newest(23 * time.Second)[0].GetVersion())
	b.name("m", 4, 40*time.Second, false)
	b.name("m", 4, 30*time.Second, true)
	require.Equal(t, int64(4), b.required("m", 38*time.Second), "an entry that was cut off is told by one that was not")
	b.name("m", 4, 39*time.Second, false)
	require.Equal(t, int64(4), b.required("m", 38*time.Second))
}

// A version counts from the last moment at which the store is known not to have had
// it, however late this entry sees it. What is named while the store is away from all
// counts from its return.
func TestDateOfNaming(t *testing.T) {
	const bound = 8 * time.Second
	for _, test := range []struct {
		name     string
		age      time.Duration // of the own confirmation
		peer     time.Duration // age of a peer's confirmation without the version
		required time.Duration // after the version was seen, at the latest
	}{
		{"seen at once", 100 * time.Millisecond, 0, bound - 100*time.Millisecond - versionMargin},
		{"seen late, by an entry that was frozen", 2 * time.Second, 0, bound - 2*time.Second - versionMargin},
		{"an entry that takes over from one that was frozen", 20 * time.Second, 2 * time.Second, bound - 2*time.Second - versionMargin},
		{"store was away", 20 * time.Second, 0, bound - versionMargin},
		{"store was away from all", 20 * time.Second, 19 * time.Second, bound - versionMargin},
	} {
		c := &clock{at: 100 * time.Second}
		confirmed := c.at - test.age
		var recorded []TargetVersion
		record := func(v TargetVersion) { recorded = append(recorded, v) }
		g := newGateway(c, WithConfirmation(func() time.Duration { return confirmed }, 0), WithVersionBound(bound, record))
		g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
		if test.peer > 0 {
			g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{
				Address: "10.0.0.2:1", Echo: uint64(c.at), EchoIncarnation: 7, ConfigurationVersion: 1,
				ConfirmedAgeUs: age(test.peer), Weights: []*nodev1.NamedWeights{{Model: "m", Version: 1}},
			})
		}
		g.ApplyConfiguration(nil, map[string]int64{"m": 2})
		date := c.at + test.required + versionMargin - bound
		exact := !strings.HasPrefix(test.name, "store was away")
		require.Equal(t, []TargetVersion{{Model: "m", Version: 2, SetAt: date, Exact: exact}}, recorded, test.name)
		require.Less(t, g.weights.required("m", c.at+test.required-time.Millisecond), int64(2), test.name)
		require.Equal(t, int64(2), g.weights.required("m", c.at+test.required), test.name)
	}
}

// One entry sees a version at once and tells another, which was held up and sees it
// later: the date of the first holds at both.
func TestLateSightDoesNotMoveTheDate(t *testing.T) {
	c := &clock{at: 100 * time.Second}
	confirmed := c.at - 2*time.Second
	var lines bytes.Buffer
	g := newGateway(c, WithConfirmation(func() time.Duration { return confirmed }, 0), WithVersionBound(8*time.Second, func(TargetVersion) {}),
		WithLogger(slog.New(slog.NewJSONHandler(&lines, nil))))
	g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
	seen := &nodev1.NamedWeights{Model: "m", Version: 2, AgeUs: uint64(1500 * time.Millisecond / time.Microsecond), Exact: true}
	g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{
		Address: "10.0.0.2:1", Echo: uint64(c.at), EchoIncarnation: 7,
		ConfirmedAgeUs: age(100 * time.Millisecond), Weights: []*nodev1.NamedWeights{seen},
	})
	require.Contains(t, lines.String(), `"msg":"weightsNamed"`, "what another entry tells is a belief of this one")
	require.Contains(t, lines.String(), `"version":2,"age":1500000000,"exact":true,"from":"10.0.0.2:1"`)
	g.ApplyConfiguration(nil, map[string]int64{"m": 2})
	require.Equal(t, int64(2), g.weights.required("m", c.at+6500*time.Millisecond-versionMargin))
	require.Equal(t, 1, strings.Count(lines.String(), `"msg":"weightsNamed"`))
}

// The operators' rows are taken in whole with each change of any of them. What was
// seen before keeps its date, also in a process that started after the naming.
func TestLaterChangesDoNotMoveTheDate(t *testing.T) {
	for _, test := range []struct {
		name     string
		first    map[string]int64 // with the first configuration
		second   map[string]int64
		required time.Duration // after the first configuration
	}{
		{"seen as it was named", map[string]int64{"m": 1}, map[string]int64{"m": 2}, time.Second + 8*time.Second - versionMargin - 100*time.Millisecond},
		{"named before the start", map[string]int64{"m": 2}, map[string]int64{"m": 2}, 0},
	} {
		c := &clock{at: 100 * time.Second}
		confirmed := time.Duration(0)
		g := newGateway(c, WithConfirmation(func() time.Duration { return confirmed }, 0), WithVersionBound(8*time.Second, func(TargetVersion) {}))
		g.ApplyConfiguration(fleet.NewConfiguration(1), test.first)
		start := c.at
		c.at += time.Second
		confirmed = c.at - 100*time.Millisecond
		g.ApplyConfiguration(fleet.NewConfiguration(2), test.second)
		c.at += 4 * time.Second
		confirmed = c.at - 100*time.Millisecond
		g.ApplyConfiguration(fleet.NewConfiguration(3), test.second)
		require.Equal(t, int64(2), g.weights.required("m", start+test.required), test.name)
	}
}

func TestNotices(t *testing.T) {
	listed := fleet.NewEndpoint("i", "s", "10.0.0.9:1", fleet.WithStarted(5), fleet.WithWeights(fleet.NewWeights("m", 1, true)))
	restarted := fleet.NewEndpoint("i", "s", "10.0.0.9:1", fleet.WithStarted(6), fleet.WithWeights(fleet.NewWeights("m", 1, true)))
	for _, test := range []struct {
		name     string
		notices  []notice
		endpoint *fleet.Endpoint
		now      time.Duration
		version  int64
		holding  bool
	}{
		{"none", nil, listed, 0, 1, false},
		{"begins to load", []notice{{version: 2, holding: true}}, listed, 0, 1, true},
		{"has loaded", []notice{{version: 2, holding: true}, {version: 2}}, listed, 0, 2, false},
		{"out of order", []notice{{version: 2}, {version: 2, holding: true}}, listed, 0, 2, false},
		{"agent died while loading", []notice{{version: 2, holding: true}}, listed, holdingTimeout + time.Second, 1, false},
		{"endpoint restarted", []notice{{version: 2}}, restarted, 0, 1, false},
	} {
		l := newNoticeList()
		for _, n := range test.notices {
			n.model, n.started, n.until = "m", 5, holdingTimeout
			l.put("10.0.0.9:1", n)
		}
		version, holding := l.version(test.endpoint, "m", test.now)
		require.Equal(t, test.version, version, test.name)
		require.Equal(t, test.holding, holding, test.name)
	}
}

func TestSuspects(t *testing.T) {
	l := newSuspects()
	mark := fingerprint("shop", "POST", "/draft/", []byte("x"))
	require.NotEqual(t, mark, fingerprint("shop", "POST", "/draft/x", nil))
	l.crashed(mark, 0)
	l.told("entry-2", mark, 2, 0)
	l.told("entry-2", mark, 2, 0)
	require.Equal(t, uint32(3), l.crashes(mark))
	l.finished(mark)
	require.Zero(t, l.crashes(mark))
	l.crashed(mark, 0)
	l.forget(suspectKept + time.Second)
	require.Zero(t, l.crashes(mark))
}

// Entries that are ready are named, those of the caller's domain alone where there
// are enough, and the list is never empty.
func TestAddresses(t *testing.T) {
	c := &clock{at: 10 * time.Second}
	g := newGateway(c)
	list, _ := g.Addresses("riga-a")
	require.Equal(t, []string{"10.0.0.1:2"}, list, "an entry that knows nobody")
	hear := func(address, domain string, ready bool) {
		g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: address + ":1", CallerAddress: address + ":2", FailureDomain: domain, Ready: ready})
	}
	hear("10.0.0.2", "riga-a", true)
	hear("10.0.0.3", "riga-a", false)
	hear("10.1.0.2", "liepaja-a", true)
	g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
	g.ApplyEndpoints(nil)
	list, ttl := g.Addresses("riga-a")
	require.ElementsMatch(t, []string{"10.0.0.1:2", "10.0.0.2:2"}, list)
	require.Equal(t, addressTTL, ttl)
	list, _ = g.Addresses("liepaja-a")
	require.Len(t, list, 3, "one entry is too few to be the only one")
	g.Drain()
	list, _ = g.Addresses("riga-a")
	require.NotContains(t, list, "10.0.0.1:2")
	c.at += 5 * time.Second
	list, _ = g.Addresses("riga-a")
	require.Equal(t, []string{"10.0.0.1:2"}, list, "all others are silent")
}

// The room of endpoints is shared by the entries that callers are sent to, and those
// that still carry requests, not by all that are ready.
func TestSharersAreThoseWithRequests(t *testing.T) {
	region := func(domain string) string { return strings.TrimSuffix(domain, "-a") }
	g := newGateway(&clock{at: 10 * time.Second}, WithAgents(func(string) string { return "" }, region))
	g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
	g.ApplyEndpoints(nil)
	for domain, entries := range map[string]int{"riga-a": 9, "liepaja-a": 10} {
		for i := range entries {
			m := &nodev1.EntrySummary{Address: fmt.Sprintf("%s-%d:1", domain, i), Region: region(domain), FailureDomain: domain, Ready: true}
			if i == entries-1 {
				m.Active = 20
			}
			g.ReceiveSummary(t.Context(), m)
		}
	}
	list, _ := g.Addresses("liepaja-a")
	require.Len(t, list, 3)
	require.Equal(t, placement.EntryCounts{SameRegion: 4, OtherRegions: 4}, g.sharers(g.takersByDomain(10*time.Second)))
}

// One entry of a region follows the store, the others when it is silent.
func TestWatching(t *testing.T) {
	c := &clock{at: 10 * time.Second}
	var confirmed time.Duration
	g := newGateway(c, WithConfirmation(func() time.Duration { return confirmed }, 0))
	require.False(t, g.Watching(), "the others of the region are not heard yet")
	c.at += hearTime + g.StartDelay()
	require.True(t, g.Watching(), "there are none")
	g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
	require.True(t, g.Watching(), "the configuration is not confirmed")
	confirmed = c.at
	for _, address := range []string{"10.0.0.0:1", "10.0.0.0:0"} {
		g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: address, Region: "riga"})
	}
	require.False(t, g.Watching(), "two others of the region come first")
	c.at += staleAge + staleSteps + time.Millisecond
	require.True(t, g.Watching(), "the confirmation is old")
}

// While the store is away the first two of a region go on asking as before, the others
// less often.
func TestStorePatience(t *testing.T) {
	for _, test := range []struct {
		before   int // entries of the region that come first
		patience time.Duration
	}{
		{0, 0},
		{1, 0},
		{2, 2 * patienceStep},
		{10, 10 * patienceStep},
		{60, longestPatience},
	} {
		c := &clock{at: 10 * time.Second}
		g := newGateway(c)
		for i := range test.before {
			g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: fmt.Sprintf("10.0.0.0:%02d", i), Region: "riga"})
		}
		require.Equal(t, test.patience, g.StoreRetryDelay(), test.before)
	}
}

// Entries that start together and do not know each other read one after the other: their
// own turns are spread over the time.
func TestStartTurns(t *testing.T) {
	const entries, parts = 150, 10
	var counts [parts]int
	for i := range entries {
		g := New(Identity{PeerAddress: fmt.Sprintf("10.%d.0.%d:7700", i%5, 20+i/5)}, Codec{})
		require.Less(t, g.StartDelay(), startSpread)
		counts[g.StartDelay()*parts/startSpread]++
	}
	for _, n := range counts {
		require.InDelta(t, entries/parts, n, entries/parts*0.8, counts)
	}
}

// Entries that start together read the operators' rows one after the other, too.
func TestOperatorRowsInTurn(t *testing.T) {
	c := &clock{at: 10 * time.Second}
	g := newGateway(c)
	c.at += hearTime
	for _, address := range []string{"10.0.0.0:1", "10.0.0.0:2"} {
		g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: address, Region: "riga"})
	}
	require.False(t, g.Watching(), "it is the turn of another one")
	c.at += max(2*listStep, g.StartDelay())
	require.True(t, g.Watching(), "the others failed")
}

// Entries that start together read the list of endpoints one after the other, and one
// that has it follows the store by its rank alone.
func TestWatchingEndpoints(t *testing.T) {
	c := &clock{at: 10 * time.Second}
	g := newGateway(c, WithConfirmation(func() time.Duration { return c.at }, 0))
	g.started = c.at
	require.False(t, g.WatchingEndpoints(), "the others of the region are not heard yet")
	c.at += hearTime + g.StartDelay()
	require.True(t, g.WatchingEndpoints(), "there are none")
	for _, address := range []string{"10.0.0.0:1", "10.0.0.0:2"} {
		g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: address, Region: "riga"})
	}
	g.started = c.at - hearTime
	require.False(t, g.WatchingEndpoints(), "it is the turn of another one")
	c.at += max(2*listStep, g.StartDelay())
	require.True(t, g.WatchingEndpoints(), "the others failed")
	g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
	g.ApplyEndpoints(nil)
	g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: "10.0.0.0:1", Region: "riga"})
	g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: "10.0.0.0:2", Region: "riga"})
	require.False(t, g.WatchingEndpoints(), "it has the list and is not the first")
}

// Rows that only another region has are fetched by the first of the own region, and by
// the others one after the other if it can't.
func TestRowsOfAnotherRegion(t *testing.T) {
	const table = nodev1.Table_TABLE_ENDPOINTS
	for _, test := range []struct {
		name     string
		patience time.Duration
		at       []time.Duration // of summaries that show newer rows
		fetches  []bool
	}{
		{"near", 0, []time.Duration{0}, []bool{true}},
		{"far, the first", farPatience, []time.Duration{0, farPatience}, []bool{false, true}},
		{"far, the third", farPatience + 2*listStep, []time.Duration{0, farPatience, farPatience + 2*listStep}, []bool{false, false, true}},
	} {
		p := newPeers("self", "riga", 1)
		for i, after := range test.at {
			require.Equal(t, test.fetches[i], p.begin(table, test.patience, time.Minute+after), "%s, %s", test.name, after)
		}
	}
}

// An entry that knows the configuration and not yet the endpoints would refuse every
// request.
func TestReady(t *testing.T) {
	g := newGateway(&clock{})
	require.False(t, g.Ready())
	g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
	require.False(t, g.Ready(), "the endpoints are not listed yet")
	g.ApplyEndpoints(nil)
	require.True(t, g.Ready(), "an empty list is known")
	g.Drain()
	require.False(t, g.Ready())
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	g := newGateway(&clock{})
	for _, test := range []struct{ version, want int64 }{{5, 5}, {4, 5}, {5, 5}, {9, 9}} {
		g.ApplyConfiguration(fleet.NewConfiguration(test.version), nil)
		require.Equal(t, test.want, g.Configuration().Version())
	}
	g.ApplyConfiguration(nil, nil)
	require.Equal(t, int64(9), g.Configuration().Version(), "a row that can't be read")
}

func TestEventReader(t *testing.T) {
	for _, test := range []struct {
		name   string
		after  int64
		chunks []string
		want   string
		last   string
		rest   bool
	}{
		{"whole", 0, []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", false},
		{"cut in the middle", 0, []string{"id: 1\nda", "ta: a\n", "\nid: 2\nda"}, "id: 1\ndata: a\n\n", "1", true},
		{"events that the caller has", 2, []string{"id: 2\ndata: b\n\nid: 3\ndata: c\n\n"}, "id: 3\ndata: c\n\n", "3", false},
		{"carriage returns", 0, []string{"id: 1\r\ndata: a\r\n\r\n"}, "id: 1\r\ndata: a\r\n\r\n", "1", false},
		{"without ids", 0, []string{"data: a\n\ndata: b\n\n"}, "data: a\n\ndata: b\n\n", "", false},
	} {
		var r eventReader
		var got strings.Builder
		last, number := "", test.after
		for _, chunk := range test.chunks {
			b := r.take([]byte(chunk), number)
			got.Write(b.bytes)
			if b.count > 0 {
				last, number = b.lastEvent, b.lastNumber
			}
		}
		require.Equal(t, test.want, got.String(), test.name)
		require.Equal(t, test.last, last, test.name)
		require.Equal(t, test.rest, r.partial(), test.name)
	}
}
