package serving_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// modelEngine is an engine that ignores fencing numbers and loads one manifest
// at a time, in the order in which loads arrive.
type modelEngine struct {
	serving digest.Digest
	loads   []digest.Digest
}

func (e *modelEngine) loading() bool { return len(e.loads) > 0 }

// finishLoad ends the oldest load; with wrongDigest the engine serves another digest.
func (e *modelEngine) finishLoad(wrongDigest bool) {
	if !e.loading() {
		return
	}
	e.serving = e.loads[0]
	if wrongDigest {
		e.serving = digest.Of([]byte("wrong weights"))
	}
	e.loads = e.loads[1:]
}

// crash discards the pending loads and the served digest.
func (e *modelEngine) crash() { *e = modelEngine{} }

// step is the agent's progress with an order.
type step int

const (
	idle step = iota
	draining
	loading
)

// modelAgent executes orders as the agent does: drain, load, read back, admit.
type modelAgent struct {
	controller *serving.Controller
	engine     *modelEngine
	step       step
	change     *serving.Switch
	target     digest.Digest
	admissions []*serving.Admission
}

func (a *modelAgent) order(target digest.Digest, fencing uint64) {
	change, err := a.controller.BeginSwitch(fencing)
	if err != nil {
		return
	}
	a.step, a.change, a.target = draining, change, target
}

func (a *modelAgent) advance(t *rapid.T) {
	switch a.step {
	case draining:
		select {
		case <-a.change.Drained():
		default:
			return
		}
		if len(a.admissions) > 0 {
			t.Fatal("drained with an attempt in flight")
		}
		a.change.StartLoading()
		a.engine.loads = append(a.engine.loads, a.target)
		a.step = loading
	case loading:
		if a.engine.loading() {
			return
		}
		if a.engine.serving == a.target {
			a.change.Complete(a.engine.serving)
		} else {
			a.change.Fail()
		}
		a.step = idle
	}
}

// probe marks the endpoint down if the engine serves another digest than the controller
// admits attempts for.
func (a *modelAgent) probe() {
	phase, served := a.controller.Phase()
	if phase == serving.PhaseServing && a.engine.serving != served {
		a.controller.MarkDown()
	}
}

func (a *modelAgent) admit(t *rapid.T, pinned digest.Digest) {
	admission, err := a.controller.Admit(pinned)
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
	a.admissions = append(a.admissions, admission)
}

// TestAdmittedDigestIsServed checks that no attempt is admitted for a digest that the
// engine does not serve. It interleaves orders with new and stale fencing numbers,
// attempts, engine crashes, loads of a wrong digest, delayed probes, and agents that
// restart without any saved state at any step.
func TestAdmittedDigestIsServed(t *testing.T) {
	versions := []digest.Digest{digest.Of([]byte("1")), digest.Of([]byte("2")), digest.Of([]byte("3"))}
	rapid.Check(t, func(t *rapid.T) {
		engine := &modelEngine{}
		a := &modelAgent{controller: serving.NewController(), engine: engine}
		version := rapid.SampledFrom(versions)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				a.order(version.Draw(t, "version"), rapid.Uint64Range(1, 5).Draw(t, "fencing"))
			case 1, 2:
				a.advance(t)
			case 3:
				engine.finishLoad(rapid.IntRange(0, 4).Draw(t, "wrongDigest") == 0)
			case 4:
				a.admit(t, digest.Digest{})
			case 5:
				a.admit(t, version.Draw(t, "pinned"))
			case 6:
				if len(a.admissions) > 0 {
					a.admissions[0].Done()
					a.admissions = a.admissions[1:]
				}
			case 7:
				a.probe()
			case 8:
				if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
					engine.crash()
				}
			case 9:
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					// The engine continues the load that the previous agent ordered.
					a = &modelAgent{controller: serving.NewController(), engine: engine}
				}
			}
		}
	})
}

func TestSwitchWaitsForAttemptsBeforeMarkDown(t *testing.T) {
	controller := serving.NewController()
	first, err := controller.BeginSwitch(1)
	require.NoError(t, err)
	<-first.Drained()
	first.Complete(digest.Of([]byte("1")))
	running, err := controller.Admit(digest.Digest{})
	require.NoError(t, err)
	controller.MarkDown()
	second, err := controller.BeginSwitch(1)
	require.NoError(t, err)
	select {
	case <-second.Drained():
		t.Fatal("drained with an attempt in flight before MarkDown")
	default:
	}
	running.Done()
	<-second.Drained()
}
