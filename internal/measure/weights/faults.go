package weights

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Faults is what goes wrong in a run.
type Faults struct {
	// Name labels the run; empty for none.
	Name string
	// CorruptShare is the share of chunks that arrive corrupt.
	CorruptShare float64
	// KilledShare is the share of agents killed at random times in the first
	// KilledWithin of the run.
	KilledShare  float64
	KilledWithin time.Duration
	// The link of the instance that has drawn the most into its region stands
	// still both ways for StallFor from StallAt on.
	StallAt, StallFor time.Duration
	// All links between regions stand still for CutFor from CutAt on.
	CutAt, CutFor time.Duration
	// The origin answers nothing for OriginDownFor from OriginDownAt on.
	OriginDownAt, OriginDownFor time.Duration
}

// NoFaults is a run without faults.
func NoFaults() Faults { return Faults{} }

// TargetFaults are those that the targets name: 2% corrupt chunks, 5% of the agents
// killed and one stalled link.
func TargetFaults() Faults {
	return Faults{
		Name:         "target",
		CorruptShare: 0.02,
		KilledShare:  0.05,
		KilledWithin: 4 * time.Minute,
		StallAt:      time.Minute,
		StallFor:     time.Minute,
	}
}

// membershipLag is how long the membership list names a killed instance.
const membershipLag = 10 * time.Second

// scheduleFaults puts the faults of the run on the timeline.
func (r *run) scheduleFaults() {
	f := r.faults
	for range int(f.KilledShare * float64(len(r.agents))) {
		at := time.Duration(r.rand.Int64N(int64(f.KilledWithin)))
		r.after(at, r.killOne)
	}
	if f.StallFor > 0 {
		r.after(f.StallAt, r.stallOne)
	}
	if f.CutFor > 0 {
		r.after(f.CutAt, func() { r.setRegionRate(0) })
		r.after(f.CutAt+f.CutFor, func() { r.setRegionRate(r.place.regionRate) })
	}
	if f.OriginDownFor > 0 {
		r.after(f.OriginDownAt, func() { r.setRate(r.net.origin, 0) })
		r.after(f.OriginDownAt+f.OriginDownFor, func() { r.setRate(r.net.origin, OriginRate) })
	}
}

// killOne kills a live agent. Its connections hang, as those of an instance that
// lost power do, and the membership list names it for a while.
func (r *run) killOne() {
	a := r.agents[r.rand.IntN(len(r.agents))]
	for a.dead {
		a = r.agents[r.rand.IntN(len(r.agents))]
	}
	a.dead = true
	r.alive--
	for _, t := range a.inOrder() {
		r.end(a, t, swarm.Canceled, 0)
	}
	for _, b := range r.agents {
		for _, t := range b.flows {
			if t.from == a.index && t.flow != nil {
				t.flow.stuck = true
				r.net.changed = true
			}
		}
	}
	r.after(membershipLag, r.updateMembers)
}

func (r *run) updateMembers() {
	var members []member.Member
	for _, a := range r.agents {
		if !a.dead {
			members = append(members, a.self)
		}
	}
	for _, a := range r.agents {
		if !a.dead {
			a.picker.SetMembers(r.clock(), members)
		}
	}
}

func (r *run) stallOne() {
	worst := r.agents[0]
	for _, a := range r.agents {
		if !a.dead && a.crossed > worst.crossed {
			worst = a
		}
	}
	up, down := r.net.up[worst.index], r.net.down[worst.index]
	r.setRate(up, 0)
	r.setRate(down, 0)
	r.after(r.faults.StallFor, func() {
		r.setRate(up, InstanceRate)
		r.setRate(down, InstanceRate)
	})
}

func (r *run) setRate(l *link, rate float64) {
	l.rate = rate
	r.net.changed = true
}

func (r *run) setRegionRate(rate float64) {
	for _, row := range r.net.between {
		for _, l := range row {
			r.setRate(l, rate)
		}
	}
}

// result sums the run up.
func (r *run) result() Result {
	x := Result{
		Place: r.place.name, System: systemSwarm, Faults: r.faults.Name,
		Replicas: len(r.agents), Survivors: r.alive,
	}
	var times []time.Duration
	var received float64
	for _, a := range r.agents {
		x.MaxUploadCopies = max(x.MaxUploadCopies, a.sent/ModelSize)
		if a.dead {
			continue
		}
		received += a.received
		if a.picker.Complete() {
			times = append(times, a.complete)
		}
	}
	x.ExtraCopies = received/ModelSize/float64(r.alive) - 1
	x.setTimes(r.place, times)
	for _, bytes := range r.origin {
		x.OriginCopies += bytes / ModelSize
		x.OriginCopiesPerRegion = max(x.OriginCopiesPerRegion, bytes/ModelSize)
	}
	for from := range r.crossing {
		for to, bytes := range r.crossing[from] {
			if from != to {
				x.CrossingCopies += bytes / ModelSize / float64(len(r.place.regions)-1)
				x.CrossingShare = max(x.CrossingShare, bytes/r.place.regionRate/x.Seconds)
			}
		}
	}
	return x
}
