package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Times of versions of weights.
const (
	// versionMargin covers what a request may wait at an endpoint before it begins
	// to work.
	versionMargin = 900 * time.Millisecond
	// confirmedLately is the age up to which a confirmation dates what is named after
	// it: beyond it every entry would have asked the store, so that it was away.
	confirmedLately = 2500 * time.Millisecond
	// holdingTimeout bounds the belief that an endpoint loads: an agent may die
	// before it says that it is done.
	holdingTimeout = 10 * time.Second
	// recorders is the number of entries that write down when a version was named.
	recorders = 2
	// tellers is the number of entries of a region that tell agents which version
	// is wanted, every tellInterval until it is there.
	tellers      = 2
	tellInterval = 400 * time.Millisecond
	// datesTime is the time in which an entry that has started reads the dates that
	// others wrote down. Agents that were told to hurry before that would all load at
	// the same moment.
	datesTime = 1500 * time.Millisecond
)

// weightsBook knows when the versions of weights were named, at the earliest. A time
// is exact where the store confirmed the state without the version shortly before
// some entry saw it; it is then known to all, and the latest of them is the best.
// Else the store was away as it was named, and the time is that of its return; or the
// process has just started, and the version binds at once. It is safe for concurrent
// use.
type weightsBook struct {
	bound time.Duration

	mu     sync.Mutex
	models map[string][]namedWeights // oldest version first
}

type namedWeights struct {
	version int64
	named   time.Duration
	exact   bool
}

func newWeightsBook() *weightsBook {
	return &weightsBook{models: make(map[string][]namedWeights)}
}

// name records a version, and reports whether it is the newest that is known.
func (b *weightsBook) name(model string, version int64, named time.Duration, exact bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.models[model]
	i, known := slices.BinarySearchFunc(list, version, func(n namedWeights, v int64) int { return cmp.Compare(n.version, v) })
	if known {
		list[i].improve(named, exact)
		return false
	}
	b.models[model] = slices.Insert(list, i, namedWeights{version: version, named: named, exact: exact})
	return i == len(list)
}

// knows reports whether the version has a date, however good.
func (b *weightsBook) knows(model string, version int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.models[model], func(n namedWeights) bool { return n.version == version })
}

// improve takes another time in, if it is known better.
func (n *namedWeights) improve(named time.Duration, exact bool) {
	if exact == n.exact {
		n.named = max(n.named, named)
	}
	if exact && !n.exact {
		n.named, n.exact = named, true
	}
}

// required returns the oldest version that may start work, 0 for any.
func (b *weightsBook) required(model string, now time.Duration) int64 {
	if b.bound == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	required := int64(0)
	for _, n := range b.models[model] {
		if now >= n.named+b.bound-versionMargin {
			required = n.version
		}
	}
	return required
}

// newest returns the newest version of each model, for the other entries.
func (b *weightsBook) newest(now time.Duration) []*nodev1.NamedWeights {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*nodev1.NamedWeights
	for model, versions := range b.models {
		n := versions[len(versions)-1]
		age := uint64((now - n.named) / time.Microsecond)
		list = append(list, &nodev1.NamedWeights{Model: model, Version: n.version, AgeUs: age, Exact: n.exact})
	}
	return list
}

// nameWeights takes in the newest versions that the store shows.
func (g *Gateway) nameWeights(versions map[string]int64, started bool) {
	now := g.now()
	for model, version := range versions {
		if g.weights.knows(model, version) {
			continue // a later change of another row says nothing of its date
		}
		without := max(g.confirmed(), g.peers.confirmedWithout(model, version))
		named, exact := dateNaming(now, without, started)
		if !g.weights.name(model, version, named, exact) {
			continue
		}
		telemetry.WeightsNamed.Log(context.Background(), g.logger, "model", model, "version", version,
			"age", now-named, "exact", exact, "confirmedAge", now-without)
		g.tellNow.Store(true)
		g.wake()
		if !started && g.rank().all < recorders {
			g.record(TargetVersion{Model: model, Version: version, SetAt: named, Exact: exact})
		}
	}
}

// dateNaming returns when a version that is seen now was named. The store confirmed
// the state without it at the given time, which the naming can't precede: an entry
// that was held up sees it late.
func dateNaming(now, without time.Duration, started bool) (named time.Duration, exact bool) {
	switch {
	case started:
		return 0, false
	case without > 0 && now-without < confirmedLately:
		return without, true
	}
	return now, false
}

// TargetVersion is a version of weights with its date, for entries that start later.
type TargetVersion struct {
	Model   string
	Version int64
	// SetAt is the date, in boottime. It is Exact unless the store was away as the
	// version was named; then it is the time of the store's return.
	SetAt time.Duration
	Exact bool
}

// ApplyTargetVersion takes in when, in boottime, a version was named at the earliest, as
// an entry has written it down.
func (g *Gateway) ApplyTargetVersion(model string, version int64, named time.Duration) {
	g.learnNaming(model, version, named, "record")
}

// learnNaming takes in the exact date of a version that another entry saw.
func (g *Gateway) learnNaming(model string, version int64, named time.Duration, from string) {
	if g.weights.name(model, version, named, true) {
		telemetry.WeightsNamed.Log(context.Background(), g.logger, "model", model, "version", version,
			"age", g.now()-named, "exact", true, "from", from)
	}
}

// hearWeights takes in when another entry saw versions named. The sender wrote its
// summary after the own stamp that it echoes, which dates the ages.
func (g *Gateway) hearWeights(m *nodev1.EntrySummary, now time.Duration) {
	if !g.peers.echoes(m, now) {
		return
	}
	for _, n := range m.GetWeights() {
		named := time.Duration(m.GetEcho()) - time.Duration(n.GetAgeUs())*time.Microsecond
		if n.GetExact() {
			g.learnNaming(n.GetModel(), n.GetVersion(), named, m.GetAddress())
		}
	}
}

// tellAgents tells the agents of the own region which version their endpoints
// should have, as long as they do not have it. Two entries of the region do so.
func (g *Gateway) tellAgents() {
	now := g.now()
	if g.rank().region >= tellers || now-g.told < tellInterval && !g.tellNow.Load() {
		return
	}
	g.tellNow.Store(false)
	g.told = now
	newest := g.weights.newest(now)
	if now-g.started < datesTime {
		newest = slices.DeleteFunc(newest, func(n *nodev1.NamedWeights) bool { return !n.GetExact() })
	}
	if len(newest) == 0 {
		return
	}
	v := g.view.Load()
	addresses := append(g.peers.addresses(now, g.self.Region, true), g.self.PeerAddress)
	for _, e := range v.endpoints {
		s := v.configuration.Services()[e.Service()]
		if s == nil || s.Engine() == nil || e.Draining() || g.region(e.FailureDomain()) != g.self.Region {
			continue
		}
		for _, n := range newest {
			version, holding := g.notices.version(e, n.GetModel(), now)
			if holding || version >= n.GetVersion() || !slices.Contains(s.Engine().Models, n.GetModel()) {
				continue
			}
			notice := &nodev1.WeightsNotice{Weights: n, Entries: addresses}
			if err := g.send(g.agent(e.Address()), &nodev1.Datagram{Content: &nodev1.Datagram_Weights{Weights: notice}}); err != nil {
				g.metrics.SummariesNotSent.Inc()
			}
		}
	}
}

// noticeList holds what agents said of their endpoints. It is safe for concurrent
// use.
type noticeList struct {
	mu        sync.Mutex
	byAddress map[string]notice
}

type notice struct {
	model   string
	version int64
	holding bool
	until   time.Duration
	started int64 // of the endpoint that it is about
}

func newNoticeList() *noticeList {
	return &noticeList{byAddress: make(map[string]notice)}
}

// version returns the version of an endpoint, and whether it takes no new work.
func (l *noticeList) version(e *fleet.Endpoint, model string, now time.Duration) (version int64, holding bool) {
	version = e.Version(model)
	l.mu.Lock()
	defer l.mu.Unlock()
	n, found := l.byAddress[e.Address()]
	if !found || n.model != model || n.version <= version {
		return version, false
	}
	if now > n.until || n.started != e.Started() {
		delete(l.byAddress, e.Address())
		return version, false
	}
	if n.holding {
		return version, true
	}
	return n.version, false
}

// ReceiveNotice takes in what an agent says of its endpoint.
func (g *Gateway) ReceiveNotice(ctx context.Context, m *nodev1.EndpointNotice) {
	var endpoint *fleet.Endpoint
	for _, e := range g.view.Load().endpoints {
		if e.Address() == m.GetAddress() {
			endpoint = e
		}
	}
	if endpoint == nil {
		return
	}
	n := notice{
		model:   m.GetModel(),
		version: m.GetVersion(),
		holding: m.GetHolding(),
		until:   g.now() + holdingTimeout,
		started: endpoint.Started(),
	}
	if g.notices.put(m.GetAddress(), n) {
		telemetry.EndpointNoticed.Log(ctx, g.logger, "endpoint", endpoint.ID(), "version", n.version, "holding", n.holding)
		g.Refresh()
	}
}

// put records a notice and reports whether it says something new. A late one that
// the endpoint began to load does not undo that it has loaded.
func (l *noticeList) put(address string, n notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.byAddress[address]
	same := known && old.model == n.model && old.started == n.started
	if same && (old.version > n.version || old.version == n.version && (!old.holding || n.holding)) {
		return false
	}
	l.byAddress[address] = n
	return true
}

// modelOf returns how the endpoints of a service work.
func modelOf(e *fleet.Engine) placement.LatencyModel {
	if e == nil {
		return placement.LatencyModel{}
	}
	stride := time.Duration(e.Stride)
	context := time.Duration((e.UsualPrompt + e.UsualOutput/2) / 1000 * float64(e.StepPerContext))
	return placement.LatencyModel{
		Step:            stride * e.Step,
		StepPerRequest:  stride * (e.StepPerRequest + context),
		PrefillPerToken: time.Duration(float64(time.Second) / max(e.PrefillPerSecond, 1)),
	}
}
