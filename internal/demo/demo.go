// Package demo runs the whole system in one process on loopback: the stand-ins
// of the platform, entries, agents and callers. It submits a configuration,
// brings weights onto the replicas, rolls out a second version while requests
// flow, and reports whether every promise held.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.WithReplicas(12), demo.WithSeed(1))
//	broken := report.Broken()   // empty when every promise held
package demo

import (
	"context"
	"io"
	"log/slog"
	"time"
)

// Defaults of a run.
const (
	DefaultSize     = 64 << 20 // bytes
	DefaultReplicas = 12
	DefaultSeed     = 1
	entryCount      = 3
	callerCount     = 8
	runTimeout      = time.Minute
)

// Names of the demonstration's services and client account.
const (
	modelService = "tally-writers"
	plainService = "ledger-desk"
	account      = "demo"
)

type options struct {
	size     int64
	weights  io.ReadSeeker
	replicas int
	corrupt  float64
	kill     int
	outage   time.Duration
	seed     uint64
	logger   *slog.Logger
	progress func(stage string)
}

// Option sets a property of a run.
type Option func(*options)

// WithSize sets the size of the seeded random weights, in bytes.
func WithSize(n int64) Option { return func(o *options) { o.size = n } }

// WithWeights takes the weights from a file instead.
func WithWeights(r io.ReadSeeker) Option { return func(o *options) { o.weights = r } }

// WithReplicas sets the number of endpoint instances of the model service.
func WithReplicas(n int) Option { return func(o *options) { o.replicas = n } }

// WithCorruption sets the fraction of the chunks that the origin corrupts.
func WithCorruption(f float64) Option { return func(o *options) { o.corrupt = f } }

// WithKill sets the number of agents that are killed in mid-transfer.
func WithKill(n int) Option { return func(o *options) { o.kill = n } }

// WithOutage sets the duration of an outage of the table service.
func WithOutage(d time.Duration) Option { return func(o *options) { o.outage = d } }

// WithSeed sets the seed of the weights and of the faults.
func WithSeed(n uint64) Option { return func(o *options) { o.seed = n } }

// WithLogger sets the logger of the processes.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.logger = l } }

// WithProgress sets a function that is told of each stage.
func WithProgress(f func(stage string)) Option { return func(o *options) { o.progress = f } }

// Report is the outcome of a run.
type Report struct {
	Replicas         int     `json:"replicas"`
	ReplicasReady    int     `json:"replicasReady"`
	ElapsedSeconds   float64 `json:"elapsedSeconds"`
	FirstSeconds     float64 `json:"firstVersionSeconds"`
	SecondSeconds    float64 `json:"secondVersionSeconds"`
	ModelBytes       int64   `json:"modelBytes"`
	OriginBytes      int64   `json:"originBytes"`
	OriginCopies     float64 `json:"originCopies"`
	CorruptChunks    uint64  `json:"corruptChunks"`
	Killed           int     `json:"killed"`
	Revision         uint64  `json:"revision"`
	RequestsSent     int64   `json:"requestsSent"`
	RequestsAnswered int64   `json:"requestsAnswered"`
	RequestsNotRun   int64   `json:"requestsNotRun"`
	RequestsUnknown  int64   `json:"requestsUnknown"`
	WrongAnswers     int64   `json:"wrongAnswers"`
	DuplicateRuns    int64   `json:"duplicateRuns"`
	FalseNotRun      int64   `json:"falseNotRun"`
	CutOff           int64   `json:"cutOff"`
}

// Broken names the promises that did not hold.
func (r Report) Broken() []string {
	var list []string
	if r.ReplicasReady < r.Replicas-r.Killed {
		list = append(list, "not every replica serves the new version")
	}
	if r.WrongAnswers > 0 {
		list = append(list, "a caller got an answer that was not whole, not its own or from mixed weights")
	}
	if r.DuplicateRuns > 0 {
		list = append(list, "a non-idempotent request ran more than once")
	}
	if r.FalseNotRun > 0 {
		list = append(list, "a request that was told notRun had run")
	}
	if r.CutOff > 0 && r.Killed == 0 {
		list = append(list, "a planned switch cut off a request in progress")
	}
	if r.RequestsAnswered == 0 {
		list = append(list, "no request was answered")
	}
	return list
}

// Run runs the demonstration. The error is one of the machinery; broken promises
// are in the report.
func Run(ctx context.Context, list ...Option) (Report, error) {
	o := options{
		size:     DefaultSize,
		replicas: DefaultReplicas,
		seed:     DefaultSeed,
		logger:   slog.New(slog.DiscardHandler),
		progress: func(string) {},
	}
	for _, f := range list {
		f(&o)
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	d, err := newDeployment(o)
	if err != nil {
		return Report{}, err
	}
	defer d.close()
	return d.run(ctx)
}
