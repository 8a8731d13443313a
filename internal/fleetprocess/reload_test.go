package fleetprocess

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stoppingVariable marks the process that TestHangUpDuringStop starts.
const stoppingVariable = "PRIMROSETALLY_TEST_STOPPING"

// A process that is hung up in the middle of its planned stop goes on with it.
func TestHangUpDuringStop(t *testing.T) {
	if os.Getenv(stoppingVariable) != "" {
		hangUpDuringStop(t)
		return
	}
	c := exec.Command(os.Args[0], "-test.run=^TestHangUpDuringStop$")
	c.Env = append(os.Environ(), stoppingVariable+"=1")
	output, err := c.CombinedOutput()
	require.NoError(t, err, string(output))
}

// hangUpDuringStop sends SIGHUP to its own process after reloads have ended.
func hangUpDuringStop(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	reload(ctx, catchHangups(), "", slog.New(slog.DiscardHandler))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond) // the signal would have ended the process
}
