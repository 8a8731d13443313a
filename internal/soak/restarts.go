package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Times of restarts of all processes while servers leave.
const (
	// restartGap is the mean time between two series of this kind, seriesOfRestarts the most
	// restarts of one, and restartPause the shortest time between them.
	restartGap       = 8 * time.Second
	firstRestart     = 4 * time.Second // the first series begins before
	seriesOfRestarts = 3
	restartPause     = 800 * time.Millisecond
	// restartSpread is the time within which the processes start again.
	restartSpread = 350 * time.Millisecond
	// restartLead is the time from the begin of a fault, at which servers start, to the kill.
	restartLead = 1200 * time.Millisecond
	// Times from the kill in the calm phase: heardTime, when all have heard that the others
	// are there and none has read the list; removalTime, when the one that reaches the store
	// has read it; unheardTime, when the others have.
	heardTime   = 750 * time.Millisecond
	removalTime = 1850 * time.Millisecond
	unheardTime = 2200 * time.Millisecond
)

// Servers of a failure domain that leave during faults, and in the calm phase.
const (
	faultSpares = 2
	calmSpares  = 4
)

// restartPlan returns the faults in which all processes are restarted while servers leave.
// They have a source of random numbers of their own.
func restartPlan(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 4))
	var plan []Fault
	for at := time.Duration(random.Float64() * float64(firstRestart)); at < duration; at += time.Duration(random.ExpFloat64() * float64(restartGap)) {
		for range 1 + random.IntN(seriesOfRestarts) {
			f := Fault{At: at, Kind: RestartWhileLeaving}
			for i := range f.Draws {
				f.Draws[i] = random.Uint64()
			}
			if at < duration {
				plan = append(plan, f)
			}
			at += restartPause + time.Duration(random.Int64N(int64(restartPause)))
		}
	}
	return plan
}

// restartWhileLeaving lets servers start, kills all entries or all processes at once some
// time later, and lets the servers leave around that time. Ctx ends with the faults.
func (r *run) restartWhileLeaving(ctx context.Context, f Fault) {
	random := rand.New(rand.NewPCG(f.Draws[0], f.Draws[1]))
	machines := r.machines
	if f.pick(2, 3) != 0 {
		machines = r.entryMachines()
	}
	for _, v := range r.leavers {
		if l := drawLeaving(random); v.join() {
			r.background.Go(func() { v.leave(ctx, l) })
		}
	}
	delays := restartDelays(random, len(machines))
	r.background.Go(func() {
		if paused(ctx, restartLead) {
			r.restart(machines, delays)
		}
	})
}

// restartDelays returns the times between the platform's usual delay and the starts of
// processes.
func restartDelays(random *rand.Rand, processes int) []time.Duration {
	delays := make([]time.Duration, processes)
	for i := range delays {
		delays[i] = time.Duration(random.Int64N(int64(restartSpread)))
	}
	return delays
}

// restart kills machines' processes at once and starts them again after delays.
func (r *run) restart(machines []*machine, delays []time.Duration) {
	r.note("kill %d processes at once, %s to %s; started again after %s and %s", len(machines),
		machines[0].Name, machines[len(machines)-1].Name, restartDelay, delays)
	for i, m := range machines {
		m.delayStart(delays[i])
		m.signal(syscall.SIGKILL)
	}
}

// entryMachines returns the machines that run entries.
func (r *run) entryMachines() []*machine { return r.machines[:len(r.deployment.Entries)] }

// checkRestart restarts all entries at once, while the rows of the servers that were listed
// last are removed. One entry, which starts last, reads the list before; the others reach the
// store after the removal, and are not told meanwhile that one has the list. That one has
// heard of the first entry of its failure domain, and leaves it to it to watch the store.
// What they send once they are in touch is checked at the end.
func (r *run) checkRestart(ctx context.Context) {
	for _, v := range r.leaversInCalm {
		v.join()
	}
	pause(ctx, restartLead)
	entries, number := r.entryMachines(), len(r.plan)+1
	delays := restartDelays(rand.New(rand.NewPCG(r.seed, 5)), len(entries))
	reader := min(1, r.entries-1)
	delays[reader] = restartSpread
	others := slices.Delete(slices.Clone(entries), reader, reader+1)
	for _, m := range others {
		m.store.disturb(number, silenced)
	}
	r.restart(entries, delays)
	pause(ctx, heardTime)
	for _, m := range others {
		m.peers.disturb(number, cutThere)
	}
	pause(ctx, removalTime-heardTime)
	for _, v := range r.leaversInCalm {
		v.loseRow()
	}
	for _, m := range others {
		m.store.heal(number)
	}
	pause(ctx, unheardTime-removalTime)
	for _, m := range others {
		m.peers.heal(number)
	}
}
