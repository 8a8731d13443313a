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

// script is a table whose next accesses meet the given faults.
type script struct {
	world
	faults []fault
}

func (s *script) next() fault {
	if len(s.faults) == 0 {
		return none
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *script) get(_ context.Context, key string) ([]byte, uint64, error) {
	if s.next() != none {
		return nil, 0, claims.ErrUnavailable
	}
	c := s.rows[key]
	return c.value, c.version, nil
}

func (s *script) compareAndSet(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	switch s.next() {
	case unavailable:
		return 0, claims.ErrUnavailable
	case lostApplied:
		_, _ = s.apply(key, version, value)
		return 0, claims.ErrUnknown
	case lostDropped:
		return 0, claims.ErrUnknown
	}
	return s.apply(key, version, value)
}

func newScript() (*script, *claims.Claims) {
	s := &script{world: world{rows: map[string]cell{}, now: start}}
	return s, claims.New("entry-1", 1, s.get, s.compareAndSet, claims.WithNow(func() time.Time { return s.now }))
}

func request(id, body string, age time.Duration, options ...claims.RequestOption) claims.Request {
	key := claims.NewKey(start.Add(-age), [16]byte{1})
	options = append(options, claims.WithReceived(start))
	return claims.NewRequest(id, "bookings", "planner", key, digest.Of([]byte(body)), options...)
}

func TestBegin(t *testing.T) {
	first := claims.WithSend(1, 0)
	repeat := claims.WithSend(2, 0)
	refusedBefore := claims.WithSend(2, 1)
	answer := claims.Completed(claims.NewResponse(201, nil, []byte("held")))
	refusal := claims.NeverRan("leaving")
	lost := claims.MayHaveRun("connection lost")
	open := claims.Outcome{}
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
		{"answer of the insert lost, row there", nil, []fault{lostApplied}, 0, "a", first, claims.Run},
		{"answer of the insert lost, row not there", nil, []fault{lostDropped}, 0, "a", first, claims.Run},
		{"insert lost and row unreadable, first send", nil, []fault{lostApplied, unavailable}, 0, "a", first, claims.NotRun},
		{"insert lost and row unreadable, unnumbered", nil, []fault{lostApplied, unavailable}, 0, "a", nil, claims.Unknown},
		{"table down, first send", nil, []fault{unavailable}, 0, "a", first, claims.NotRun},
		{"table down, unnumbered", nil, []fault{unavailable}, 0, "a", nil, claims.Unknown},
		{"table down, repeat", nil, []fault{unavailable}, 0, "a", repeat, claims.Unknown},
		{"table down, repeat after not run", nil, []fault{unavailable}, 0, "a", refusedBefore, claims.NotRun},
		{"repeat of an answered key", &answer, nil, 0, "a", repeat, claims.Stored},
		{"same send again after the answer", &answer, nil, 0, "a", first, claims.Stored},
		{"repeat of a pending key", &open, nil, 0, "a", repeat, claims.Pending},
		{"repeat of a pending key, told not run", &open, nil, 0, "a", refusedBefore, claims.Run},
		{"repeat of a lost key", &lost, nil, 0, "a", repeat, claims.Unknown},
		{"repeat of a lost key, told not run", &lost, nil, 0, "a", refusedBefore, claims.Unknown},
		{"repeat of a refused key", &refusal, nil, 0, "a", repeat, claims.Run},
		{"older send of a refused key", &refusal, nil, 0, "a", first, claims.NotRun},
		{"other body", &answer, nil, 0, "b", repeat, claims.KeyReuse},
		{"other body, pending", &open, nil, 0, "b", repeat, claims.KeyReuse},
		{"old key, never sent", nil, nil, 25 * time.Hour, "a", first, claims.NotRun},
		{"old key, unnumbered", nil, nil, 25 * time.Hour, "a", nil, claims.Unknown},
		{"key from the future", nil, nil, -time.Hour, "a", nil, claims.Unknown},
		{"key within the clock skew", nil, nil, -time.Minute, "a", first, claims.Run},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, c := newScript()
			ctx := context.Background()
			if tt.earlier != nil {
				d := c.Begin(ctx, request("earlier", "a", tt.age, first))
				require.Equal(t, claims.Run, d.Kind())
				if tt.earlier != &open {
					require.NoError(t, c.Finish(ctx, d.Claim(), *tt.earlier))
				}
			}
			s.faults = tt.faults
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

// TestWithdrawnClaimDoesNotBlockKey gives up a request whose claim reached the
// table, and sends the key again as a caller that numbers nothing.
func TestWithdrawnClaimDoesNotBlockKey(t *testing.T) {
	for _, insert := range []fault{lostApplied, lostDropped} {
		s, c := newScript()
		ctx := context.Background()
		s.faults = []fault{insert, unavailable}
		require.Equal(t, claims.Unknown, c.Begin(ctx, request("one", "a", 0)).Kind())
		require.Equal(t, 1, c.Backlog())
		s.faults = []fault{unavailable}
		require.Equal(t, 1, c.Flush(ctx))
		require.Zero(t, c.Flush(ctx))
		require.Equal(t, claims.Run, c.Begin(ctx, request("two", "a", 0)).Kind())
	}
}

// TestAbandonedRequestOfFrozenEntry leaves an unnumbered request that lay in a
// frozen entry alone after a later one was told "not run".
func TestAbandonedRequestOfFrozenEntry(t *testing.T) {
	s, c := newScript()
	ctx := context.Background()
	d := c.Begin(ctx, request("later", "a", 0))
	require.NoError(t, c.Finish(ctx, d.Claim(), claims.NeverRan("leaving")))
	s.now = start.Add(30 * time.Second)
	require.Equal(t, claims.NotRun, c.Begin(ctx, request("frozen", "a", 0)).Kind())
}

// TestOutcomeAfterOutage keeps an outcome that the table did not take until it
// does.
func TestOutcomeAfterOutage(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
		left   int
	}{
		{"table down", []fault{unavailable}, 1},
		{"answer lost, row written", []fault{lostApplied}, 0},
		{"answer lost, row not written", []fault{lostDropped}, 0},
		{"answer lost, table down", []fault{lostApplied, unavailable}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, c := newScript()
			ctx := context.Background()
			d := c.Begin(ctx, request("one", "a", 0))
			s.faults = tt.faults
			err := c.Finish(ctx, d.Claim(), claims.Completed(claims.NewResponse(200, nil, []byte("held"))))
			require.Equal(t, tt.left, c.Backlog())
			if tt.left > 0 {
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
		{"kept", nil, nil, claims.Stored},
		{"store down at the write", claims.ErrUnavailable, nil, claims.Unknown},
		{"store down at the read", nil, claims.ErrUnavailable, claims.Pending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := newScript()
			put := func(context.Context, string, []byte) error { return tt.put }
			get := func(context.Context, string) ([]byte, error) { return large, tt.get }
			c := claims.New("entry-1", 1, s.get, s.compareAndSet, claims.WithObjects(put, get),
				claims.WithNow(func() time.Time { return s.now }))
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
