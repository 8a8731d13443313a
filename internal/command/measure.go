package command

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/measure/capacity"
	"github.com/primrosetally/primrosetally/internal/measure/goodput"
	"github.com/primrosetally/primrosetally/internal/measure/path"
	"github.com/primrosetally/primrosetally/internal/measure/requests"
	"github.com/primrosetally/primrosetally/internal/measure/spread"
	"github.com/primrosetally/primrosetally/internal/measure/weights"
)

func measureCommand() *command {
	var what, plots string
	var asJSON bool
	return &command{
		name:        "measure",
		description: "Regenerate the figures of the docs: spread, weights, requests, goodput, path or capacity.",
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&what, "WHAT", 1, true, "spread, weights, requests, goodput, path or capacity")
			sub.Bool(&asJSON, "j", "json", "print one JSON object")
			sub.String(&plots, "", "plots", "folder to write the plots of weights or goodput to")
		},
		run: func(ctx context.Context, e env) int {
			if err := measure(ctx, e, what, plots, asJSON); err != nil {
				return e.fail(statusFailed, err)
			}
			return statusOK
		},
	}
}

func measure(ctx context.Context, e env, what, plots string, asJSON bool) error {
	switch what {
	case "spread":
		return spread.Table(e.stdout, asJSON)
	case "requests":
		return requests.Run().Table(e.stdout, asJSON)
	case "weights":
		report := weights.Measure()
		if plots != "" {
			if err := report.Plot(plots); err != nil {
				return err
			}
		}
		return report.Table(e.stdout, asJSON)
	case "goodput":
		report := goodput.Measure()
		if plots != "" {
			if err := report.Plot(plots); err != nil {
				return err
			}
		}
		return report.Table(e.stdout, asJSON)
	case "path":
		report, err := path.Measure(ctx)
		if err != nil {
			return err
		}
		return report.Table(e.stdout, asJSON)
	case "capacity":
		report, err := capacity.Measure(ctx, capacity.WithTimed(true))
		if err != nil {
			return err
		}
		return report.Table(e.stdout, asJSON)
	default:
		return fmt.Errorf("unknown measurement %q", what)
	}
}
