package entries

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/standin"
)

func TestDatagrams(t *testing.T) {
	a, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	b, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan *nodev1.Datagram, 1)
	ended := make(chan error, 1)
	go func() { ended <- b.Receive(ctx, func(m *nodev1.Datagram) { got <- m }, func(error) {}) }()
	to := b.udp.LocalAddr().String()
	_, err = a.udp.WriteTo([]byte{0xff, 0xff, 0xff}, b.udp.LocalAddr())
	require.NoError(t, err, "what does not decode is dropped")
	m := &nodev1.Datagram{Content: &nodev1.Datagram_Summary{Summary: &nodev1.EntrySummary{Address: "x"}}}
	require.NoError(t, a.Send(to, m))
	require.Equal(t, "x", (<-got).GetSummary().GetAddress())
	m.GetSummary().Address = strings.Repeat("x", maxDatagram)
	require.ErrorIs(t, a.Send(to, m), ErrTooLarge)
	require.Error(t, a.Send("nowhere", m))
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// A reading that fails does not end the process that waits for datagrams; a socket that
// keeps failing does.
func TestFailedReadings(t *testing.T) {
	a, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	b, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	failures := make(chan error, 2*maxFailures)
	got := make(chan *nodev1.Datagram, 1)
	ended := make(chan error, 1)
	fail := func() { require.NoError(t, b.udp.SetReadDeadline(time.Unix(1, 0))) }
	fail()
	go func() {
		ended <- b.Receive(t.Context(), func(m *nodev1.Datagram) { got <- m }, func(err error) { failures <- err })
	}()
	require.Error(t, <-failures)
	require.NoError(t, b.udp.SetReadDeadline(time.Time{}))
	m := &nodev1.Datagram{Content: &nodev1.Datagram_Summary{Summary: &nodev1.EntrySummary{Address: "x"}}}
	require.NoError(t, a.Send(b.udp.LocalAddr().String(), m))
	require.Equal(t, "x", (<-got).GetSummary().GetAddress())
	fail()
	require.Error(t, <-ended)
}

func tableOf(t *testing.T, rows ...watch.Row) *watch.Table {
	t.Helper()
	w := watch.New(watch.Source{}, watch.WithClock(func() time.Duration { return time.Minute }))
	if len(rows) > 0 {
		require.NoError(t, w.Table().Merge(watch.Update{Full: true, Position: watch.Position{Version: 9}, Rows: rows, StoreTime: time.Second}, 50*time.Second))
	}
	return w.Table()
}

func TestSync(t *testing.T) {
	for _, test := range []struct {
		name   string
		source *watch.Table
		fails  bool
	}{
		{"rows", tableOf(t, watch.Row{Key: "a", Value: []byte("1"), Version: 4}), false},
		{"no copy yet", tableOf(t), true},
		{"another table", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			mux := http.NewServeMux()
			near := func(region string) []string { return []string{"entry-of-" + region} }
			mux.Handle(NewHandler(func(nodev1.Table) *watch.Table { return test.source }, near))
			server := httptest.NewServer(mux)
			defer server.Close()
			own := tableOf(t)
			now := func() time.Duration { return time.Minute }
			var learned []string
			client := NewClient(WithRegion("riga", func(list []string) { learned = list }))
			list, err := client.Entries(t.Context(), server.Listener.Addr().String())
			require.NoError(t, err, "told without a copy too")
			require.Equal(t, []string{"entry-of-riga"}, list)
			require.Equal(t, list, learned)
			learned = nil
			err = client.Sync(t.Context(), server.Listener.Addr().String(), nodev1.Table_TABLE_OPERATOR, own, now)
			if test.fails {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, []string{"entry-of-riga"}, learned)
			require.Equal(t, test.source.State(), own.State())
			require.LessOrEqual(t, own.Confirmed(), test.source.Confirmed(), "a copy of a copy is not younger")
			require.InDelta(t, float64(50*time.Second), float64(own.Confirmed()), float64(time.Millisecond))
		})
	}
}

// An entry that sends rows without end costs some bytes, not the memory.
func TestRowsWithoutEnd(t *testing.T) {
	const mostSent = 64 << 20
	endless := standin.NewEndless(standin.EndlessBody, "application/proto")
	server := httptest.NewServer(endless)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := NewClient().FetchRows(ctx, strings.TrimPrefix(server.URL, "http://"), nodev1.Table_TABLE_ENDPOINTS, watch.Position{})
	require.Error(t, err)
	require.NoError(t, ctx.Err())
	require.Less(t, endless.Sent(), int64(mostSent))
}

// answers is an entry that sends one answer to every question for rows.
type answers struct {
	nodev1connect.UnimplementedEntryServiceHandler
	answer *nodev1.FetchRowsResponse
}

func (a answers) FetchRows(context.Context, *connect.Request[nodev1.FetchRowsRequest]) (*connect.Response[nodev1.FetchRowsResponse], error) {
	return connect.NewResponse(a.answer), nil
}

// An answer that is out of bounds is not merged, and never makes a copy look newer than it
// is.
func TestOddAnswers(t *testing.T) {
	const now = time.Minute
	for _, test := range []struct {
		name   string
		answer *nodev1.FetchRowsResponse
		merged bool
	}{
		{"empty", &nodev1.FetchRowsResponse{}, true},
		{"age of 292,000 years", &nodev1.FetchRowsResponse{Version: 9, StoreTimeUs: 1_000_000, AgeUs: math.MaxInt64}, false},
		{"age that overflows to a second", &nodev1.FetchRowsResponse{Version: 9, StoreTimeUs: 1_000_000, AgeUs: 18446744073709552 + 1_000_000}, false},
		{"negative age", &nodev1.FetchRowsResponse{Version: 9, StoreTimeUs: 1_000_000, AgeUs: math.MinInt64}, true},
		{"clock that overflows to a second", &nodev1.FetchRowsResponse{Version: 9, StoreTimeUs: 18446744073709552 + 1_000_000}, false},
		{"negative clock", &nodev1.FetchRowsResponse{Version: 9, StoreTimeUs: math.MinInt64}, false},
		{"version of the largest number", &nodev1.FetchRowsResponse{Version: math.MaxInt64, Full: true}, false},
		{"row newer than the answer", &nodev1.FetchRowsResponse{Version: 9, Rows: []*nodev1.TableRow{{Key: "a", Version: math.MaxInt64}}}, false},
		{"null rows", &nodev1.FetchRowsResponse{Version: 9, Full: true, Rows: []*nodev1.TableRow{nil, {}}}, false},
		{"floor above the version", &nodev1.FetchRowsResponse{Version: 9, Full: true, Floor: 10}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.Handle(nodev1connect.NewEntryServiceHandler(answers{answer: test.answer}))
			server := httptest.NewServer(mux)
			defer server.Close()
			own := tableOf(t, watch.Row{Key: "b", Version: 9})
			confirmed := own.Confirmed()
			clock := func() time.Duration { return now }
			err := NewClient().Sync(t.Context(), server.Listener.Addr().String(), nodev1.Table_TABLE_OPERATOR, own, clock)
			if !test.merged {
				require.ErrorIs(t, err, watch.ErrInvalidUpdate)
				require.Equal(t, confirmed, own.Confirmed())
			}
			require.LessOrEqual(t, own.Confirmed(), now)
			require.NoError(t, own.Merge(watch.Update{Position: watch.Position{Version: 10}, StoreTime: time.Second, Rows: []watch.Row{{Key: "c", Version: 10}}}, now))
			require.Equal(t, 2, own.State().Rows)
		})
	}
}
