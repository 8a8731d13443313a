package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Bounds of requests with a part that crashes engines, and times of the fault.
const (
	deadlyCrashes = 5 // after which the bound counts
	deadlyGrace   = 3 * time.Second
	deadlyMost    = 3   // requests later than deadlyGrace after the crashes
	deadlyServed  = 0.5 // of sound requests later than twice deadlyGrace after them
	// deadlyGap is the mean time between two faults of this kind, deadlyLength how long one
	// lasts, and deadlyCalm how long one lasts in the calm phase.
	deadlyGap    = 12 * time.Second
	deadlyLength = 5 * time.Second
	deadlyCalm   = 12 * time.Second
	// One in deadlyShare streams has the deadly part, and one in firstParts the first part
	// that all of these have.
	deadlyShare = 6
	firstParts  = 3
)

// deadlyPlan returns the faults in which a part crashes engines. They have a source of
// random numbers of their own.
func deadlyPlan(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 3))
	var plan []Fault
	for at := time.Duration(random.ExpFloat64() * float64(deadlyLength)); at < duration; at += time.Duration(random.ExpFloat64() * float64(deadlyGap)) {
		plan = append(plan, Fault{At: at, Length: deadlyLength, Kind: MakePartDeadly})
	}
	return plan
}

// promptParts returns the parts of the prompt of a stream.
func (r *run) promptParts(random *rand.Rand, number int64) []string {
	own := fmt.Sprintf("%x", number)
	if part := r.deadlyPart.Load(); part != nil && random.IntN(deadlyShare) == 0 {
		return []string{"f0", *part, own}
	}
	return []string{fmt.Sprintf("f%d", random.IntN(firstParts)), own}
}

// makePartDeadly makes a part of its own for the fault crash all engines. One that is
// there already ends.
func (r *run) makePartDeadly(number int) (end func()) {
	part := fmt.Sprintf("dead%x", number)
	r.note("part %s is deadly", part)
	for _, id := range r.engines {
		r.deployment.Servers[id].SetDeadly(part)
	}
	r.deadlyPart.Store(&part)
	return func() {
		if r.deadlyPart.CompareAndSwap(&part, nil) {
			for _, id := range r.engines {
				r.deployment.Servers[id].SetDeadly()
			}
		}
	}
}

// checkDeadlyPart makes a part deadly without any other fault.
func (r *run) checkDeadlyPart(ctx context.Context) {
	end := r.makePartDeadly(len(r.plan))
	part := *r.deadlyPart.Load()
	pause(ctx, deadlyCalm)
	end()
	r.ledger.checkDeadlyPart(part, time.Now())
}

// checkDeadlyPart finds that too many requests with a part reached engines after the fifth
// crash, that they were refused without a status that is true, or that sound requests
// which share their first part were not served.
func (l *ledger) checkDeadlyPart(part string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reached []time.Time
	for _, a := range l.arrivals {
		if standin.HasPart(a.Prompt, part) {
			reached = append(reached, a.At)
		}
	}
	if len(reached) == 0 {
		return
	}
	slices.SortFunc(reached, time.Time.Compare)
	fifth := reached[min(len(reached), deadlyCrashes)-1]
	late := 0
	for _, at := range reached {
		if at.Sub(fifth) > deadlyGrace {
			late++
		}
	}
	if late > deadlyMost {
		l.violateLocked("deadly part: %d requests with part %s reached engines later than %s after the fifth, %d in all", late, part, deadlyGrace, len(reached))
	}
	l.checkBesideDeadlyPart(part, fifth.Add(2*deadlyGrace), until)
}

// checkBesideDeadlyPart checks what callers saw between two times.
func (l *ledger) checkBesideDeadlyPart(part string, from, until time.Time) {
	sound, served := 0, 0
	for _, c := range l.calls {
		if c.sent.Before(from) || c.sent.After(until) || len(c.parts) == 0 {
			continue
		}
		switch {
		case slices.Contains(c.parts, part):
			if c.status == 200 && c.whole {
				l.violateLocked("deadly part: %s was answered, part %s", c.attempt, part)
			}
		case strings.HasPrefix(c.path, standin.PathStream) && c.parts[0] == "f0":
			if _, revoked := l.removed[c.key]; revoked {
				continue // it must not be served
			}
			sound++
			if c.status == 200 {
				served++
			}
		}
	}
	if float64(served) < deadlyServed*float64(sound) {
		l.violateLocked("deadly part: %d of %d sound requests were served beside part %s", served, sound, part)
	}
}
