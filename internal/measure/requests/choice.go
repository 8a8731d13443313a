package requests

import (
	"fmt"
	"testing"

	"github.com/primrosetally/primrosetally/internal/coordination/routing"
)

// MeasureChoices times Pick and Done on one thread with the endpoints of today
// and of the target size.
func MeasureChoices() []Choice {
	var rows []Choice
	for _, endpoints := range []int{endpointCount, 600} {
		for _, kind := range []string{"by load", "by prefix"} {
			rows = append(rows, measureChoice(kind, endpoints))
		}
	}
	return rows
}

func measureChoice(kind string, endpoints int) Choice {
	list := make([]routing.Endpoint, endpoints)
	for i := range list {
		list[i] = routing.NewEndpoint(fmt.Sprint("writer-", i), "127.0.0.1:1", routing.WithLimit(1<<20))
	}
	r := routing.New("entry-1")
	r.Update(service, list)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			prefix := uint64(0)
			if kind == "by prefix" {
				prefix = uint64(i+1) * 0x9e3779b97f4a7c15
			}
			c, err := r.Pick(routing.NewRequest(service, routing.WithPrefix(prefix)))
			if err != nil {
				b.Fatal(err)
			}
			r.Done(c, routing.Succeeded)
		}
	})
	return Choice{
		Kind:        kind,
		Endpoints:   endpoints,
		Nanoseconds: float64(result.T.Nanoseconds()) / float64(result.N),
		Allocations: result.AllocsPerOp(),
	}
}
