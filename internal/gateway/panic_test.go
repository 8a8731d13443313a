package gateway

import (
	"context"
	"os"
	"os/exec"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// panicVariable is the environment variable that makes the test process panic in its
// background work.
const panicVariable = "PRIMROSETALLY_TEST_BROKEN_LOOP"

// A panic in a background loop must end the process, which is then restarted. A
// process that continues without the loop would appear alive and do only part of its
// work.
func TestPanicEndsProcess(t *testing.T) {
	if os.Getenv(panicVariable) != "" {
		var shouldPanic atomic.Bool
		g := New(Identity{}, Codec{}, WithClock(func() time.Duration {
			if shouldPanic.CompareAndSwap(true, false) {
				panic("broken clock")
			}
			return time.Second
		}))
		shouldPanic.Store(true)
		<-g.Start(t.Context())
		return
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	process := exec.CommandContext(ctx, os.Args[0], "-test.run=TestPanicEndsProcess$")
	process.Env = append(os.Environ(), panicVariable+"=1")
	output, err := process.CombinedOutput()
	require.NoError(t, ctx.Err(), "the process did not end")
	require.Error(t, err)
	require.Contains(t, string(output), "broken clock")
}
