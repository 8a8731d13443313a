package soak

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/logbook"
)

// scheduleFile holds the schedule and the violations of a run, beside the logs.
const scheduleFile = "schedule.txt"

// around is how long before and after the lines of a request the schedule counts as
// what may have caused them.
const around = 4 * time.Second

// Explain returns what the logs of a run hold on a request, in the order of time, with
// what the soak did around it, and the cause last.
func Explain(logs, request string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(logs, "*.log"))
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	story, err := logbook.Explain(request, files, nil)
	if err != nil {
		return nil, err
	}
	schedule, err := os.ReadFile(filepath.Join(logs, scheduleFile))
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	lines := merge(story.Lines(), strings.Split(strings.TrimSpace(string(schedule)), "\n"), request)
	return append(lines, "cause: "+story.Cause()), nil
}

// merge puts the part of a schedule that is near the lines between them.
func merge(lines []logbook.Line, schedule []string, request string) []string {
	type entry struct {
		clock, text string
	}
	var entries []entry
	for _, l := range lines {
		entries = append(entries, entry{l.At.UTC().Format(clockFormat), l.Text()})
	}
	for _, s := range schedule {
		if strings.HasPrefix(s, "VIOLATION") {
			if strings.Contains(s, request+" ") {
				entries = append(entries, entry{"~", s})
			}
			continue
		}
		clock, _, _ := strings.Cut(s, " ")
		if near(clock, lines) {
			entries = append(entries, entry{clock, "soak: " + s})
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return strings.Compare(a.clock, b.clock) })
	var out []string
	for _, e := range entries {
		out = append(out, e.text)
	}
	return out
}

// near reports whether a time of day is within what counts as around the lines.
func near(clock string, lines []logbook.Line) bool {
	at, err := time.Parse(clockFormat, clock)
	if err != nil {
		return false // no line of the schedule
	}
	first, last := lines[0].At.UTC(), lines[len(lines)-1].At.UTC()
	day := func(t time.Time) time.Duration {
		return t.Sub(time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC))
	}
	return day(at) > day(first)-around && day(at) < day(last)+around
}
