package main_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

const (
	poisonRounds   = 3
	poisonRepeats  = 30 // in each round; all endpoints serve at its start
	maxPoisonCrash = 3
)

// A request that crashes every endpoint which runs it, sent again and again
// through all entries, takes down three endpoints at most, and the endpoints
// come back into service with their weights.
func TestPoisonousRequestTakesDownFewEndpoints(t *testing.T) {
	d := newDeployment(t)
	first := d.publish(t, "1")
	d.submit(t, first, "1", 0)
	waitServing(t, first, d.agents[:3]...)
	c := d.startCallers(first)
	defer c.end()
	c.waitAnswers(t, phaseAnswers)
	poisoner := &callers{deployment: d, client: &http.Client{Timeout: conditionWait}, outcomes: map[string]int{}}
	body, err := json.Marshal(standin.CompletionRequest{Prompt: standin.PoisonMarker, MaxTokens: answerTokens, Stream: true})
	require.NoError(t, err)
	for range poisonRounds {
		for i := range poisonRepeats {
			outcome, _ := poisoner.send(d.base(i%len(d.entries))+modelService+engines.PathCompletions, body, "")
			require.NotEqual(t, entry.OutcomeAnswered, outcome)
		}
		waitServing(t, first, d.agents[:3]...)
	}
	t.Logf("outcomes of the poisonous request: %v", poisoner.outcomes)
	crashes := uint64(0)
	for _, url := range d.engines {
		crashes += engineCounts(t, url).Crashes
	}
	t.Logf("%d crashes", crashes)
	require.LessOrEqual(t, crashes, uint64(maxPoisonCrash))
	require.NotZero(t, crashes, "the poison had no effect")
	c.waitAnswers(t, phaseAnswers)
	c.end()
	c.check(t)
}

func engineCounts(t *testing.T, url string) standin.EngineCounts {
	t.Helper()
	answer, err := http.Get(url + standin.PathControl)
	require.NoError(t, err)
	defer answer.Body.Close()
	var counts standin.EngineCounts
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&counts))
	return counts
}
