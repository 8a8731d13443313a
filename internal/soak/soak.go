// Package soak runs the real programs as separate processes against stand-ins of
// the platform, injects faults from outside of them, and checks the promises of the
// system by what callers, servers and the operator see.
//
// The plan of faults follows from the seed alone. Faults come in series and overlap:
// signals to processes, faults of the store for all or for some machines, connections
// that loopback proxies delay, cut, silence, drip or reset between every two processes,
// answers of servers that are lost, cut, spoilt or failed, and changes of the operator.
// Afterwards a calm phase checks what must hold without any fault. A plan that fails can
// be reduced to the faults that it needs.
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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of a run.
const (
	// readyTimeout is that of the first process; more take longer to start together.
	readyTimeout     = 15 * time.Second
	readyPerProcess  = 200 * time.Millisecond
	settleTime       = 7 * time.Second // lets what faults left behind heal
	revocation       = 5 * time.Second // the bounds that the stand-in's settings give
	versionBound     = 8 * time.Second
	drainBound       = 2 * time.Second
	calmBound        = 2500 * time.Millisecond // for a change to be in force everywhere
	retryWindow      = 10 * time.Second
	revertSlack      = 250 * time.Millisecond
	processesADomain = 8 // until more processes mean larger domains
	mostDomains      = 3
	queueLength      = 4 // of each server
)

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Plan       []Fault
	Schedule   []string // what was done, with its time
	Requests   int
	Served     int
	Runs       int
	Violations []string
	Ends       []string // how many requests ended without an answer, by occasion
}

type config struct {
	seed     uint64
	plan     []Fault
	duration time.Duration
	domains  int
	entries  int
	agents   int
	callers  int
	network  byte
	logs     string
	// withoutWaits leaves out the faults in which requests wait at engines.
	withoutWaits bool
}

// Option sets a property of a run.
type Option func(*config)

// WithSeed sets the seed of the plan.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithPlan sets the plan instead of the one of the seed.
func WithPlan(plan []Fault) Option { return func(c *config) { c.plan = plan } }

// WithDuration sets how long faults are injected.
func WithDuration(d time.Duration) Option { return func(c *config) { c.duration = d } }

// WithProcesses sets how many processes run, entries and agents in equal parts.
func WithProcesses(n int) Option {
	return func(c *config) {
		c.domains = min(max(n/processesADomain, 2), mostDomains)
		c.entries = max(n/(2*c.domains), 1)
		c.agents = max(n/c.domains-c.entries, 1)
		c.callers = max(n, 8)
	}
}

// WithoutWaits leaves out the faults in which requests wait or end at engines around the bound
// of a version, in the plan and in the calm phase.
func WithoutWaits() Option { return func(c *config) { c.withoutWaits = true } }

// WithLogs sets the directory that keeps what the processes write.
func WithLogs(directory string) Option { return func(c *config) { c.logs = directory } }

// WithNetwork sets the second number of the machines' addresses, 127.N.x.y, below 98.
func WithNetwork(n byte) Option { return func(c *config) { c.network = n } }

// run is a soak in progress.
type run struct {
	config
	binary     string
	deployment *standin.Deployment
	machines   []*machine
	links      []*link  // all of them
	hidden     []*link  // before the store, the origin and the servers; guarded by mu
	servers    []string // identities
	engines    []string
	ledger     *ledger
	schedule   []string // guarded by mu
	started    time.Time
	namings    sync.Mutex
	version    int64        // guarded by namings
	waits      atomic.Int32 // faults in progress in which requests wait
	keys       int          // that were added; the first is there from the start
	routes     atomic.Int64
	attempts   atomic.Int64
	deadlyPart atomic.Pointer[string] // part of a prompt that crashes engines, nil for none

	leavers, leaversInCalm []*leaver
	background             sync.WaitGroup // faults that go on by themselves
	storeDisturbed         spans
	returning              sync.Mutex // held while the store comes back from an older copy

	mu          sync.Mutex
	storeFaults []storeFault
}

// Run builds up a deployment of the binary and soaks it. The error is of the soak
// itself; broken promises are in the report.
func Run(ctx context.Context, binary string, options ...Option) (*Report, error) {
	c := config{seed: 1, duration: 15 * time.Second, network: 60}
	WithProcesses(8)(&c)
	for _, o := range options {
		o(&c)
	}
	if c.plan == nil {
		c.plan = Plan(c.seed, c.duration)
	}
	if c.withoutWaits {
		c.plan = slices.DeleteFunc(slices.Clone(c.plan), Fault.atBound)
	}
	if c.logs == "" {
		c.logs = filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d", c.seed))
	}
	if err := os.MkdirAll(c.logs, 0o755); err != nil {
		return nil, eris.Wrap(err, "soak")
	}
	r := &run{config: c, binary: binary, ledger: newLedger(), version: 1}
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.started = time.Now()
	r.rotateKey() // so that there is one to take away
	callers := r.startCallers(ctx)
	watched, unwatch := context.WithCancel(ctx)
	defer unwatch()
	memory := r.watchMemory(watched)
	r.injectFaults(ctx)
	r.heal(ctx)
	r.calmPhase(ctx)
	callers()
	unwatch()
	<-memory
	r.checkWeights()
	r.checkRequests(ctx)
	r.ledger.conclude()
	report := r.ledger.report()
	report.Seed, report.Plan, report.Schedule = c.seed, c.plan, r.schedule
	return report, r.keep(report)
}

func (r *run) start() error {
	d, err := standin.StartDeployment(
		standin.WithSize(r.domains, r.entries, r.agents, 1),
		standin.WithSpares(faultSpares+calmSpares),
		standin.WithNetwork(r.network),
		standin.WithGrace(stopTimeout),
		standin.WithListen(r.listen),
		standin.WithQueues(queueLength),
		standin.WithRunsOf(r.ledger.ran),
		standin.WithWithdrawalsOf(r.ledger.withdrawn),
		standin.WithFinishesOf(r.ledger.finished),
		standin.WithArrivalsOf(r.ledger.arrived))
	if err != nil {
		return eris.Wrap(err, "soak")
	}
	r.deployment = d
	d.Store.SetFault(r.decideStore)
	r.ledger.disturbed = r.disturbedBetween
	r.ledger.inTouchSince = r.inTouchSince
	r.ledger.calmSince = r.calmSince
	r.ledger.soundSince = r.soundSince
	r.listServers()
	for _, m := range d.Entries {
		r.machines = append(r.machines, &machine{Machine: m, role: "entry", run: r, index: len(r.machines)})
	}
	for _, m := range d.Agents {
		r.machines = append(r.machines, &machine{Machine: m, role: "agent", run: r, index: len(r.machines)})
	}
	r.links = append(r.links, r.hidden...)
	for _, m := range r.machines {
		if err := m.connect(); err != nil {
			return err
		}
		r.links = append(r.links, m.links()...)
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// listServers lists the servers that are there from the start, and those that start later.
func (r *run) listServers() {
	for id := range r.deployment.Servers {
		if strings.HasPrefix(id, "i-engine") {
			r.engines = append(r.engines, id)
		}
		if !strings.HasPrefix(id, "i-spare") {
			r.servers = append(r.servers, id)
		}
	}
	slices.Sort(r.servers)
	slices.Sort(r.engines)
	for i, s := range r.deployment.Spares {
		v := &leaver{Spare: s, run: r}
		if i%(faultSpares+calmSpares) < faultSpares {
			r.leavers = append(r.leavers, v)
		} else {
			r.leaversInCalm = append(r.leaversInCalm, v)
		}
	}
}

// listen opens the listener of the store, or of a server behind a proxy. The store is
// reached by a proxy for each machine.
func (r *run) listen(address string) (net.Listener, error) {
	if strings.HasSuffix(address, ".0.1:8007") {
		return net.Listen("tcp", address)
	}
	if l := r.hiddenLink(serverLink(address)); l != nil {
		return l.hide(address) // a server that is back
	}
	l := newLink(serverLink(address))
	listener, err := l.hide(address)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.hidden = append(r.hidden, l)
	}
	return listener, err
}

// hiddenLink returns the link before a server, nil if there is none.
func (r *run) hiddenLink(name string) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.hidden {
		if l.name == name {
			return l
		}
	}
	return nil
}

func (r *run) stop() {
	for _, m := range r.machines {
		m.end()
	}
	r.mu.Lock()
	hidden := r.hidden
	r.mu.Unlock()
	for _, l := range hidden {
		l.stop()
	}
	if r.deployment != nil {
		r.deployment.Close()
	}
}

func (r *run) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout + time.Duration(len(r.machines))*readyPerProcess)
	for _, m := range r.machines {
		if err := m.awaitReady(ctx, deadline); err != nil {
			return err
		}
	}
	return nil
}

// paused waits and reports whether ctx goes on.
func paused(ctx context.Context, d time.Duration) bool {
	pause(ctx, d)
	return ctx.Err() == nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// clockFormat is that of times in a schedule, as in the logs of the processes.
const clockFormat = "15:04:05.000"

// note writes an entry of the schedule.
func (r *run) note(format string, args ...any) {
	now := time.Now()
	at := now.Sub(r.started).Truncate(time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.schedule = append(r.schedule, fmt.Sprintf("%s %8s  ", now.UTC().Format(clockFormat), at)+fmt.Sprintf(format, args...))
}

// heal waits until what the faults left behind is mended: each has ended by now.
func (r *run) heal(ctx context.Context) {
	r.note("all faults have ended")
	pause(ctx, settleTime)
}

func (r *run) checkWeights() {
	for id, s := range r.deployment.Servers {
		if _, whole := s.Version(); !whole {
			r.ledger.violate("weights: %s loaded a version that was not whole", id)
		}
	}
}

// keep writes the schedule and the violations beside the logs.
func (r *run) keep(report *Report) error {
	text := strings.Join(report.Schedule, "\n") + "\n"
	for _, e := range report.Ends {
		text += "ENDS " + e + "\n"
	}
	for _, v := range report.Violations {
		text += "VIOLATION " + v + "\n"
	}
	err := os.WriteFile(filepath.Join(r.logs, scheduleFile), []byte(text), 0o600)
	return eris.Wrap(err, "soak")
}

// newRandom returns the numbers of one caller.
func (r *run) newRandom(caller int) *rand.Rand {
	return rand.New(rand.NewPCG(r.seed, uint64(100+caller)))
}
