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
	incarnation  Life
	backpressure Request
}

func TestState(t *testing.T) {
	a := Life{ID: "a", Started: 1000}
	for _, test := range []struct {
		name    string
		signals []signal
		subject Life
		at      time.Duration
		until   time.Duration
	}{
		{"no signal", nil, a, second, 0},
		{"response without a signal", []signal{{second, a, Request{}}}, a, second, 0},
		{"draining", []signal{{second, a, Request{Leaving: true}}}, a, 100 * second, Forever},
		{"later response without the signal", []signal{{second, a, Request{Leaving: true}}, {2 * second, a, Request{}}}, a, 3 * second, Forever},
		{"retry delay", []signal{{second, a, Request{Wait: 5 * second}}}, a, 2 * second, 6 * second},
		{"retry delay has passed", []signal{{second, a, Request{Wait: 5 * second}}}, a, 6 * second, 0},
		{"shorter delay later", []signal{{second, a, Request{Wait: 5 * second}}, {2 * second, a, Request{Wait: second}}}, a, 3 * second, 6 * second},
		{"longer delay later", []signal{{second, a, Request{Wait: second}}, {2 * second, a, Request{Wait: 5 * second}}}, a, 3 * second, 7 * second},
		{"delay above the maximum", []signal{{second, a, Request{Wait: 1 << 62}}}, a, 2 * second, second + maxRetryAfter},
		{"draining during a retry delay", []signal{{second, a, Request{Wait: second}}, {second, a, Request{Leaving: true}}}, a, 50 * second, Forever},
		{"other endpoint", []signal{{second, a, Request{Leaving: true}}}, Life{ID: "b", Started: 1000}, 2 * second, 0},
		{"next incarnation under the same identity", []signal{{second, a, Request{Leaving: true}}}, Life{ID: "a", Started: 2000}, 2 * second, 0},
		{"row without a start time", []signal{{second, a, Request{Leaving: true}}}, Life{ID: "a"}, 2 * second, Forever},
		{"signal from the next incarnation", []signal{{second, a, Request{Leaving: true}}, {2 * second, Life{"a", 2000}, Request{Wait: second}}}, Life{"a", 2000}, 2 * second, 3 * second},
	} {
		b := NewBook()
		for _, h := range test.signals {
			b.Hear(h.at, h.incarnation, h.backpressure)
		}
		s := b.Standing(test.at, test.subject)
		require.Equal(t, test.until, s.Until(), test.name)
		require.Equal(t, test.until <= test.at, s.Admits(test.at), test.name)
	}
}

func TestRecordReportsChanges(t *testing.T) {
	b := NewBook()
	a := Life{ID: "a", Started: 1000}
	_, changed := b.Hear(second, a, Request{Leaving: true})
	require.True(t, changed)
	s, changed := b.Hear(2*second, a, Request{Leaving: true})
	require.True(t, s.Leaving())
	require.False(t, changed, "an endpoint repeats the signal in every response; only the first is a change")
}

func TestExpire(t *testing.T) {
	b := NewBook()
	delayed, draining := Life{ID: "delayed"}, Life{ID: "draining"}
	b.Hear(0, delayed, Request{Wait: second})
	b.Hear(0, draining, Request{Leaving: true})
	b.Forget(2 * second)
	require.Len(t, b.entries, 1)
	require.True(t, b.Standing(2*second, draining).Leaving())
	b.Forget(drainingTTL + second)
	require.Empty(t, b.entries)
}

func TestTrackerIsBounded(t *testing.T) {
	b := NewBook()
	for i := range maxEntries + 10 {
		b.Hear(time.Duration(i), Life{ID: fmt.Sprint(i)}, Request{Leaving: true})
	}
	require.Len(t, b.entries, maxEntries)
	require.False(t, b.Standing(second, Life{ID: "0"}).Leaving())
	require.True(t, b.Standing(second, Life{ID: fmt.Sprint(maxEntries)}).Leaving())
}
