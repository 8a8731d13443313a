package command

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
)

func quarantineCommand() *command {
	var to target
	var fingerprint string
	var asJSON bool
	return &command{
		name:        "quarantine",
		description: "List the requests that were in flight when endpoints crashed, or let one run again.",
		flags: func(sub *flaggy.Subcommand) {
			to.flags(sub)
			sub.String(&fingerprint, "c", "clear", "fingerprint of the request to let run again")
			sub.Bool(&asJSON, "j", "json", "print one JSON object")
		},
		run: func(ctx context.Context, e env) int {
			c, err := to.client()
			if err != nil {
				return e.fail(statusUsage, err)
			}
			if fingerprint != "" {
				return clearQuarantine(ctx, e, c, fingerprint)
			}
			answer, err := c.QuarantineList(ctx, connect.NewRequest(&adminv1.QuarantineListRequest{}))
			if err != nil {
				return e.fail(statusFailed, err)
			}
			return e.print(asJSON, answer.Msg, func() { printQuarantine(e, answer.Msg) })
		},
	}
}

func clearQuarantine(ctx context.Context, e env, c adminv1connect.AdminServiceClient, fingerprint string) int {
	answer, err := c.QuarantineClear(ctx, connect.NewRequest(&adminv1.QuarantineClearRequest{Fingerprint: fingerprint}))
	if connect.CodeOf(err) == connect.CodeInvalidArgument {
		return e.fail(statusUsage, err)
	}
	if err != nil {
		return e.fail(statusFailed, err)
	}
	if !answer.Msg.GetCleared() {
		fmt.Fprintln(e.stderr, fingerprint, "is not quarantined")
		return statusFailed
	}
	fmt.Fprintln(e.stdout, fingerprint, "may run again")
	return statusOK
}

func printQuarantine(e env, r *adminv1.QuarantineListResponse) {
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "FINGERPRINT\tCRASHES\tEXPIRES")
	for _, q := range r.GetEntries() {
		expires := time.Unix(q.GetExpiresUnix(), 0).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%s\t%d\t%s\n", q.GetFingerprint(), q.GetCrashes(), expires)
	}
}
