package fleetprocess

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
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

const soundSettings = "node-name=e\nip=10.0.0.1\nzone=a\nregion=a\ninternal-ports=7700,7715\nplatform.address=10.0.0.9:8007\n"

// The platform adds a field without a value; no process started again. What this build knows
// and can't read is named, at a check as at SIGHUP.
func TestCheckOfSettings(t *testing.T) {
	for _, test := range []struct {
		name, field, fault string
	}{
		{"as before", "", ""},
		{"unknown and empty", "limits.accelerator-mb=\n", ""},
		{"unknown list", "bounds.accelerators=a,b\n", ""},
		{"known and no number", "limits.memory-mb=NaN\n", "limits.memory-mb"},
		{"known and empty", "bounds.grace-s=\n", "bounds.grace-s"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "boot.conf")
			require.NoError(t, os.WriteFile(file, []byte(soundSettings+test.field), 0o600))
			for _, role := range []string{"entry", "agent"} {
				var faults bytes.Buffer
				status := Main([]string{role, "--settings", file, "--check"}, io.Discard, &faults)
				if test.fault == "" {
					require.Equal(t, statusOK, status, faults.String())
					continue
				}
				require.Equal(t, statusUsage, status)
				require.Contains(t, faults.String(), test.fault)
			}
			line := reloadOnce(t, file)
			if test.fault == "" {
				require.Contains(t, line, "settingsReloaded")
				return
			}
			require.Contains(t, line, "settingsNotReloaded")
			require.Contains(t, line, test.fault)
		})
	}
}

// lineReader is a log whose lines a test waits for.
type lineReader chan string

// Write implements io.Writer.
func (l lineReader) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// reloadOnce lets a process reload its settings and returns the line that says so.
func reloadOnce(t *testing.T, file string) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hangups, lines := make(chan os.Signal, 1), make(lineReader, 1)
	go reload(ctx, hangups, file, slog.New(slog.NewJSONHandler(lines, nil)))
	hangups <- syscall.SIGHUP
	return <-lines
}
