package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Bounds of single faults.
const (
	// slowStore is the delay of each answer of a slow store.
	slowStore = 200 * time.Millisecond
	// seriesGap is between two processes that are stopped in series.
	seriesGap     = 700 * time.Millisecond
	longestSeries = 4 // processes
	// failedShare is above 1, so that the store fails for all machines in a quarter of
	// its faults.
	failedShare = 1.4
)

// storeFault is a fault of the store in progress.
type storeFault struct {
	fault    int // its number
	kind     standin.Fault
	machines map[string]bool // by the address at which they reach the store
}

// decideStore decides on a call to the store by the machine that makes it, which the
// address identifies.
func (r *run) decideStore(q *http.Request) standin.Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.storeFaults {
		if f.machines[q.Host] {
			return f.kind
		}
	}
	return standin.FaultNone
}

// injectFaults carries out the plan. Each fault has its own end, so that several are
// there at a time.
func (r *run) injectFaults(ctx context.Context) {
	var ends sync.WaitGroup
	defer ends.Wait()
	phase, endPhase := context.WithCancel(ctx)
	defer r.background.Wait()
	defer endPhase()
	for i, f := range r.plan {
		pause(ctx, time.Until(r.started.Add(f.At)))
		if ctx.Err() != nil {
			return
		}
		if f.atBound() {
			ends.Go(func() { r.waitAtEngines(ctx, f) })
			continue
		}
		end := r.inject(phase, i, f)
		ends.Go(func() {
			pause(ctx, f.Length)
			end()
		})
	}
	pause(ctx, time.Until(r.started.Add(r.duration)))
}

// inject begins a fault and returns what ends it.
func (r *run) inject(ctx context.Context, number int, f Fault) (end func()) {
	m := r.machines[f.pick(0, len(r.machines))]
	switch f.Kind {
	case KillProcess:
		r.note("kill %s", m.Name)
		m.signal(syscall.SIGKILL)
	case TerminateProcess:
		r.note("terminate %s", m.Name)
		m.signal(syscall.SIGTERM)
	case PauseProcess:
		r.note("pause %s for %s", m.Name, f.Length)
		m.pause()
		return m.resume
	case HangUpProcess:
		r.note("hang up %s", m.Name)
		m.signal(syscall.SIGHUP)
	case StopInSeries:
		r.stopInSeries(ctx, f)
	case FailStore:
		return r.failStore(number, f)
	case SlowStore:
		r.note("the store is slow for %s", f.Length)
		r.storeDisturbed.begin(number)
		r.deployment.Store.SetDelay(slowStore)
		return func() {
			r.deployment.Store.SetDelay(0)
			r.storeDisturbed.finish(number)
		}
	case ForgetHistory:
		r.note("the store forgets its history")
		r.deployment.Store.Compact()
	case SpoilServer:
		return r.spoilServers(f)
	case SpoilOrigin:
		return r.spoilOrigin(f)
	case SpoilChunk:
		id := r.engines[f.pick(0, len(r.engines))]
		chunk := f.pick(1, standin.SmallEngine.Chunks)
		r.note("chunk %d at %s turns bad", chunk, id)
		r.deployment.Servers[id].Spoil(chunk)
	case AddRoute:
		r.addRoute()
	case RotateKey:
		r.rotateKey()
	case NameWeights:
		r.nameWeights()
	case DisturbLink:
		return r.disturbLink(number, f, r.links[f.pick(0, len(r.links))])
	case CutMachine:
		d := []disturbance{cutThere, cutBack, silenced}[f.pick(1, 3)]
		return r.cut(number, m, d, f.Length)
	case RevokeDuringCut:
		entry := r.machines[f.pick(0, len(r.deployment.Entries))]
		end = r.cut(number, entry, silenced, f.Length)
		r.rotateKey()
		return end
	case SignalBackpressure:
		return r.signalBackpressure(f)
	case StateRateLimit:
		return r.stateRateLimit(f)
	case MakePartDeadly:
		return r.makePartDeadly(number)
	case ChangeInSeries:
		series, end := context.WithCancel(ctx)
		random := rand.New(rand.NewPCG(f.Draws[0], f.Draws[1]))
		r.background.Go(func() { r.changeInSeries(series, random) })
		return end
	case ReturnStore:
		return r.returnStore(number, f)
	case RestartWhileLeaving:
		r.restartWhileLeaving(ctx, f)
	}
	return func() {}
}

// cut disturbs all links of a machine but those of its callers.
func (r *run) cut(number int, m *machine, d disturbance, length time.Duration) (end func()) {
	r.note("%s is cut off (%d) for %s", m.Name, d, length)
	m.store.disturb(number, d)
	m.peers.disturb(number, d)
	return func() {
		m.store.heal(number)
		m.peers.heal(number)
	}
}

// stopInSeries ends some processes one after the other, or at once.
func (r *run) stopInSeries(ctx context.Context, f Fault) {
	first, count := f.pick(0, len(r.machines)), 2+f.pick(1, longestSeries-1)
	signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[f.pick(2, 2)]
	together := f.pick(3, 4) == 0
	if together {
		count = len(r.machines)
		signal = syscall.SIGKILL
	}
	r.note("%s to %d processes from %s on, together: %t", signal, count, r.machines[first].Name, together)
	for i := range count {
		r.machines[(first+i)%len(r.machines)].signal(signal)
		if !together {
			pause(ctx, seriesGap)
		}
	}
}

// disturbLink disturbs the connections of one link.
func (r *run) disturbLink(number int, f Fault, l *link) func() {
	switch kind := f.pick(1, int(disturbances)+2); kind {
	case 0:
		r.note("connections of %s are reset", l.name)
		l.resetAll()
	case 1:
		r.note("open connections of %s go silent", l.name)
		l.muteAll()
	case 2:
		r.note("open connections of %s are half open", l.name)
		l.halveAll()
	default:
		d := disturbance(kind - 2)
		r.note("connections of %s are disturbed (%d) for %s", l.name, d, f.Length)
		l.disturb(number, d)
	}
	return func() { l.heal(number) }
}

// failStore lets the store fail for all machines or for some of them.
func (r *run) failStore(number int, f Fault) func() {
	kinds := []standin.Fault{standin.FaultBusy, standin.FaultLimited, standin.FaultReset, standin.FaultSilent, standin.FaultLost}
	fault := storeFault{fault: number, kind: kinds[f.pick(0, len(kinds))], machines: make(map[string]bool)}
	share := f.share(1) * failedShare
	machines := rand.New(rand.NewPCG(f.Draws[2], f.Draws[3]))
	for _, m := range r.machines {
		fault.machines[m.storeAt] = machines.Float64() < share
	}
	r.note("the store fails (%d) for %.1f of the machines for %s", fault.kind, min(share, 1), f.Length)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeDisturbed.begin(number)
	r.storeFaults = append(r.storeFaults, fault)
	return func() {
		r.storeDisturbed.finish(number)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.storeFaults = slices.DeleteFunc(r.storeFaults, func(s storeFault) bool { return s.fault == number })
	}
}

// everyThird returns what spoils each third answer.
func everyThird(kind standin.Breakage) func() standin.Breakage {
	var mu sync.Mutex
	n := 0
	return func() standin.Breakage {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n%3 == 0 {
			return kind
		}
		return standin.BreakNone
	}
}

func whole() standin.Breakage { return standin.BreakNone }

// someServers returns a server, or now and then all of its service.
func (r *run) someServers(f Fault) []string {
	id := r.servers[f.pick(0, len(r.servers))]
	if f.pick(2, 4) != 0 {
		return []string{id}
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(id, "i-"), "-")
	return slices.DeleteFunc(slices.Clone(r.servers), func(id string) bool { return !strings.HasPrefix(id, "i-"+service) })
}

// spoilServers lets a server spoil part of its answers, or all servers of its service:
// more are then to be repeated than may be.
func (r *run) spoilServers(f Fault) func() {
	ids := r.someServers(f)
	// Whole events that a server makes up can't be distinguished from its answer.
	kind := standin.Breakage(1 + f.pick(1, int(standin.BreakFastEvents)-1))
	// A cut head is drawn twice as often: few of its cuts come after all fields of interest.
	others := []standin.Breakage{standin.BreakUnframed, standin.BreakUnframedEmpty, standin.BreakUnframedReset, standin.BreakCutHead, standin.BreakCutHead}
	if other := f.pick(3, 12); other < len(others) {
		kind = others[other]
	}
	r.note("%s spoil a third of their answers (%d) for %s", strings.Join(ids, " "), kind, f.Length)
	for _, id := range ids {
		r.deployment.Servers[id].SetBroken(everyThird(kind))
	}
	return func() {
		for _, id := range ids {
			r.deployment.Servers[id].SetBroken(whole)
		}
	}
}

// spoilOrigin lets the origin send nothing, or wrong bytes, in part of its answers.
func (r *run) spoilOrigin(f Fault) func() {
	kind := []standin.Breakage{standin.BreakBefore, standin.BreakError}[f.pick(0, 2)]
	r.note("the origin spoils a third of its answers (%d) for %s", kind, f.Length)
	r.deployment.Origin.SetBroken(everyThird(kind))
	return func() { r.deployment.Origin.SetBroken(whole) }
}

// addRoute adds a route and returns its number.
func (r *run) addRoute() int {
	n := int(r.routes.Add(1))
	r.note("route %d is added", n)
	r.ledger.planned.changed()
	r.deployment.AddRoutes(1)
	return n
}

// nameWeights names the next version and returns it.
func (r *run) nameWeights() int64 {
	r.namings.Lock()
	defer r.namings.Unlock()
	r.version++
	version := r.version
	r.deployment.NameWeights(version)
	r.ledger.named(version, time.Now())
	r.ledger.planned.named(time.Now())
	r.note("version %d of the weights is named", version)
	return version
}

// rotateKey adds a key and takes the last one away.
func (r *run) rotateKey() {
	r.keys++
	key := func(n int) string { return fmt.Sprintf("%s-%d", standin.Key, n) }
	r.note("key %d is added, key %d is taken away", r.keys, r.keys-1)
	r.ledger.planned.changed()
	r.deployment.SetKeys(standin.Key, key(r.keys))
	r.ledger.keyAdded(key(r.keys))
	if r.keys > 1 {
		r.ledger.keyRemoved(key(r.keys - 1))
	}
}
