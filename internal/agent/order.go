package agent

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/lease"
	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

// errReadBack is returned if the engine does not serve the ordered weights after a load.
var errReadBack = eris.New("engine does not serve the ordered weights")

// Timeout and poll interval of a switch to other weights. Draining has no timeout: an
// attempt in progress is never interrupted.
const (
	loadTimeout      = 10 * time.Minute
	readBackInterval = 50 * time.Millisecond
)

// RolloutLease returns the table key of the lease that an entry must hold to send orders
// to the endpoints of a service.
func RolloutLease(service string) string { return "lease/rollout/" + service }

// order is an accepted order to serve the weights of a manifest.
type order struct {
	manifest   *model.Manifest
	revision   uint64
	fencing    uint64
	transition *serving.Switch
}

// Order accepts an order to serve the weights with the given digest. It returns as soon
// as the switch has started. Repeating an order is safe.
func (h handler) Order(ctx context.Context, r *connect.Request[nodev1.OrderRequest]) (*connect.Response[nodev1.OrderResponse], error) {
	err := h.agent.accept(ctx, r.Msg)
	response := &nodev1.OrderResponse{Accepted: err == nil, Report: h.agent.report()}
	if err != nil {
		response.Reason = err.Error()
	}
	return connect.NewResponse(response), nil
}

func (a *Agent) accept(ctx context.Context, r *nodev1.OrderRequest) error {
	target, err := digest.FromBytes(r.GetDigest())
	if err != nil {
		return err
	}
	if phase, served := a.controller.Phase(); phase == serving.PhaseServing && served == target {
		return nil
	}
	manifest := a.weights.complete(target)
	if manifest == nil {
		return eris.New("weights are not staged")
	}
	if err := a.readFencing(ctx); err != nil {
		return err
	}
	transition, err := a.controller.BeginSwitch(r.GetFencing())
	if err != nil {
		return err
	}
	o := order{manifest: manifest, revision: r.GetRevision(), fencing: r.GetFencing(), transition: transition}
	select {
	case a.orders <- o:
		return nil
	case <-ctx.Done():
		transition.Fail()
		return ctx.Err()
	}
}

// readFencing raises the controller's fencing number to that of the lease row, so that a
// newly started agent refuses a delayed order from before its start.
func (a *Agent) readFencing(ctx context.Context) error {
	if a.controller.Fencing() > 0 {
		return nil
	}
	row, err := a.node.Platform().Tables().Get(ctx, RolloutLease(a.node.Self().Service()))
	if err != nil {
		return eris.Wrap(err, "lease row")
	}
	if row.Version() == 0 {
		return nil
	}
	fencing, err := lease.ParseFencing(row.Value())
	if err != nil {
		return err
	}
	a.controller.RaiseFencing(fencing)
	return nil
}

// orderLoop executes accepted orders one at a time.
func (a *Agent) orderLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-a.orders:
			a.execute(ctx, o)
		}
	}
}

func (a *Agent) execute(ctx context.Context, o order) {
	log := a.node.Logger().With("digest", o.manifest.ID().Short(), "fencing", o.fencing, "revision", o.revision)
	select {
	case <-o.transition.Drained():
	case <-ctx.Done():
		o.transition.Fail()
		return
	}
	o.transition.StartLoading()
	if err := a.load(ctx, o); err != nil {
		o.transition.Fail()
		a.setFault(err.Error())
		telemetry.SwitchFailed.Log(ctx, log, "error", err)
		return
	}
	o.transition.Complete(o.manifest.ID())
	a.setFault("")
	a.dropUnneededChunks(ctx, o.manifest)
	telemetry.WeightsInService.Log(ctx, log)
}

// load makes the engine load the ordered weights and verifies what it then serves.
func (a *Agent) load(ctx context.Context, o order) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := a.orderStaged(ctx, o); err != nil {
		return eris.Wrap(err, "load")
	}
	return a.readBack(ctx, o.manifest)
}

// orderStaged sends the order to the engine. An engine that restarted after its chunks
// were listed lacks them. Since this is no fault of the weights, the order does not
// fail: it is repeated after the chunks are staged again.
func (a *Agent) orderStaged(ctx context.Context, o order) error {
	engineOrder := engines.NewOrder(o.manifest, engines.WithRevision(o.revision), engines.WithFencing(o.fencing))
	for {
		err := a.engine.Load(ctx, engineOrder)
		if !errors.Is(err, engines.ErrMissingChunk) {
			return err
		}
		telemetry.StagedChunksMissing.Log(ctx, a.node.Logger(), "digest", o.manifest.ID().Short(), "revision", o.revision)
		a.weights.clearStaged()
		if err := a.awaitRestaged(ctx, o.manifest.ID()); err != nil {
			return err
		}
	}
}

// awaitRestaged waits until the chunks of the manifest are staged again. It returns
// errSuperseded if the target manifest changes.
func (a *Agent) awaitRestaged(ctx context.Context, id digest.Digest) error {
	for a.weights.complete(id) == nil {
		if a.weights.targetID() != id {
			return errSuperseded
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readBackInterval):
		}
	}
	return nil
}

// readBack waits until the engine has finished loading and checks that it serves m.
func (a *Agent) readBack(ctx context.Context, m *model.Manifest) error {
	for {
		state, err := a.engine.State(ctx)
		if err != nil {
			return eris.Wrap(err, "read back")
		}
		if !state.Loading() {
			return checkReadBack(state, m)
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "read back")
		case <-time.After(readBackInterval):
		}
	}
}

func checkReadBack(s engines.State, m *model.Manifest) error {
	if s.Serving() != m.ID() || s.Whole() != m.Whole() {
		return eris.Wrapf(errReadBack, "serves %s", s.Serving().Short())
	}
	return nil
}
