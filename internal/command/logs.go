package command

import (
	"context"
	"errors"
	"os"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/logbook"
)

// standardInput stands for the logs where no file or folder is named.
const standardInput = "-"

func explainCommand() *command {
	var request string
	var asJSON bool
	var sources []string
	return &command{
		name:        "explain",
		description: "Tell the story of a request from the logs of processes: explain ID [FILE or FOLDER ...].",
		operands:    &operands{named: 1, rest: &sources},
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&request, "ID", 1, true, "the request's attempt id; files, folders or - for standard input follow")
			sub.Bool(&asJSON, "j", "json", "print one JSON object")
		},
		run: func(_ context.Context, e env) int {
			story, err := logbook.Explain(request, orStandardInput(sources), os.Stdin)
			if err != nil {
				return e.fail(logsStatus(err), err)
			}
			write := story.WriteText
			if asJSON {
				write = story.WriteJSON
			}
			if err := write(e.stdout); err != nil {
				return e.fail(statusFailed, err)
			}
			return statusOK
		},
	}
}

func logsCommand() *command {
	var svg string
	var sources []string
	return &command{
		name:        "logs",
		description: "Count how requests ended in the logs of processes: logs [FILE or FOLDER ...].",
		operands:    &operands{rest: &sources, valued: []string{"--svg"}},
		flags: func(sub *flaggy.Subcommand) {
			sub.String(&svg, "", "svg", "file to draw the outcomes of each second into")
		},
		run: func(_ context.Context, e env) int {
			summary, err := logbook.Summarise(orStandardInput(sources), os.Stdin)
			if err != nil {
				return e.fail(logsStatus(err), err)
			}
			if svg != "" {
				if err := drawSummary(summary, svg); err != nil {
					return e.fail(statusFailed, err)
				}
			}
			if err := summary.WriteText(e.stdout); err != nil {
				return e.fail(statusFailed, err)
			}
			return statusOK
		},
	}
}

func drawSummary(summary *logbook.Summary, file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(summary.WriteSVG(f), f.Close())
}

func orStandardInput(sources []string) []string {
	if len(sources) == 0 {
		return []string{standardInput}
	}
	return sources
}

// logsStatus returns the status of a failure: input without what was asked for is
// invalid input.
func logsStatus(err error) int {
	if errors.Is(err, logbook.ErrNothing) || errors.Is(err, logbook.ErrUnknownRequest) || errors.Is(err, os.ErrNotExist) {
		return statusUsage
	}
	return statusFailed
}
