// Command primrosetally-fleet runs the roles of a deployment on the users'
// platform: the entry on an entry instance and the agent beside an endpoint.
//
// The settings file is the one that the platform names in the environment.
package main

import (
	"os"

	"github.com/primrosetally/primrosetally/internal/fleetprocess"
)

func main() {
	os.Exit(fleetprocess.Main(os.Args[1:], os.Stdout, os.Stderr))
}
