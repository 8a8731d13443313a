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
	life    Life
	request Request
}

func TestStanding(t *testing.T) {
	a := Life{ID: "a", Started: 1000}
	for _, test := range []struct {
		name  string
		heard []heard
		life  Life
		at    time.Duration
		until time.Duration
	}{
		{"nothing was asked", nil, a, second, 0},
		{"an answer that asks for nothing", []heard{{second, a, Request{}}}, a, second, 0},
		{"leaves", []heard{{second, a, Request{Leaving: true}}}, a, 100 * second, Forever},
		{"a later answer without the wish", []heard{{second, a, Request{Leaving: true}}, {2 * second, a, Request{}}}, a, 3 * second, Forever},
		{"held", []heard{{second, a, Request{Wait: 5 * second}}}, a, 2 * second, 6 * second},
		{"the hold is over", []heard{{second, a, Request{Wait: 5 * second}}}, a, 6 * second, 0},
		{"a shorter hold later", []heard{{second, a, Request{Wait: 5 * second}}, {2 * second, a, Request{Wait: second}}}, a, 3 * second, 6 * second},
		{"a longer hold later", []heard{{second, a, Request{Wait: second}}, {2 * second, a, Request{Wait: 5 * second}}}, a, 3 * second, 7 * second},
		{"absurd hold", []heard{{second, a, Request{Wait: 1 << 62}}}, a, 2 * second, second + longestWait},
		{"leaves while held", []heard{{second, a, Request{Wait: second}}, {second, a, Request{Leaving: true}}}, a, 50 * second, Forever},
		{"another endpoint", []heard{{second, a, Request{Leaving: true}}}, Life{ID: "b", Started: 1000}, 2 * second, 0},
		{"next life under the same identity", []heard{{second, a, Request{Leaving: true}}}, Life{ID: "a", Started: 2000}, 2 * second, 0},
		{"a row that does not tell the start", []heard{{second, a, Request{Leaving: true}}}, Life{ID: "a"}, 2 * second, Forever},
		{"the next life asks", []heard{{second, a, Request{Leaving: true}}, {2 * second, Life{"a", 2000}, Request{Wait: second}}}, Life{"a", 2000}, 2 * second, 3 * second},
	} {
		b := NewBook()
		for _, h := range test.heard {
			b.Hear(h.at, h.life, h.request)
		}
		s := b.Standing(test.at, test.life)
		require.Equal(t, test.until, s.Until(), test.name)
		require.Equal(t, test.until <= test.at, s.Admits(test.at), test.name)
	}
}

func TestHearTellsChanges(t *testing.T) {
	b := NewBook()
	a := Life{ID: "a", Started: 1000}
	_, changed := b.Hear(second, a, Request{Leaving: true})
	require.True(t, changed)
	s, changed := b.Hear(2*second, a, Request{Leaving: true})
	require.True(t, s.Leaving())
	require.False(t, changed, "said in every answer, told once")
}

func TestForget(t *testing.T) {
	b := NewBook()
	held, leaving := Life{ID: "held"}, Life{ID: "leaving"}
	b.Hear(0, held, Request{Wait: second})
	b.Hear(0, leaving, Request{Leaving: true})
	b.Forget(2 * second)
	require.Len(t, b.lives, 1)
	require.True(t, b.Standing(2*second, leaving).Leaving())
	b.Forget(kept + second)
	require.Empty(t, b.lives)
}

func TestBookIsBounded(t *testing.T) {
	b := NewBook()
	for i := range maxLives + 10 {
		b.Hear(time.Duration(i), Life{ID: fmt.Sprint(i)}, Request{Leaving: true})
	}
	require.Len(t, b.lives, maxLives)
	require.False(t, b.Standing(second, Life{ID: "0"}).Leaving())
	require.True(t, b.Standing(second, Life{ID: fmt.Sprint(maxLives)}).Leaving())
}
