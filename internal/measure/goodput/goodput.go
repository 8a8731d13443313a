// Package goodput measures how many requests get their answer in time while more come
// than the endpoints can carry, in virtual time.
//
// Entries place requests with the decisions of internal/coordination/placement, told of
// each other's work as late as summaries tell them, at engines that read prompts and write
// for all their requests in passes. Callers who are refused come back when told to. The
// same load is played with simpler ways to place. The bound is that of engines which are
// always full and work on answers in time alone.
//
// # Usage
//
//	report := goodput.Measure()
//	err := report.Table(os.Stdout, false)
//	err = report.Plot("docs/plots")
package goodput

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Shape is how the load changes over a run.
type Shape string

// The shapes.
const (
	// Steady keeps the load.
	Steady Shape = "steady"
	// Jump begins at half of the capacity and jumps to the load.
	Jump Shape = "jump"
	// Loss keeps the load while a third of the engines goes.
	Loss Shape = "loss"
)

// Shapes returns all shapes.
func Shapes() []Shape { return []Shape{Steady, Jump, Loss} }

// Loads returns the offered loads, in multiples of what the engines carry.
func Loads() []float64 { return []float64{0.5, 0.8, 1, 1.5, 2, 3, 4} }

// Result is one run.
type Result struct {
	Policy string  `json:"policy"`
	Shape  Shape   `json:"shape"`
	Load   float64 `json:"load"`
	// InTime is the number of answers that began in time, a second.
	InTime float64 `json:"inTimePerSecond"`
	// OfBound is the engines' time that these took, as a share of what was offered or,
	// where that is more, of all the time that the engines had.
	OfBound float64 `json:"ofBound"`
	// Answered is the same share with the answers that began late.
	Answered float64 `json:"answeredOfBound"`
	// Refused is the share of callers who were refused in the end, and RefusedAgain that
	// of those who were refused more than once.
	Refused      float64 `json:"refused"`
	RefusedAgain float64 `json:"refusedAgain"`
	// Misjudged is the 95th percentile of the time by which a first event came later
	// than predicted, in milliseconds; only where the policy predicts.
	Misjudged float64 `json:"misjudgedP95Ms"`
}

// Report holds all runs.
type Report struct {
	Results []Result `json:"results"`
}

const (
	runLength = 12 * time.Second
	changesAt = 4 * time.Second
	// afterRun lets what is under way end, and those return who were told to.
	afterRun = 8 * time.Second
	seed     = 7
)

// Measure plays every policy under every shape and load.
func Measure() Report {
	var r Report
	for _, shape := range Shapes() {
		for _, load := range Loads() {
			r.Results = append(r.Results, measureLoad(shape, load)...)
		}
	}
	return r
}

// measureLoad plays all policies under one load.
func measureLoad(shape Shape, load float64) []Result {
	var list []Result
	for _, p := range policies() {
		list = append(list, play(p, shape, load, seed))
	}
	return list
}

// Table writes the report as text or as JSON.
func (r Report) Table(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "shape\tload\tpolicy\tin time/s\tof bound\twith late\trefused\tagain\tmisjudged p95 ms")
	for _, x := range r.Results {
		fmt.Fprintf(t, "%s\t%gx\t%s\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\n", x.Shape, x.Load, x.Policy, x.InTime, x.OfBound, x.Answered, x.Refused, x.RefusedAgain, x.Misjudged)
	}
	return t.Flush()
}
