// Package spread measures how a configuration spreads: the time until it is in
// force everywhere, the control bytes of a node and the reads of the table.
//
// It runs the decisions of internal/coordination/spread over a network in virtual
// time, which loses messages and counts bytes. Sizes are those of the nodev1
// encoding with framing and TCP/IP headers. A seed fixes every figure.
//
// # Usage
//
//	result := spread.Run(spread.DefaultOptions())
//	err := spread.Table(os.Stdout, false)     // text, or JSON
package spread

import (
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	// changesPerDay is the target's rate of accepted changes.
	changesPerDay = 2600
	// burstChanges is the number of changes in a burst, and burstInterval the time
	// between two of them.
	burstChanges  = 50
	burstInterval = 20 * time.Millisecond
	// warmUp is the virtual time before a change, in which the processes' timers
	// fall out of step.
	warmUp = 3 * time.Second
	// limit bounds the wait for one change.
	limit = 60 * time.Second
	day   = 24 * time.Hour
)

// Options select what Run measures.
type Options struct {
	Sizes []Size
	// Losses are the shares of messages lost, from 0 to 1.
	Losses []float64
	// Seeds is the number of runs of one change for each size and loss.
	Seeds int
	// BurstSeeds is the number of runs of a burst.
	BurstSeeds int
	// SteadyTime is the virtual time over which bytes and reads are counted.
	SteadyTime time.Duration
	Framing    Framing
	// Workers is the number of runs at a time.
	Workers int
}

// DefaultOptions returns those of the tables in docs/SPREAD.md.
func DefaultOptions() Options {
	return Options{
		Sizes:      []Size{SizeToday, SizeSmall, SizeMedium, SizeTarget},
		Losses:     []float64{0, 0.01, 0.1},
		Seeds:      1000,
		BurstSeeds: 20,
		SteadyTime: 10 * time.Minute,
		Framing:    HTTP2,
		Workers:    4,
	}
}

// Row is what was measured of one size at one loss.
type Row struct {
	Size
	Loss  float64 `json:"loss"`
	Seeds int     `json:"seeds"`
	// InForce is the time until one change was in force everywhere.
	InForce Times `json:"inForce"`
	// Burst is the same for the last change of a burst, from its acceptance.
	Burst Times `json:"burst"`
	// Steady is the traffic at changesPerDay.
	Steady Steady `json:"steady"`
}

// Times summarise the runs, in milliseconds.
type Times struct {
	MedianMS float64 `json:"medianMs"`
	P99MS    float64 `json:"p99Ms"`
	WorstMS  float64 `json:"worstMs"`
	// Unfinished is the number of runs that did not end within a minute.
	Unfinished int `json:"unfinished"`
}

// Steady is the traffic of spread alone, sent and received, in bytes a second.
type Steady struct {
	BytesPerNode       float64 `json:"bytesPerNode"`
	BytesBusiestNode   float64 `json:"bytesBusiestNode"`
	BytesCompares      float64 `json:"bytesCompares"`
	BytesPushes        float64 `json:"bytesPushes"`
	BytesFetches       float64 `json:"bytesFetches"`
	BytesPlatform      float64 `json:"bytesPlatform"`
	BytesBetweenRegion float64 `json:"bytesBetweenRegions"`
	TableReads         float64 `json:"tableReadsPerSecond"`
	TableWrites        float64 `json:"tableWritesPerSecond"`
	ObjectReads        float64 `json:"objectReadsPerSecond"`
}

// Result is all rows, the budget at the largest size and the baselines.
type Result struct {
	Framing   string        `json:"framing"`
	Rows      []Row         `json:"rows"`
	Budget    []BudgetRow   `json:"budget"`
	Baselines []BaselineRow `json:"baselines"`
}

// Run measures every size at every loss.
func Run(o Options) Result {
	result := Result{Framing: o.Framing.Name}
	for _, size := range o.Sizes {
		for _, loss := range o.Losses {
			result.Rows = append(result.Rows, measure(o, size, loss))
			result.Baselines = append(result.Baselines, measureBaselines(o, size, loss)...)
		}
	}
	if len(result.Rows) > 0 {
		result.Budget = budget(o, result.Rows)
	}
	return result
}

func measure(o Options, size Size, loss float64) Row {
	return Row{
		Size: size, Loss: loss, Seeds: o.Seeds,
		InForce: repeat(o.Seeds, o.Workers, func(seed uint64) (time.Duration, bool) {
			return oneChange(size, seed, loss, o.Framing)
		}),
		Burst: repeat(o.BurstSeeds, o.Workers, func(seed uint64) (time.Duration, bool) {
			return burst(size, seed, loss, o.Framing)
		}),
		Steady: steady(o, size, loss, o.Framing),
	}
}

// repeat runs a trial for each seed and summarises the times.
func repeat(seeds, workers int, trial func(seed uint64) (time.Duration, bool)) Times {
	times := make([]time.Duration, seeds)
	finished := make([]bool, seeds)
	runs := pool.New().WithMaxGoroutines(workers)
	for i := range seeds {
		runs.Go(func() { times[i], finished[i] = trial(uint64(i + 1)) })
	}
	runs.Wait()
	return summarise(times, finished)
}

func summarise(times []time.Duration, finished []bool) Times {
	var t Times
	if len(times) == 0 {
		return t
	}
	for _, ok := range finished {
		if !ok {
			t.Unfinished++
		}
	}
	slices.Sort(times)
	t.MedianMS = milliseconds(times[len(times)/2])
	t.P99MS = milliseconds(times[len(times)*99/100])
	t.WorstMS = milliseconds(times[len(times)-1])
	return t
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func oneChange(size Size, seed uint64, loss float64, framing Framing) (time.Duration, bool) {
	d := NewDeployment(size, seed, loss, framing)
	d.Advance(warmUp)
	revision := d.Change(d.AnyEntry())
	return d.UntilInForce(revision, limit)
}

func burst(size Size, seed uint64, loss float64, framing Framing) (time.Duration, bool) {
	d := NewDeployment(size, seed, loss, framing)
	d.Advance(warmUp)
	var revision uint64
	for range burstChanges {
		d.network.runUntil(d.network.now+burstInterval, nil)
		revision = d.Change(d.AnyEntry())
	}
	return d.UntilInForce(revision, limit)
}

// steady counts traffic while changes are accepted at the target's rate.
func steady(o Options, size Size, loss float64, framing Framing) Steady {
	d := NewDeployment(size, 1, loss, framing)
	d.Advance(warmUp)
	d.resetCounts()
	start := d.network.now
	interval := day / changesPerDay
	for next := start + interval; next < start+o.SteadyTime; next += interval {
		d.network.runUntil(next, nil)
		d.Change(d.AnyEntry())
	}
	d.network.runUntil(start+o.SteadyTime, nil)
	return d.steady(size, o.SteadyTime.Seconds())
}

func (d *Deployment) resetCounts() {
	w := d.network
	w.pushes, w.compares, w.fetches, w.betweenRegions = Traffic{}, Traffic{}, Traffic{}, 0
	d.table.reads, d.table.writes, d.table.objects, d.table.traffic = 0, 0, 0, Traffic{}
	for _, p := range d.processes {
		p.bytes = 0
	}
}

func (d *Deployment) steady(size Size, seconds float64) Steady {
	w := d.network
	nodeSeconds := float64(size.Processes()) * seconds
	total, busiest := 0, 0
	for _, p := range d.processes {
		total += p.bytes
		busiest = max(busiest, p.bytes)
	}
	return Steady{
		BytesPerNode:       float64(total) / nodeSeconds,
		BytesBusiestNode:   float64(busiest) / seconds,
		BytesCompares:      endpoints * float64(w.compares.Bytes) / nodeSeconds,
		BytesPushes:        endpoints * float64(w.pushes.Bytes) / nodeSeconds,
		BytesFetches:       endpoints * float64(w.fetches.Bytes) / nodeSeconds,
		BytesPlatform:      float64(d.table.traffic.Bytes) / nodeSeconds,
		BytesBetweenRegion: float64(w.betweenRegions) / seconds,
		TableReads:         float64(d.table.reads) / seconds,
		TableWrites:        float64(d.table.writes) / seconds,
		ObjectReads:        float64(d.table.objects) / seconds,
	}
}

// endpoints is how often a message between two processes counts: where it is
// sent and where it is received.
const endpoints = 2

// AnyEntry returns a running entry chosen at random.
func (d *Deployment) AnyEntry() *Process {
	for {
		p := d.anyRunning()
		if p.member.Role() == roleOfOperators {
			return p
		}
	}
}
