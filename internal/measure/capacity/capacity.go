// Package capacity works out what each role costs at the target size from slopes
// that it measures with the code of the roles.
//
// Counted figures (messages, bytes, rows) come from runs in virtual time or with
// counting functions and are the same on every run. Timed figures (processor time,
// memory) are measured on the machine at hand.
//
// # Usage
//
//	report, err := capacity.Measure(ctx, capacity.WithTimed(true))
//	err = report.Table(os.Stdout, false)
package capacity

import (
	"context"
	"time"
)

// The target size.
const (
	targetEntries           = 410
	targetAgents            = 600
	targetProcesses         = targetEntries + targetAgents
	targetRequestsPerSecond = 3000
	targetTokensPerSecond   = 1_400_000
	targetChangesPerDay     = 2600
	targetReplicas          = 210
	targetRollouts          = 6 // a day
	targetServices          = 8
	secondsPerDay           = 24 * 60 * 60
)

// Limits of a node's control, and of the platform's tables.
const (
	limitBytesPerSecond = 3000
	limitProcessor      = 2.0 // percent of a core
	limitMemory         = 256 // MB
	limitTableReads     = 2000
	limitTableWrites    = 300 // of several hundred
)

// Point is one measurement of a slope.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Row is one cost of one role at the target size.
type Row struct {
	Role      string `json:"role"`
	Cost      string `json:"cost"`
	Mechanism string `json:"mechanism"`
	// Points and Per are the slope: Per units for each Of.
	Points []Point `json:"points,omitempty"`
	Per    float64 `json:"per"`
	Of     string  `json:"of"`
	// AtTarget is the cost at the target size, in Unit.
	AtTarget float64 `json:"atTarget"`
	Unit     string  `json:"unit"`
	// Limit is 0 where none is stated.
	Limit float64 `json:"limit,omitempty"`
	// Kind is "counted", "timed" or "computed" from the other rows.
	Kind string `json:"kind"`
}

// Kinds of rows.
const (
	kindCounted  = "counted"
	kindTimed    = "timed"
	kindComputed = "computed"
)

// Fits reports whether the cost is within its limit.
func (r Row) Fits() bool { return r.Limit == 0 || r.AtTarget <= r.Limit }

// Report is all rows.
type Report struct {
	Rows []Row `json:"rows"`
}

type settings struct {
	timed bool
	nodes []int
	idle  time.Duration
}

// Option sets a property of a measurement.
type Option func(*settings)

// WithTimed adds the timed rows.
func WithTimed(on bool) Option {
	return func(s *settings) { s.timed = on }
}

// WithNodes sets the numbers of nodes at which processor time and memory are
// measured over sockets of loopback, and for how long each is idle.
func WithNodes(idle time.Duration, n ...int) Option {
	return func(s *settings) {
		s.idle = idle
		s.nodes = n
	}
}

// Measure measures all rows.
func Measure(ctx context.Context, options ...Option) (Report, error) {
	s := settings{nodes: []int{32, 64, 128, 256}, idle: 5 * time.Second}
	for _, o := range options {
		o(&s)
	}
	report := Report{Rows: counted(ctx)}
	if !s.timed {
		return report, nil
	}
	rows, err := timed(ctx, s)
	report.Rows = append(report.Rows, rows...)
	return report, err
}

// slope returns the least-squares slope and the intercept of the points.
func slope(points []Point) (per, fixed float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n++
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return 0, sumY / n
	}
	per = (n*sumXY - sumX*sumY) / spread
	return per, (sumY - per*sumX) / n
}

// at returns the value of the fitted line at a size, and no less than the largest
// value measured: a cost that fell with the size is not taken to fall further.
func at(points []Point, size float64) float64 {
	per, fixed := slope(points)
	value := fixed + per*size
	for _, p := range points {
		value = max(value, p.Value)
	}
	return value
}
