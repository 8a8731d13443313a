package spread

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Advance runs the deployment for a time.
func (d *Deployment) Advance(t time.Duration) { d.network.runUntil(d.network.now+t, nil) }

// Now returns the virtual time as the processes see it.
func (d *Deployment) Now() time.Time { return d.network.clock() }

// Processes returns all processes, the stopped ones included.
func (d *Deployment) Processes() []*Process { return d.processes }

// Members returns the members that run.
func (d *Deployment) Members() []member.Member {
	var members []member.Member
	for _, p := range d.processes {
		if p.Running() {
			members = append(members, p.member)
		}
	}
	return members
}

// Revision returns the revision in the table.
func (d *Deployment) Revision() uint64 { return d.revision }

// SetTableDown makes every read of the table fail, or ends that.
func (d *Deployment) SetTableDown(down bool) { d.table.down = down }

// TableReads returns the rows read so far.
func (d *Deployment) TableReads() int { return d.table.reads }

// CutRegion separates a region from all others and from the table.
func (d *Deployment) CutRegion(region string) {
	d.network.cut = func(a, b member.Member) bool { return (a.Region() == region) != (b.Region() == region) }
	d.network.tableCut = func(m member.Member) bool { return m.Region() == region }
}

// AnyEntryOutside returns a running entry that is not in a region.
func (d *Deployment) AnyEntryOutside(region string) *Process {
	for {
		if p := d.AnyEntry(); p.member.Region() != region {
			return p
		}
	}
}

// Heal ends a cut.
func (d *Deployment) Heal() {
	d.network.cut = func(member.Member, member.Member) bool { return false }
	d.network.tableCut = func(member.Member) bool { return false }
}

// Replace stops a process and adds another in its place, which does not run yet
// and has the same view.
func (d *Deployment) Replace(p *Process, name string) *Process {
	p.Stop()
	m := member.New(name, p.member.Role(), p.member.Address(), member.WithIncarnation(originIncarnation),
		member.WithPlace(p.member.Region(), p.member.FailureDomain()))
	return d.Add(m, p.evidence.list)
}

// SetLists gives every process the same list of the platform.
func (d *Deployment) SetLists(members []member.Member) {
	view := membership.NewStaticView(members)
	for _, p := range d.processes {
		p.evidence.setList(view)
	}
}

// Member returns the member that the process is.
func (p *Process) Member() member.Member { return p.member }

// Node returns the decisions of the process.
func (p *Process) Node() *core.Node { return p.node }

// Stop kills the process.
func (p *Process) Stop() { p.stopped = true }

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() { p.frozen = true }

// Thaw lets a frozen process run again.
func (p *Process) Thaw() { p.frozen = false }

// WentBack reports whether a revision that was not greater than the one before it
// ever came in force.
func (p *Process) WentBack() bool { return p.wentBack }

// Do carries out what the process's node decided.
func (p *Process) Do(a core.Actions) { p.do(a) }

// Replay delivers a push that was made at an earlier time to the process.
func (p *Process) Replay(from string, push core.Push) {
	_, a := p.node.PushReceived(p.network.clock(), from, push)
	p.do(a)
}
