package serving_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

var (
	first  = digest.Of([]byte("first"))
	second = digest.Of([]byte("second"))
)

func open(t *testing.T, g *serving.Controller, fencing uint64, d digest.Digest) {
	t.Helper()
	s, err := g.BeginSwitch(fencing)
	require.NoError(t, err)
	<-s.Drained()
	s.StartLoading()
	s.Complete(d)
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *testing.T, g *serving.Controller)
		pinned  digest.Digest
		want    error
	}{
		{"empty", func(*testing.T, *serving.Controller) {}, digest.Digest{}, serving.ErrNotServing},
		{"serving", func(t *testing.T, g *serving.Controller) { open(t, g, 1, first) }, first, nil},
		{"other digest", func(t *testing.T, g *serving.Controller) { open(t, g, 1, first) }, second, serving.ErrDigestMismatch},
		{"draining", func(t *testing.T, g *serving.Controller) {
			open(t, g, 1, first)
			_, err := g.BeginSwitch(1)
			require.NoError(t, err)
		}, first, serving.ErrNotServing},
		{"failed switch", func(t *testing.T, g *serving.Controller) {
			open(t, g, 1, first)
			s, err := g.BeginSwitch(1)
			require.NoError(t, err)
			s.Fail()
		}, first, serving.ErrNotServing},
		{"down", func(t *testing.T, g *serving.Controller) {
			open(t, g, 1, first)
			g.MarkDown()
		}, first, serving.ErrNotServing},
		{"leaving", func(t *testing.T, g *serving.Controller) {
			open(t, g, 1, first)
			g.Shutdown()
		}, first, serving.ErrShuttingDown},
		{"switch ends after leave", func(t *testing.T, g *serving.Controller) {
			s, err := g.BeginSwitch(1)
			require.NoError(t, err)
			g.Shutdown()
			s.StartLoading()
			s.Complete(first)
		}, first, serving.ErrShuttingDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := serving.NewController(serving.WithLimit(1))
			tt.prepare(t, g)
			_, err := g.Admit(tt.pinned)
			require.ErrorIs(t, err, tt.want)
			if tt.want != nil {
				require.ErrorIs(t, err, serving.ErrRefused)
				require.Zero(t, g.InFlight())
				return
			}
			_, err = g.Admit(tt.pinned)
			require.ErrorIs(t, err, serving.ErrBusy)
		})
	}
}

func TestSwitchWaitsForAttempts(t *testing.T) {
	g := serving.NewController()
	open(t, g, 1, first)
	a, err := g.Admit(first)
	require.NoError(t, err)
	s, err := g.BeginSwitch(2)
	require.NoError(t, err)
	requireOpen(t, s.Drained())
	a.Done()
	a.Done()
	<-s.Drained()
	s.Complete(second)
	require.Zero(t, g.InFlight())
}

func TestLeaveWaitsForAttempts(t *testing.T) {
	g := serving.NewController()
	open(t, g, 1, first)
	a, err := g.Admit(first)
	require.NoError(t, err)
	idle := g.Shutdown()
	requireOpen(t, idle)
	a.Done()
	<-idle
}

func TestOldFencingIsRefused(t *testing.T) {
	g := serving.NewController()
	g.RaiseFencing(5)
	_, err := g.BeginSwitch(4)
	require.ErrorIs(t, err, serving.ErrStaleFencing)
	open(t, g, 5, first)
}

func requireOpen(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
		t.Fatal("closed too early")
	default:
	}
}
