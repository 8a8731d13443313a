package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

func checkCommand() *command {
	var file string
	return &command{
		name:        "check",
		description: "Check an operators' text; print a line FILE:LINE: key: reason for each fault.",
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "the text to check")
		},
		run: func(_ context.Context, e env) int {
			text, err := os.ReadFile(file)
			if err != nil {
				return e.fail(statusUsage, err)
			}
			_, err = configtext.Parse(file, text)
			var faults configtext.Faults
			if errors.As(err, &faults) {
				for _, f := range faults {
					fmt.Fprintln(e.stdout, f)
				}
				return statusUsage
			}
			if err != nil {
				return e.fail(statusUsage, err)
			}
			return statusOK
		},
	}
}

func submitCommand() *command {
	var to target
	var file, changeID string
	var base uint64
	return &command{
		name:        "submit",
		description: "Submit an operators' text as the change after a base revision.",
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "the text to submit")
			to.flags(sub)
			sub.String(&changeID, "c", "changeId", "ID of the change; repeat it to settle an unknown outcome")
			sub.UInt64(&base, "b", "base", "revision that the text was made from")
		},
		run: func(ctx context.Context, e env) int {
			text, err := os.ReadFile(file)
			if err != nil {
				return e.fail(statusUsage, err)
			}
			if changeID == "" {
				changeID = strconv.FormatInt(time.Now().UnixNano(), 36)
			}
			request := &adminv1.SubmitRequest{File: file, Text: text, ChangeId: changeID, BaseRevision: base}
			c, err := to.client()
			if err != nil {
				return e.fail(statusUsage, err)
			}
			answer, err := c.Submit(ctx, connect.NewRequest(request))
			if err != nil {
				return e.fail(statusFailed, fmt.Errorf("outcome unknown, ask again with --changeId %s: %w", changeID, err))
			}
			return printSubmit(e, changeID, answer.Msg)
		},
	}
}

func printSubmit(e env, changeID string, r *adminv1.SubmitResponse) int {
	switch r.GetOutcome() {
	case adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED:
		fmt.Fprintf(e.stdout, "accepted as revision %d\n", r.GetRevision())
		return statusOK
	case adminv1.SubmitOutcome_SUBMIT_OUTCOME_REFUSED:
		for _, f := range r.GetFaults() {
			fmt.Fprintf(e.stderr, "%s:%d: %s: %s\n", f.GetFile(), f.GetLine(), f.GetKey(), f.GetReason())
		}
		fmt.Fprintln(e.stderr, "refused:", r.GetReason())
		if len(r.GetFaults()) > 0 {
			return statusUsage
		}
	case adminv1.SubmitOutcome_SUBMIT_OUTCOME_CONFLICT:
		fmt.Fprintln(e.stderr, "conflict:", r.GetReason())
	default:
		fmt.Fprintf(e.stderr, "unknown, ask again with --changeId %s: %s\n", changeID, r.GetReason())
	}
	return statusFailed
}

func statusCommand() *command {
	var to target
	var asJSON bool
	return &command{
		name:        "status",
		description: "Show where each revision is in force and what each instance serves.",
		flags: func(sub *flaggy.Subcommand) {
			to.flags(sub)
			sub.Bool(&asJSON, "j", "json", "print one JSON object")
		},
		run: func(ctx context.Context, e env) int {
			c, err := to.client()
			if err != nil {
				return e.fail(statusUsage, err)
			}
			answer, err := c.Status(ctx, connect.NewRequest(&adminv1.StatusRequest{}))
			if err != nil {
				return e.fail(statusFailed, err)
			}
			return e.print(asJSON, answer.Msg, func() { printStatus(e, answer.Msg) })
		},
	}
}

func printStatus(e env, r *adminv1.StatusResponse) {
	fmt.Fprintf(e.stdout, "revision %d\n", r.GetRevision())
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "NAME\tROLE\tDOMAIN\tREVISION\tSTATE\tSERVICE\tDIGEST\tCHUNKS\tIN FLIGHT\tFAULT")
	for _, n := range r.GetNodes() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%.12s\t%d/%d\t%d\t%s\n", n.GetName(), n.GetRole(), n.GetFailureDomain(), n.GetRevision(),
			n.GetState(), n.GetService(), n.GetDigest(), n.GetChunksStaged(), n.GetChunksTotal(), n.GetInFlight(), n.GetFault())
	}
}

func drainCommand() *command {
	var to target
	var instance string
	return &command{
		name:        "drain",
		description: "Start the graceful stop of one endpoint instance.",
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&instance, "INSTANCE", 1, true, "name of the instance")
			to.flags(sub)
		},
		run: func(ctx context.Context, e env) int {
			c, err := to.client()
			if err != nil {
				return e.fail(statusUsage, err)
			}
			answer, err := c.Drain(ctx, connect.NewRequest(&adminv1.DrainRequest{Instance: instance}))
			if err != nil {
				return e.fail(statusFailed, err)
			}
			fmt.Fprintf(e.stdout, "%s is leaving, %d attempts in flight\n", instance, answer.Msg.GetInFlight())
			return statusOK
		},
	}
}
