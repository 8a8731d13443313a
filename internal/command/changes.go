package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/pkg/adminv1"
)

func showCommand() *command {
	var to target
	var revision uint64
	return &command{
		name:        "show",
		description: "Print the operators' text of an accepted revision in canonical form.",
		flags: func(sub *flaggy.Subcommand) {
			to.flags(sub)
			sub.UInt64(&revision, "r", "revision", "revision; the latest where absent")
		},
		run: func(ctx context.Context, e env) int {
			c, err := to.client()
			if err != nil {
				return e.fail(statusUsage, err)
			}
			answer, err := c.Show(ctx, connect.NewRequest(&adminv1.ShowRequest{Revision: revision}))
			if err != nil {
				return e.fail(statusFailed, err)
			}
			fmt.Fprintf(e.stdout, "# revision %d, change %s\n%s", answer.Msg.GetRevision(), answer.Msg.GetChangeId(), answer.Msg.GetText())
			return statusOK
		},
	}
}

func diffCommand() *command {
	var to target
	var file string
	var base uint64
	return &command{
		name:        "diff",
		description: "Print the lines in which an operators' text differs from an accepted revision.",
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "the text to compare")
			to.flags(sub)
			sub.UInt64(&base, "b", "base", "revision to compare with; the latest where absent")
		},
		run: func(ctx context.Context, e env) int {
			text, err := os.ReadFile(file)
			if err != nil {
				return e.fail(statusUsage, err)
			}
			c, err := to.client()
			if err != nil {
				return e.fail(statusUsage, err)
			}
			answer, err := c.Diff(ctx, connect.NewRequest(&adminv1.DiffRequest{File: file, Text: text, BaseRevision: base}))
			if connect.CodeOf(err) == connect.CodeInvalidArgument {
				return e.fail(statusUsage, err)
			}
			if err != nil {
				return e.fail(statusFailed, err)
			}
			for _, line := range answer.Msg.GetLines() {
				fmt.Fprintln(e.stdout, line)
			}
			return statusOK
		},
	}
}

func historyCommand() *command {
	var to target
	var limit uint32
	var asJSON bool
	return &command{
		name:        "history",
		description: "List the accepted changes, the latest first.",
		flags: func(sub *flaggy.Subcommand) {
			to.flags(sub)
			sub.UInt32(&limit, "n", "limit", "number of changes; 20 where absent")
			sub.Bool(&asJSON, "j", "json", "print one JSON object")
		},
		run: func(ctx context.Context, e env) int {
			c, err := to.client()
			if err != nil {
				return e.fail(statusUsage, err)
			}
			answer, err := c.History(ctx, connect.NewRequest(&adminv1.HistoryRequest{Limit: limit}))
			if err != nil {
				return e.fail(statusFailed, err)
			}
			return e.print(asJSON, answer.Msg, func() { printHistory(e, answer.Msg) })
		},
	}
}

func printHistory(e env, r *adminv1.HistoryResponse) {
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "REVISION\tACCEPTED\tCHANGE\tSECTIONS")
	for _, h := range r.GetEntries() {
		accepted := time.Unix(h.GetAcceptedUnix(), 0).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", h.GetRevision(), accepted, h.GetChangeId(), strings.Join(h.GetChangedSections(), " "))
	}
}
