package suspects_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// pair is two entries that share a table.
type pair struct {
	now   time.Time
	table *table
	a, b  *suspects.Registry
}

func newPair() *pair {
	p := &pair{now: time.Unix(1_700_000_000, 0), table: &table{rows: map[string][]byte{}, at: map[string]uint64{}}}
	clock := suspects.WithNow(func() time.Time { return p.now })
	p.a = suspects.New(p.table.get, p.table.compareAndSet, p.table.list, clock)
	p.b = suspects.New(p.table.get, p.table.compareAndSet, p.table.list, clock)
	return p
}

func TestVerdicts(t *testing.T) {
	ctx := context.Background()
	fp := suspects.FingerprintOf("faq", "POST", "/draft", []byte("text"))
	in := []digest.Digest{fp}
	first, second := suspects.NewCrash("writer-1", 1, "w1"), suspects.NewCrash("writer-2", 1, "w1")
	crash := func(p *pair, c suspects.Crash) { _ = p.a.RecordCrash(ctx, c, in) }
	refresh := func(p *pair) { _ = p.b.Refresh(ctx) }
	quarantine := func(p *pair) {
		crash(p, first)
		crash(p, second)
		refresh(p)
	}
	tests := []struct {
		name string
		do   func(p *pair)
		want suspects.Kind
	}{
		{"nothing known", func(*pair) {}, suspects.Allowed},
		{"one crash", func(p *pair) { crash(p, first); refresh(p) }, suspects.Isolated},
		{"one crash, not yet refreshed", func(p *pair) { crash(p, first) }, suspects.Allowed},
		{"one crash seen by two entries", func(p *pair) {
			crash(p, first)
			_ = p.b.RecordCrash(ctx, first, in)
		}, suspects.Isolated},
		{"two crashes", quarantine, suspects.Quarantined},
		{"two crashes, one at each entry", func(p *pair) {
			crash(p, first)
			_ = p.b.RecordCrash(ctx, second, in)
		}, suspects.Quarantined},
		{"finished before the crash on the same weights", func(p *pair) {
			p.a.RecordCompletion(ctx, fp, "w1")
			crash(p, first)
			refresh(p)
		}, suspects.Allowed},
		{"finished before the crash on other weights", func(p *pair) {
			p.a.RecordCompletion(ctx, fp, "w0")
			crash(p, first)
			refresh(p)
		}, suspects.Isolated},
		{"finished long before the crash", func(p *pair) {
			p.a.RecordCompletion(ctx, fp, "w1")
			p.now = p.now.Add(5 * time.Minute)
			crash(p, first)
			refresh(p)
		}, suspects.Isolated},
		{"finished after the crash", func(p *pair) {
			crash(p, first)
			p.a.RecordCompletion(ctx, fp, "w1")
			refresh(p)
		}, suspects.Allowed},
		{"finished at the other entry after the crash", func(p *pair) {
			crash(p, first)
			refresh(p)
			p.b.RecordCompletion(ctx, fp, "w1")
		}, suspects.Allowed},
		{"late answer does not lift a quarantine", func(p *pair) {
			quarantine(p)
			p.b.RecordCompletion(ctx, fp, "w1")
			refresh(p)
		}, suspects.Quarantined},
		{"cleared by an operator elsewhere", func(p *pair) {
			quarantine(p)
			_, _ = p.a.Clear(ctx, fp)
			refresh(p)
		}, suspects.Allowed},
		{"expired", func(p *pair) {
			quarantine(p)
			p.now = p.now.Add(11 * time.Minute)
		}, suspects.Allowed},
		{"kept while the request keeps coming", func(p *pair) {
			quarantine(p)
			for range 30 {
				p.now = p.now.Add(time.Minute)
				p.b.Check(fp)
				refresh(p)
			}
		}, suspects.Quarantined},
		{"crash while the table is down", func(p *pair) {
			p.table.down = true
			crash(p, first)
			crash(p, second)
			p.table.down = false
			_ = p.a.Refresh(ctx)
			refresh(p)
		}, suspects.Quarantined},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPair()
			tt.do(p)
			require.Equal(t, tt.want, p.b.Check(fp).Kind())
		})
	}
}

// TestAdmitReadsRow has a request that is not idempotent come back by an entry
// that has not heard of its crash.
func TestAdmitReadsRow(t *testing.T) {
	p := newPair()
	fp := digest.Of([]byte("booking"))
	require.NoError(t, p.a.RecordCrash(context.Background(), suspects.NewCrash("writer-1", 1, ""), []digest.Digest{fp}))
	require.Equal(t, suspects.Allowed, p.b.Admit(context.Background(), fp, true).Kind())
	require.Equal(t, suspects.Isolated, p.b.Admit(context.Background(), fp, false).Kind())
	require.Len(t, p.b.Suspects(), 1)
	cleared, err := p.a.Clear(context.Background(), fp)
	require.NoError(t, err)
	require.True(t, cleared)
	require.Equal(t, suspects.Allowed, p.b.Admit(context.Background(), fp, true).Kind())
}

func TestIsolation(t *testing.T) {
	var i suspects.Isolation
	require.True(t, i.TryAcquire("writer-1"))
	require.False(t, i.TryAcquire("writer-1"))
	require.True(t, i.TryAcquire("writer-2"))
	i.Release("writer-1")
	require.True(t, i.TryAcquire("writer-1"))
}
