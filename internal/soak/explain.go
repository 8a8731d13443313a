package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// scheduleFile holds the schedule and the violations of a run, beside the logs.
const scheduleFile = "schedule.txt"

// around is how long before and after the lines of a request the schedule counts as
// what may have caused them.
const around = 4 * time.Second

// logLine is what is read of a line of a process.
type logLine struct {
	Time    time.Time `json:"time"`
	Request string    `json:"request"`
	text    string
}

// Explain returns what the logs of a run hold on a request, in the order of time, with
// what the soak did around it.
func Explain(logs, request string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(logs, "*.log"))
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	var lines []logLine
	for _, file := range files {
		found, err := linesOf(file, request)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	slices.SortFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	schedule, err := os.ReadFile(filepath.Join(logs, scheduleFile))
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	return merge(lines, strings.Split(strings.TrimSpace(string(schedule)), "\n"), request), nil
}

// linesOf returns the lines of a process about a request.
func linesOf(file, request string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	defer f.Close()
	var found []logLine
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		var l logLine
		text := scanner.Text()
		if json.Unmarshal([]byte(text), &l) != nil || l.Request != request {
			continue // a panic's trace is no line of the log
		}
		l.text = text
		found = append(found, l)
	}
	return found, eris.Wrap(scanner.Err(), "explain")
}

// merge puts the part of a schedule that is near the lines between them.
func merge(lines []logLine, schedule []string, request string) []string {
	type entry struct {
		clock, text string
	}
	var entries []entry
	for _, l := range lines {
		entries = append(entries, entry{l.Time.UTC().Format(clockFormat), l.text})
	}
	for _, s := range schedule {
		if strings.HasPrefix(s, "VIOLATION") {
			if strings.Contains(s, request+" ") {
				entries = append(entries, entry{"~", s})
			}
			continue
		}
		clock, _, _ := strings.Cut(s, " ")
		if len(lines) > 0 && near(clock, lines) {
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
func near(clock string, lines []logLine) bool {
	at, err := time.Parse(clockFormat, clock)
	if err != nil {
		return false // no line of the schedule
	}
	first, last := lines[0].Time.UTC(), lines[len(lines)-1].Time.UTC()
	day := func(t time.Time) time.Duration {
		return t.Sub(time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC))
	}
	return day(at) > day(first)-around && day(at) < day(last)+around
}
