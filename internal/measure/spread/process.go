package spread

import (
	"time"

	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Process runs the decisions of one node over the virtual network.
type Process struct {
	network  *network
	table    *table
	peers    map[string]*Process
	member   member.Member
	evidence *evidence
	node     *core.Node

	started bool
	stopped bool
	frozen  bool
	// bytes is what the process sent and received.
	bytes int
	// lastApplied is the revision that came in force last, and wentBack tells that
	// one was not greater than the one before it.
	lastApplied uint64
	wentBack    bool
}

// Running reports whether the process was started and is neither stopped nor frozen.
func (p *Process) Running() bool { return p.started && !p.stopped && !p.frozen }

// ifRunning wraps f so that a process that does not run at that moment does
// not run it. A frozen process finds its timers late, when it has thawed.
func (p *Process) ifRunning(f func()) func() {
	return func() {
		if p.Running() {
			f()
		}
	}
}

// Start begins to tick, from a random phase on.
func (p *Process) Start(options ...core.Option) {
	options = append(options, core.WithRandom(p.network.random.Float64), core.WithSuspicions(p.evidence.suspicions))
	p.node = core.New(p.member, p.evidence.view, options...)
	p.started = true
	phase := time.Duration(p.network.random.Int64N(int64(core.TickInterval)))
	p.network.after(phase, p.tick)
}

func (p *Process) tick() {
	if p.stopped {
		return
	}
	if !p.frozen {
		p.do(p.node.Tick(p.network.clock()))
	}
	p.network.after(core.TickInterval, p.tick)
}

// do carries out what the node decided.
func (p *Process) do(a core.Actions) {
	if a.Applied != nil {
		p.applied(a.Applied.Head().Revision())
	}
	if a.Poll {
		p.poll()
	}
	for _, push := range a.Pushes {
		p.push(push)
	}
	for _, compare := range a.Compares {
		p.compare(compare)
	}
	for _, fetch := range a.Fetches {
		p.fetch(fetch)
	}
}

// applied notes that a revision came in force.
func (p *Process) applied(revision uint64) {
	p.wentBack = p.wentBack || revision <= p.lastApplied
	p.lastApplied = revision
}

func (p *Process) poll() {
	current := p.node.InForce()
	p.table.readHead(p, func(s *core.Snapshot, err error) {
		if err != nil || s == nil || current != nil && s.Head().Revision() <= current.Head().Revision() {
			p.pollAnswered(s, err)
			return
		}
		p.table.readObjects(p, 1, sectionListBytes(s.Head()), p.pollAnswered)
	})
}

func (p *Process) pollAnswered(s *core.Snapshot, err error) {
	var head core.Head
	if s != nil {
		head = s.Head()
	}
	p.do(p.node.PollCompleted(p.network.clock(), head, err))
}

func (p *Process) push(push core.PushTo) {
	w := p.network
	to := p.peers[push.To.Name()]
	revision := push.Push.Head.Revision()
	w.send(call{
		from: p, to: to, traffic: &w.pushes, opens: true,
		request: w.sizes.push(p.member.Name(), push.Push),
		serve: func() (int, func()) {
			to.evidence.heard(p.member)
			inForce, actions := to.node.PushReceived(w.clock(), p.member.Name(), push.Push)
			to.do(actions)
			return w.sizes.pushReply(inForce), func() {
				p.evidence.heard(to.member)
				p.do(p.node.PushCompleted(w.clock(), to.member.Name(), revision, inForce, nil))
			}
		},
		failed: func() {
			p.evidence.failed(to.member)
			p.do(p.node.PushCompleted(w.clock(), to.member.Name(), revision, 0, errNoAnswer))
		},
	})
}

func (p *Process) compare(compare core.CompareTo) {
	w := p.network
	to := p.peers[compare.To.Name()]
	w.send(call{
		from: p, to: to, traffic: &w.compares,
		request: w.sizes.compare(p.member.Name(), compare.Compare),
		serve: func() (int, func()) {
			to.evidence.heard(p.member)
			to.evidence.suspected(p.member.Name(), compare.Compare.Suspicions)
			reply, actions := to.node.CompareReceived(w.clock(), p.member.Name(), compare.Compare)
			to.do(actions)
			return w.sizes.compareReply(reply), func() {
				p.evidence.heard(to.member)
				p.do(p.node.CompareCompleted(w.clock(), to.member, reply, nil))
			}
		},
		failed: func() {
			p.evidence.failed(to.member)
			p.do(p.node.CompareCompleted(w.clock(), to.member, core.CompareReply{}, errNoAnswer))
		},
	})
}

func (p *Process) fetch(f core.Fetch) {
	w := p.network
	if f.From == nil {
		p.table.readObjects(p, len(f.Digests), w.sizes.fetchReply(sectionsOf(p.table.current, f.Digests)), func(snapshot *core.Snapshot, err error) {
			p.do(p.node.FetchCompleted(w.clock(), f, sectionsOf(snapshot, f.Digests), err))
		})
		return
	}
	to := p.peers[f.From.Name()]
	w.send(call{
		from: p, to: to, traffic: &w.fetches,
		request: w.sizes.fetch(f),
		serve: func() (int, func()) {
			sections := sectionsOf(to.node.InForce(), f.Digests)
			return w.sizes.fetchReply(sections), func() {
				p.do(p.node.FetchCompleted(w.clock(), f, sections, nil))
			}
		},
		failed: func() {
			p.do(p.node.FetchCompleted(w.clock(), f, nil, errNoAnswer))
		},
	})
}

func sectionsOf(s *core.Snapshot, digests []digest.Digest) []core.Section {
	if s == nil {
		return nil
	}
	var sections []core.Section
	for _, d := range digests {
		if section, ok := s.Section(d); ok {
			sections = append(sections, section)
		}
	}
	return sections
}
