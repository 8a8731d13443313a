package replica

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// maxOrderAttempts limits how often an order whose reads became stale is prepared again
// before the next call of reconcile.
const maxOrderAttempts = 4

// load orders the endpoint to load the staged version when its wave is due, and waits
// until the endpoint has loaded it.
func (r *Replica) load(ctx context.Context, t target) error {
	if err := r.awaitWave(ctx, t); err != nil {
		return err
	}
	err := errStaleReads
	for n := 0; errors.Is(err, errStaleReads) && n < maxOrderAttempts; n++ {
		err = r.verifyAndOrder(ctx, t)
	}
	if err != nil {
		return err
	}
	return r.awaitLoaded(ctx, t)
}

// verifyAndOrder reads back the staged chunks and orders the endpoint to load them. The
// error wraps errStaleReads if that took too long, as after a suspension of the process.
func (r *Replica) verifyAndOrder(ctx context.Context, t target) error {
	if err := r.verifyInTime(ctx, t); err != nil {
		return err
	}
	r.callbacks.Announce(ctx, t.model, t.version, true)
	r.sleep(ctx, announceDelay)
	if err := r.callbacks.Load(ctx, Order{Model: t.model, Version: t.version, Check: r.checkReadAge}); err != nil {
		telemetry.EndpointNotOrdered.Log(ctx, r.logger, "model", t.model, "version", t.version, "error", err)
		return err
	}
	telemetry.EndpointOrdered.Log(ctx, r.logger, "model", t.model, "version", t.version, "after", r.now()-t.setAt)
	return nil
}

// awaitLoaded waits until the endpoint has loaded the version that it was ordered to load.
func (r *Replica) awaitLoaded(ctx context.Context, t target) error {
	deadline := r.now() + loadTimeout
	for r.now() < deadline {
		r.sleep(ctx, loadPollInterval)
		status, err := r.callbacks.Status(ctx, t.model)
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
