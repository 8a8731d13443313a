package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case of a part that crashes servers.
const (
	partCount     = 32 // shared parts of each prompt
	partPosition  = 28 // of the part that crashes servers, from 1
	partCrashes   = 5  // from the last of which the bound counts
	partGap       = 2500 * time.Millisecond
	partSoundGap  = 60 * time.Millisecond
	partEventTime = 60 * time.Millisecond
	deadlyPart    = "dead"
)

// prompt returns a prompt of shared parts and one of the request's own. With deadly set, one of
// the shared parts is the one that crashes servers.
func prompt(own int, deadly bool) string {
	var parts []string
	for n := range partCount {
		identity := fmt.Sprintf("%04x", 0x1000+n)
		if deadly && n+1 == position() {
			identity = deadlyPart
		}
		parts = append(parts, identity+":25")
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:20", own)), ",")
}

// position is where the part that crashes servers stands; POSITION in the environment sets
// another one.
var position = sync.OnceValue(func() int {
	if n, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		return n
	}
	return partPosition
})

// laterPart sends drafts with long prompts. One of the later shared parts crashes each server
// that begins to write an answer on it. Sound drafts share all other parts.
func laterPart(ctx context.Context, r *record) (broken string, err error) {
	f, err := newFleet(r, crashZones)
	if err != nil {
		return "", err
	}
	defer f.close()
	f.configure(usual(2, false))
	c := &crashRun{fleet: f, record: r, bound: partCrashes, deadly: func(r *http.Request) bool { return hasPart(r, deadlyPart) }}
	if err := newCrashRun(ctx, f, c, writers, partEventTime, true); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, crashTime)
	defer cancel()
	k := newClient(f)
	send := func(n int, deadly bool) answer {
		m := f.machines[rand.IntN(len(f.machines))]
		return k.send(context.WithoutCancel(ctx), m, http.MethodPost, fmt.Sprintf("%s%d", pathStream, n), prompt(n, deadly), "a draft")
	}
	var senders sync.WaitGroup
	senders.Go(func() { every(ctx, partSoundGap, func(n int) { c.answered(send(n, false)) }) })
	senders.Go(func() { every(ctx, partGap, func(n int) { send(1<<20+n, true) }) })
	senders.Wait()
	return c.verdict(), nil
}
