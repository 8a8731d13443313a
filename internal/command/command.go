// Package command maps the command line to the roles and the operators'
// commands.
//
// Every command ends with status 0, with 1 when what it was asked for failed, or
// with 2 for a wrong command line or invalid input.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
)

// Version is the version of the binary.
const Version = "0.1.0"

// Exit statuses.
const (
	statusOK     = 0
	statusFailed = 1
	statusUsage  = 2
)

// env is what a command may write to.
type env struct {
	stdout io.Writer
	stderr io.Writer
}

// fail writes an error to stderr and returns the status.
func (e env) fail(status int, err error) int {
	fmt.Fprintf(e.stderr, "primrosetally: %v\n", err)
	return status
}

// print writes a message as one JSON object, or else by the given function.
func (e env) print(asJSON bool, message any, text func()) int {
	if !asJSON {
		text()
		return statusOK
	}
	if err := json.NewEncoder(e.stdout).Encode(message); err != nil {
		return e.fail(statusFailed, err)
	}
	return statusOK
}

// command is one subcommand.
type command struct {
	name        string
	description string
	hidden      bool
	flags       func(*flaggy.Subcommand)
	operands    *operands // nil for a command with named positions only
	run         func(context.Context, env) int
}

func commands() []*command {
	return []*command{
		entryCommand(), agentCommand(), demoCommand(), checkCommand(), submitCommand(), diffCommand(),
		showCommand(), historyCommand(), quarantineCommand(), statusCommand(), drainCommand(), callCommand(), publishCommand(), standinCommand(), measureCommand(), soakCommand(),
		previewCommand(), explainCommand(), logsCommand(), versionCommand(),
	}
}

// Run runs the command that arguments name and returns the exit status. SIGINT
// and SIGTERM end the command's context.
func Run(arguments []string, stdout, stderr io.Writer) (status int) {
	e := env{stdout: stdout, stderr: stderr}
	parser := flaggy.NewParser("primrosetally")
	parser.Description = "Weight distribution for bursts: new models onto hundreds of instances, live requests answered."
	parser.Version = Version
	known := make(map[*flaggy.Subcommand]*command)
	for _, c := range commands() {
		sub := flaggy.NewSubcommand(c.name)
		sub.Description = c.description
		sub.Hidden = c.hidden
		if c.flags != nil {
			c.flags(sub)
		}
		parser.AttachSubcommand(sub, 1)
		known[sub] = c
		if c.operands != nil && len(arguments) > 0 && arguments[0] == c.name {
			arguments = append([]string{c.name}, c.operands.split(arguments[1:])...)
		}
	}
	flaggy.PanicInsteadOfExit = true
	defer exitStatus(&status)
	if err := parser.ParseArgs(arguments); err != nil {
		return e.fail(statusUsage, err)
	}
	c, ok := known[parser.TrailingSubcommand()]
	if !ok {
		parser.ShowHelp()
		return statusUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return c.run(ctx, e)
}

// exitStatus turns flaggy's exit, which it makes as a panic, into a status.
func exitStatus(status *int) {
	switch v := recover().(type) {
	case nil:
	case string:
		if !strings.HasPrefix(v, "Panic instead of exit with code: ") {
			panic(v)
		}
		*status = statusUsage
		if strings.HasSuffix(v, ": 0") {
			*status = statusOK
		}
	default:
		panic(v)
	}
}

func versionCommand() *command {
	return &command{
		name:        "version",
		description: "Print the version.",
		run: func(_ context.Context, e env) int {
			fmt.Fprintln(e.stdout, "primrosetally", Version)
			return statusOK
		},
	}
}
