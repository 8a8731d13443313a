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

// errReadBack is returned when the engine does not report the ordered digest.
var errReadBack = eris.New("engine does not serve the ordered weights")

// Time limits of a switch. Draining has none: an attempt in progress is never
// cut off.
const (
	loadTimeout      = 10 * time.Minute
	readBackInterval = 50 * time.Millisecond
)

// RolloutLease returns the table key of the lease under which orders to the
// endpoints of a service are given.
func RolloutLease(service string) string { return "lease/rollout/" + service }

// order is an accepted order to serve a digest.
type order struct {
	manifest *model.Manifest
	revision uint64
	fencing  uint64
	change   *serving.Switch
}

// Order accepts an order to serve a digest. It returns as soon as the switch has
// begun; repeating an order is harmless.
func (h handler) Order(ctx context.Context, r *connect.Request[nodev1.OrderRequest]) (*connect.Response[nodev1.OrderResponse], error) {
	err := h.agent.accept(ctx, r.Msg)
	answer := &nodev1.OrderResponse{Accepted: err == nil, Report: h.agent.report()}
	if err != nil {
		answer.Reason = err.Error()
	}
	return connect.NewResponse(answer), nil
}

func (a *Agent) accept(ctx context.Context, r *nodev1.OrderRequest) error {
	wanted, err := digest.FromBytes(r.GetDigest())
	if err != nil {
		return err
	}
	if phase, served := a.gate.Phase(); phase == serving.PhaseServing && served == wanted {
		return nil
	}
	manifest := a.weights.complete(wanted)
	if manifest == nil {
		return eris.New("weights are not staged")
	}
	if err := a.readFencing(ctx); err != nil {
		return err
	}
	change, err := a.gate.BeginSwitch(r.GetFencing())
	if err != nil {
		return err
	}
	o := order{manifest: manifest, revision: r.GetRevision(), fencing: r.GetFencing(), change: change}
	select {
	case a.orders <- o:
		return nil
	case <-ctx.Done():
		change.Fail()
		return ctx.Err()
	}
}

// readFencing raises the gate's fencing number to that of the lease row, so that
// a newly started agent refuses an order that was delayed since before its start.
func (a *Agent) readFencing(ctx context.Context) error {
	if a.gate.Fencing() > 0 {
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
	a.gate.RaiseFencing(fencing)
	return nil
}

// orderLoop carries out accepted orders, one at a time.
func (a *Agent) orderLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-a.orders:
			a.carryOut(ctx, o)
		}
	}
}

func (a *Agent) carryOut(ctx context.Context, o order) {
	log := a.node.Logger().With("digest", o.manifest.ID().Short(), "fencing", o.fencing, "revision", o.revision)
	select {
	case <-o.change.Drained():
	case <-ctx.Done():
		o.change.Fail()
		return
	}
	o.change.StartLoading()
	if err := a.load(ctx, o); err != nil {
		o.change.Fail()
		a.setFault(err.Error())
		telemetry.SwitchFailed.Log(ctx, log, "error", err)
		return
	}
	o.change.Complete(o.manifest.ID())
	a.setFault("")
	a.dropOldChunks(ctx, o.manifest)
	telemetry.WeightsInService.Log(ctx, log)
}

// load orders the engine and reads back what it serves.
func (a *Agent) load(ctx context.Context, o order) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := a.orderStaged(ctx, o); err != nil {
		return eris.Wrap(err, "load")
	}
	return a.readBack(ctx, o.manifest)
}

// orderStaged gives the order to the engine. An engine that restarted since its
// chunks were listed lacks them; they are staged again before the order is repeated,
// since the weights are not at fault.
func (a *Agent) orderStaged(ctx context.Context, o order) error {
	wire := engines.NewOrder(o.manifest, engines.WithRevision(o.revision), engines.WithFencing(o.fencing))
	for {
		err := a.engine.Load(ctx, wire)
		if !errors.Is(err, engines.ErrMissingChunk) {
			return err
		}
		telemetry.StagedChunksMissing.Log(ctx, a.node.Logger(), "digest", o.manifest.ID().Short(), "revision", o.revision)
		a.weights.forget()
		if err := a.awaitStaged(ctx, o.manifest.ID()); err != nil {
			return err
		}
	}
}

// awaitStaged returns when the chunks of the manifest are staged again, or
// errSuperseded when another one is wanted.
func (a *Agent) awaitStaged(ctx context.Context, id digest.Digest) error {
	for a.weights.complete(id) == nil {
		if a.weights.wantedID() != id {
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

// readBack waits until the engine has loaded and compares what it serves.
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
