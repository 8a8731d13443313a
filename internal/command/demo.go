package command

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/demo"
)

type demoFlags struct {
	size     int
	weights  string
	replicas int
	corrupt  float64
	kill     int
	outage   time.Duration
	seed     uint64
	json     bool
	verbose  bool
}

func demoCommand() *command {
	f := &demoFlags{size: demo.DefaultSize >> 20, replicas: demo.DefaultReplicas, seed: demo.DefaultSeed}
	return &command{
		name:        "demo",
		description: "Run the whole system on loopback with stand-ins and report whether every promise held.",
		flags: func(sub *flaggy.Subcommand) {
			sub.Int(&f.size, "", "size", "size of the random weights in MiB")
			sub.String(&f.weights, "w", "weights", "file to take the weights from instead")
			sub.Int(&f.replicas, "r", "replicas", "endpoint instances of the model service")
			sub.Float64(&f.corrupt, "", "corrupt", "fraction of the origin's chunks that arrive corrupt")
			sub.Int(&f.kill, "k", "kill", "agents killed in mid-transfer")
			sub.Duration(&f.outage, "", "outage", "duration of an outage of the table service")
			sub.UInt64(&f.seed, "", "seed", "seed of the weights and faults")
			sub.Bool(&f.json, "j", "json", "print the report as one JSON object")
			sub.Bool(&f.verbose, "v", "verbose", "log to standard error")
		},
		run: f.run,
	}
}

func (f *demoFlags) run(ctx context.Context, e env) int {
	options, err := f.options(e)
	if err != nil {
		return e.fail(statusUsage, err)
	}
	report, err := demo.Run(ctx, options...)
	if err != nil {
		return e.fail(statusFailed, err)
	}
	if f.json {
		encoder := json.NewEncoder(e.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return e.fail(statusFailed, err)
		}
	} else {
		printReport(e, report)
	}
	broken := report.Broken()
	for _, b := range broken {
		fmt.Fprintln(e.stderr, "promise broken:", b)
	}
	if len(broken) > 0 {
		return statusFailed
	}
	return statusOK
}

func (f *demoFlags) options(e env) ([]demo.Option, error) {
	if f.size < 1 || f.size > 4096 || f.replicas < 1 || f.replicas > 100 || f.kill < 0 || f.kill >= f.replicas || f.corrupt < 0 || f.corrupt > 0.5 {
		return nil, fmt.Errorf("want 1 to 4096 MiB, 1 to 100 replicas, fewer killed than replicas and at most half of the chunks corrupt")
	}
	list := []demo.Option{
		demo.WithSize(int64(f.size) << 20),
		demo.WithReplicas(f.replicas),
		demo.WithCorruption(f.corrupt),
		demo.WithKill(f.kill),
		demo.WithOutage(f.outage),
		demo.WithSeed(f.seed),
		demo.WithProgress(func(stage string) { fmt.Fprintln(e.stderr, stage) }),
	}
	if f.verbose {
		list = append(list, demo.WithLogger(slog.New(slog.NewTextHandler(e.stderr, nil))))
	}
	if f.weights != "" {
		file, err := os.Open(f.weights)
		if err != nil {
			return nil, err
		}
		list = append(list, demo.WithWeights(file))
	}
	return list, nil
}

func printReport(e env, r demo.Report) {
	fmt.Fprintf(e.stdout, "replicas   %d of %d serve the second version (%d killed)\n", r.ReplicasReady, r.Replicas, r.Killed)
	fmt.Fprintf(e.stdout, "time       %.2f s for the first version, %.2f s for the second\n", r.FirstSeconds, r.SecondSeconds)
	fmt.Fprintf(e.stdout, "origin     %d bytes, %.2f copies of %d bytes\n", r.OriginBytes, r.OriginCopies, r.ModelBytes)
	fmt.Fprintf(e.stdout, "requests   %d sent: %d answered, %d not run, %d unknown\n", r.RequestsSent, r.RequestsAnswered, r.RequestsNotRun, r.RequestsUnknown)
	fmt.Fprintf(e.stdout, "broken     %d wrong answers, %d duplicate runs, %d false \"not run\"\n", r.WrongAnswers, r.DuplicateRuns, r.FalseNotRun)
}
