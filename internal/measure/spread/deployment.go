package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Size is a deployment to measure.
type Size struct {
	Entries int `json:"entries"`
	Agents  int `json:"agents"`
	// Regions and DomainsPerRegion cut the processes into equal parts.
	Regions          int `json:"regions"`
	DomainsPerRegion int `json:"domainsPerRegion"`
}

// Processes returns the number of processes.
func (s Size) Processes() int { return s.Entries + s.Agents }

// The deployments of the tables: today's, two between, and the target.
var (
	SizeToday  = Size{Entries: 8, Agents: 15, Regions: 3, DomainsPerRegion: 1}
	SizeSmall  = Size{Entries: 24, Agents: 40, Regions: 2, DomainsPerRegion: 3}
	SizeMedium = Size{Entries: 104, Agents: 152, Regions: 2, DomainsPerRegion: 3}
	SizeTarget = Size{Entries: 410, Agents: 600, Regions: 2, DomainsPerRegion: 3}
)

// The operators' text that is measured with: its sections and their size.
const (
	sectionCount = 100
	sectionBytes = 1000
)

func (s Size) members() []member.Member {
	members := make([]member.Member, s.Processes())
	for i := range members {
		name, role := fmt.Sprintf("entry-%d", i), member.RoleEntry
		if i >= s.Entries {
			name, role = fmt.Sprintf("agent-%d", i-s.Entries), member.RoleAgent
		}
		members[i] = s.place(name, role, i)
	}
	return members
}

// place spreads the processes evenly over the failure domains.
func (s Size) place(name string, role member.Role, i int) member.Member {
	domain := i % (s.Regions * s.DomainsPerRegion)
	region := fmt.Sprintf("region-%d", domain%s.Regions)
	address := fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250)
	return member.New(name, role, address, member.WithIncarnation(originIncarnation+uint64(i*i)),
		member.WithPlace(region, fmt.Sprintf("%s-%c", region, 'a'+domain/s.Regions)))
}

// Deployment is the processes, the table and the text of one run.
type Deployment struct {
	network   *network
	table     *table
	random    *rand.Rand
	processes []*Process
	peers     map[string]*Process
	texts     []core.Section
	refs      []core.SectionRef
	revision  uint64
}

// NewDeployment returns a deployment in which revision 1 is in force everywhere.
func NewDeployment(size Size, seed uint64, loss float64, framing Framing) *Deployment {
	w := newNetwork(seed, loss, framing)
	d := &Deployment{network: w, table: &table{network: w}, random: w.random, peers: make(map[string]*Process)}
	d.Write()
	members := size.members()
	view := membership.NewStaticView(members)
	for _, m := range members {
		d.Add(m, view).Start(core.WithSnapshot(d.table.current))
	}
	return d
}

// Add adds a process that does not run yet.
func (d *Deployment) Add(m member.Member, view *membership.View) *Process {
	p := &Process{
		network: d.network, table: d.table, peers: d.peers, member: m,
		evidence: &evidence{self: m, network: d.network, list: view, failures: make(map[string]int)},
	}
	d.processes = append(d.processes, p)
	d.peers[m.Name()] = p
	return p
}

// Write writes the next revision to the table, with one section changed.
func (d *Deployment) Write() *core.Snapshot {
	d.revision++
	if d.texts == nil {
		for i := range sectionCount {
			d.texts = append(d.texts, sectionText(i, 0))
		}
	}
	changed := int(d.revision) % sectionCount
	d.texts[changed] = sectionText(changed, d.revision)
	d.refs = make([]core.SectionRef, sectionCount)
	for i, s := range d.texts {
		d.refs[i] = core.NewSectionRef(fmt.Sprintf("services.shop-%03d", i), s.Digest())
	}
	head := core.NewHead(d.revision, fmt.Sprintf("change-%016x", d.revision), d.refs)
	s, err := core.NewSnapshot(head, d.texts)
	if err != nil {
		panic("spread: text of a run is not whole: " + err.Error())
	}
	d.table.accept(s)
	return s
}

func sectionText(i int, revision uint64) core.Section {
	text := fmt.Appendf(nil, "%d/%d/", i, revision)
	return core.NewSection(append(text, make([]byte, sectionBytes-len(text))...))
}

// Change writes the next revision through a process, which then pushes it.
func (d *Deployment) Change(through *Process) uint64 {
	s := d.Write()
	through.do(through.node.ChangeAccepted(d.network.clock(), s))
	return s.Head().Revision()
}

// anyRunning returns a running process chosen at random.
func (d *Deployment) anyRunning() *Process {
	for {
		p := d.processes[d.random.IntN(len(d.processes))]
		if p.Running() {
			return p
		}
	}
}

// InForce reports whether a revision, or a newer one, is in force on all running
// processes.
func (d *Deployment) InForce(revision uint64) bool {
	for _, p := range d.processes {
		if p.Running() && p.Revision() < revision {
			return false
		}
	}
	return true
}

// Revision returns the revision in force, 0 for none.
func (p *Process) Revision() uint64 {
	s := p.node.InForce()
	if s == nil {
		return 0
	}
	return s.Head().Revision()
}

// UntilInForce runs until a revision is in force on all running processes and
// returns how long it took, or limit and false.
func (d *Deployment) UntilInForce(revision uint64, limit time.Duration) (time.Duration, bool) {
	start := d.network.now
	lagging := 0
	done := func() bool {
		for lagging < len(d.processes) {
			p := d.processes[lagging]
			if p.Running() && p.Revision() < revision {
				return false
			}
			lagging++
		}
		return true
	}
	if done() {
		return 0, true
	}
	d.network.runUntil(start+limit, done)
	return d.network.now - start, d.InForce(revision)
}
