// Command stand2 runs the cases of the second review that can't be put as days of the bench. It
// starts the system's own processes with stand-ins of the store, servers and clients around
// them, all on loopback addresses.
//
// # Usage
//
//	stand2 CASE DIRECTORY
//
// The directory gets record.txt. The exit status is 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run. With TROUBLE=0 in the environment there is no disturbance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// trouble reports whether a case runs with its disturbance.
var trouble = os.Getenv("TROUBLE") != "0"

// reviewCase runs a case and returns what has broken the rule, empty if it held.
type reviewCase func(ctx context.Context, r *record) (broken string, err error)

var cases = map[string]reviewCase{
	"silent-channels": silentChannels,
	"later-part":      laterPart,
	"repeats":         repeats,
	"suspended":       suspendedMachine,
	"keyless":         keyless,
	"memory":          memory,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) == 4 && arguments[0] == "engine" {
		return serveEngine(arguments[1], arguments[2], arguments[3])
	}
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE DIRECTORY")
		return statusNotRun
	}
	r, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	// A stand that is stopped ends the processes that it has started.
	signalled, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signalled, maxTime)
	defer cancel()
	broken, err := cases[arguments[0]](ctx, r)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		r.add("could not run: %v", err)
	case broken != "":
		r.add("BROKEN: %s", broken)
	default:
		r.add("the rule held")
	}
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	case broken != "":
		fmt.Println("broken:", broken)
		return statusBroken
	}
	fmt.Println("held")
	return statusHeld
}
