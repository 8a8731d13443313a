package command

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/once"
)

// secretVariable is the environment variable of the account's secret.
const secretVariable = "PRIMROSETALLY_SECRET"

type callFlags struct {
	address, account, service, method, path, key, body, spans, secret string
}

func callCommand() *command {
	f := &callFlags{method: http.MethodPost, path: "/v1/completions"}
	return &command{
		name:        "call",
		description: "Send one request as a caller would and print the answer.",
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&f.service, "SERVICE", 1, true, "the service to call")
			sub.String(&f.address, "e", "entry", "caller address of an entry")
			sub.String(&f.account, "a", "account", "client account")
			sub.String(&f.secret, "", "secret", "secret of the client account; "+secretVariable+" where absent")
			sub.String(&f.method, "m", "method", "HTTP method")
			sub.String(&f.path, "p", "path", "path of the call")
			sub.String(&f.key, "k", "key", "idempotency key, <unixMillis>-<random>")
			sub.String(&f.body, "d", "data", "body; - reads standard input")
			sub.String(&f.spans, "", "spans", "file to append the span of the call to")
		},
		run: f.run,
	}
}

// telemetry returns where the span of the call goes.
func (f *callFlags) telemetry() (*telemetry.Telemetry, error) {
	if f.spans == "" {
		return telemetry.New(), nil
	}
	tracing, err := telemetry.NewTracing("caller", telemetry.WithFile(f.spans))
	if err != nil {
		return nil, err
	}
	return telemetry.New(telemetry.WithTracing(tracing)), nil
}

func (f *callFlags) run(ctx context.Context, e env) int {
	body := io.Reader(bytes.NewReader([]byte(f.body)))
	if f.body == "-" {
		body = os.Stdin
	}
	r, err := http.NewRequestWithContext(ctx, f.method, "http://"+f.address+"/s/"+f.service+f.path, body)
	if err != nil {
		return e.fail(statusUsage, err)
	}
	r.Header.Set(entry.HeaderAccount, f.account)
	if secret := cmp.Or(f.secret, os.Getenv(secretVariable)); secret != "" {
		r.Header.Set("Authorization", "Bearer "+secret)
	}
	if f.key != "" {
		r.Header.Set(entry.HeaderIdempotencyKey, f.key)
	}
	shown, err := f.telemetry()
	if err != nil {
		return e.fail(statusUsage, err)
	}
	defer func() { _ = shown.Shutdown(context.WithoutCancel(ctx)) }()
	_, span := shown.Tracing().StartClient(ctx, telemetry.SpanCaller, r.Header)
	defer span.End()
	answer, err := once.NewClient(once.NewTransport()).Do(ctx, r)
	if err != nil {
		return e.fail(statusFailed, err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(e.stdout, answer.Body); err != nil {
		return e.fail(statusFailed, fmt.Errorf("answer is not whole: %w", err))
	}
	outcome := answer.Header.Get(entry.HeaderOutcome) + answer.Trailer.Get(entry.HeaderOutcome)
	fmt.Fprintf(e.stderr, "outcome %s, status %d\n", outcome, answer.StatusCode)
	if outcome != entry.OutcomeAnswered {
		return statusFailed
	}
	return statusOK
}
