package lease_test

import (
	"context"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosetally/primrosetally/internal/coordination/lease"
)

const duration = 10 * time.Second

var errNoAnswer = eris.New("no answer")

// fault is what happens to one write.
type fault int

const (
	faultNone       fault = iota
	faultLost             // the write does not take effect
	faultAnswerLost       // the write takes effect, the answer does not come
	faultDelayed          // the write takes effect at a later time, if at all
)

// fakeTable is a table of one row with faults.
type fakeTable struct {
	value   []byte
	version uint64
	fault   fault
	down    bool
	delayed []func()
}

func (f *fakeTable) access() lease.Table {
	return lease.Table{Get: f.get, CompareAndSet: f.compareAndSet}
}

func (f *fakeTable) get(context.Context, string) ([]byte, uint64, error) {
	if f.down {
		return nil, 0, errNoAnswer
	}
	return f.value, f.version, nil
}

func (f *fakeTable) compareAndSet(_ context.Context, _ string, version uint64, value []byte) error {
	write := func() error {
		if version != f.version {
			return eris.New("conflict")
		}
		f.value = value
		f.version++
		return nil
	}
	switch f.fault {
	case faultLost:
		return errNoAnswer
	case faultAnswerLost:
		_ = write()
		return errNoAnswer
	case faultDelayed:
		f.delayed = append(f.delayed, func() { _ = write() })
		return errNoAnswer
	default:
		return write()
	}
}

// contender is a lease with a clock of its own.
type contender struct {
	lease *lease.Lease
	now   time.Time
	rate  float64
}

func newContender(table *fakeTable, name string, rate float64) *contender {
	c := &contender{now: time.Unix(1000, 0), rate: rate}
	c.lease = lease.New("rollout/faq", name, duration, table.access(),
		lease.WithClock(func() time.Time { return c.now }))
	return c
}

func (c *contender) advance(d time.Duration) { c.now = c.now.Add(time.Duration(float64(d) * c.rate)) }

func (c *contender) holding() (uint64, bool) { return c.lease.Holding(c.now) }

func TestContenderWaitsOutTheHolder(t *testing.T) {
	ctx := context.Background()
	table := &fakeTable{}
	a, b := newContender(table, "a/1", 1), newContender(table, "b/1", 1)
	require.NoError(t, a.lease.TryAcquireOrRenew(ctx))
	require.ErrorIs(t, b.lease.TryAcquireOrRenew(ctx), lease.ErrNotHeld)
	for _, c := range []*contender{a, b} {
		c.advance(duration)
	}
	_, ok := a.holding()
	require.False(t, ok, "a paused holder's lease is over by itself")
	require.ErrorIs(t, b.lease.TryAcquireOrRenew(ctx), lease.ErrNotHeld, "the drift margin is waited too")
	b.advance(time.Second)
	require.NoError(t, b.lease.TryAcquireOrRenew(ctx))
	fencing, ok := b.holding()
	require.True(t, ok)
	require.EqualValues(t, 2, fencing)
	require.ErrorIs(t, a.lease.TryAcquireOrRenew(ctx), lease.ErrLost)
	require.ErrorIs(t, a.lease.TryAcquireOrRenew(ctx), lease.ErrNotHeld)
}

func TestRenewals(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
		held  bool // after the duration since the first grant has passed
	}{
		{"answered", faultNone, true},
		{"lost", faultLost, false},
		{"answer lost", faultAnswerLost, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := context.Background()
			table := &fakeTable{}
			a, b := newContender(table, "a/1", 1), newContender(table, "b/1", 1)
			require.NoError(t, a.lease.TryAcquireOrRenew(ctx))
			require.ErrorIs(t, b.lease.TryAcquireOrRenew(ctx), lease.ErrNotHeld)
			a.advance(duration / 2)
			table.fault = tt.fault
			if err := a.lease.TryAcquireOrRenew(ctx); tt.fault != faultNone {
				require.ErrorIs(t, err, lease.ErrOutcomeUnknown)
				_ = a.lease.TryAcquireOrRenew(ctx)
			}
			table.fault = faultNone
			a.advance(duration/2 + time.Millisecond)
			_, held := a.holding()
			require.Equal(t, tt.held, held)
			b.advance(duration + time.Second)
			err := b.lease.TryAcquireOrRenew(ctx)
			if tt.held {
				require.ErrorIs(t, err, lease.ErrNotHeld)
			} else {
				require.NoError(t, err)
			}
		})
	}
}

func TestAcquisitionWithLostAnswerIsSettledByReading(t *testing.T) {
	ctx := context.Background()
	table := &fakeTable{fault: faultAnswerLost}
	a := newContender(table, "a/1", 1)
	require.ErrorIs(t, a.lease.TryAcquireOrRenew(ctx), lease.ErrOutcomeUnknown)
	_, ok := a.holding()
	require.False(t, ok)
	table.fault = faultNone
	require.NoError(t, a.lease.TryAcquireOrRenew(ctx))
	fencing, ok := a.holding()
	require.True(t, ok)
	require.EqualValues(t, 1, fencing)
}

func TestReleaseLetsTheNextInAtOnce(t *testing.T) {
	ctx := context.Background()
	table := &fakeTable{}
	a, b := newContender(table, "a/1", 1), newContender(table, "b/1", 1)
	require.NoError(t, a.lease.TryAcquireOrRenew(ctx))
	require.NoError(t, a.lease.Release(ctx))
	_, ok := a.holding()
	require.False(t, ok)
	require.NoError(t, b.lease.TryAcquireOrRenew(ctx))
	fencing, _ := b.holding()
	require.EqualValues(t, 2, fencing)
	require.ErrorIs(t, a.lease.Release(ctx), lease.ErrNotHeld)
}

func TestTableOutageEndsTheLease(t *testing.T) {
	ctx := context.Background()
	table := &fakeTable{}
	a := newContender(table, "a/1", 1)
	require.NoError(t, a.lease.TryAcquireOrRenew(ctx))
	table.down = true
	require.ErrorIs(t, a.lease.TryAcquireOrRenew(ctx), errNoAnswer)
	a.advance(duration)
	require.ErrorIs(t, a.lease.TryAcquireOrRenew(ctx), lease.ErrLost)
}

func TestMalformedRow(t *testing.T) {
	table := &fakeTable{value: []byte("x"), version: 1}
	a := newContender(table, "a/1", 1)
	require.ErrorIs(t, a.lease.TryAcquireOrRenew(context.Background()), lease.ErrMalformedRow)
	_, err := lease.ParseFencing([]byte("x"))
	require.ErrorIs(t, err, lease.ErrMalformedRow)
	fencing, err := lease.ParseFencing(nil)
	require.NoError(t, err)
	require.Zero(t, fencing)
}

// TestNeverTwoHolders lets contenders with clocks of slightly different rates
// step, stand still, release and lose writes in any order. At no moment do two
// hold the lease, and each new grant has a greater fencing number.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table := &fakeTable{}
		contenders := make([]*contender, 3)
		for i := range contenders {
			rate := rapid.Float64Range(0.995, 1.005).Draw(t, "rate")
			contenders[i] = newContender(table, string(rune('a'+i)), rate)
		}
		pick := rapid.IntRange(0, len(contenders)-1)
		grants := map[uint64]int{}
		highest := uint64(0)
		step := func(t *rapid.T) {
			table.fault = fault(rapid.IntRange(0, 3).Draw(t, "fault"))
			_ = contenders[pick.Draw(t, "contender")].lease.TryAcquireOrRenew(ctx)
			table.fault = faultNone
		}
		t.Repeat(map[string]func(*rapid.T){
			"step":  step,
			"step2": step,
			"advance": func(t *rapid.T) {
				d := time.Duration(rapid.Int64Range(0, int64(duration)).Draw(t, "time"))
				for _, c := range contenders {
					c.advance(d)
				}
			},
			"release": func(t *rapid.T) {
				_ = contenders[pick.Draw(t, "contender")].lease.Release(ctx)
			},
			"deliver": func(_ *rapid.T) {
				for _, write := range table.delayed {
					write()
				}
				table.delayed = nil
			},
			"": func(t *rapid.T) {
				holders := 0
				for i, c := range contenders {
					fencing, ok := c.holding()
					if !ok {
						continue
					}
					holders++
					if by, known := grants[fencing]; known {
						require.Equal(t, by, i, "one fencing number, one holder")
						continue
					}
					require.Greater(t, fencing, highest)
					grants[fencing] = i
					highest = fencing
				}
				require.LessOrEqual(t, holders, 1)
			},
		})
	})
}
