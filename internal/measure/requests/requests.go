// Package requests measures the decisions on requests: the time of one choice of
// endpoint, goodput under overload, fairness between client accounts, and how
// much of the prompt caches the choice of endpoint puts to use.
//
// All but the time of a choice run in virtual time, from a seed, through the
// same gates, routers, budgets and concurrency limits as the processes use, so
// the same seed gives the same figures on every machine.
//
// # Usage
//
//	report := requests.Run(requests.WithSeed(1))
//	err := report.Table(os.Stdout, false)
package requests

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const (
	defaultSeed   = 1
	defaultLength = 60 * time.Second
)

type settings struct {
	seed   uint64
	length time.Duration // of each run, in virtual time
}

// Option sets an optional property of a measurement.
type Option func(*settings)

// WithSeed sets the seed of arrivals and choices.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithLength sets the length of each run in virtual time.
func WithLength(d time.Duration) Option {
	return func(s *settings) { s.length = d }
}

func newSettings(options []Option) settings {
	s := settings{seed: defaultSeed, length: defaultLength}
	for _, o := range options {
		o(&s)
	}
	return s
}

// Report holds the measured figures.
type Report struct {
	Choices  []Choice   `json:"choices"`
	Goodput  []Goodput  `json:"goodput"`
	Fairness []Fairness `json:"fairness"`
	Cache    []Cache    `json:"cache"`
}

// Run makes all measurements.
func Run(options ...Option) Report {
	return Report{
		Choices:  MeasureChoices(),
		Goodput:  MeasureGoodput(options...),
		Fairness: MeasureFairness(options...),
		Cache:    MeasureCache(options...),
	}
}

// Table writes the report as text or as JSON.
func (r Report) Table(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "choice of endpoint\tendpoints\tns\tallocations")
	for _, c := range r.Choices {
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.1f\n", c.Kind, c.Endpoints, c.Nanoseconds, c.Allocations)
	}
	fmt.Fprintln(t, "\noffered load\tgoodput/s\tof peak\trefused at once\tlate or lost\tattempts/request\tp95 ms")
	for _, g := range r.Goodput {
		fmt.Fprintf(t, "%gx\t%.1f\t%.3f\t%d\t%d\t%.3f\t%.0f\n", g.Load, g.PerSecond, g.OfPeak, g.Refused, g.Failed, g.AttemptsPerRequest, g.P95Milliseconds)
	}
	fmt.Fprintln(t, "\nlarge account\tsmall accounts' p95 ms\traise\tsmall answered\tlarge answered/s")
	for _, f := range r.Fairness {
		fmt.Fprintf(t, "%gx its share\t%.1f\t%+.1f%%\t%.4f\t%.1f\n", f.Load, f.SmallP95Milliseconds, 100*f.Raise, f.SmallAnswered, f.LargePerSecond)
	}
	fmt.Fprintln(t, "\nchoice\tcache-hit share\tfirst token p50 ms\tp95 ms\thighest load of mean")
	for _, c := range r.Cache {
		fmt.Fprintf(t, "%s\t%.3f\t%.0f\t%.0f\t%.2f\n", c.Policy, c.HitShare, c.P50Milliseconds, c.P95Milliseconds, c.HighestLoad)
	}
	return t.Flush()
}
