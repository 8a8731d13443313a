package telemetry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a BoundedWriter.
const (
	// linesQueued is the number of lines that wait for the output.
	linesQueued = 512
	// linesPerSecond and linesBurst are the budget of lines: a few lines for each
	// request that an entry serves at its limit.
	linesPerSecond = 400
	linesBurst     = 1200
	// flushInterval bounds how long a line waits for others to be written with it.
	flushInterval = 100 * time.Millisecond
)

// BoundedWriter hands lines to an output without ever waiting for it. Lines beyond
// its budget or its queue are dropped and counted.
type BoundedWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	report  func(l *slog.Logger, lines int64)

	mu     sync.Mutex
	tokens float64
	filled time.Time
	now    func() time.Time
}

// NewBoundedWriter returns a writer that writes to out until ctx ends; the lines
// that wait then are still written. Done is closed afterwards. Report logs to the
// output how many lines were dropped since it last did.
func NewBoundedWriter(ctx context.Context, out io.Writer, report func(l *slog.Logger, lines int64)) *BoundedWriter {
	b := &BoundedWriter{
		report: report,
		lines:  make(chan []byte, linesQueued),
		done:   make(chan struct{}),
		tokens: linesBurst,
		filled: time.Now(),
		now:    time.Now,
	}
	go b.run(ctx, out)
	return b
}

// Done is closed when the last line is out.
func (b *BoundedWriter) Done() <-chan struct{} { return b.done }

// Dropped returns how many lines were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Write implements io.Writer. It takes one line and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.take() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

func (b *BoundedWriter) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*linesPerSecond, linesBurst)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *BoundedWriter) run(ctx context.Context, out io.Writer) {
	defer close(b.done)
	logger := slog.New(slog.NewJSONHandler(out, nil))
	reported := int64(0)
	for {
		select {
		case line := <-b.lines:
			b.write(out, line)
		case <-ctx.Done():
			b.rest(out)
			return
		}
		if dropped := b.dropped.Load(); dropped > reported {
			b.report(logger, dropped-reported)
			reported = dropped
		}
	}
}

// write writes a line together with those that come within the flush interval.
func (b *BoundedWriter) write(out io.Writer, line []byte) {
	time.Sleep(flushInterval)
	for {
		select {
		case next := <-b.lines:
			line = append(line, next...)
		default:
			// There is nowhere to report an output that fails.
			_, _ = out.Write(line)
			return
		}
	}
}

func (b *BoundedWriter) rest(out io.Writer) {
	for {
		select {
		case line := <-b.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}
