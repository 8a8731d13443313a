package capacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/measure/requests"
	"github.com/primrosetally/primrosetally/internal/measure/spread"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

const (
	megabyte     = 1 << 20
	microseconds = 1e6 // in a second
	percent      = 100
)

func timed(ctx context.Context, s settings) ([]Row, error) {
	// The heap is measured before the sockets leave connections behind.
	rows := []Row{viewRow(), routerRow()}
	rows = append(rows, requestRows()...)
	rows = append(rows, hashRow())
	sockets, err := spread.Sockets(ctx, s.nodes, s.idle)
	if err != nil {
		return rows, err
	}
	return append(rows, socketRows(sockets)...), nil
}

// socketRows fits lines through the costs of a node over real sockets.
func socketRows(measured []spread.SocketRow) []Row {
	var idle, change, memory []Point
	for _, r := range measured {
		n := float64(r.Nodes)
		idle = append(idle, Point{n, r.CPUIdle})
		change = append(change, Point{n, r.CPUChange})
		memory = append(memory, Point{n, r.Memory / megabyte})
	}
	perIdle, _ := slope(idle)
	perChange, _ := slope(change)
	perMemory, _ := slope(memory)
	changes := at(change, targetProcesses) * targetChangesPerDay / secondsPerDay
	return []Row{
		{Role: "node", Cost: "processor time, idle", Mechanism: "ticks, comparisons, membership list", Points: idle, Per: perIdle, Of: "node, in us/s", AtTarget: at(idle, targetProcesses) / microseconds * percent, Unit: "% of a core", Limit: limitProcessor, Kind: kindTimed},
		{Role: "node", Cost: "processor time, changes", Mechanism: "pushes of changed sections", Points: change, Per: perChange, Of: "node, in us a change", AtTarget: changes / microseconds * percent, Unit: "% of a core", Limit: limitProcessor, Kind: kindTimed},
		{Role: "node", Cost: "memory of a node", Mechanism: "view, snapshot, connections", Points: memory, Per: perMemory, Of: "node, in MB", AtTarget: at(memory, targetProcesses), Unit: "MB", Limit: limitMemory, Kind: kindTimed},
	}
}

// heapOf returns the bytes that what build returns keeps on the heap.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func viewRow() Row {
	var points []Point
	for _, n := range []int{128, 256, 512, targetProcesses} {
		bytes := heapOf(func() any {
			list := make([]member.Member, n)
			for i := range list {
				list[i] = member.New(fmt.Sprint("agent-", i), member.RoleAgent, "10.0.0.1:7001", member.WithPlace("riga", "riga-a"))
			}
			t := membership.New(list[0])
			t.ListReceived(list)
			return t
		})
		points = append(points, Point{float64(n), bytes / megabyte})
	}
	per, _ := slope(points)
	return Row{Role: "node", Cost: "memory of the view of the members", Mechanism: "membership.Tracker", Points: points, Per: per, Of: "member, in MB", AtTarget: at(points, targetProcesses), Unit: "MB", Limit: limitMemory, Kind: kindTimed}
}

func routerRow() Row {
	var points []Point
	for _, n := range []int{75, 150, 300, targetAgents} {
		bytes := heapOf(func() any {
			r := routing.New("entry-1", routing.WithSubsetSize(n))
			list := make([]routing.Endpoint, n)
			for i := range list {
				list[i] = routing.NewEndpoint(fmt.Sprint("agent-", i), "10.0.0.1:7001")
			}
			r.SetEndpoints("shabda-llm", list)
			return r
		})
		points = append(points, Point{float64(n), bytes / megabyte})
	}
	per, _ := slope(points)
	return Row{Role: "entry", Cost: "memory of the router, were it to hold all", Mechanism: "routing.Router over a subset", Points: points, Per: per, Of: "endpoint, in MB", AtTarget: at(points, targetAgents), Unit: "MB", Limit: limitMemory, Kind: kindTimed}
}

// requestRows are the decisions on the path of one request.
func requestRows() []Row {
	worst := 0.0
	for _, c := range requests.MeasureChoices() {
		worst = max(worst, c.Nanoseconds)
	}
	perEntry := targetRequestsPerSecond / float64(targetEntries)
	admit := testing.Benchmark(benchmarkAdmit)
	admitNanoseconds := float64(admit.T.Nanoseconds()) / float64(admit.N)
	perAgent := targetRequestsPerSecond / float64(targetAgents)
	return []Row{
		{Role: "entry", Cost: "choice of endpoint", Mechanism: "two choices in a subset, copy on write", Per: worst, Of: "request, in ns", AtTarget: worst * perEntry / 1e9 * percent, Unit: "% of a core", Limit: limitProcessor, Kind: kindTimed},
		{Role: "agent", Cost: "admission", Mechanism: "serving.Controller, atomics", Per: admitNanoseconds, Of: "attempt, in ns", AtTarget: admitNanoseconds * perAgent / 1e9 * percent, Unit: "% of a core", Limit: limitProcessor, Kind: kindTimed},
		{Role: "entry", Cost: "tokens to pass on", Mechanism: "relay of a stream", Per: 1, Of: "token", AtTarget: targetTokensPerSecond / float64(targetEntries), Unit: "tokens/s", Kind: kindComputed},
	}
}

func benchmarkAdmit(b *testing.B) {
	g := serving.NewController()
	s, err := g.BeginSwitch(1)
	if err != nil {
		b.Fatal(err)
	}
	d := digest.Of([]byte("weights"))
	s.Complete(d)
	for range b.N {
		a, err := g.Admit(d)
		if err != nil {
			b.Fatal(err)
		}
		a.Done()
	}
}

// hashRow is the verification of weights, which is not control.
func hashRow() Row {
	data := make([]byte, 4*megabyte)
	result := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			sha256.Sum256(data)
		}
	})
	seconds := result.T.Seconds() / float64(result.N) / 4
	return Row{Role: "agent", Cost: "verification of weights, not control", Mechanism: "SHA-256 off the network goroutine", Per: seconds * 1e3, Of: "MiB, in ms", AtTarget: 1 / seconds, Unit: "MiB/s a core", Kind: kindTimed}
}
