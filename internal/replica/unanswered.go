package replica

import (
	"context"
	"time"
)

// unansweredCalls records the writes to the staging area whose answers never came, by the
// version whose chunks they write: the endpoint may still carry them out. They are settled
// once the endpoint was seen running for settleTime, as what is left in the buffers of a
// process is carried out soon after it runs again, or once it was started again.
type unansweredCalls struct {
	started   int64 // of the endpoint's process
	observed  bool
	byVersion map[int64]*unansweredCall
	orders    bool // those of an earlier process of the agent may include an order
}

type unansweredCall struct {
	running runningTime
	settles time.Duration // the running time after which it is settled
}

const (
	// settleTime is how long an endpoint has to be seen running until a write without an
	// answer is settled.
	settleTime = 3 * time.Second
	// startSettleTime is the same for the calls of an earlier process of the agent, which
	// may have been orders as well. It is shorter since most processes leave none.
	startSettleTime = time.Second
	// settleInterval is how often the endpoint is asked for its state meanwhile.
	settleInterval = 100 * time.Millisecond
)

// unknownVersion stands for the versions of which an earlier process of the agent may have
// made calls.
const unknownVersion = 0

func newUnansweredCalls() unansweredCalls {
	u := unansweredCalls{byVersion: make(map[int64]*unansweredCall), orders: true}
	u.byVersion[unknownVersion] = &unansweredCall{settles: startSettleTime}
	return u
}

// add records that a write of a chunk of the version has got no answer.
func (u *unansweredCalls) add(version int64) {
	u.byVersion[version] = &unansweredCall{settles: settleTime}
}

// observe records an answer of the endpoint.
func (u *unansweredCalls) observe(s Status, now time.Duration) {
	if u.observed && u.started != s.Started {
		clear(u.byVersion)
	}
	u.started, u.observed = s.Started, true
	for version, call := range u.byVersion {
		call.running.observe(now)
		if call.running.total >= call.settles {
			delete(u.byVersion, version)
		}
	}
}

// empty reports whether all calls are settled.
func (u *unansweredCalls) empty() bool { return len(u.byVersion) == 0 }

// includesOrder reports whether an order of an earlier process may still be accepted.
func (u *unansweredCalls) includesOrder() bool {
	return u.orders && u.byVersion[unknownVersion] != nil
}

// includesOther reports whether a write of a chunk of another version may still be carried
// out.
func (u *unansweredCalls) includesOther(version int64) bool {
	for v := range u.byVersion {
		if v != version {
			return true
		}
	}
	return false
}

// status returns the endpoint's state and records that it answered.
func (r *Replica) status(ctx context.Context, model string) (Status, error) {
	s, err := r.callbacks.Status(ctx, model)
	if err != nil {
		return s, err
	}
	now := r.now()
	if r.pending != nil {
		r.pending.running.observe(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered.observe(s, now)
	return s, nil
}

// awaitSettled waits while the condition holds of the unanswered calls, and asks the
// endpoint for its state meanwhile.
func (r *Replica) awaitSettled(ctx context.Context, t target, unsettled func(*unansweredCalls) bool) error {
	for {
		r.mu.Lock()
		wait := unsettled(&r.unanswered)
		r.mu.Unlock()
		if !wait {
			return nil
		}
		r.sleep(ctx, settleInterval)
		if err := ctx.Err(); err != nil {
			return err
		}
		if r.superseded(t) {
			return errSuperseded
		}
		if _, err := r.status(ctx, t.model); err != nil {
			return err
		}
	}
}
