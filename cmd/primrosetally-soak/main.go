// Command primrosetally-soak soaks the fleet's programs on one machine: separate
// processes, faults from outside, promises checked by what callers and servers see.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/soak"
)

func main() {
	binary, logs := "target/primrosetally-fleet", ""
	seed, seeds, domains, entries, agents := uint64(1), 1, 2, 2, 2
	duration := 15 * time.Second
	flaggy.SetName("primrosetally-soak")
	flaggy.String(&binary, "b", "binary", "the fleet's program")
	flaggy.UInt64(&seed, "s", "seed", "first seed")
	flaggy.Int(&seeds, "n", "seeds", "number of seeds, one after the other")
	flaggy.Duration(&duration, "d", "duration", "how long faults are injected")
	flaggy.Int(&domains, "", "domains", "failure domains")
	flaggy.Int(&entries, "", "entries", "entries in each domain")
	flaggy.Int(&agents, "", "agents", "agents in each domain")
	flaggy.String(&logs, "l", "logs", "directory of the processes' logs")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := 0
	for i := range seeds {
		options := []soak.Option{
			soak.WithSeed(seed + uint64(i)), soak.WithDuration(duration),
			soak.WithSize(domains, entries, agents), soak.WithNetwork(byte(40 + (seed+uint64(i))%50)),
		}
		if logs != "" {
			options = append(options, soak.WithLogs(fmt.Sprintf("%s/seed-%d", logs, seed+uint64(i))))
		}
		if !runOne(ctx, binary, options) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func runOne(ctx context.Context, binary string, options []soak.Option) bool {
	report, err := soak.Run(ctx, binary, options...)
	if err != nil {
		fmt.Println("soak:", err)
		return false
	}
	fmt.Printf("seed %d: %d calls, %d served, %d runs, %d violations\n",
		report.Seed, report.Requests, report.Served, report.Runs, len(report.Violations))
	if len(report.Violations) == 0 {
		return true
	}
	for _, line := range report.Schedule {
		fmt.Println(line)
	}
	for _, v := range report.Violations {
		fmt.Println("  VIOLATION", v)
	}
	return false
}
