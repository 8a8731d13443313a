package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/process"
	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// stopTimeout bounds a graceful stop; the work in progress that is left then is
// cut off. Streams of minutes end well before it.
const stopTimeout = 30 * time.Minute

func entryCommand() *command {
	return roleCommand(member.RoleEntry, "Run an entry: callers, operators, routing and rollouts.")
}

func agentCommand() *command {
	return roleCommand(member.RoleAgent, "Run the agent of one endpoint instance.")
}

func roleCommand(role member.Role, description string) *command {
	var file string
	return &command{
		name:        string(role),
		description: description,
		flags: func(sub *flaggy.Subcommand) {
			sub.String(&file, "s", "settings", "settings file (TOML)")
		},
		run: func(ctx context.Context, e env) int {
			return runRole(ctx, e, role, file)
		},
	}
}

func runRole(ctx context.Context, e env, role member.Role, file string) int {
	s, err := settings.Load(file)
	if err != nil {
		return e.failInput(err)
	}
	if s.Role() != role {
		return e.fail(statusUsage, fmt.Errorf("%s: role is %q, not %q", file, s.Role(), role))
	}
	logger := slog.New(slog.NewJSONHandler(e.stderr, &slog.HandlerOptions{Level: s.Log().Level()}))
	p, err := process.Start(s, process.WithLogger(logger))
	if err != nil {
		return e.fail(statusFailed, err)
	}
	status := statusOK
	select {
	case <-ctx.Done():
	case err := <-p.Failed():
		status = e.fail(statusFailed, err)
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := p.Stop(stopCtx); err != nil {
		return e.fail(statusFailed, err)
	}
	return status
}

// failInput reports faults of a file, one a line, or the error of reading it.
func (e env) failInput(err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Fprintln(e.stderr, f)
		}
		return statusUsage
	}
	if errors.Is(err, os.ErrNotExist) {
		return e.fail(statusUsage, err)
	}
	return e.fail(statusFailed, err)
}
