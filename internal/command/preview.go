package command

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/preview"
)

// previewTimeout bounds the answer of an entry.
const previewTimeout = 5 * time.Second

func previewCommand() *command {
	var entry, host string
	var asJSON bool
	q := preview.Query{}
	return &command{
		name:        "preview",
		description: "Tell where a request would go now, and why, without sending it: preview HOST PATH.",
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&host, "HOST", 1, true, "host of the request")
			sub.AddPositionalValue(&q.Path, "PATH", 2, true, "path of the request, with a slash first")
			sub.String(&entry, "e", "entry", "address of the metrics of an entry on the users' platform, whose view is told")
			sub.String(&q.Account, "n", "account", "name of the client account; none where absent")
			sub.Int(&q.PromptTokens, "p", "prompt", "size of the prompt in tokens")
			sub.Bool(&asJSON, "j", "json", "print one JSON object")
		},
		run: func(ctx context.Context, e env) int {
			q.Host = host
			ctx, cancel := context.WithTimeout(ctx, previewTimeout)
			defer cancel()
			p, err := preview.Fetch(ctx, http.DefaultClient, entry, q)
			if errors.Is(err, preview.ErrQuery) {
				return e.fail(statusUsage, err)
			}
			if err != nil {
				return e.fail(statusFailed, err)
			}
			write := p.WriteText
			if asJSON {
				write = p.WriteJSON
			}
			if err := write(e.stdout); err != nil {
				return e.fail(statusFailed, err)
			}
			return statusOK
		},
	}
}
