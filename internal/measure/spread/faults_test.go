package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/measure/spread"
)

const (
	loss = 0.01
	// target is the time in which a change must be in force everywhere.
	target = 4 * time.Second
)

// eachSeed runs a scenario on several deployments that lose one message in a
// hundred.
func eachSeed(t *testing.T, scenario func(*testing.T, *spread.Deployment)) {
	sizes := []struct {
		size  spread.Size
		seeds int
	}{
		{spread.SizeToday, 8},
		{spread.SizeSmall, 3},
		{spread.SizeMedium, 1},
	}
	for _, s := range sizes {
		for seed := range s.seeds {
			t.Run(fmt.Sprintf("%d processes, seed %d", s.size.Processes(), seed), func(t *testing.T) {
				d := spread.NewDeployment(s.size, uint64(seed+1), loss, spread.HTTP1)
				d.Advance(5 * time.Second)
				scenario(t, d)
				requireNeverBack(t, d)
			})
		}
	}
}

// requireNeverBack checks that no process ever went from a revision to an older
// one.
func requireNeverBack(t *testing.T, d *spread.Deployment) {
	t.Helper()
	for _, p := range d.Processes() {
		require.False(t, p.WentBack(), p.Member().Name())
	}
}

func requireInForce(t *testing.T, d *spread.Deployment, revision uint64) {
	t.Helper()
	took, ok := d.UntilInForce(revision, target)
	require.True(t, ok, "revision %d after %v", revision, took)
}

func TestEntryKilledBetweenWriteAndFirstPush(t *testing.T) {
	eachSeed(t, func(t *testing.T, d *spread.Deployment) {
		entry := d.AnyEntry()
		revision := d.Write().Head().Revision()
		entry.Stop()
		requireInForce(t, d, revision)
	})
}

func TestTableDownRightAfterAcceptance(t *testing.T) {
	eachSeed(t, func(t *testing.T, d *spread.Deployment) {
		revision := d.Change(d.AnyEntry())
		d.SetTableDown(true)
		requireInForce(t, d, revision)
		d.Advance(60 * time.Second)
		require.True(t, d.InForce(revision))
		d.SetTableDown(false)
		requireInForce(t, d, d.Change(d.AnyEntry()))
	})
}

func TestEntryKilledBeforePushWhileTableIsDown(t *testing.T) {
	eachSeed(t, func(t *testing.T, d *spread.Deployment) {
		entry := d.AnyEntry()
		revision := d.Write().Head().Revision()
		d.SetTableDown(true)
		entry.Stop()
		d.Advance(60 * time.Second)
		for _, p := range d.Processes() {
			require.True(t, !p.Running() || p.Node().Ready(d.Now()), "processes go on with what they have")
		}
		d.SetTableDown(false)
		requireInForce(t, d, revision)
	})
}

func TestFrozenProcessCatchesUpAfterThaw(t *testing.T) {
	eachSeed(t, func(t *testing.T, d *spread.Deployment) {
		frozen := d.AnyEntry()
		frozen.Freeze()
		d.Advance(time.Second)
		revision := d.Change(d.AnyEntry())
		requireInForce(t, d, revision)
		d.Advance(29 * time.Second)
		require.Less(t, frozen.Revision(), revision)
		frozen.Thaw()
		requireInForce(t, d, revision)
	})
}

func TestAcceptingEntryFrozenBeforePushDoesNotRevert(t *testing.T) {
	eachSeed(t, func(t *testing.T, d *spread.Deployment) {
		frozen := d.AnyEntry()
		pushes := frozen.Node().ChangeAccepted(d.Now(), d.Write())
		frozen.Freeze()
		d.Advance(15 * time.Second)
		revision := d.Change(d.AnyEntry())
		d.Advance(15 * time.Second)
		frozen.Thaw()
		frozen.Do(pushes)
		requireInForce(t, d, revision)
	})
}

func TestNewProcessStartsWhileTheTableIsDown(t *testing.T) {
	eachSeed(t, func(t *testing.T, d *spread.Deployment) {
		revision := d.Change(d.AnyEntry())
		requireInForce(t, d, revision)
		d.SetTableDown(true)
		p := d.Replace(d.AnyEntry(), "entry-new")
		p.Start()
		require.False(t, p.Node().Ready(d.Now()), "no configuration, no work")
		requireInForce(t, d, revision)
		d.Advance(core.JoinTimeout)
		require.True(t, p.Node().Ready(d.Now()))
	})
}

func TestNewProcessAloneRefusesWorkWhileTheTableIsDown(t *testing.T) {
	d := spread.NewDeployment(spread.SizeToday, 1, 0, spread.HTTP1)
	p := d.Replace(d.AnyEntry(), "entry-new")
	for _, other := range d.Processes() {
		if other != p {
			other.Stop()
		}
	}
	d.SetTableDown(true)
	p.Start()
	d.Advance(time.Minute)
	require.False(t, p.Node().Ready(d.Now()))
	d.SetTableDown(false)
	d.Advance(2 * core.JoinPollInterval)
	require.True(t, p.Node().Ready(d.Now()))
}

func TestOldRevisionReplayed(t *testing.T) {
	eachSeed(t, func(t *testing.T, d *spread.Deployment) {
		entry := d.AnyEntry()
		old := d.Write()
		entry.Do(entry.Node().ChangeAccepted(d.Now(), old))
		d.Advance(target)
		revision := d.Change(d.AnyEntry())
		requireInForce(t, d, revision)
		for _, p := range d.Processes() {
			p.Replay(entry.Member().Name(), wholePush(old))
			require.Equal(t, revision, p.Revision())
		}
		d.Advance(target)
		require.True(t, d.InForce(revision))
	})
}

// wholePush is a push that lacks no section, so that nothing but its revision
// stands against it.
func wholePush(s *core.Snapshot) core.Push {
	push := core.Push{Head: s.Head()}
	for _, r := range s.Head().Refs() {
		section, _ := s.Section(r.Digest())
		push.Sections = append(push.Sections, section)
	}
	return push
}

func TestListTwentySecondsLateWithAThirdReplaced(t *testing.T) {
	eachSeed(t, func(t *testing.T, d *spread.Deployment) {
		for i, p := range d.Processes() {
			if i%3 == 0 {
				d.Replace(p, fmt.Sprintf("new-%d", i)).Start()
			}
		}
		requireInForce(t, d, d.Revision())
		for range 4 {
			requireInForce(t, d, d.Change(d.AnyEntry()))
			d.Advance(5 * time.Second)
		}
		d.SetLists(d.Members())
		requireInForce(t, d, d.Change(d.AnyEntry()))
	})
}

func TestRegionCutAndHealed(t *testing.T) {
	eachSeed(t, func(t *testing.T, d *spread.Deployment) {
		cut := d.Processes()[1].Member().Region()
		d.CutRegion(cut)
		d.Advance(time.Second)
		revision := d.Change(d.AnyEntryOutside(cut))
		d.Advance(time.Minute)
		for _, p := range d.Processes() {
			inside := p.Member().Region() == cut
			require.Equal(t, !inside, p.Revision() == revision, p.Member().Name())
			require.True(t, p.Node().Ready(d.Now()), "a cut-off process goes on")
			age := p.Node().Confirmation(d.Now()).Age
			require.Equal(t, inside, age > 30*time.Second, "%s confirmed %v ago", p.Member().Name(), age)
		}
		d.Heal()
		requireInForce(t, d, revision)
	})
}
