package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// manner is how a server leaves.
type manner int

// The manners.
const (
	// announced says so in its row, and serves on.
	announced manner = iota
	// unannounced loses its row and serves on.
	unannounced
	// lapsed loses its row, serves on and gets the row back.
	lapsed
	// crashed ends at once; the row is removed later.
	crashed
	manners
)

var mannerNames = []string{"says that it leaves", "loses its row", "loses its row for some time", "crashes"}

// Times of servers that leave.
const (
	// leaveLead and leaveLag are how long before and after the kill a server leaves at most.
	leaveLead = 800 * time.Millisecond
	leaveLag  = 1500 * time.Millisecond
	// longestRow is the time after which the platform has removed the row of a server that
	// crashed: three of its reports.
	longestRow = 3600 * time.Millisecond
	// longestService is how long a server serves on at most.
	longestService = 10 * time.Second
	longestAbsence = 3 * time.Second
)

// leaving decides on one leaving of a server.
type leaving struct {
	manner manner
	after  time.Duration
	serves time.Duration // after its row has changed; of a crash, until the row is removed
	absent time.Duration // until it is back
	other  bool          // it is back under another identity
}

// drawLeaving returns a leaving around a kill.
func drawLeaving(random *rand.Rand) leaving {
	below := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	l := leaving{
		manner: manner(random.IntN(int(manners))),
		after:  restartLead - leaveLead + below(leaveLead+leaveLag),
		serves: drainBound + below(longestService-drainBound),
		absent: below(longestAbsence),
		other:  random.IntN(2) == 0,
	}
	if l.manner == lapsed || l.manner == crashed {
		l.serves = below(longestRow)
	}
	return l
}

// leaver is a server that starts later than the deployment, leaves and comes back.
type leaver struct {
	standin.Spare
	run *run

	mu      sync.Mutex
	leaving bool
	serving bool
	current int // index of its identity
}

// join starts the server if it does not serve, and reports whether it may leave: it is not
// leaving already.
func (v *leaver) join() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving {
		return false
	}
	v.leaving = true
	if !v.serving {
		v.beginLocked()
	}
	return true
}

// beginLocked starts another incarnation.
func (v *leaver) beginLocked() {
	id := v.Identities[v.current]
	v.run.note("%s starts", id)
	if err := v.run.deployment.Begin(id); err != nil {
		v.run.ledger.violate("soak: %s did not start: %v", id, err)
	}
	v.serving = true
}

// leave lets the server leave and come back, as far as ctx allows: one whose row is gone when
// it ends serves on.
func (v *leaver) leave(ctx context.Context, l leaving) {
	if !paused(ctx, l.after) || !v.depart(ctx, l) || !paused(ctx, l.absent) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = false
	if v.serving {
		return
	}
	if l.other {
		v.current = (v.current + 1) % len(v.Identities)
	}
	v.beginLocked()
}

// depart lets the server leave and reports whether it did to the end.
func (v *leaver) depart(ctx context.Context, l leaving) bool {
	d, id := v.run.deployment, v.Identities[v.current]
	server := d.Servers[id]
	v.run.note("%s %s, for %s", id, mannerNames[l.manner], l.serves)
	switch l.manner {
	case announced:
		server.Drain()
	case crashed:
		d.End(id)
		pause(ctx, l.serves)
		d.RemoveRow(id)
		v.ended()
		return ctx.Err() == nil
	default:
		d.RemoveRow(id)
	}
	v.run.ledger.departed(id, server.Started())
	if !paused(ctx, l.serves) {
		return false
	}
	if l.manner == lapsed {
		v.run.ledger.returned(id, server.Started())
		d.RestoreRow(id)
		return true
	}
	d.End(id)
	d.RemoveRow(id)
	v.ended()
	return true
}

// loseRow removes the row of the server, which serves on.
func (v *leaver) loseRow() {
	id := v.Identities[v.current]
	v.run.note("%s %s", id, mannerNames[unannounced])
	v.run.deployment.RemoveRow(id)
	v.run.ledger.departed(id, v.run.deployment.Servers[id].Started())
}

func (v *leaver) ended() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.serving = false
}
