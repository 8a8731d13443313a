package membership

import (
	"slices"

	"github.com/primrosetally/primrosetally/internal/state/member"
)

// maxDepartures is the greatest number of names in departures.
const maxDepartures = 4096

// departures records which incarnations announced that they were leaving and were then
// removed. An older list may show them again.
type departures struct {
	incarnations map[string]uint64 // the highest that left, by name
	names        []string          // the last removed is the last
}

func newDepartures() *departures {
	return &departures{incarnations: make(map[string]uint64)}
}

// add records a member that is removed. Of too many, the first removed is dropped.
func (d *departures) add(m member.Member) {
	if m.State() != member.StateLeaving {
		return
	}
	if _, exists := d.incarnations[m.Name()]; exists {
		d.names = slices.DeleteFunc(d.names, func(name string) bool { return name == m.Name() })
	}
	d.names = append(d.names, m.Name())
	d.incarnations[m.Name()] = max(d.incarnations[m.Name()], m.Incarnation())
	if len(d.names) > maxDepartures {
		delete(d.incarnations, d.names[0])
		d.names = slices.Delete(d.names, 0, 1)
	}
}

// apply returns the member, as leaving if its incarnation is recorded or an earlier one.
func (d *departures) apply(m member.Member) member.Member {
	left, recorded := d.incarnations[m.Name()]
	if !recorded || m.Incarnation() > left {
		return m
	}
	return m.With(member.WithState(member.StateLeaving))
}
