package telemetry_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// stalledOutput takes nothing until it is released.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (o *stalledOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

func (o *stalledOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

func report(l *slog.Logger, lines int64) {
	telemetry.LinesDropped.Log(context.Background(), l, "lines", lines)
}

// An output that takes nothing blocks no caller; what is dropped is counted and
// said once it takes lines again.
func TestStalledOutput(t *testing.T) {
	out := &stalledOutput{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	w := telemetry.NewBoundedWriter(ctx, out, report)
	begun := time.Now()
	const lines = 5000
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(begun), time.Second)
	require.Positive(t, w.Dropped())
	close(out.release)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "linesDropped") }, 5*time.Second, 10*time.Millisecond)
	cancel()
	<-w.Done()
	kept := strings.Count(out.String(), "line ")
	require.Equal(t, int64(lines), int64(kept)+w.Dropped())
}

// Lines that wait at the end are written.
func TestLastLines(t *testing.T) {
	out := &stalledOutput{release: make(chan struct{})}
	close(out.release)
	ctx, cancel := context.WithCancel(t.Context())
	w := telemetry.NewBoundedWriter(ctx, out, report)
	for i := range 50 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	cancel()
	<-w.Done()
	require.Equal(t, 50, strings.Count(out.String(), "line "))
}
