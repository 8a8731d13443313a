package weights

import (
	"slices"

	"github.com/sourcegraph/conc/pool"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
)

type plan struct {
	replicas []int
	places   []string
	seed     uint64
	parallel int
	picker   []swarm.PickerOption
}

// Option changes what Measure runs.
type Option func(*plan)

// WithReplicas sets the numbers of replicas.
func WithReplicas(n ...int) Option {
	return func(p *plan) { p.replicas = n }
}

// WithPlaces keeps only the places named.
func WithPlaces(names ...string) Option {
	return func(p *plan) { p.places = names }
}

// WithSeed sets the seed of all random choices; a seed fixes every figure.
func WithSeed(seed uint64) Option {
	return func(p *plan) { p.seed = seed }
}

// WithParallel sets how many runs go on at a time.
func WithParallel(n int) Option {
	return func(p *plan) { p.parallel = n }
}

// WithPicker adds options to the decisions of all agents.
func WithPicker(options ...swarm.PickerOption) Option {
	return func(p *plan) { p.picker = append(p.picker, options...) }
}

// Measure runs every place and number of replicas: both baselines, the exchange
// without faults and the exchange with the target faults.
func Measure(options ...Option) Report {
	p := plan{replicas: []int{8, 16, 32, 64, 128, 210}, seed: 1, parallel: 2}
	for _, o := range options {
		o(&p)
	}
	runs := pool.NewWithResults[[]Result]().WithMaxGoroutines(p.parallel)
	for _, place := range Places() {
		if len(p.places) > 0 && !slices.Contains(p.places, place.name) {
			continue
		}
		for _, n := range p.replicas {
			runs.Go(func() []Result { return p.measure(place, n) })
		}
	}
	return Report{Results: slices.Concat(runs.Wait()...)}
}

func (p plan) measure(place Place, n int) []Result {
	return []Result{
		allFromOrigin(place, n),
		binaryTree(place, n),
		Swarm(place, n, NoFaults(), p.seed, p.picker...),
		Swarm(place, n, TargetFaults(), p.seed, p.picker...),
	}
}
