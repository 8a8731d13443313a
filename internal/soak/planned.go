package soak

import (
	"sync"
	"time"
)

// occasion is planned work beside which a request ends.
type occasion int

// The occasions, the ones that weigh most first.
const (
	besideStop occasion = iota
	besideReload
	besideChange
	besideBound
	besideNothing
	occasions
)

var occasionNames = []string{"a planned stop", "a reload", "a change of the configuration", "the bound of a version", "nothing planned"}

func (o occasion) String() string { return occasionNames[o] }

// Times for which planned work counts, from its begin on.
const (
	changeSpan = 3 * time.Second // until a change is in force, and a second more
	reloadSpan = 2 * time.Second
	stopSpan   = stopTimeout + time.Second
	// boundLead is how long before its end the bound of a version counts.
	boundLead = time.Second
)

// work is one piece of planned work.
type work struct {
	occasion    occasion
	entry       string // at which it is done, empty for all
	begun, ends time.Time
}

// plannedWork lists all planned work. It is safe for concurrent use.
type plannedWork struct {
	mu   sync.Mutex
	list []work
}

func (p *plannedWork) add(w work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, w)
}

// changed records a change of the configuration that is sent now.
func (p *plannedWork) changed() {
	now := time.Now()
	p.add(work{occasion: besideChange, begun: now, ends: now.Add(changeSpan)})
}

// named records the bound of a version that was named at a time.
func (p *plannedWork) named(at time.Time) {
	end := at.Add(versionBound)
	p.add(work{occasion: besideBound, begun: end.Add(-boundLead), ends: end.Add(boundSlack)})
}

// stopped records a planned stop of an entry, and reloaded a reload, which begin now.
func (p *plannedWork) stopped(entry string) { p.begin(besideStop, entry, stopSpan) }

func (p *plannedWork) reloaded(entry string) { p.begin(besideReload, entry, reloadSpan) }

func (p *plannedWork) begin(o occasion, entry string, lasts time.Duration) {
	now := time.Now()
	p.add(work{occasion: o, entry: entry, begun: now, ends: now.Add(lasts)})
}

// beside returns the occasion of a call: a reload counts for what was sent after it, the bound
// of a version for what ended around it, other work for what was in progress beside it.
func (p *plannedWork) beside(c call) occasion {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := besideNothing
	for _, w := range p.list {
		if w.entry != "" && w.entry != c.entry {
			continue
		}
		from := c.sent
		if w.occasion == besideBound {
			from = c.ended
		}
		if from.Before(w.ends) && c.ended.After(w.begun) {
			found = min(found, w.occasion)
		}
	}
	return found
}
