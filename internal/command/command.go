// Package command maps the command line to the roles and the operators'
// commands.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
package command

import "io"

// Exit statuses.
const (
	statusOK     = 0
	statusFailed = 1
	statusUsage  = 2
)

// Run runs the command that arguments name and returns the exit status.
func Run(_ []string, _, _ io.Writer) int {
	return statusUsage
}
