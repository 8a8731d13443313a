package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// voter is a process that votes and may grant. Its clock has an offset of its own.
type voter struct {
	address     string
	incarnation uint64
	offset      time.Duration
	election    *Election
	grantor     *Grantor
}

func (v *voter) clock(now time.Duration) time.Duration { return now + v.offset }

// start replaces the process, which forgets everything.
func (v *voter) start(now time.Duration) {
	v.incarnation++
	v.election = NewElection(v.address, v.clock(now))
	v.grantor = NewGrantor()
}

// delayed is a message that arrives at a time, in any order.
type delayed struct {
	at  time.Duration
	run func(now time.Duration)
}

// However late messages arrive, whoever grants, and whenever a process starts again: the
// fractions of a limit that all grantors together may grant never exceed one.
func TestFractionsOfAllGrantors(t *testing.T) {
	const (
		entries  = 5
		steps    = 4000
		step     = 20 * time.Millisecond
		maxDelay = 3 * time.Second // of a message, as behind a suspended process
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		voters := make([]*voter, entries)
		for i := range voters {
			voters[i] = &voter{address: fmt.Sprint(i), offset: time.Duration(random.Int64N(int64(time.Hour)))}
			voters[i].start(0)
		}
		var messages []delayed
		send := func(now time.Duration, run func(now time.Duration)) {
			delay := step
			if random.IntN(4) == 0 {
				delay = time.Duration(random.Int64N(int64(maxDelay)))
			}
			messages = append(messages, delayed{now + delay, run})
		}
		most, full := 0.0, 0
		for i := range steps {
			now := time.Duration(i) * step
			deliver(&messages, now)
			if random.IntN(100) == 0 {
				voters[random.IntN(entries)].start(now)
			}
			// In each half of the run two of them grant at a time, as after a cut.
			first := 2 * i / steps
			for _, g := range voters[first : first+2] {
				if random.IntN(15) == 0 {
					announceTo(g, voters, now, send)
				}
			}
			total := 0.0
			for _, g := range voters {
				fraction, _ := g.grantor.Fraction(g.clock(now), entries)
				total += fraction
			}
			require.LessOrEqual(t, total, 1+1e-9, "seed %d, step %d", seed, i)
			most = max(most, total)
			if total > 0.9 {
				full++
			}
		}
		require.InDelta(t, 1, most, 1e-9, "seed %d: all votes were given at some time", seed)
		require.Greater(t, full, steps/20, "seed %d", seed)
	}
}

// deliver runs the messages that have arrived.
func deliver(messages *[]delayed, now time.Duration) {
	var late []delayed
	arrived := *messages
	*messages = nil
	for _, m := range arrived {
		if m.at <= now {
			m.run(now)
		} else {
			late = append(late, m)
		}
	}
	*messages = append(*messages, late...)
}

// announceTo sends an announcement of g to all voters, which answer with their votes.
func announceTo(g *voter, voters []*voter, now time.Duration, send func(now time.Duration, run func(now time.Duration))) {
	a := Announcement{Address: g.address, Incarnation: g.incarnation, Stamp: uint64(g.clock(now)), Interval: minAnnounceInterval}
	for _, v := range voters {
		send(now, func(now time.Duration) {
			lease := v.election.Vote(v.clock(now), a)
			if lease == 0 {
				return
			}
			vote := Vote{Address: v.address, Incarnation: v.incarnation, Until: time.Duration(a.Stamp) + lease, Entries: len(voters)}
			send(now, func(time.Duration) {
				if g.incarnation == a.Incarnation {
					g.grantor.Vote(vote)
				}
			})
		})
	}
}
