package command

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/soak"
)

// Bounds of the soak's command.
const (
	// firstNetwork and networks are the second numbers of the addresses that runs use.
	firstNetwork = 1
	networks     = 30
	mostSoaked   = 600 // processes
	// minimizePlays bounds how often a plan that fails is played again.
	minimizePlays = 40
)

type soakFlags struct {
	binary, logs, explain string
	seed                  uint64
	seeds, processes      int
	duration              time.Duration
	minimize, planOnly    bool
}

func soakCommand() *command {
	f := &soakFlags{binary: "target/primrosetally-fleet", seed: 1, seeds: 1, processes: 8, duration: 15 * time.Second}
	return &command{
		name:        "soak",
		description: "Run the processes of the users' platform on loopback under faults, and check the promises.",
		flags: func(sub *flaggy.Subcommand) {
			sub.String(&f.binary, "b", "binary", "the program of the processes")
			sub.UInt64(&f.seed, "s", "seed", "first seed")
			sub.Int(&f.seeds, "n", "seeds", "number of seeds, one after the other")
			sub.Duration(&f.duration, "d", "duration", "how long faults are injected")
			sub.Int(&f.processes, "p", "processes", "number of processes")
			sub.String(&f.logs, "l", "logs", "directory for the logs, one of its own for each seed")
			sub.Bool(&f.planOnly, "", "plan", "print the faults of the seeds and end")
			sub.Bool(&f.minimize, "m", "minimize", "reduce the faults of a seed that fails to those it needs")
			sub.String(&f.explain, "e", "explain", "print what the logs hold on a request and end; --logs names those of its seed")
		},
		run: f.run,
	}
}

func (f *soakFlags) run(ctx context.Context, e env) int {
	if f.explain != "" {
		return f.explainRequest(e)
	}
	if f.seeds < 1 || f.processes < 4 || f.processes > mostSoaked || f.duration <= 0 {
		return e.fail(statusUsage, fmt.Errorf("want a seed or more, 4 to %d processes and a duration", mostSoaked))
	}
	failed := 0
	for i := range f.seeds {
		if !f.soakSeed(ctx, e, f.seed+uint64(i)) {
			failed++
		}
	}
	if f.planOnly {
		return statusOK
	}
	fmt.Fprintf(e.stdout, "%d passed, %d failed\n", f.seeds-failed, failed)
	if failed > 0 {
		return statusFailed
	}
	return statusOK
}

func (f *soakFlags) explainRequest(e env) int {
	lines, err := soak.Explain(f.logs, f.explain)
	if err != nil {
		return e.fail(statusFailed, err)
	}
	for _, l := range lines {
		fmt.Fprintln(e.stdout, l)
	}
	return statusOK
}

// soakSeed plays a seed and reports whether no promise was broken.
func (f *soakFlags) soakSeed(ctx context.Context, e env, seed uint64) bool {
	plan := soak.Plan(seed, f.duration)
	if f.planOnly {
		fmt.Fprintf(e.stdout, "seed %d\n%s", seed, soak.Text(plan))
		return true
	}
	begun := time.Now()
	report, err := f.play(ctx, seed, plan, "")
	if err != nil {
		fmt.Fprintf(e.stdout, "seed %d: %v\n", seed, err)
		return false
	}
	fmt.Fprintf(e.stdout, "seed %d: %d faults, %d calls, %d served, %d runs, %d violations, %s\n", report.Seed, len(plan),
		report.Requests, report.Served, report.Runs, len(report.Violations), time.Since(begun).Round(time.Second))
	if len(report.Violations) == 0 {
		return true
	}
	for _, line := range report.Schedule {
		fmt.Fprintln(e.stdout, line)
	}
	for _, v := range report.Violations {
		fmt.Fprintln(e.stdout, "  VIOLATION", v)
	}
	if f.minimize {
		f.reduce(ctx, e, seed, plan)
	}
	return false
}

func (f *soakFlags) play(ctx context.Context, seed uint64, plan []soak.Fault, suffix string) (*soak.Report, error) {
	options := []soak.Option{
		soak.WithSeed(seed), soak.WithPlan(plan), soak.WithDuration(f.duration), soak.WithProcesses(f.processes),
		soak.WithNetwork(byte(firstNetwork + seed%networks)),
	}
	if f.logs != "" {
		options = append(options, soak.WithLogs(filepath.Join(f.logs, fmt.Sprintf("seed-%d%s", seed, suffix))))
	}
	return soak.Run(ctx, f.binary, options...)
}

// reduce prints the smallest plan found that still fails.
func (f *soakFlags) reduce(ctx context.Context, e env, seed uint64, plan []soak.Fault) {
	plays := 0
	small := soak.Minimize(plan, minimizePlays, func(part []soak.Fault) bool {
		plays++
		report, err := f.play(ctx, seed, part, fmt.Sprintf("-part-%d", plays))
		return err == nil && len(report.Violations) > 0
	})
	fmt.Fprintf(e.stdout, "%d of %d faults still fail after %d plays:\n%s", len(small), len(plan), plays, soak.Text(small))
}
