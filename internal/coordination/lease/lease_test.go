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

var errNoResponse = eris.New("no response")

// fault is a fault that is injected into a write.
type fault int

const (
	faultNone         fault = iota
	faultRequestLost        // the write does not take effect
	faultResponseLost       // the write takes effect, but its response is lost
	faultDelayed            // the write takes effect later or never
)

// fakeTable is a table of one row with injected faults.
type fakeTable struct {
	value       []byte
	version     uint64
	fault       fault
	unavailable bool
	delayed     []func()
}

func (f *fakeTable) leaseTable() lease.Table {
	return lease.Table{Get: f.get, CompareAndSet: f.compareAndSet}
}

func (f *fakeTable) get(context.Context, string) ([]byte, uint64, error) {
	if f.unavailable {
		return nil, 0, errNoResponse
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
	case faultRequestLost:
		return errNoResponse
	case faultResponseLost:
		_ = write()
		return errNoResponse
	case faultDelayed:
		f.delayed = append(f.delayed, func() { _ = write() })
		return errNoResponse
	default:
		return write()
	}
}

// contender is a lease with its own clock, which runs at clockRate times real time.
type contender struct {
	lease     *lease.Lease
	now       time.Time
	clockRate float64
}

func newContender(table *fakeTable, name string, clockRate float64) *contender {
	c := &contender{now: time.Unix(1000, 0), clockRate: clockRate}
	c.lease = lease.New("rollout/faq", name, duration, table.leaseTable(),
		lease.WithClock(func() time.Time { return c.now }))
	return c
}

func (c *contender) advance(d time.Duration) {
	c.now = c.now.Add(time.Duration(float64(d) * c.clockRate))
}

func (c *contender) holding() (uint64, bool) { return c.lease.Holding(c.now) }

func TestContenderWaitsForExpiry(t *testing.T) {
	ctx := context.Background()
	table := &fakeTable{}
	a, b := newContender(table, "a/1", 1), newContender(table, "b/1", 1)
	require.NoError(t, a.lease.TryAcquireOrRenew(ctx))
	require.ErrorIs(t, b.lease.TryAcquireOrRenew(ctx), lease.ErrNotHeld)
	for _, c := range []*contender{a, b} {
		c.advance(duration)
	}
	_, ok := a.holding()
	require.False(t, ok, "the lease of a paused holder must expire on its own")
	require.ErrorIs(t, b.lease.TryAcquireOrRenew(ctx), lease.ErrNotHeld, "a contender must also wait for the drift margin")
	b.advance(time.Second)
	require.NoError(t, b.lease.TryAcquireOrRenew(ctx))
	fencing, ok := b.holding()
	require.True(t, ok)
	require.EqualValues(t, 2, fencing)
	require.ErrorIs(t, a.lease.TryAcquireOrRenew(ctx), lease.ErrLost)
	require.ErrorIs(t, a.lease.TryAcquireOrRenew(ctx), lease.ErrNotHeld)
}

func TestRenewWithFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
		held  bool // when the lease duration since the first grant has passed
	}{
		{"response received", faultNone, true},
		{"request lost", faultRequestLost, false},
		{"response lost", faultResponseLost, true},
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

func TestAcquireAfterLostResponse(t *testing.T) {
	ctx := context.Background()
	table := &fakeTable{fault: faultResponseLost}
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

func TestAcquireAfterRelease(t *testing.T) {
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

func TestLeaseExpiresInTableOutage(t *testing.T) {
	ctx := context.Background()
	table := &fakeTable{}
	a := newContender(table, "a/1", 1)
	require.NoError(t, a.lease.TryAcquireOrRenew(ctx))
	table.unavailable = true
	require.ErrorIs(t, a.lease.TryAcquireOrRenew(ctx), errNoResponse)
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

// TestAtMostOneHolder runs contenders whose clocks have slightly different rates.
// They acquire, renew, pause and release in any order, and their writes are lost,
// delayed or lose their responses. At most one contender holds the lease at any
// time, and each new grant has a higher fencing number.
func TestAtMostOneHolder(t *testing.T) {
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
						require.Equal(t, by, i, "a fencing number must have only one holder")
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
