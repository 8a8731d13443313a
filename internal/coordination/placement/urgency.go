package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the room that is kept for more urgent requests.
const (
	// urgentTime is the time constant over which the rate of the requests of a priority is
	// averaged.
	urgentTime = 2 * time.Second
	// minUrgentRate is the rate, in requests a second, from which the requests of a priority
	// count.
	minUrgentRate = 0.5
	// maxBlockedShare is the part of the requests of a priority that may find no room as they
	// arrive before some is kept for them.
	maxBlockedShare = 0.1
	// maxKeptShare is the part of the slots of an endpoint that would be kept from a request if all
	// others were more urgent.
	maxKeptShare = 0.35
	// placementsPerClass is the number of placements of others after which a priority with
	// waiting requests gets one, whatever is kept for more urgent ones: an eighth of the room
	// is more than a quarter of the share of any priority with a third of the requests or less.
	placementsPerClass = 8
)

// urgency is what a pool knows of the requests of one priority.
type urgency struct {
	priority int
	rate     float64 // requests a second, as of at
	blocked  float64 // of these, those that found no room as they arrived
	at       time.Duration
	since    int // placements of other requests since the last one of this priority
}

// fade returns what is left of a rate.
func (u *urgency) fade(now time.Duration) float64 {
	return math.Exp(-float64(max(now-u.at, 0)) / float64(urgentTime))
}

// lacksRoom reports whether so many of the requests find no room that some is kept for them.
func (u *urgency) lacksRoom(now time.Duration) bool {
	return u.rate*u.fade(now) >= minUrgentRate && u.blocked > maxBlockedShare*u.rate
}

// urgencies are the priorities that a pool has had requests of, the most urgent first.
type urgencies []urgency

// of returns the record of a priority, which is created on first use, nil if there are too many.
func (u *urgencies) of(priority int) *urgency {
	i, found := slices.BinarySearchFunc(*u, priority, func(e urgency, p int) int { return cmp.Compare(e.priority, p) })
	if !found && len(*u) >= maxUrgencies {
		return nil
	}
	if !found {
		*u = slices.Insert(*u, i, urgency{priority: priority})
	}
	return &(*u)[i]
}

// maxUrgencies bounds the priorities that are told apart. Priorities are few; a caller can't
// choose any.
const maxUrgencies = 16

// record records a request with a target, and whether it found room as it arrived.
func (u *urgencies) record(now time.Duration, r Request, blocked bool) {
	if r.Target == 0 {
		return
	}
	e := u.of(r.Priority)
	if e == nil {
		return
	}
	left, one := e.fade(now), 1/urgentTime.Seconds()
	e.rate, e.blocked, e.at = e.rate*left+one, e.blocked*left, now
	if blocked {
		e.blocked += one
	}
}

// placed records the placement of a request.
func (u urgencies) placed(priority int) {
	for i := range u {
		if u[i].priority == priority {
			u[i].since = 0
		} else {
			u[i].since++
		}
	}
}

// moreUrgent returns the part of all requests that are more urgent than those of a priority and
// whose own priorities lack room.
func (u urgencies) moreUrgent(now time.Duration, priority int) float64 {
	urgent, all := 0.0, 0.0
	for i := range u {
		e := &u[i]
		rate := e.rate * e.fade(now)
		all += rate
		if e.priority < priority && e.lacksRoom(now) {
			urgent += rate
		}
	}
	if all == 0 {
		return 0
	}
	return urgent / all
}

// isDue reports whether the requests of a priority have got no room for long.
func (u urgencies) isDue(priority int) bool {
	for i := range u {
		if u[i].priority == priority {
			return u[i].since >= placementsPerClass
		}
	}
	return false
}

// keptShare returns the part of the slots of each endpoint that is kept from a request, for more
// urgent ones that may arrive at any entry. All entries see how many are free, so none has to be
// told.
func (p *Pool) keptShare(now time.Duration, r *Request) float64 {
	if r.PlacedBefore || r.Begun || len(p.urgencies) < 2 || p.urgencies.isDue(r.Priority) {
		return 0
	}
	return maxKeptShare * p.urgencies.moreUrgent(now, r.Priority)
}

// placeDue places the first waiting request of a priority that has got no room for long, so that
// none starves behind more urgent ones.
func (p *Pool) placeDue(now time.Duration) bool {
	if len(p.urgencies) < 2 || len(p.onTime) < 2 {
		return false
	}
	first := p.onTime[0].request.Priority
	for _, t := range p.onTime {
		if t.request.Priority == first || !p.urgencies.isDue(t.request.Priority) {
			continue
		}
		e, delay := p.bestEndpoint(now, t.request)
		if e == nil || t.request.tooLate(now) || !p.meetsTarget(now, t, e, delay) {
			return false
		}
		p.onTime.remove(t)
		p.place(now, t, e, delay)
		return true
	}
	return false
}
