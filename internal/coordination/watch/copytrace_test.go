package watch_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
)

// copyTrace records what happened to the copies of the entries.
type copyTrace struct {
	mu     sync.Mutex
	events []copyEvent
}

type copyEvent struct {
	at      time.Duration
	address string // of the entry, empty for the store
	text    string
}

func (t *copyTrace) add(address, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, copyEvent{at: copyTime(), address: address, text: fmt.Sprintf(format, args...)})
}

// since returns the events from a time on, one a line.
func (t *copyTrace) since(start time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	slices.SortStableFunc(t.events, func(a, b copyEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.address, b.address))
	})
	for _, e := range t.events {
		if e.at >= start {
			fmt.Fprintf(&b, "%9.4fs %s %s\n", (e.at - start).Seconds(), e.address, e.text)
		}
	}
	return b.String()
}

// maxRowsShown is the number of an update's newest rows that the trace shows.
const maxRowsShown = 8

func updateText(u watch.Update) string {
	var b strings.Builder
	fmt.Fprintf(&b, "position %v, full %t, floor %d, %d rows", u.Position, u.Full, u.Floor, len(u.Rows))
	rows := slices.SortedFunc(slices.Values(u.Rows), func(a, b watch.Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	for _, r := range rows[max(0, len(rows)-maxRowsShown):] {
		fmt.Fprintf(&b, " %s", rowText(r))
	}
	return b.String()
}

// rowText returns a row's key and version, with a minus sign if it was removed.
func rowText(r watch.Row) string {
	sign := ""
	if r.Deleted {
		sign = "-"
	}
	return fmt.Sprintf("%s%s@%d", sign, r.Key, r.Version)
}
