package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// heard is what an endpoint said at a time.
type heard struct {
	at      time.Duration
	life    Incarnation
	request Backpressure
}

func TestStanding(t *testing.T) {
	a := Incarnation{ID: "a", Started: 1000}
	for _, test := range []struct {
		name  string
		heard []heard
		life  Incarnation
		at    time.Duration
		until time.Duration
	}{
		{"nothing was asked", nil, a, second, 0},
		{"an answer that asks for nothing", []heard{{second, a, Backpressure{}}}, a, second, 0},
		{"leaves", []heard{{second, a, Backpressure{Draining: true}}}, a, 100 * second, Forever},
		{"a later answer without the wish", []heard{{second, a, Backpressure{Draining: true}}, {2 * second, a, Backpressure{}}}, a, 3 * second, Forever},
		{"held", []heard{{second, a, Backpressure{RetryAfter: 5 * second}}}, a, 2 * second, 6 * second},
		{"the hold is over", []heard{{second, a, Backpressure{RetryAfter: 5 * second}}}, a, 6 * second, 0},
		{"a shorter hold later", []heard{{second, a, Backpressure{RetryAfter: 5 * second}}, {2 * second, a, Backpressure{RetryAfter: second}}}, a, 3 * second, 6 * second},
		{"a longer hold later", []heard{{second, a, Backpressure{RetryAfter: second}}, {2 * second, a, Backpressure{RetryAfter: 5 * second}}}, a, 3 * second, 7 * second},
		{"absurd hold", []heard{{second, a, Backpressure{RetryAfter: 1 << 62}}}, a, 2 * second, second + longestWait},
		{"leaves while held", []heard{{second, a, Backpressure{RetryAfter: second}}, {second, a, Backpressure{Draining: true}}}, a, 50 * second, Forever},
		{"another endpoint", []heard{{second, a, Backpressure{Draining: true}}}, Incarnation{ID: "b", Started: 1000}, 2 * second, 0},
		{"next life under the same identity", []heard{{second, a, Backpressure{Draining: true}}}, Incarnation{ID: "a", Started: 2000}, 2 * second, 0},
		{"a row that does not tell the start", []heard{{second, a, Backpressure{Draining: true}}}, Incarnation{ID: "a"}, 2 * second, Forever},
		{"the next life asks", []heard{{second, a, Backpressure{Draining: true}}, {2 * second, Incarnation{"a", 2000}, Backpressure{RetryAfter: second}}}, Incarnation{"a", 2000}, 2 * second, 3 * second},
	} {
		b := NewTracker()
		for _, h := range test.heard {
			b.Record(h.at, h.life, h.request)
		}
		s := b.State(test.at, test.life)
		require.Equal(t, test.until, s.BlockedUntil(), test.name)
		require.Equal(t, test.until <= test.at, s.Admits(test.at), test.name)
	}
}

func TestHearTellsChanges(t *testing.T) {
	b := NewTracker()
	a := Incarnation{ID: "a", Started: 1000}
	_, changed := b.Record(second, a, Backpressure{Draining: true})
	require.True(t, changed)
	s, changed := b.Record(2*second, a, Backpressure{Draining: true})
	require.True(t, s.Draining())
	require.False(t, changed, "said in every answer, told once")
}

func TestForget(t *testing.T) {
	b := NewTracker()
	held, leaving := Incarnation{ID: "held"}, Incarnation{ID: "leaving"}
	b.Record(0, held, Backpressure{RetryAfter: second})
	b.Record(0, leaving, Backpressure{Draining: true})
	b.Expire(2 * second)
	require.Len(t, b.lives, 1)
	require.True(t, b.State(2*second, leaving).Draining())
	b.Expire(kept + second)
	require.Empty(t, b.lives)
}

func TestBookIsBounded(t *testing.T) {
	b := NewTracker()
	for i := range maxLives + 10 {
		b.Record(time.Duration(i), Incarnation{ID: fmt.Sprint(i)}, Backpressure{Draining: true})
	}
	require.Len(t, b.lives, maxLives)
	require.False(t, b.State(second, Incarnation{ID: "0"}).Draining())
	require.True(t, b.State(second, Incarnation{ID: fmt.Sprint(maxLives)}).Draining())
}
