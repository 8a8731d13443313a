package main_test

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Answers that callers get in each phase of a run before the next fault.
const phaseAnswers = 40

// Streams that are open when a process is told to stop.
const streamsAStop = 24

// A second version is rolled out while callers send requests, one agent is
// killed and one entry frozen.
func TestRolloutWithKilledAgentAndFrozenEntry(t *testing.T) {
	d := newDeployment(t)
	first := d.publish(t, "1")
	d.submit(t, first, "1", 0)
	waitServing(t, first, d.agents[:3]...)
	second := d.publish(t, "2")
	c := d.startCallers(first, second)
	defer c.end()
	c.waitAnswers(t, phaseAnswers)

	frozen, killed := d.entries[1], d.agents[0]
	frozen.signal(t, syscall.SIGSTOP)
	d.submit(t, second, "2", 1)
	waitFor(t, "the agent to be killed wants the second version", func() bool {
		return bytes.Equal(report(killed).GetWantedDigest(), second[:])
	})
	killed.signal(t, syscall.SIGKILL)
	<-killed.ended
	d.delist(t, killed.name)
	waitServing(t, second, d.agents[1:3]...)
	c.waitAnswers(t, phaseAnswers)

	frozen.signal(t, syscall.SIGCONT)
	waitFor(t, "the thawed entry follows revision 2", func() bool { return revision(frozen) == 2 })
	d.agents[0] = d.startAgent(t, 0, modelService, d.engines[0])
	waitServing(t, second, d.agents[:3]...)
	c.waitAnswers(t, phaseAnswers)
	c.end()
	c.check(t)
	require.Zero(t, c.count(""))
	d.stopAll(t)
}

// stopAll stops every process gracefully.
func (d *deployment) stopAll(t *testing.T) {
	t.Helper()
	for _, p := range append(d.entries, d.agents...) {
		p.signal(t, syscall.SIGTERM)
	}
	for _, p := range append(d.entries, d.agents...) {
		<-p.ended
		require.NoError(t, p.err)
	}
}

// A killed agent of the plain service leaves no booking run twice and none told
// "not run" that ran.
func TestKilledAgentOfPlainService(t *testing.T) {
	d := newDeployment(t)
	first := d.publish(t, "1")
	d.submit(t, first, "1", 0)
	waitServing(t, first, d.agents[:3]...)
	c := d.startCallers(first)
	defer c.end()
	for range 2 {
		c.waitAnswers(t, phaseAnswers)
		killed := d.agents[3]
		killed.signal(t, syscall.SIGKILL)
		<-killed.ended
		d.agents[3] = d.startAgent(t, 3, plainService, d.plain)
	}
	waitFor(t, "bookings run again", func() bool {
		outcome, _ := c.send(d.base(0)+plainService+"/bookings", []byte("seats"), "")
		return outcome == entry.OutcomeAnswered
	})
	c.end()
	c.check(t)
}

// Streams in progress are whole although the process that carries them is told
// to stop; it takes no new work meanwhile and ends with status 0.
func TestPlannedStopsCutOffNothing(t *testing.T) {
	tests := []struct {
		name    string
		stop    func(d *deployment) *proc
		leaving func(p *proc) bool
	}{
		{"agent", func(d *deployment) *proc { return d.agents[0] }, func(p *proc) bool {
			return report(p).GetState() == nodev1.EndpointState_ENDPOINT_STATE_LEAVING
		}},
		{"entry", func(d *deployment) *proc { return d.entries[0] }, func(p *proc) bool { return !ready(p) }},
	}
	d := newDeployment(t)
	first := d.publish(t, "1")
	d.submit(t, first, "1", 0)
	waitServing(t, first, d.agents[:3]...)
	c := &callers{deployment: d, client: http.DefaultClient, allowed: []digest.Digest{first}, outcomes: map[string]int{}}
	for _, tt := range tests {
		before := c.count(entry.OutcomeAnswered)
		d.controlEngines(t, `{"holdTokens":true}`)
		for i := range streamsAStop {
			c.running.Go(func() { c.complete(d.base(0), fmt.Sprintf("%s %d", tt.name, i)) })
		}
		waitFor(t, "all streams are in progress", func() bool { return d.inFlight() == streamsAStop })
		stopped := tt.stop(d)
		stopped.signal(t, syscall.SIGTERM)
		waitFor(t, tt.name+" is leaving", func() bool { return tt.leaving(stopped) })
		require.True(t, stopped.running(), "%s ended under open streams", tt.name)
		d.controlEngines(t, `{"holdTokens":false}`)
		c.running.Wait()
		require.Empty(t, c.faults, tt.name)
		require.Equal(t, before+streamsAStop, c.count(entry.OutcomeAnswered), "%s: outcomes %v", tt.name, c.outcomes)
		<-stopped.ended
		require.NoError(t, stopped.err)
	}
}

// One call through separate processes gives one trace, whose spans the processes
// wrote to their files.
func TestTraceAcrossProcesses(t *testing.T) {
	d := newDeployment(t)
	first := d.publish(t, "1")
	d.submit(t, first, "1", 0)
	waitServing(t, first, d.agents[:3]...)
	file := d.spanFile("caller")
	waitFor(t, "the entry knows an endpoint", func() bool { return d.callOnce(file) })
	d.stopAll(t)
	calls := spansOf(t, file)
	last := calls[len(calls)-1].SpanContext.TraceID
	found := map[string]bool{}
	for _, p := range append([]*proc{d.entries[0]}, d.agents...) {
		for _, s := range spansOf(t, d.spanFile(p.name)) {
			if s.SpanContext.TraceID == last {
				found[s.Name] = true
			}
		}
	}
	for _, name := range []string{telemetry.SpanEntry, telemetry.SpanAttempt, telemetry.SpanAgent, telemetry.SpanEngine} {
		require.True(t, found[name], "no span %s in the trace of the call: %v", name, found)
	}
}
