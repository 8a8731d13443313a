// Command primrosetally is the whole system in one binary: the roles entry and
// agent, the operators' commands, a demonstration and the stand-ins of the
// platform.
package main

import (
	"os"

	"github.com/primrosetally/primrosetally/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
