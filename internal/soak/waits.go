package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of faults in which requests wait at engines while the bound of a version ends.
const (
	// waitGap is the mean time between two such faults, and namingDelay the longest time from
	// the begin of one until its version is named: also when other faults have ended.
	waitGap     = 8 * time.Second
	namingDelay = 8 * time.Second
	// leastPrompt and morePrompt bound how long slow engines read a prompt.
	leastPrompt = time.Second
	morePrompt  = 1500 * time.Millisecond
	// leastWait and moreWait bound how long engines are slow or suspended, and waitLead how
	// long before the bound ends that begins at most.
	leastWait = 1200 * time.Millisecond
	moreWait  = 2 * time.Second
	waitLead  = 3 * time.Second
	// In the calm phase engines are slow and suspended from calmLead before the bound ends,
	// for calmWait, with prompts of calmPrompt.
	calmLead   = 2200 * time.Millisecond
	calmWait   = 2700 * time.Millisecond
	calmPrompt = 2100 * time.Millisecond
	// suddenLead is how long before the bound engines become slow that were not.
	suddenLead = 2 * time.Second
	// streamInterval is between two streams that are sent meanwhile, beside those of the
	// callers.
	streamInterval = 100 * time.Millisecond
	// boundSlack is the time after a bound until what waited has begun.
	boundSlack = time.Second
	// loadTimeout is the time in which engines have to load a version that they could not
	// load before, and loadInterval between two looks.
	loadTimeout  = 8 * time.Second
	loadInterval = 50 * time.Millisecond
)

// Figures of faults in which requests wait.
const (
	killedShare = 0.25 // of the machines are killed meanwhile
	waitShare   = 0.5  // of the engines take part, where it is not all of them
)

// paces are the factors by which engines are slow from the naming of the version on. At the
// last one, a stream takes most of a second.
var paces = []float64{1, 4, 16}

// waits reports whether requests wait at engines in a fault.
func (f Fault) waits() bool {
	return f.Kind == WaitForSlowEngines || f.Kind == WaitForSuspendedEngines
}

// atBound reports whether a fault names a version and lasts until its bound.
func (f Fault) atBound() bool { return f.waits() || f.Kind == EndStreamsAtTimeLeft }

// waitPlan returns the faults in which requests wait at engines. They have a source of
// random numbers of their own.
func waitPlan(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 6))
	var plan []Fault
	for at := time.Duration(random.Float64() * float64(duration)); at < duration; at += time.Duration(random.ExpFloat64() * float64(waitGap)) {
		f := Fault{At: at, Kind: WaitForSlowEngines + Kind(random.IntN(2))}
		f.Length = time.Duration(random.Int64N(int64(namingDelay)))
		for i := range f.Draws {
			f.Draws[i] = random.Uint64()
		}
		plan = append(plan, f)
	}
	return plan
}

// wait is one fault in which requests wait, from after the naming of the version on.
type wait struct {
	after, lasts time.Duration

	suspended []string      // engines whose machines are suspended
	slow      []string      // engines that take prompt to read a prompt
	prompt    time.Duration // at pace
	pace      float64       // of these engines from the naming on, which they report

	keeps     bool       // the engines begin requests whose callers have left
	unstaged  bool       // the origin fails, so that no engine can load the version
	killed    []*machine // at killAfter
	killAfter time.Duration
}

// drawWait draws a fault of a kind.
func (r *run) drawWait(f Fault) wait {
	random := rand.New(rand.NewPCG(f.Draws[0], f.Draws[1]))
	below := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	w := wait{
		prompt:    leastPrompt + below(morePrompt),
		pace:      paces[random.IntN(len(paces))],
		after:     versionBound - below(waitLead),
		lasts:     leastWait + below(moreWait),
		keeps:     random.IntN(4) == 0,
		unstaged:  random.IntN(2) == 0,
		killAfter: below(versionBound),
	}
	engines := r.drawEngines(random)
	if f.Kind == WaitForSuspendedEngines {
		w.suspended = engines
	} else {
		w.slow = engines
	}
	for _, m := range r.machines {
		if random.Float64() < killedShare {
			w.killed = append(w.killed, m)
		}
	}
	return w
}

// drawEngines draws one engine or more, or all of them.
func (r *run) drawEngines(random *rand.Rand) []string {
	all, chosen := random.IntN(3) == 0, random.IntN(len(r.engines))
	var engines []string
	for i, id := range r.engines {
		if drawn := random.Float64() < waitShare; all || drawn || i == chosen {
			engines = append(engines, id)
		}
	}
	return engines
}

// waitAtEngines names a version after the length of the fault and carries it out.
func (r *run) waitAtEngines(ctx context.Context, f Fault) {
	pause(ctx, f.Length)
	if f.Kind == EndStreamsAtTimeLeft {
		r.playEnds(ctx, r.drawEnds(f))
		return
	}
	r.nameWeights()
	r.play(ctx, r.drawWait(f))
}

// play carries out a fault around a version that has just been named, and returns when its
// bound has ended.
func (r *run) play(ctx context.Context, w wait) {
	named := time.Now()
	until := func(d time.Duration) { pause(ctx, time.Until(named.Add(d))) }
	r.waits.Add(1)
	defer r.waits.Add(-1)
	r.setPace(w, w.pace)
	defer r.setPace(w, 1)
	if w.unstaged {
		r.note("the origin fails")
		r.deployment.Origin.SetBroken(func() standin.Breakage { return standin.BreakError })
		defer r.deployment.Origin.SetBroken(whole)
	}
	kill := time.AfterFunc(w.killAfter, func() { r.killAll(w.killed) })
	defer kill.Stop()
	defer r.startStreams(ctx, streamInterval)()
	until(w.after)
	r.beginWait(w)
	until(w.after + w.lasts)
	r.endWait(w)
	until(versionBound + boundSlack)
}

// startStreams sends streams at an interval beside those of the callers; the function returned
// ends them.
func (r *run) startStreams(ctx context.Context, interval time.Duration) func() {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.newCaller(r.callers).sendStreams(ctx, interval)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (r *run) killAll(machines []*machine) {
	for _, m := range machines {
		r.note("kill %s", m.Name)
		m.signal(syscall.SIGKILL)
	}
}

// setPace sets the pace of all engines of a fault.
func (r *run) setPace(w wait, pace float64) {
	for _, id := range slices.Concat(w.slow, w.suspended) {
		r.deployment.Servers[id].SetPace(pace)
	}
}

// beginWait makes engines slow and suspends machines.
func (r *run) beginWait(w wait) {
	r.note("slow, %s a prompt at pace %g: %v, suspended: %v, for %s, requests of callers that left begin: %t",
		w.prompt, w.pace, w.slow, w.suspended, w.lasts, w.keeps)
	for _, id := range slices.Concat(w.slow, w.suspended) {
		if w.keeps {
			r.deployment.Servers[id].KeepAbandoned()
		}
	}
	for _, id := range w.slow {
		r.deployment.Servers[id].SetPromptTime(time.Duration(float64(w.prompt) / w.pace))
	}
	for _, id := range w.suspended {
		r.deployment.Servers[id].Suspend()
		r.machineOf(id).pause()
	}
}

// endWait ends beginWait.
func (r *run) endWait(w wait) {
	r.note("go on: %v %v", w.slow, w.suspended)
	for _, id := range w.suspended {
		r.machineOf(id).resume()
		r.deployment.Servers[id].Resume()
	}
	for _, id := range slices.Concat(w.slow, w.suspended) {
		r.deployment.Servers[id].SetPromptTime(0)
		r.deployment.Servers[id].DropAbandoned()
	}
}

// machineOf returns the machine that an engine shares with its agent.
func (r *run) machineOf(engine string) *machine {
	i := slices.IndexFunc(r.machines, func(m *machine) bool {
		return r.deployment.Address(m.Machine) == r.deployment.ServerAddress(engine)
	})
	return r.machines[i]
}

// checkWaits lets requests wait at engines while the bound of a version ends, without any
// other fault.
func (r *run) checkWaits(ctx context.Context) {
	if r.withoutWaits {
		return
	}
	staying := r.engines[:len(r.engines)-1] // the last one leaves
	for _, w := range calmWaits(staying) {
		version := r.nameWeights()
		r.ledger.namedInCalm(version)
		r.play(ctx, w)
		r.awaitLoaded(ctx, staying, version)
	}
}

// awaitLoaded waits until engines have loaded a version, so that they serve.
func (r *run) awaitLoaded(ctx context.Context, engines []string, version int64) {
	timeout, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	outdated := func(id string) bool {
		loaded, _ := r.deployment.Servers[id].Version()
		return loaded < version
	}
	for slices.ContainsFunc(engines, outdated) {
		if paused(timeout, loadInterval) {
			continue
		}
		if ctx.Err() == nil {
			r.ledger.violate("recovery: version %d of the weights is not loaded by all of %v within %s", version, engines, loadTimeout)
		}
		return
	}
}

// calmWaits returns the faults of the calm phase. In the first two, engines read prompts
// slowly all the while; in the third, one is suspended and the others become slow; in the
// last two, all become slow just before the bound, after streams have taken longer than usual.
func calmWaits(engines []string) []wait {
	const (
		end    = versionBound + boundSlack
		sudden = versionBound - suddenLead
	)
	return []wait{
		{slow: engines, pace: 1, prompt: calmPrompt, lasts: end},
		{slow: engines, pace: 1, prompt: calmPrompt, lasts: end, unstaged: true, keeps: true},
		{slow: engines[1:], suspended: engines[:1], unstaged: true, keeps: true, pace: 1, prompt: calmPrompt, after: versionBound - calmLead, lasts: calmWait},
		{slow: engines, pace: 16, unstaged: true, prompt: calmPrompt, after: sudden, lasts: end - sudden},
		{slow: engines, pace: 16, prompt: calmPrompt, after: sudden, lasts: end - sudden, keeps: true},
	}
}
