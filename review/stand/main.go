// Command stand plays the cases of the review: it stands in for the platform, its servers and
// its clients, and starts the project's own programs as separate processes with the commands
// of the deploy file.
//
// # Usage
//
//	stand CASE RECORD
//
// The exit status is 1 if the rule of the case was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in the environment the case is played without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// longest is the time that a case may take.
const longest = 115 * time.Second

// errBroken is wrapped by the error of a case in which the rule was broken.
var errBroken = errors.New("rule broken")

// play is a case. Trouble tells whether the disruption is played.
type play func(r *recorder, trouble bool) error

var plays = map[string]play{
	"keys":     playKeys,
	"settings": playSettings,
	"bodies":   playBodies,
	"streams":  playStreams,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || plays[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return statusNotRun
	}
	r, err := newRecorder(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer r.close()
	limit := time.AfterFunc(longest, func() {
		r.notef("verdict: not run: it takes longer than %v", longest)
		endRunning()
		r.close()
		os.Exit(statusNotRun)
	})
	defer limit.Stop()
	err = plays[arguments[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.notef("verdict: the rule held")
		return statusHeld
	case errors.Is(err, errBroken):
		r.notef("verdict: %v", err)
		return statusBroken
	}
	r.notef("verdict: not run: %v", err)
	return statusNotRun
}
