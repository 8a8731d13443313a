package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The expected response time covers the responses of late, and follows them in both
// directions. A longer prompt adds the time to read it.
func TestResponseTime(t *testing.T) {
	const prompt = 1000
	p := newPool(candidates(1, 8, true))
	receive := func(responses int, times ...time.Duration) {
		for i := range responses {
			c := decisionOf(t, p.Submit(0, Request{Deadline: time.Hour, Prompt: prompt})).Choice()
			p.Release(c.FirstEventDelay()+times[i%len(times)], c, Succeeded)
		}
	}
	firstEvent := p.idleFirstEventDelay(Request{Prompt: prompt})
	require.Zero(t, p.ResponseTime(prompt), "none was received")
	receive(40, 400*ms)
	require.InDelta(t, float64(firstEvent+400*ms), float64(p.ResponseTime(prompt)), float64(5*ms))
	require.Equal(t, prompt*engine.PrefillPerToken, p.ResponseTime(2*prompt)-p.ResponseTime(prompt))
	receive(40, 200*ms, 600*ms, 400*ms, 800*ms)
	require.Greater(t, p.ResponseTime(prompt), firstEvent+800*ms, "responses differ")
	require.Less(t, p.ResponseTime(prompt), firstEvent+2*800*ms)
	receive(80, 100*ms)
	require.InDelta(t, float64(firstEvent+100*ms), float64(p.ResponseTime(prompt)), float64(5*ms))
}

// An attempt that got no whole response says nothing about how long responses take.
func TestResponseTimeOfFailures(t *testing.T) {
	p := newPool(candidates(1, 8, true))
	for _, outcome := range []Outcome{Failed, Broken, Unreachable, Full, Misdirected, Stale, Cancelled} {
		p.SetEndpoints(0, nil)
		p.SetEndpoints(0, candidates(1, 8, true))
		c := decisionOf(t, p.Submit(0, Request{Deadline: time.Hour})).Choice()
		p.Release(time.Second, c, outcome)
		require.Zero(t, p.ResponseTime(0), "outcome %d", outcome)
	}
}
