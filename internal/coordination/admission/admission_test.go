package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// signal is backpressure received from an endpoint at a time.
type signal struct {
	at           time.Duration
	incarnation  Incarnation
	backpressure Backpressure
}

func TestState(t *testing.T) {
	a := Incarnation{ID: "a", Started: 1000}
	for _, test := range []struct {
		name    string
		signals []signal
		subject Incarnation
		at      time.Duration
		until   time.Duration
	}{
		{"no signal", nil, a, second, 0},
		{"response without a signal", []signal{{second, a, Backpressure{}}}, a, second, 0},
		{"draining", []signal{{second, a, Backpressure{Draining: true}}}, a, 100 * second, Forever},
		{"later response without the signal", []signal{{second, a, Backpressure{Draining: true}}, {2 * second, a, Backpressure{}}}, a, 3 * second, Forever},
		{"retry delay", []signal{{second, a, Backpressure{RetryAfter: 5 * second}}}, a, 2 * second, 6 * second},
		{"retry delay has passed", []signal{{second, a, Backpressure{RetryAfter: 5 * second}}}, a, 6 * second, 0},
		{"shorter delay later", []signal{{second, a, Backpressure{RetryAfter: 5 * second}}, {2 * second, a, Backpressure{RetryAfter: second}}}, a, 3 * second, 6 * second},
		{"longer delay later", []signal{{second, a, Backpressure{RetryAfter: second}}, {2 * second, a, Backpressure{RetryAfter: 5 * second}}}, a, 3 * second, 7 * second},
		{"delay above the maximum", []signal{{second, a, Backpressure{RetryAfter: 1 << 62}}}, a, 2 * second, second + maxRetryAfter},
		{"draining during a retry delay", []signal{{second, a, Backpressure{RetryAfter: second}}, {second, a, Backpressure{Draining: true}}}, a, 50 * second, Forever},
		{"other endpoint", []signal{{second, a, Backpressure{Draining: true}}}, Incarnation{ID: "b", Started: 1000}, 2 * second, 0},
		{"next incarnation under the same identity", []signal{{second, a, Backpressure{Draining: true}}}, Incarnation{ID: "a", Started: 2000}, 2 * second, 0},
		{"row without a start time", []signal{{second, a, Backpressure{Draining: true}}}, Incarnation{ID: "a"}, 2 * second, Forever},
		{"signal from the next incarnation", []signal{{second, a, Backpressure{Draining: true}}, {2 * second, Incarnation{"a", 2000}, Backpressure{RetryAfter: second}}}, Incarnation{"a", 2000}, 2 * second, 3 * second},
	} {
		tracker := NewTracker()
		for _, h := range test.signals {
			tracker.Record(h.at, h.incarnation, h.backpressure)
		}
		s := tracker.State(test.at, test.subject)
		require.Equal(t, test.until, s.BlockedUntil(), test.name)
		require.Equal(t, test.until <= test.at, s.Admits(test.at), test.name)
	}
}

func TestRecordReportsChanges(t *testing.T) {
	tracker := NewTracker()
	a := Incarnation{ID: "a", Started: 1000}
	_, changed := tracker.Record(second, a, Backpressure{Draining: true})
	require.True(t, changed)
	s, changed := tracker.Record(2*second, a, Backpressure{Draining: true})
	require.True(t, s.Draining())
	require.False(t, changed, "an endpoint repeats the signal in every response; only the first is a change")
}

func TestExpire(t *testing.T) {
	tracker := NewTracker()
	delayed, draining := Incarnation{ID: "delayed"}, Incarnation{ID: "draining"}
	tracker.Record(0, delayed, Backpressure{RetryAfter: second})
	tracker.Record(0, draining, Backpressure{Draining: true})
	tracker.Expire(2 * second)
	require.Len(t, tracker.entries, 1)
	require.True(t, tracker.State(2*second, draining).Draining())
	tracker.Expire(drainingTTL + second)
	require.Empty(t, tracker.entries)
}

func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range maxEntries + 10 {
		tracker.Record(time.Duration(i), Incarnation{ID: fmt.Sprint(i)}, Backpressure{Draining: true})
	}
	require.Len(t, tracker.entries, maxEntries)
	require.False(t, tracker.State(second, Incarnation{ID: "0"}).Draining())
	require.True(t, tracker.State(second, Incarnation{ID: fmt.Sprint(maxEntries)}).Draining())
}
