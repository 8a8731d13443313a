package spread

import (
	"math/rand/v2"
	"time"

	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// roleOfOperators is the role whose processes accept changes.
const roleOfOperators = member.RoleEntry

const (
	// baselinePollInterval is how often every process polls in the first baseline.
	baselinePollInterval = time.Second
	// baselineAttempts bounds the pushes to one process in the second baseline.
	baselineAttempts = 10
	// regionLinkBytes is the rate of the link between two regions, in bytes a
	// second (20 Mbit/s).
	regionLinkBytes = 20e6 / 8
)

// BaselineRow is one of the simple ways at one size and loss.
type BaselineRow struct {
	Name string `json:"name"`
	Size
	Loss         float64 `json:"loss"`
	InForce      Times   `json:"inForce"`
	BytesPerNode float64 `json:"bytesPerNode"`
	// BytesBusiestNode is the sender's rate, averaged over the day.
	BytesBusiestNode float64 `json:"bytesBusiestNode"`
	TableReads       float64 `json:"tableReadsPerSecond"`
	// LinkSeconds is how long one change occupies the link between two regions.
	LinkSeconds float64 `json:"linkSecondsPerChange"`
}

func measureBaselines(o Options, size Size, loss float64) []BaselineRow {
	return []BaselineRow{everyonePolls(o, size, loss), wholeTextPushed(o, size, loss)}
}

// everyonePolls is the baseline in which every process reads the revision in the
// table at an interval, then the list of sections and the changed one.
func everyonePolls(o Options, size Size, loss float64) BaselineRow {
	n := float64(size.Processes())
	changes := changesPerDay / day.Seconds()
	poll := onWire(platformFraming, 0) + onWire(platformFraming, headRowBytes)
	s := NewDeployment(SizeToday, 1, 0, o.Framing).table.current
	change := 2*onWire(platformFraming, 0) + onWire(platformFraming, sectionListBytes(s.Head())) +
		onWire(platformFraming, sectionBytes)
	perNode := float64(poll)/baselinePollInterval.Seconds() + changes*float64(change)
	return BaselineRow{
		Name: "everyone polls", Size: size, Loss: loss,
		InForce: repeat(o.Seeds, o.Workers, func(seed uint64) (time.Duration, bool) {
			return slowestPoll(size, rand.New(rand.NewPCG(seed, seed)), loss), true
		}),
		BytesPerNode:     perNode,
		BytesBusiestNode: perNode,
		TableReads:       n / baselinePollInterval.Seconds(),
	}
}

// slowestPoll draws the time at which the last process has read the change.
func slowestPoll(size Size, random *rand.Rand, loss float64) time.Duration {
	var slowest time.Duration
	for range size.Processes() {
		at := time.Duration(random.Int64N(int64(baselinePollInterval)))
		for reads := 0; reads < 3; reads++ {
			for random.Float64() < loss {
				at += baselinePollInterval
			}
			at += 2 * latencyTable
		}
		slowest = max(slowest, at)
	}
	return slowest
}

// wholeTextPushed is the baseline in which the accepting process sends the whole
// text to every other process.
func wholeTextPushed(o Options, size Size, loss float64) BaselineRow {
	changes := changesPerDay / day.Seconds()
	s := NewDeployment(SizeToday, 1, 0, o.Framing).table.current
	sizes := newSizer()
	whole := core.Push{Head: s.Head()}
	for _, r := range s.Head().Refs() {
		section, _ := s.Section(r.Digest())
		whole.Sections = append(whole.Sections, section)
	}
	push := onWire(o.Framing.Request, sizes.push("entry-1", whole)) + onWire(o.Framing.Response, sizes.pushReply(s.Head().Revision()))
	others := float64(size.Processes() - 1)
	far := float64(size.Processes()) * float64(size.Regions-1) / float64(size.Regions)
	return BaselineRow{
		Name: "whole text pushed", Size: size, Loss: loss,
		InForce: repeat(o.Seeds, o.Workers, func(seed uint64) (time.Duration, bool) {
			return slowestPush(size, rand.New(rand.NewPCG(seed, seed)), loss, push)
		}),
		BytesPerNode:     endpoints * changes * float64(push) * others / float64(size.Processes()),
		BytesBusiestNode: changes * float64(push) * others,
		LinkSeconds:      float64(push) * far / regionLinkBytes,
	}
}

// slowestPush draws the time at which the last process has the text. The pushes
// to other regions follow each other on the link.
func slowestPush(size Size, random *rand.Rand, loss float64, bytes int) (time.Duration, bool) {
	var slowest, link time.Duration
	onLink := time.Duration(float64(bytes) / regionLinkBytes * float64(time.Second))
	finished := true
	for i := range size.Processes() {
		at := latencyRegion
		if i%size.Regions != 0 {
			link += onLink
			at = link + latencyFar
		}
		attempts := 1
		for ; random.Float64() < loss && attempts < baselineAttempts; attempts++ {
			at += core.CallTimeout
		}
		finished = finished && attempts < baselineAttempts
		slowest = max(slowest, at)
	}
	return slowest, finished
}
