package claims_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/claims"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

var start = time.UnixMilli(1_700_000_000_000)

// faultTable is a table that injects the given faults into its next accesses, one each.
type faultTable struct {
	simulation
	faults []fault
}

func (ft *faultTable) next() fault {
	if len(ft.faults) == 0 {
		return none
	}
	f := ft.faults[0]
	ft.faults = ft.faults[1:]
	return f
}

func (ft *faultTable) get(_ context.Context, key string) ([]byte, uint64, error) {
	if ft.next() != none {
		return nil, 0, claims.ErrUnavailable
	}
	c := ft.rows[key]
	return c.value, c.version, nil
}

func (ft *faultTable) compareAndSet(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	switch ft.next() {
	case unavailable:
		return 0, claims.ErrUnavailable
	case replyLostApplied:
		_, _ = ft.apply(key, version, value)
		return 0, claims.ErrUnknown
	case replyLostDropped:
		return 0, claims.ErrUnknown
	}
	return ft.apply(key, version, value)
}

func newFaultTable() (*faultTable, *claims.Claims) {
	ft := &faultTable{simulation: simulation{rows: map[string]tableRow{}, now: start}}
	return ft, claims.New("entry-1", 1, ft.get, ft.compareAndSet, claims.WithNow(func() time.Time { return ft.now }))
}

func request(id, body string, age time.Duration, options ...claims.RequestOption) claims.Request {
	key := claims.NewKey(start.Add(-age), [16]byte{1})
	options = append(options, claims.WithReceived(start))
	return claims.NewRequest(id, "bookings", "planner", key, digest.Of([]byte(body)), options...)
}

func TestBegin(t *testing.T) {
	first := claims.WithSend(1, 0)
	repeated := claims.WithSend(2, 0)
	afterNotRun := claims.WithSend(2, 1)
	completed := claims.Completed(claims.NewResponse(201, nil, []byte("held")))
	refused := claims.NeverRan("leaving")
	lost := claims.MayHaveRun("connection lost")
	noOutcome := claims.Outcome{}
	tests := []struct {
		name string
		// earlier is the outcome of an earlier send 1, nil for no such send.
		earlier *claims.Outcome
		faults  []fault
		age     time.Duration
		body    string
		send    claims.RequestOption
		want    claims.Kind
	}{
		{"new key", nil, nil, 0, "a", first, claims.Run},
		{"new key, unnumbered", nil, nil, 0, "a", nil, claims.Run},
		{"reply to the insert lost, row written", nil, []fault{replyLostApplied}, 0, "a", first, claims.Run},
		{"reply to the insert lost, row not written", nil, []fault{replyLostDropped}, 0, "a", first, claims.Run},
		{"reply to the insert lost and row unreadable, first send", nil, []fault{replyLostApplied, unavailable}, 0, "a", first, claims.NotRun},
		{"reply to the insert lost and row unreadable, unnumbered", nil, []fault{replyLostApplied, unavailable}, 0, "a", nil, claims.Unknown},
		{"table unavailable, first send", nil, []fault{unavailable}, 0, "a", first, claims.NotRun},
		{"table unavailable, unnumbered", nil, []fault{unavailable}, 0, "a", nil, claims.Unknown},
		{"table unavailable, repeated send", nil, []fault{unavailable}, 0, "a", repeated, claims.Unknown},
		{"table unavailable, repeated send after not run", nil, []fault{unavailable}, 0, "a", afterNotRun, claims.NotRun},
		{"repeated send of a completed key", &completed, nil, 0, "a", repeated, claims.Stored},
		{"same send again after completion", &completed, nil, 0, "a", first, claims.Stored},
		{"repeated send of a pending key", &noOutcome, nil, 0, "a", repeated, claims.Pending},
		{"repeated send of a pending key after not run", &noOutcome, nil, 0, "a", afterNotRun, claims.Run},
		{"repeated send of a key with unknown outcome", &lost, nil, 0, "a", repeated, claims.Unknown},
		{"repeated send of a key with unknown outcome after not run", &lost, nil, 0, "a", afterNotRun, claims.Unknown},
		{"repeated send of a refused key", &refused, nil, 0, "a", repeated, claims.Run},
		{"same send number of a refused key", &refused, nil, 0, "a", first, claims.NotRun},
		{"different body", &completed, nil, 0, "b", repeated, claims.KeyReuse},
		{"different body, key pending", &noOutcome, nil, 0, "b", repeated, claims.KeyReuse},
		{"expired key, first send", nil, nil, 25 * time.Hour, "a", first, claims.NotRun},
		{"expired key, unnumbered", nil, nil, 25 * time.Hour, "a", nil, claims.Unknown},
		{"key created in the future", nil, nil, -time.Hour, "a", nil, claims.Unknown},
		{"key created in the future, within the clock skew", nil, nil, -time.Minute, "a", first, claims.Run},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ft, c := newFaultTable()
			ctx := context.Background()
			if tt.earlier != nil {
				d := c.Begin(ctx, request("earlier", "a", tt.age, first))
				require.Equal(t, claims.Run, d.Kind())
				if tt.earlier != &noOutcome {
					require.NoError(t, c.Finish(ctx, d.Claim(), *tt.earlier))
				}
			}
			ft.faults = tt.faults
			options := []claims.RequestOption{}
			if tt.send != nil {
				options = append(options, tt.send)
			}
			d := c.Begin(ctx, request("this", tt.body, tt.age, options...))
			require.Equal(t, tt.want.String(), d.Kind().String())
			if tt.want == claims.Stored {
				require.Equal(t, 201, d.Response().Status())
				require.Equal(t, "held", string(d.Response().Body()))
			}
		})
	}
}

// TestWithdrawnClaimDoesNotBlockKey guards against a key that stays pending after its
// request was abandoned: the reply to the insert is lost, so the claim may be in the
// table. After Flush an unnumbered send of the key must run.
func TestWithdrawnClaimDoesNotBlockKey(t *testing.T) {
	for _, insert := range []fault{replyLostApplied, replyLostDropped} {
		ft, c := newFaultTable()
		ctx := context.Background()
		ft.faults = []fault{insert, unavailable}
		require.Equal(t, claims.Unknown, c.Begin(ctx, request("one", "a", 0)).Kind())
		require.Equal(t, 1, c.Backlog())
		ft.faults = []fault{unavailable}
		require.Equal(t, 1, c.Flush(ctx))
		require.Zero(t, c.Flush(ctx))
		require.Equal(t, claims.Run, c.Begin(ctx, request("two", "a", 0)).Kind())
	}
}

// TestAbandonedRequestOfPausedEntry guards against running an unnumbered request that
// a paused entry still held, after a later send of the key got "not run".
func TestAbandonedRequestOfPausedEntry(t *testing.T) {
	ft, c := newFaultTable()
	ctx := context.Background()
	d := c.Begin(ctx, request("later", "a", 0))
	require.NoError(t, c.Finish(ctx, d.Claim(), claims.NeverRan("leaving")))
	ft.now = start.Add(30 * time.Second)
	require.Equal(t, claims.NotRun, c.Begin(ctx, request("frozen", "a", 0)).Kind())
}

// TestOutcomeAfterOutage guards against losing an outcome whose write failed: it stays
// in the backlog until the table accepts it.
func TestOutcomeAfterOutage(t *testing.T) {
	tests := []struct {
		name    string
		faults  []fault
		backlog int
	}{
		{"table unavailable", []fault{unavailable}, 1},
		{"reply lost, row written", []fault{replyLostApplied}, 0},
		{"reply lost, row not written", []fault{replyLostDropped}, 0},
		{"reply lost, table unavailable", []fault{replyLostApplied, unavailable}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ft, c := newFaultTable()
			ctx := context.Background()
			d := c.Begin(ctx, request("one", "a", 0))
			ft.faults = tt.faults
			err := c.Finish(ctx, d.Claim(), claims.Completed(claims.NewResponse(200, nil, []byte("held"))))
			require.Equal(t, tt.backlog, c.Backlog())
			if tt.backlog > 0 {
				require.ErrorIs(t, err, claims.ErrWriteDeferred)
			}
			require.Zero(t, c.Flush(ctx))
			require.Equal(t, claims.Stored, c.Begin(ctx, request("two", "a", 0)).Kind())
		})
	}
}

func TestLargeBodyGoesToObjectStore(t *testing.T) {
	large := make([]byte, 64<<10)
	tests := []struct {
		name string
		put  error
		get  error
		want claims.Kind
	}{
		{"body stored", nil, nil, claims.Stored},
		{"object store unavailable at the write", claims.ErrUnavailable, nil, claims.Unknown},
		{"object store unavailable at the read", nil, claims.ErrUnavailable, claims.Pending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ft, _ := newFaultTable()
			put := func(context.Context, string, []byte) error { return tt.put }
			get := func(context.Context, string) ([]byte, error) { return large, tt.get }
			c := claims.New("entry-1", 1, ft.get, ft.compareAndSet, claims.WithObjects(put, get),
				claims.WithNow(func() time.Time { return ft.now }))
			d := c.Begin(context.Background(), request("one", "a", 0))
			require.NoError(t, c.Finish(context.Background(), d.Claim(), claims.Completed(claims.NewResponse(200, nil, large))))
			again := c.Begin(context.Background(), request("two", "a", 0))
			require.Equal(t, tt.want.String(), again.Kind().String())
			require.Equal(t, tt.want == claims.Stored, len(again.Response().Body()) == len(large))
		})
	}
}

func TestParseKey(t *testing.T) {
	tests := []struct {
		text  string
		valid bool
	}{
		{"1700000000000-0123456789abcdef", true},
		{"1700000000000-", false},
		{"170000000000-0123456789abcdef", false},
		{"1700000000000-0123456789abcde/", false},
		{"", false},
	}
	for _, tt := range tests {
		key, err := claims.ParseKey(tt.text)
		if !tt.valid {
			require.ErrorIs(t, err, claims.ErrMalformedKey)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, tt.text, key.String())
		require.Equal(t, start, key.Created())
	}
}
