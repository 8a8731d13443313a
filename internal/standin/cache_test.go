package standin_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

// clock is a fake clock that may be read from several goroutines.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func newClock() *clock { return &clock{at: time.Unix(1_000, 0)} }

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(d)
}

func (s serving) events(t *testing.T, after uint64) []standin.CacheEvent {
	t.Helper()
	response, err := http.Get(s.server.URL + engines.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10))
	require.NoError(t, err)
	defer response.Body.Close()
	var events standin.CacheEvents
	require.NoError(t, json.NewDecoder(response.Body).Decode(&events))
	return events.Events
}

func (s serving) prompt(t *testing.T, prompt string) {
	t.Helper()
	body, err := json.Marshal(standin.CompletionRequest{Prompt: prompt, MaxTokens: 1})
	require.NoError(t, err)
	response, err := http.Post(s.server.URL+engines.PathCompletions, "application/json", strings.NewReader(string(body)))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func block(letter string) string { return strings.Repeat(letter, standin.CacheBlockBytes) }

func TestCacheEvents(t *testing.T) {
	s := newServing(t, standin.WithCacheBlocks(2))
	start := s.events(t, 0)
	last := start[len(start)-1].Sequence
	s.prompt(t, block("a")+block("b"))
	s.prompt(t, block("a")+"tail") // all whole blocks are cached
	s.prompt(t, block("c"))
	ab := standin.CachePrefixes(block("a") + block("b"))
	c := standin.CachePrefixes(block("c"))
	require.Equal(t, []standin.CacheEvent{
		{Sequence: last + 1, Kind: standin.CacheStored, Prefix: ab[0]},
		{Sequence: last + 2, Kind: standin.CacheStored, Prefix: ab[1]},
		{Sequence: last + 3, Kind: standin.CacheEvicted, Prefix: ab[1]},
		{Sequence: last + 4, Kind: standin.CacheStored, Prefix: c[0]},
	}, s.events(t, last))
}

func TestCacheEventsAreLate(t *testing.T) {
	clock := newClock()
	s := newServing(t, standin.WithCacheEvents(time.Minute, 0), standin.WithEngineClock(clock.now))
	s.prompt(t, block("a"))
	require.Empty(t, s.events(t, 0))
	clock.advance(time.Minute)
	require.NotEmpty(t, s.events(t, 0))
}

func TestCacheEventsHaveGaps(t *testing.T) {
	const prompts = 100
	s := newServing(t, standin.WithCacheEvents(0, 0.3), standin.WithEngineSeed(7))
	for i := range prompts {
		s.prompt(t, block(string(rune('A'+i%26)))+block(strconv.Itoa(i%10)))
	}
	events := s.events(t, 0)
	span := events[len(events)-1].Sequence - events[0].Sequence + 1
	require.Less(t, uint64(len(events)), span)
	for i := 1; i < len(events); i++ {
		require.Greater(t, events[i].Sequence, events[i-1].Sequence)
	}
}
