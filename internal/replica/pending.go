package replica

import "time"

// pendingOrder is an order whose outcome is unknown: the endpoint may accept it later, and
// then loads the chunks that are staged by that time.
//
// Until it is settled its version stays the target, so that no chunk of another version is
// staged, and it is ordered again under the same precondition, so that the endpoint accepts
// only one of both.
type pendingOrder struct {
	target            target // pinned
	started, sequence int64  // of the endpoint when it was ordered
	running           runningTime
}

// pinnedStagingTime limits an attempt to replace corrupt chunks of a pending order.
const pinnedStagingTime = time.Second

// maxPendingTime is how long an endpoint has to be seen running before an order that it has
// not accepted by then is given up. Without it an order whose chunks can't be had any more
// would keep the endpoint from all later versions.
const maxPendingTime = 5 * time.Second

func newPendingOrder(t target, s Status) *pendingOrder {
	t.pinned = true
	return &pendingOrder{target: t, started: s.Started, sequence: s.Sequence}
}

// settled reports whether the order can't be accepted any more. The endpoint was started
// again, or it has accepted an order since, or it has run long enough to accept it.
func (p *pendingOrder) settled(s Status) bool {
	return s.Started != p.started || s.Sequence != p.sequence || p.running.total >= maxPendingTime
}

// pinPending returns the target of the pending order instead of t, if there is one that is
// not settled by the endpoint's status.
func (r *Replica) pinPending(t target, s Status) target {
	if r.pending == nil {
		return t
	}
	if r.pending.settled(s) {
		r.pending = nil
		return t
	}
	return r.pending.target
}
