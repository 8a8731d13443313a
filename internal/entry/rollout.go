package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/agent"
	"github.com/primrosetally/primrosetally/internal/coordination/lease"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Intervals of the rollouts.
const (
	rolloutInterval = 250 * time.Millisecond
	leaseDuration   = 6 * time.Second
	leaseStep       = leaseDuration / 3
	orderTimeout    = 2 * time.Second
)

// rolloutLoop contends for the rollout lease of each model service and gives
// orders while it holds one.
func (e *Entry) rolloutLoop(ctx context.Context) {
	leases := make(map[string]*heldLease)
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			release(context.WithoutCancel(ctx), leases)
			return
		case <-ticker.C:
		}
		s := e.node.Snapshot()
		if s == nil || e.leaving.Load() {
			continue
		}
		for _, v := range s.Config().Services() {
			if v.Kind() == configtext.KindModel {
				e.advance(ctx, leases, v, s.Revision())
			}
		}
	}
}

// heldLease is a lease with the time of its last step.
type heldLease struct {
	lease   *lease.Lease
	stepped time.Time
}

func (e *Entry) advance(ctx context.Context, leases map[string]*heldLease, s configtext.Service, revision uint64) {
	h, ok := leases[s.Name()]
	if !ok {
		h = &heldLease{lease: e.newLease(agent.RolloutLease(s.Name()))}
		leases[s.Name()] = h
	}
	if now := time.Now(); now.Sub(h.stepped) >= leaseStep {
		h.stepped = now
		stepCtx, cancel := context.WithTimeout(ctx, leaseStep)
		if err := h.lease.Step(stepCtx); errors.Is(err, lease.ErrLost) {
			telemetry.RolloutLeaseLost.Log(ctx, e.node.Logger(), "service", s.Name())
		}
		cancel()
	}
	e.giveOrders(ctx, h.lease, s, revision)
}

func (e *Entry) newLease(name string) *lease.Lease {
	t := e.node.Platform().Tables()
	holder := fmt.Sprintf("%s/%d", e.node.Self().Name(), e.node.Self().Incarnation())
	return lease.New(name, holder, leaseDuration, lease.Table{
		Get: func(ctx context.Context, key string) ([]byte, uint64, error) {
			row, err := t.Get(ctx, key)
			return row.Value(), uint64(row.Version()), err
		},
		CompareAndSet: func(ctx context.Context, key string, version uint64, value []byte) error {
			_, err := t.Commit(ctx, tables.NewTransaction().Expect(key, tables.Version(version)).Put(key, value))
			return err
		},
	})
}

func release(ctx context.Context, leases map[string]*heldLease) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for _, h := range leases {
		_ = h.lease.Release(ctx)
	}
}

// giveOrders orders instances whose weights are staged to switch, at most
// maxUnavailable at a time.
func (e *Entry) giveOrders(ctx context.Context, l *lease.Lease, s configtext.Service, revision uint64) {
	wanted := s.Model().Manifest()
	unavailable := 0
	var ready []endpoint
	for _, p := range e.reports.of(s.Name()) {
		switch {
		case serves(p, wanted):
		case staged(p, wanted) && idle(p):
			ready = append(ready, p)
		case !p.admits():
			unavailable++
		}
	}
	for _, p := range ready {
		if p.admits() {
			if unavailable >= s.MaxUnavailable() {
				continue
			}
			unavailable++
		}
		fencing, ok := l.Holding(time.Now())
		if !ok {
			return
		}
		e.giveOrder(ctx, p, wanted, revision, fencing)
	}
}

func serves(p endpoint, wanted digest.Digest) bool {
	return p.admits() && string(p.report.GetDigest()) == string(wanted[:])
}

func staged(p endpoint, wanted digest.Digest) bool {
	r := p.report
	return string(r.GetWantedDigest()) == string(wanted[:]) && r.GetChunksTotal() > 0 && r.GetChunksStaged() == r.GetChunksTotal()
}

// idle reports whether no switch is in progress.
func idle(p endpoint) bool {
	switch p.report.GetState() {
	case nodev1.EndpointState_ENDPOINT_STATE_EMPTY, nodev1.EndpointState_ENDPOINT_STATE_SERVING, nodev1.EndpointState_ENDPOINT_STATE_DOWN:
		return true
	default:
		return false
	}
}

func (e *Entry) giveOrder(ctx context.Context, p endpoint, wanted digest.Digest, revision, fencing uint64) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	message := &nodev1.OrderRequest{
		Service:  p.member.Service(),
		Digest:   wanted.Bytes(),
		Revision: revision,
		Fencing:  fencing,
	}
	answer, err := e.node.Pool().Agent(p.member.Address()).Order(ctx, connect.NewRequest(message))
	if err != nil {
		telemetry.OrderNotDelivered.Log(ctx, e.node.Logger(), "instance", p.member.Name(), "error", err)
		return
	}
	if !answer.Msg.GetAccepted() {
		telemetry.OrderRefused.Log(ctx, e.node.Logger(), "instance", p.member.Name(), "reason", answer.Msg.GetReason())
	}
}
