package replica

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// errEndpointChanged is returned if the endpoint was started again or has accepted an order
// while its staged chunks were read back.
var errEndpointChanged = eris.New("endpoint has changed since its status was read")

// maxOrderAttempts limits how often an order whose reads became stale is prepared again
// before the next call of reconcile.
const maxOrderAttempts = 4

// load orders the endpoint to load the staged version when its wave is due, and waits
// until the endpoint has loaded it. A pinned version was due before.
func (r *Replica) load(ctx context.Context, t target) error {
	// A write that is carried out after the chunks are read back would not be noticed.
	if err := r.awaitSettled(ctx, t, func(u *unansweredCalls) bool { return u.includesOther(t.version) }); err != nil {
		return err
	}
	if !t.pinned {
		if err := r.awaitWave(ctx, t); err != nil {
			return err
		}
	}
	status, err := r.status(ctx, t.model)
	if err != nil {
		return err
	}
	if t.pinned && r.pending.settled(status) {
		return errSuperseded // by the target, which may be another version
	}
	if status.Version >= t.version {
		return nil
	}
	if !status.Busy {
		if err := r.orderVerified(ctx, t, status); err != nil {
			return err
		}
	}
	return r.awaitLoaded(ctx, t)
}

// orderVerified orders the endpoint, as it is by its status, to load the staged chunks. They
// are read back again if the reads become stale before the order is sent.
func (r *Replica) orderVerified(ctx context.Context, t target, s Status) error {
	err := errStaleReads
	for n := 0; errors.Is(err, errStaleReads) && n < maxOrderAttempts; n++ {
		err = r.verifyAndOrder(ctx, t, s)
	}
	return err
}

// verifyAndOrder reads back the staged chunks and orders the endpoint to load them. The
// error wraps errStaleReads if that took too long, as after a suspension of the process.
func (r *Replica) verifyAndOrder(ctx context.Context, t target, s Status) error {
	if err := r.verifyInTime(ctx, t); err != nil {
		return err
	}
	r.callbacks.Announce(ctx, t.model, t.version, true)
	r.sleep(ctx, announceDelay)
	now, err := r.status(ctx, t.model)
	if err != nil {
		return err
	}
	if now.Started != s.Started || now.Sequence != s.Sequence {
		return errEndpointChanged
	}
	if err := r.order(ctx, t, s); err != nil {
		telemetry.EndpointNotOrdered.Log(ctx, r.logger, "model", t.model, "version", t.version, "error", err)
		return err
	}
	telemetry.EndpointOrdered.Log(ctx, r.logger, "model", t.model, "version", t.version, "after", r.now()-t.setAt,
		"left", r.usableUntil(t, s.Version)-r.now(), "active", now.Active, "queued", now.Queued, "pace", now.Pace)
	return nil
}

// order gives the order and records it as pending if its outcome is unknown. It is not
// canceled with ctx, since that would leave its outcome unknown.
func (r *Replica) order(ctx context.Context, t target, s Status) error {
	check := func() error {
		if err := ctx.Err(); err != nil {
			return eris.Wrapf(ErrRejected, "the agent stops: %v", err)
		}
		return r.checkReadAge()
	}
	o := Order{Model: t.model, Version: t.version, Sequence: s.Sequence, Check: check}
	err := r.callbacks.Load(context.WithoutCancel(ctx), o)
	switch {
	case err == nil:
		r.pending = nil
	case !errors.Is(err, ErrRejected) && !errors.Is(err, errStaleReads):
		r.pending = newPendingOrder(t, s)
	}
	return err
}

// awaitLoaded waits until the endpoint has loaded the version that it was ordered to load.
func (r *Replica) awaitLoaded(ctx context.Context, t target) error {
	deadline := r.now() + loadTimeout
	for r.now() < deadline {
		r.sleep(ctx, loadPollInterval)
		status, err := r.status(ctx, t.model)
		if err != nil {
			return err
		}
		if status.Version >= t.version {
			r.callbacks.Announce(ctx, t.model, status.Version, false)
			telemetry.WeightsInService.Log(ctx, r.logger, "model", t.model, "version", t.version, "after", r.now()-t.setAt)
			return nil
		}
		if !status.Busy {
			return eris.New("endpoint is not loading")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return eris.New("endpoint did not load before the timeout")
}
