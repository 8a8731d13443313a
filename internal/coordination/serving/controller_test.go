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

func completeSwitch(t *testing.T, c *serving.Controller, fencing uint64, d digest.Digest) {
	t.Helper()
	s, err := c.BeginSwitch(fencing)
	require.NoError(t, err)
	<-s.Drained()
	s.StartLoading()
	s.Complete(d)
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *testing.T, c *serving.Controller)
		pinned  digest.Digest
		want    error
	}{
		{"empty", func(*testing.T, *serving.Controller) {}, digest.Digest{}, serving.ErrNotServing},
		{"serving", func(t *testing.T, c *serving.Controller) { completeSwitch(t, c, 1, first) }, first, nil},
		{"other digest", func(t *testing.T, c *serving.Controller) { completeSwitch(t, c, 1, first) }, second, serving.ErrDigestMismatch},
		{"draining", func(t *testing.T, c *serving.Controller) {
			completeSwitch(t, c, 1, first)
			_, err := c.BeginSwitch(1)
			require.NoError(t, err)
		}, first, serving.ErrNotServing},
		{"failed switch", func(t *testing.T, c *serving.Controller) {
			completeSwitch(t, c, 1, first)
			s, err := c.BeginSwitch(1)
			require.NoError(t, err)
			s.Fail()
		}, first, serving.ErrNotServing},
		{"down", func(t *testing.T, c *serving.Controller) {
			completeSwitch(t, c, 1, first)
			c.MarkDown()
		}, first, serving.ErrNotServing},
		{"shutting down", func(t *testing.T, c *serving.Controller) {
			completeSwitch(t, c, 1, first)
			c.Shutdown()
		}, first, serving.ErrShuttingDown},
		{"switch ends after shutdown", func(t *testing.T, c *serving.Controller) {
			s, err := c.BeginSwitch(1)
			require.NoError(t, err)
			c.Shutdown()
			s.StartLoading()
			s.Complete(first)
		}, first, serving.ErrShuttingDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := serving.NewController(serving.WithLimit(1))
			tt.prepare(t, c)
			_, err := c.Admit(tt.pinned)
			require.ErrorIs(t, err, tt.want)
			if tt.want != nil {
				require.ErrorIs(t, err, serving.ErrRefused)
				require.Zero(t, c.InFlight())
				return
			}
			_, err = c.Admit(tt.pinned)
			require.ErrorIs(t, err, serving.ErrBusy)
		})
	}
}

func TestSwitchWaitsForAttempts(t *testing.T) {
	c := serving.NewController()
	completeSwitch(t, c, 1, first)
	a, err := c.Admit(first)
	require.NoError(t, err)
	s, err := c.BeginSwitch(2)
	require.NoError(t, err)
	requireNotClosed(t, s.Drained())
	a.Done()
	a.Done()
	<-s.Drained()
	s.Complete(second)
	require.Zero(t, c.InFlight())
}

func TestShutdownWaitsForAttempts(t *testing.T) {
	c := serving.NewController()
	completeSwitch(t, c, 1, first)
	a, err := c.Admit(first)
	require.NoError(t, err)
	idle := c.Shutdown()
	requireNotClosed(t, idle)
	a.Done()
	<-idle
}

func TestStaleFencingIsRefused(t *testing.T) {
	c := serving.NewController()
	c.RaiseFencing(5)
	_, err := c.BeginSwitch(4)
	require.ErrorIs(t, err, serving.ErrStaleFencing)
	completeSwitch(t, c, 5, first)
}

func requireNotClosed(t *testing.T, ch <-chan struct{}) {
	t.Helper()
	select {
	case <-ch:
		t.Fatal("channel closed before the attempts ended")
	default:
	}
}
