package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/agent"
	"github.com/primrosetally/primrosetally/internal/coordination/lease"
	"github.com/primrosetally/primrosetally/internal/coordination/rollout"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Intervals of the rollouts.
const (
	rolloutInterval = 250 * time.Millisecond
	leaseDuration   = 6 * time.Second
	leaseStep       = leaseDuration / 3
	leaseTimeout    = time.Second
	orderTimeout    = 2 * time.Second
)

// leader looks after the rollouts of one service on this entry.
type leader struct {
	entry   *Entry
	service string
	lease   *lease.Lease
	stepped time.Time
	planner *rollout.Planner
	halt    rollout.Halt
}

// rolloutLoop keeps a leader for each service of which an endpoint waited for an
// order here.
func (e *Entry) rolloutLoop(ctx context.Context) {
	var leaders sync.WaitGroup
	defer leaders.Wait()
	started := make(map[string]bool)
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, service := range e.rollouts.names() {
			if !started[service] {
				started[service] = true
				l := &leader{entry: e, service: service, lease: e.newLease(agent.RolloutLease(service)), planner: rollout.New()}
				leaders.Go(func() { l.run(ctx) })
			}
		}
	}
}

// run leads the rollouts of the service until ctx ends. Between rollouts it gives
// the lease up, which costs the table nothing.
func (l *leader) run(ctx context.Context) {
	defer l.release(context.WithoutCancel(ctx))
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !l.entry.leads(l.service) {
			l.release(ctx)
			continue
		}
		l.step(ctx)
		l.giveOrders(ctx)
	}
}

// leads reports whether this entry should contend for the rollout of a service.
func (e *Entry) leads(service string) bool {
	if e.leaving.Load() || !e.rollouts.active(service) {
		return false
	}
	isSelf := func(m member.Member) bool { return m.Name() == e.node.Self().Name() }
	return slices.ContainsFunc(rollout.Candidates(e.node.View(), service), isSelf)
}

// step renews the lease or contends for it when that is due.
func (l *leader) step(ctx context.Context) {
	now := time.Now()
	if now.Sub(l.stepped) < leaseStep {
		return
	}
	l.stepped = now
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	if err := l.lease.TryAcquireOrRenew(ctx); errors.Is(err, lease.ErrLost) {
		telemetry.RolloutLeaseLost.Log(ctx, l.entry.node.Logger(), "service", l.service)
	}
}

func (l *leader) release(ctx context.Context) {
	if _, ok := l.lease.Holding(time.Now()); !ok {
		return
	}
	l.stepped = time.Time{}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	// A lost answer is harmless: the row lapses like that of a dead holder.
	_ = l.lease.Release(ctx)
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

// giveOrders carries out what the planner decides, as long as the lease holds.
func (l *leader) giveOrders(ctx context.Context) {
	s := l.entry.node.Snapshot()
	if s == nil {
		return
	}
	service, ok := s.Config().Service(l.service)
	if !ok || service.Kind() != configtext.KindModel || !l.entry.allReported(service) {
		return
	}
	fencing, held := l.lease.Holding(time.Now())
	if !held {
		// Orders of another holder are not known here.
		l.planner = rollout.New()
		return
	}
	decision := l.planner.Plan(time.Now(), l.entry.rolloutInput(s.Config(), service, s.Revision(), fencing))
	l.logHalts(ctx, decision.Halts)
	byName := make(map[string]endpoint)
	for _, p := range l.entry.reports.of(l.service) {
		byName[p.member.Name()] = p
	}
	for _, o := range decision.Orders {
		fencing, held := l.lease.Holding(time.Now())
		if !held || fencing != o.Fencing {
			return
		}
		if o.Service == l.service {
			l.entry.giveOrder(ctx, byName[o.Endpoint], o.Digest, o.Revision, o.Fencing)
		}
	}
}

// logHalts logs the halt of the service once.
func (l *leader) logHalts(ctx context.Context, halts []rollout.Halt) {
	var own rollout.Halt
	for _, h := range halts {
		if h.Service == l.service {
			own = h
		}
	}
	if own != l.halt && own.Service != "" {
		telemetry.RolloutHalted.Log(ctx, l.entry.node.Logger(), "service", own.Service, "instance", own.Endpoint, "reason", own.Reason)
	}
	l.halt = own
}

// allReported reports whether every endpoint of the service was asked once, and
// notes that the rollout goes on while one of them does not serve what is wanted.
func (e *Entry) allReported(s configtext.Service) bool {
	list := e.reports.of(s.Name())
	for _, p := range list {
		if !p.observed {
			return false
		}
		if !serves(p, s.Model().Manifest()) {
			e.rollouts.note(s.Name())
		}
	}
	return len(list) >= e.agentsOf(s.Name())
}

func (e *Entry) agentsOf(service string) int {
	n := 0
	for _, m := range e.node.Members() {
		if m.Role() == member.RoleAgent && m.Service() == service {
			n++
		}
	}
	return n
}

func serves(p endpoint, wanted digest.Digest) bool {
	return p.admits() && string(p.report.GetDigest()) == string(wanted[:])
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
