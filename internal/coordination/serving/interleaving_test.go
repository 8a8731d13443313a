package serving_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// modelEngine is an engine that ignores fencing numbers and loads one manifest
// at a time, in the order in which loads reach it.
type modelEngine struct {
	serving digest.Digest
	loads   []digest.Digest
}

func (e *modelEngine) loading() bool { return len(e.loads) > 0 }

// finishLoad ends the oldest load; misload makes the engine serve another digest.
func (e *modelEngine) finishLoad(misload bool) {
	if !e.loading() {
		return
	}
	e.serving = e.loads[0]
	if misload {
		e.serving = digest.Of([]byte("something else"))
	}
	e.loads = e.loads[1:]
}

// crash leaves an engine with nothing staged and nothing served.
func (e *modelEngine) crash() { *e = modelEngine{} }

// step is how far the agent has come with an order.
type step int

const (
	idle step = iota
	draining
	loading
)

// modelAgent carries out orders as the agent does: drain, load, read back, admit.
type modelAgent struct {
	gate   *serving.Controller
	engine *modelEngine
	step   step
	change *serving.Switch
	wanted digest.Digest
	open   []*serving.Admission
}

func (a *modelAgent) order(wanted digest.Digest, fencing uint64) {
	change, err := a.gate.BeginSwitch(fencing)
	if err != nil {
		return
	}
	a.step, a.change, a.wanted = draining, change, wanted
}

func (a *modelAgent) advance(t *rapid.T) {
	switch a.step {
	case draining:
		select {
		case <-a.change.Drained():
		default:
			return
		}
		if len(a.open) > 0 {
			t.Fatal("drained with an attempt in flight")
		}
		a.change.StartLoading()
		a.engine.loads = append(a.engine.loads, a.wanted)
		a.step = loading
	case loading:
		if a.engine.loading() {
			return
		}
		if a.engine.serving == a.wanted {
			a.change.Complete(a.engine.serving)
		} else {
			a.change.Fail()
		}
		a.step = idle
	}
}

// probe closes the gate when the engine serves what the gate does not admit for.
func (a *modelAgent) probe() {
	phase, served := a.gate.Phase()
	if phase == serving.PhaseServing && a.engine.serving != served {
		a.gate.MarkDown()
	}
}

func (a *modelAgent) admit(t *rapid.T, pinned digest.Digest) {
	admission, err := a.gate.Admit(pinned)
	if err != nil {
		return
	}
	d := admission.Digest()
	crashed := a.engine.serving.IsZero() && !a.engine.loading()
	if !crashed && (a.engine.serving != d || a.engine.loading()) {
		t.Fatalf("admitted for %s while the engine serves %s, loading %t", d.Short(), a.engine.serving.Short(), a.engine.loading())
	}
	if !pinned.IsZero() && pinned != d {
		t.Fatalf("pinned to %s, admitted for %s", pinned.Short(), d.Short())
	}
	a.open = append(a.open, admission)
}

// TestNoAdmissionForWhatIsNotServed interleaves orders with new and old fencing
// numbers, attempts, engine crashes, loads of something else, probes that come
// late and agents that restart with nothing kept at any step.
func TestNoAdmissionForWhatIsNotServed(t *testing.T) {
	versions := []digest.Digest{digest.Of([]byte("1")), digest.Of([]byte("2")), digest.Of([]byte("3"))}
	rapid.Check(t, func(t *rapid.T) {
		engine := &modelEngine{}
		a := &modelAgent{gate: serving.NewController(), engine: engine}
		version := rapid.SampledFrom(versions)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				a.order(version.Draw(t, "version"), rapid.Uint64Range(1, 5).Draw(t, "fencing"))
			case 1, 2:
				a.advance(t)
			case 3:
				engine.finishLoad(rapid.IntRange(0, 4).Draw(t, "misload") == 0)
			case 4:
				a.admit(t, digest.Digest{})
			case 5:
				a.admit(t, version.Draw(t, "pinned"))
			case 6:
				if len(a.open) > 0 {
					a.open[0].Done()
					a.open = a.open[1:]
				}
			case 7:
				a.probe()
			case 8:
				if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
					engine.crash()
				}
			case 9:
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					// The engine goes on with the load that the old agent ordered.
					a = &modelAgent{gate: serving.NewController(), engine: engine}
				}
			}
		}
	})
}

func TestSwitchWaitsForAttemptsFromBeforeDown(t *testing.T) {
	gate := serving.NewController()
	first, err := gate.BeginSwitch(1)
	require.NoError(t, err)
	<-first.Drained()
	first.Complete(digest.Of([]byte("1")))
	running, err := gate.Admit(digest.Digest{})
	require.NoError(t, err)
	gate.MarkDown()
	second, err := gate.BeginSwitch(1)
	require.NoError(t, err)
	select {
	case <-second.Drained():
		t.Fatal("drained while the attempt is in flight")
	default:
	}
	running.Done()
	<-second.Drained()
}
