package logbook

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Count is how many requests share something.
type Count struct {
	Name  string
	Count int
}

// Second counts the requests that ended within one second, by outcome.
type Second struct {
	At       time.Time
	Outcomes []Count
}

// Summary counts the requests in logs by how they ended.
type Summary struct {
	requests  int
	reasons   map[string]int
	routes    map[string]int
	accounts  map[string]int
	processes map[string]int
	events    map[string]int
	seconds   map[int64]map[string]int
	lost      int // lines that processes dropped
	missing   int // requests of the counts of entries
	other     int
}

// Requests returns the number of requests that ended.
func (u *Summary) Requests() int { return u.requests }

// Reasons returns the requests that were not answered whole, by outcome and reason.
func (u *Summary) Reasons() []Count { return sorted(u.reasons) }

// Routes returns the requests that were not answered whole, by route.
func (u *Summary) Routes() []Count { return sorted(u.routes) }

// Accounts returns the requests that were not answered whole, by client account.
func (u *Summary) Accounts() []Count { return sorted(u.accounts) }

// Processes returns the requests that were not answered whole, by entry.
func (u *Summary) Processes() []Count { return sorted(u.processes) }

// Events returns the lines that tell of a change or a fault, by event.
func (u *Summary) Events() []Count { return sorted(u.events) }

// Lost returns the number of lines that processes dropped.
func (u *Summary) Lost() int { return u.lost }

// Missing returns the number of requests that ended, by the counts that entries log at their
// stop, without an answer, a refusal or a stated cause.
func (u *Summary) Missing() int { return u.missing }

// Seconds returns the outcomes second by second.
func (u *Summary) Seconds() []Second {
	var list []Second
	for _, at := range slices.Sorted(maps.Keys(u.seconds)) {
		list = append(list, Second{At: time.Unix(at, 0).UTC(), Outcomes: sorted(u.seconds[at])})
	}
	return list
}

// sorted returns counts with the largest first.
func sorted(counts map[string]int) []Count {
	list := make([]Count, 0, len(counts))
	for name, n := range counts {
		list = append(list, Count{Name: name, Count: n})
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Summarise reads the logs from sources and counts what they tell.
func Summarise(sources []string, stdin io.Reader) (*Summary, error) {
	u := &Summary{
		reasons: make(map[string]int), routes: make(map[string]int), accounts: make(map[string]int),
		processes: make(map[string]int), events: make(map[string]int), seconds: make(map[int64]map[string]int),
	}
	r, err := scan(sources, stdin, u.take)
	u.other = r.other
	return u, err
}

func (u *Summary) take(l Line) {
	if !is(l, telemetry.FleetRequestEnded) {
		u.events[l.Event]++
		if is(l, telemetry.LinesDropped) {
			u.lost += l.Lines
		}
		u.missing += l.Missing
		return
	}
	u.requests++
	second := l.At.Unix()
	if u.seconds[second] == nil {
		u.seconds[second] = make(map[string]int)
	}
	u.seconds[second][l.Outcome]++
	if l.Outcome == "answered" {
		return
	}
	u.reasons[named(l.Outcome+": "+whyOf(l))]++
	u.routes[named(l.Route)]++
	u.accounts[named(l.Account)]++
	u.processes[named(l.Process)]++
}

// whyOf returns why a request was not answered whole. That of a caller that left follows from
// the cause.
func whyOf(l Line) string {
	if l.Outcome == "callerLeft" {
		return cmp.Or(l.Cause, l.Reason)
	}
	return l.Reason
}

// named makes a missing name visible.
func named(text string) string {
	text = strings.TrimSuffix(text, ": ")
	if text == "" {
		return "(none)"
	}
	return text
}

// mostNamed bounds each list of the text.
const mostNamed = 12

// WriteText writes the summary for a reader.
func (u *Summary) WriteText(w io.Writer) error {
	var b strings.Builder
	section := func(title string, list []Count) {
		if len(list) == 0 {
			return
		}
		fmt.Fprintf(&b, "\n%s:\n", title)
		for i, c := range list {
			if i == mostNamed {
				fmt.Fprintf(&b, "          and %d more\n", len(list)-i)
				break
			}
			fmt.Fprintf(&b, "  %7d %s\n", c.Count, c.Name)
		}
	}
	fmt.Fprintf(&b, "%d requests ended, %d of them not answered whole\n", u.requests, total(u.reasons))
	if u.lost > 0 {
		fmt.Fprintf(&b, "%d lines are missing: the counts are too low\n", u.lost)
	}
	if u.missing != 0 {
		fmt.Fprintf(&b, "%d requests ended without an answer, a refusal or a cause, by the counts of their entries\n", u.missing)
	}
	section("not answered whole, by outcome and reason", u.Reasons())
	section("by route", u.Routes())
	section("by account", u.Accounts())
	section("by entry", u.Processes())
	section("other lines", u.Events())
	fmt.Fprintf(&b, "\nsecond by second:\n")
	for _, s := range u.Seconds() {
		fmt.Fprintf(&b, "  %s", s.At.Format("15:04:05"))
		for _, c := range s.Outcomes {
			fmt.Fprintf(&b, "  %s %d", c.Name, c.Count)
		}
		b.WriteString("\n")
	}
	if u.other > 0 {
		fmt.Fprintf(&b, "\n%d lines are not of the log\n", u.other)
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write a summary")
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
