package requests

import (
	"fmt"
	"runtime"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/routing"
)

// choiceRuns is the number of choices that are timed together.
const choiceRuns = 200_000

// Choice is the time of one choice of endpoint with its end.
type Choice struct {
	Kind        string  `json:"kind"`
	Endpoints   int     `json:"endpoints"`
	Nanoseconds float64 `json:"nanoseconds"`
	Allocations float64 `json:"allocations"`
}

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
		list[i] = routing.NewEndpoint(fmt.Sprint("writer-", i), "127.0.0.1:1", routing.WithConcurrencyLimit(1<<20))
	}
	r := routing.New("entry-1")
	r.SetEndpoints(service, list)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	for i := range choiceRuns {
		prefix := uint64(0)
		if kind == "by prefix" {
			prefix = uint64(i+1) * 0x9e3779b97f4a7c15
		}
		c, err := r.Pick(routing.NewRequest(service, routing.WithPrefix(prefix)))
		if err != nil {
			panic("requests: no endpoint among endpoints that all have room: " + err.Error())
		}
		r.Done(c, routing.Succeeded)
	}
	elapsed := time.Since(began)
	runtime.ReadMemStats(&after)
	return Choice{
		Kind:        kind,
		Endpoints:   endpoints,
		Nanoseconds: float64(elapsed.Nanoseconds()) / choiceRuns,
		Allocations: float64(after.Mallocs-before.Mallocs) / choiceRuns,
	}
}
