package soak

import "time"

// contactTime is how long the store, a process and its links must have been undisturbed for
// the bounds of the process to count.
const contactTime = 3 * time.Second

// departure is the time in which the row of a server says that it leaves or is gone.
type departure struct {
	left     time.Time
	returned time.Time // zero if the row is not put back
}

// departed records that the row of a server says from now on that it leaves or is gone.
func (l *ledger) departed(server string, started int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := incarnation{server, started}
	l.departures[i] = append(l.departures[i], departure{left: time.Now()})
}

// returned records that the row of a server was put back.
func (l *ledger) returned(server string, started int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list := l.departures[incarnation{server, started}]; len(list) > 0 {
		list[len(list)-1].returned = time.Now()
	}
}

// checkDepartures finds requests that reached a server too long after its row said that it
// leaves or is gone. The bound begins once the process that sent them is in touch.
func (l *ledger) checkDepartures() {
	for _, a := range l.arrivals {
		c, known := l.calls[a.Attempt]
		if !known || a.Misdirected {
			continue
		}
		for _, d := range l.departures[incarnation{a.Server, a.Started}] {
			if a.At.Before(d.left) || !d.returned.IsZero() && a.At.After(d.returned) {
				continue
			}
			begun := d.left
			if touch := l.inTouchSince(c.entry, a.Server, a.At); touch.After(begun) {
				begun = touch
			}
			if late := a.At.Sub(begun); late > drainBound {
				l.violateLocked("departed: %s reached %s from %s %s after its row said that it leaves or is gone, %s after the bound began",
					a.Attempt, a.Server, c.entry, a.At.Sub(d.left), late)
			}
		}
	}
}

// inTouchSince returns the time since which the bounds count for the process at an address
// and the way to a server, as of a time: contactTime after the last disturbance of the store,
// of the process or of its links. The time is later than the given one while they are
// disturbed.
func (r *run) inTouchSince(front, server string, until time.Time) time.Time {
	last := r.storeDisturbed.last(until)
	if l := r.hiddenLink(serverLink(r.deployment.ServerAddress(server))); l != nil {
		last = later(last, l.contact.last(until))
	}
	for _, l := range r.links {
		last = later(last, l.silences.last(until))
	}
	for _, m := range r.machines {
		if r.deployment.Front(m.Machine) != front {
			continue
		}
		last = later(later(last, m.halts.last(until)), m.restarts.last(until))
		for _, l := range m.links() {
			last = later(last, l.contact.last(until))
		}
	}
	if last.IsZero() {
		return last
	}
	return last.Add(contactTime)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
