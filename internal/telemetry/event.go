package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"go.opentelemetry.io/otel/trace"
)

// Keys that every logged event has, the trace's only within a span.
const (
	KeyEventID = "eventId"
	KeyTraceID = "traceId"
)

// Event is one kind of log event. Its number never changes and is never given
// to another event.
type Event struct {
	number int
	name   string
	level  slog.Level
	doc    string
}

// Number returns the number of the event.
func (e Event) Number() int { return e.number }

// Name returns the name, which is the message in the log.
func (e Event) Name() string { return e.name }

// Level returns the level.
func (e Event) Level() slog.Level { return e.level }

// Doc returns what the event means and what an operator does about it.
func (e Event) Doc() string { return e.doc }

// Log writes the event with its number and the arguments, which are as those
// of slog.Logger.Log.
func (e Event) Log(ctx context.Context, logger *slog.Logger, args ...any) {
	if !logger.Enabled(ctx, e.level) {
		return
	}
	all := append(make([]any, 0, len(args)+2), slog.Int(KeyEventID, e.number))
	if span := trace.SpanContextFromContext(ctx); span.HasTraceID() {
		all = append(all, slog.String(KeyTraceID, span.TraceID().String()))
	}
	logger.Log(ctx, e.level, e.name, append(all, args...)...)
}

// WriteCatalogue writes the table of all events in Markdown.
func WriteCatalogue(w io.Writer) error {
	if _, err := fmt.Fprint(w, "| eventId | name | level | meaning and what to do |\n|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, e := range Catalogue() {
		if _, err := fmt.Fprintf(w, "| %d | %s | %s | %s |\n", e.number, e.name, e.level, e.doc); err != nil {
			return err
		}
	}
	return nil
}
