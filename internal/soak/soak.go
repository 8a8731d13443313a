// Package soak runs the real programs as separate processes against stand-ins of
// the platform, injects faults from outside of them, and checks the promises of the
// system by what callers, servers and the operator see.
//
// The schedule of faults follows from the seed alone. Faults come in series and
// overlap: signals to processes, faults of the store for all or for some machines,
// answers of servers that are lost, cut, spoilt or failed, and changes of the
// operator. Afterwards a calm phase checks what must hold without any fault.
//
// # Usage
//
//	report, err := soak.Run(ctx, "target/primrosetally-fleet", soak.WithSeed(7), soak.WithDuration(20*time.Second))
//	for _, v := range report.Violations { ... }
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of a run.
const (
	readyTimeout = 15 * time.Second
	// settleTime lets what faults left behind heal before the calm phase.
	settleTime = 7 * time.Second
	// revocation is the bound that the stand-in's settings give.
	revocation = 5 * time.Second
	// calmBound is the time in which a change must be in force everywhere.
	calmBound = 2500 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Schedule   []string
	Requests   int
	Served     int
	Runs       int
	Violations []string
}

type config struct {
	seed     uint64
	duration time.Duration
	domains  int
	entries  int
	agents   int
	callers  int
	network  byte
	logs     string
}

// Option sets a property of a run.
type Option func(*config)

// WithSeed sets the seed of the schedule.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithDuration sets how long faults are injected.
func WithDuration(d time.Duration) Option { return func(c *config) { c.duration = d } }

// WithSize sets the failure domains, and the entries and agents in each.
func WithSize(domains, entries, agents int) Option {
	return func(c *config) { c.domains, c.entries, c.agents = domains, entries, agents }
}

// WithLogs sets the directory that keeps what the processes write.
func WithLogs(directory string) Option { return func(c *config) { c.logs = directory } }

// WithNetwork sets the second number of the machines' addresses, 127.N.x.y.
func WithNetwork(n byte) Option { return func(c *config) { c.network = n } }

// run is a soak in progress.
type run struct {
	config
	binary     string
	deployment *standin.Deployment
	machines   []*machine
	proxies    []*proxy // before the store, the origin and each server
	ledger     *ledger
	random     *rand.Rand
	schedule   []string
	started    time.Time
	version    int64
	keys       int

	mu    sync.Mutex
	fault func(remote string) standin.Fault
}

// Run builds up a deployment of the binary and soaks it. The error is of the soak
// itself; broken promises are in the report.
func Run(ctx context.Context, binary string, options ...Option) (*Report, error) {
	c := config{seed: 1, duration: 15 * time.Second, domains: 2, entries: 2, agents: 2, callers: 8, network: 60}
	for _, o := range options {
		o(&c)
	}
	if c.logs == "" {
		c.logs = filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d", c.seed))
	}
	if err := os.MkdirAll(c.logs, 0o755); err != nil {
		return nil, eris.Wrap(err, "soak")
	}
	r := &run{config: c, binary: binary, ledger: newLedger(), random: rand.New(rand.NewPCG(c.seed, 1)), version: 1}
	if err := r.start(); err != nil {
		return nil, err
	}
	defer r.stop()
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.started = time.Now()
	callers := r.startCallers(ctx)
	r.injectFaults(ctx)
	r.heal(ctx)
	r.calmPhase(ctx)
	callers()
	r.ledger.conclude()
	for id, s := range r.deployment.Servers {
		if _, whole := s.Version(); !whole {
			r.ledger.violate("weights: %s loaded a version that was not whole", id)
		}
	}
	report := r.ledger.report()
	report.Seed, report.Schedule = c.seed, r.schedule
	return report, nil
}

func (r *run) start() error {
	d, err := standin.StartDeployment(
		standin.WithSize(r.domains, r.entries, r.agents, 1),
		standin.WithNetwork(r.network),
		standin.WithListen(r.listen),
		standin.WithRunsOf(r.ledger.ran))
	if err != nil {
		return eris.Wrap(err, "soak")
	}
	r.deployment = d
	d.Store.SetFault(r.storeFault)
	for _, m := range d.Entries {
		r.machines = append(r.machines, &machine{Machine: m, role: "entry", run: r})
	}
	for _, m := range d.Agents {
		r.machines = append(r.machines, &machine{Machine: m, role: "agent", run: r})
	}
	for _, m := range r.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// listen opens the listener of a server behind a proxy.
func (r *run) listen(address string) (net.Listener, error) {
	p, hidden, err := startProxy(address)
	if err == nil {
		r.proxies = append(r.proxies, p)
	}
	return hidden, err
}

func (r *run) stop() {
	for _, m := range r.machines {
		m.end()
	}
	for _, p := range r.proxies {
		p.listener.Close()
	}
	r.deployment.Close()
}

func (r *run) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range r.machines {
		for m.role == "entry" && !m.ready() {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return eris.Errorf("soak: %s is not ready", m.Name)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// note writes an entry of the schedule.
func (r *run) note(format string, args ...any) {
	at := time.Since(r.started).Truncate(time.Millisecond)
	r.schedule = append(r.schedule, fmt.Sprintf("%8s  ", at)+fmt.Sprintf(format, args...))
}

// heal ends every fault and waits until what it left behind is mended.
func (r *run) heal(ctx context.Context) {
	r.setStoreFault(nil)
	r.deployment.Store.SetDelay(0)
	for _, s := range r.deployment.Servers {
		s.SetBroken(func() standin.Breakage { return standin.BreakNone })
	}
	for _, m := range r.machines {
		m.resume()
	}
	for _, p := range r.proxies {
		p.disturb(passing)
	}
	r.note("all faults end")
	pause(ctx, settleTime)
}
