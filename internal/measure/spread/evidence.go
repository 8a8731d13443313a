package spread

import (
	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// evidence feeds a membership.Tracker with the outcomes of calls. The tracker is
// made when the first peer is suspected: before that its view would be the list,
// and a thousand trackers of a thousand members need much memory.
type evidence struct {
	self    member.Member
	network *network
	// list is the view of the platform's list as it was last received.
	list     *membership.View
	failures map[string]int
	tracker  *membership.Tracker
}

func (e *evidence) view() *membership.View {
	if e.tracker == nil {
		return e.list
	}
	return e.tracker.View()
}

func (e *evidence) setList(list *membership.View) {
	e.list = list
	if e.tracker != nil {
		e.tracker.ListReceived(membersOf(list))
	}
}

func (e *evidence) suspicions() []membership.Suspicion {
	if e.tracker == nil {
		return nil
	}
	return e.tracker.Suspicions()
}

func (e *evidence) heard(m member.Member) {
	if e.tracker != nil {
		e.tracker.MessageReceived(m.Name(), m.Incarnation())
		return
	}
	delete(e.failures, m.Name())
}

func (e *evidence) suspected(observer string, suspicions []membership.Suspicion) {
	if len(suspicions) > 0 {
		e.track().SuspicionsReceived(observer, suspicions)
	}
}

func (e *evidence) failed(m member.Member) {
	if e.tracker != nil {
		e.tracker.CallFailed(m.Name())
		return
	}
	e.failures[m.Name()]++
	if e.failures[m.Name()] < membership.FailuresToSuspect {
		return
	}
	for range membership.FailuresToSuspect {
		e.track().CallFailed(m.Name())
	}
}

func (e *evidence) track() *membership.Tracker {
	if e.tracker == nil {
		e.tracker = membership.New(e.self, membership.WithClock(e.network.clock))
		e.tracker.ListReceived(membersOf(e.list))
	}
	return e.tracker
}

func membersOf(v *membership.View) []member.Member {
	members := make([]member.Member, 0, v.Len())
	for _, p := range v.Peers() {
		members = append(members, p.Member())
	}
	return members
}
