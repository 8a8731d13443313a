package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Times and limits for target versions of weights.
const (
	// versionMargin covers the time that a request may wait at an endpoint before the
	// endpoint starts to process it.
	versionMargin = 900 * time.Millisecond
	// recentConfirmation is the maximum age of a confirmation from which the time of
	// a new target version is derived. If the confirmation is older, every entry
	// would have called the store since, so the store was unreachable.
	recentConfirmation = 2500 * time.Millisecond
	// loadingTimeout is how long an endpoint counts as loading: an agent may crash
	// before it reports that loading is done.
	loadingTimeout = 10 * time.Second
	// recorders is the number of entries that store when a target version was set.
	recorders = 2
	// notifiers is the number of entries of a region that notify agents of the target
	// version, every notifyInterval until the endpoint has loaded it.
	notifiers      = 2
	notifyInterval = 400 * time.Millisecond
	// recordReadTime is the time in which an entry that has started reads the times
	// that others have stored. Until then, agents are notified only of versions with
	// an exact time: without one the version counts as overdue, and all agents would
	// load it at the same moment.
	recordReadTime = 1500 * time.Millisecond
	// targetTimeWait bounds how long an entry that has read the list of endpoints is not
	// ready because it may learn that their weights are still usable. The others' summaries
	// and the stored times arrive well within it.
	targetTimeWait = 1500 * time.Millisecond
)

// targetVersions holds a lower bound of the time at which each target version of
// weights was set. The time is exact if the store confirmed the state without the
// version shortly before some entry observed the version. Exact times are sent to all
// entries, and the latest of them is the best bound. Otherwise either the store was
// unreachable when the version was set, and the time is that of the store's return,
// or the process has just started, and the version is required at once. It is safe
// for concurrent use.
type targetVersions struct {
	bound time.Duration

	mu      sync.Mutex
	byModel map[string][]versionTime // oldest version first
}

type versionTime struct {
	version int64
	setAt   time.Duration
	exact   bool
}

func newTargetVersions() *targetVersions {
	return &targetVersions{byModel: make(map[string][]versionTime)}
}

// add records a target version and reports whether it is the newest known one.
func (t *targetVersions) add(model string, version int64, setAt time.Duration, exact bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.byModel[model]
	i, known := slices.BinarySearchFunc(list, version, func(n versionTime, v int64) int { return cmp.Compare(n.version, v) })
	if known {
		list[i].improve(setAt, exact)
		return false
	}
	t.byModel[model] = slices.Insert(list, i, versionTime{version: version, setAt: setAt, exact: exact})
	return i == len(list)
}

// contains reports whether a time is recorded for the version, exact or not.
func (t *targetVersions) contains(model string, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.byModel[model], func(n versionTime) bool { return n.version == version })
}

// newestOf returns the newest target version of a model, 0 if none is known.
func (t *targetVersions) newestOf(model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.byModel[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// improve replaces the recorded time if the other one is a better bound.
func (n *versionTime) improve(setAt time.Duration, exact bool) {
	if exact == n.exact {
		n.setAt = max(n.setAt, setAt)
	}
	if exact && !n.exact {
		n.setAt, n.exact = setAt, true
	}
}

// required returns the oldest version with which work may start, 0 for any.
func (t *targetVersions) required(model string, now time.Duration) int64 {
	if t.bound == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	required := int64(0)
	for _, n := range t.byModel[model] {
		if now >= n.setAt+t.bound-versionMargin {
			required = n.version
		}
	}
	return required
}

// usableUntil returns the time from which no request may begin on a version: the end of the
// bound of the first newer one, 0 if there is none.
func (t *targetVersions) usableUntil(model string, version int64) time.Duration {
	if t.bound == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	until := time.Duration(0)
	for _, n := range t.byModel[model] {
		if end := n.setAt + t.bound; n.version > version && (until == 0 || end < until) {
			until = end
		}
	}
	return until
}

// unknownTime reports whether the newest target version is required only because nothing
// is known of when it was set.
func (t *targetVersions) unknownTime(model string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := t.byModel[model]
	if t.bound == 0 || len(versions) == 0 {
		return false
	}
	newest := versions[len(versions)-1]
	return !newest.exact && newest.setAt == 0
}

// newest returns the newest target version of each model, to be sent to the other
// entries.
func (t *targetVersions) newest(now time.Duration) []*nodev1.NamedWeights {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*nodev1.NamedWeights
	for model, versions := range t.byModel {
		n := versions[len(versions)-1]
		age := uint64(max(now-n.setAt, 0) / time.Microsecond)
		list = append(list, &nodev1.NamedWeights{Model: model, Version: n.version, AgeUs: age, Exact: n.exact})
	}
	return list
}

// exact returns the newest target version of each model whose time is exact.
func (t *targetVersions) exact() []TargetVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []TargetVersion
	for model, versions := range t.byModel {
		if n := versions[len(versions)-1]; n.exact {
			list = append(list, TargetVersion{Model: model, Version: n.version, SetAt: n.setAt, Exact: true})
		}
	}
	return list
}

// observeTargets records the newest target versions that the store shows.
func (g *Gateway) observeTargets(versions map[string]int64, started bool) {
	now := g.now()
	for model, version := range versions {
		if g.targets.contains(model, version) {
			continue // a later change of another row does not affect its time
		}
		without := max(g.confirmedAt(), g.peers.confirmedWithout(model, version))
		setAt, exact := targetSetAt(now, without, started)
		if !g.targets.add(model, version, setAt, exact) {
			continue
		}
		telemetry.WeightsNamed.Log(context.Background(), g.logger, "model", model, "version", version,
			"age", now-setAt, "exact", exact, "confirmedAge", now-without)
		g.notifyNow.Store(true)
		g.wake()
		if !started && g.rank().all < recorders {
			g.recordTarget(TargetVersion{Model: model, Version: version, SetAt: setAt, Exact: exact})
		}
	}
}

// RecordTargets stores again when the newest target versions were set, where that is known
// exactly. Only the first entries do so.
func (g *Gateway) RecordTargets() {
	if g.rank().all >= recorders {
		return
	}
	for _, v := range g.targets.exact() {
		g.recordTarget(v)
	}
}

// targetSetAt returns the time at which a target version that is first observed now
// was set. The store confirmed the state without the version at the given time, and
// the version can't have been set before: an entry whose process was paused observes
// it late.
func targetSetAt(now, without time.Duration, started bool) (setAt time.Duration, exact bool) {
	switch {
	case started:
		return 0, false
	case without > 0 && now-without < recentConfirmation:
		return without, true
	}
	return now, false
}

// TargetVersion is a target version of weights and the time at which it was set,
// stored for entries that start later.
type TargetVersion struct {
	Model   string
	Version int64
	// SetAt is the time at which the version was set, in boottime. Exact is false if
	// the store was unreachable when the version was set; then the time is that of
	// the store's return.
	SetAt time.Duration
	Exact bool
}

// ApplyTargetVersion records the earliest time, in boottime, at which a target version was
// set, as stored by an entry. A version that is newer than all that are known is ignored:
// the operators' row shows it first.
func (g *Gateway) ApplyTargetVersion(model string, version int64, setAt time.Duration) {
	if version > g.targets.newestOf(model) {
		return
	}
	g.addExactTarget(model, version, setAt, "record")
}

// addExactTarget records the exact time of a target version that another entry
// observed.
func (g *Gateway) addExactTarget(model string, version int64, setAt time.Duration, from string) {
	if g.targets.add(model, version, setAt, true) {
		telemetry.WeightsNamed.Log(context.Background(), g.logger, "model", model, "version", version,
			"age", g.now()-setAt, "exact", true, "from", from)
	}
}

// receiveTargets records the times at which another entry observed target versions.
// The sender wrote its summary after the stamp of this process that it echoes, so the
// ages count from that stamp.
func (g *Gateway) receiveTargets(m *nodev1.EntrySummary, now time.Duration) {
	if !g.peers.echoes(m, now) {
		return
	}
	for _, n := range m.GetWeights() {
		setAt := time.Duration(m.GetEcho()) - boottime.AgeFromMicros(n.GetAgeUs())
		if n.GetExact() && validVersion(n.GetVersion()) {
			g.addExactTarget(n.GetModel(), n.GetVersion(), setAt, m.GetAddress())
		}
	}
}

// notifyAgents sends the target version to the agents of the region whose endpoints
// have not loaded it. Only the first entries of the region do so.
func (g *Gateway) notifyAgents() {
	now := g.now()
	if g.rank().region >= notifiers || now-g.notifiedAt < notifyInterval && !g.notifyNow.Load() {
		return
	}
	g.notifyNow.Store(false)
	g.notifiedAt = now
	newest := g.targets.newest(now)
	if now-g.started < recordReadTime {
		newest = slices.DeleteFunc(newest, func(n *nodev1.NamedWeights) bool { return !n.GetExact() })
	}
	if len(newest) == 0 {
		return
	}
	v := g.snapshot.Load()
	addresses := append(g.peers.addresses(now, g.self.Region, true), g.self.PeerAddress)
	for _, e := range v.endpoints {
		s := v.configuration.Services()[e.Service()]
		if s == nil || s.Engine() == nil || e.Draining() || g.region(e.FailureDomain()) != g.self.Region {
			continue
		}
		for _, n := range newest {
			version, loading := g.notices.version(e, n.GetModel(), now)
			if loading || version >= n.GetVersion() || !slices.Contains(s.Engine().Models, n.GetModel()) {
				continue
			}
			notice := &nodev1.WeightsNotice{Weights: n, Entries: addresses}
			if err := g.send(g.agentAddress(e.Address()), &nodev1.Datagram{Content: &nodev1.Datagram_Weights{Weights: notice}}); err != nil {
				g.metrics.SummariesNotSent.Inc()
			}
		}
	}
}

// noticeList holds the notices from agents about their endpoints. It is safe for
// concurrent use.
type noticeList struct {
	mu        sync.Mutex
	byAddress map[string]notice
}

type notice struct {
	model   string
	version int64
	loading bool
	until   time.Duration
	started int64 // start time of the endpoint's process
}

func newNoticeList() *noticeList {
	return &noticeList{byAddress: make(map[string]notice)}
}

// version returns the version of the weights at an endpoint, and whether the endpoint
// accepts no new work because it is loading.
func (l *noticeList) version(e *fleet.Endpoint, model string, now time.Duration) (version int64, loading bool) {
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
	if n.loading {
		return version, true
	}
	return n.version, false
}

// ReceiveNotice processes a notice from an agent about its endpoint.
func (g *Gateway) ReceiveNotice(ctx context.Context, m *nodev1.EndpointNotice) {
	if !validVersion(m.GetVersion()) {
		return
	}
	var endpoint *fleet.Endpoint
	for _, e := range g.snapshot.Load().endpoints {
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
		loading: m.GetHolding(),
		until:   g.now() + loadingTimeout,
		started: endpoint.Started(),
	}
	if g.notices.put(m.GetAddress(), n) {
		telemetry.EndpointNoticed.Log(ctx, g.logger, "endpoint", endpoint.ID(), "version", n.version, "holding", n.loading)
		g.Refresh()
	}
}

// put records a notice and reports whether it contains new information. A delayed
// notice that loading has started does not override one that it is done.
func (l *noticeList) put(address string, n notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.byAddress[address]
	same := known && old.model == n.model && old.started == n.started
	if same && (old.version > n.version || old.version == n.version && (!old.loading || n.loading)) {
		return false
	}
	l.byAddress[address] = n
	return true
}

// latencyModelOf returns the latency model of a service's endpoints.
func latencyModelOf(e *fleet.Engine) placement.LatencyModel {
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
