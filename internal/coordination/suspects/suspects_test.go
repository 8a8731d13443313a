package suspects_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// registryPair holds the registries of two entries that share a table.
type registryPair struct {
	now   time.Time
	table *table
	a, b  *suspects.Registry
}

func newRegistryPair() *registryPair {
	p := &registryPair{now: time.Unix(1_700_000_000, 0), table: &table{rows: map[string][]byte{}, versions: map[string]uint64{}}}
	clock := suspects.WithNow(func() time.Time { return p.now })
	p.a = suspects.New(p.table.get, p.table.compareAndSet, p.table.list, clock)
	p.b = suspects.New(p.table.get, p.table.compareAndSet, p.table.list, clock)
	return p
}

func TestDecisions(t *testing.T) {
	ctx := context.Background()
	fp := suspects.FingerprintOf("faq", "POST", "/draft", []byte("text"))
	inFlight := []digest.Digest{fp}
	first, second := suspects.NewCrash("writer-1", 1, "w1"), suspects.NewCrash("writer-2", 1, "w1")
	crash := func(p *registryPair, c suspects.Crash) { _ = p.a.RecordCrash(ctx, c, inFlight) }
	refresh := func(p *registryPair) { _ = p.b.Refresh(ctx) }
	quarantine := func(p *registryPair) {
		crash(p, first)
		crash(p, second)
		refresh(p)
	}
	tests := []struct {
		name string
		do   func(p *registryPair)
		want suspects.Kind
	}{
		{"no crash", func(*registryPair) {}, suspects.Allowed},
		{"one crash", func(p *registryPair) { crash(p, first); refresh(p) }, suspects.Isolated},
		{"one crash, before the refresh", func(p *registryPair) { crash(p, first) }, suspects.Allowed},
		{"one crash recorded by two entries", func(p *registryPair) {
			crash(p, first)
			_ = p.b.RecordCrash(ctx, first, inFlight)
		}, suspects.Isolated},
		{"two crashes", quarantine, suspects.Quarantined},
		{"two crashes, one at each entry", func(p *registryPair) {
			crash(p, first)
			_ = p.b.RecordCrash(ctx, second, inFlight)
		}, suspects.Quarantined},
		{"completed before the crash on the same weights", func(p *registryPair) {
			p.a.RecordCompletion(ctx, fp, "w1")
			crash(p, first)
			refresh(p)
		}, suspects.Allowed},
		{"completed before the crash on other weights", func(p *registryPair) {
			p.a.RecordCompletion(ctx, fp, "w0")
			crash(p, first)
			refresh(p)
		}, suspects.Isolated},
		{"completed 5 minutes before the crash", func(p *registryPair) {
			p.a.RecordCompletion(ctx, fp, "w1")
			p.now = p.now.Add(5 * time.Minute)
			crash(p, first)
			refresh(p)
		}, suspects.Isolated},
		{"completed after the crash", func(p *registryPair) {
			crash(p, first)
			p.a.RecordCompletion(ctx, fp, "w1")
			refresh(p)
		}, suspects.Allowed},
		{"completed at the other entry after the crash", func(p *registryPair) {
			crash(p, first)
			refresh(p)
			p.b.RecordCompletion(ctx, fp, "w1")
		}, suspects.Allowed},
		{"completion does not lift a quarantine", func(p *registryPair) {
			quarantine(p)
			p.b.RecordCompletion(ctx, fp, "w1")
			refresh(p)
		}, suspects.Quarantined},
		{"cleared by an operator at the other entry", func(p *registryPair) {
			quarantine(p)
			_, _ = p.a.Clear(ctx, fp)
			refresh(p)
		}, suspects.Allowed},
		{"expired", func(p *registryPair) {
			quarantine(p)
			p.now = p.now.Add(11 * time.Minute)
		}, suspects.Allowed},
		{"quarantine renewed while callers send the request", func(p *registryPair) {
			quarantine(p)
			for range 30 {
				p.now = p.now.Add(time.Minute)
				p.b.Check(fp)
				refresh(p)
			}
		}, suspects.Quarantined},
		{"crash while the table is unavailable", func(p *registryPair) {
			p.table.unavailable = true
			crash(p, first)
			crash(p, second)
			p.table.unavailable = false
			_ = p.a.Refresh(ctx)
			refresh(p)
		}, suspects.Quarantined},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newRegistryPair()
			tt.do(p)
			require.Equal(t, tt.want, p.b.Check(fp).Kind())
		})
	}
}

// TestAdmitReadsRow guards against admitting a suspect that is not idempotent as an
// ordinary request: its caller retries through an entry that has not refreshed since
// the crash.
func TestAdmitReadsRow(t *testing.T) {
	p := newRegistryPair()
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
