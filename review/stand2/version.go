package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Figures of the case of a machine that is suspended at the bound of a version.
const (
	versionZones   = 2
	versionEngines = 3 // in each zone
	versionGap     = 40 * time.Millisecond
	versionBound   = versionMS * time.Millisecond
	// freezeAfter is how long after a version was named a machine is suspended, for freezeTime.
	freezeAfter   = 5 * time.Second
	freezeTime    = 4 * time.Second
	versionRounds = 5
	versionPause  = 14 * time.Second
)

// versionRun is the state of the case.
type versionRun struct {
	record *record

	mu   sync.Mutex
	acks map[int64]time.Duration // of the versions
	late int                     // requests that began on an older version later than the bound
	runs int
}

// begin judges a request that begins.
func (v *versionRun) begin(id string, l engineLine) {
	at := v.record.add("request %s begins at %s on version %d", l.Attempt, id, l.Version)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs++
	if ack, known := v.acks[l.Version+1]; known && at > ack+versionBound {
		v.late++
		v.record.add("LATE: request %s begins on version %d %.3f s after the ack of the next one", l.Attempt, l.Version, (at - ack).Seconds())
	}
}

// suspendedMachine names versions of the weights, and each time suspends one machine with a
// model server that does not have the version yet.
func suspendedMachine(ctx context.Context, r *record) (broken string, err error) {
	f, err := newFleet(r, versionZones)
	if err != nil {
		return "", err
	}
	defer f.close()
	origin := f.at(fmt.Sprintf("127.%d.0.2", f.net), portApp)
	if err := f.serve(origin, standin.NewOrigin(engineFigures)); err != nil {
		return "", err
	}
	t := usual(2, true)
	t.origin = origin
	f.configure(t)
	v := &versionRun{record: r, acks: make(map[int64]time.Duration)}
	agents := make(map[*engineProcess]*machine)
	var engines []*engineProcess
	for zone := range versionZones {
		if err := f.addEntry(zone, 0); err != nil {
			return "", err
		}
		for n := range versionEngines {
			e, err := f.startEngine(zone, 100+n, v.begin)
			if err != nil {
				return "", err
			}
			if agents[e], err = f.addAgent(zone, 100+n); err != nil {
				return "", err
			}
			engines = append(engines, e)
		}
	}
	sleep(ctx, time.Second)
	if err := f.start(ctx); err != nil {
		return "", err
	}
	sleep(ctx, contact)
	k := newClient(f)
	clients, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		every(clients, versionGap, func(n int) {
			k.send(ctx, f.entries()[rand.IntN(versionZones)], http.MethodPost, fmt.Sprintf("%s%d", pathStream, n), "", "a draft")
		})
	}()
	for n := range versionRounds {
		version := int64(n + 2)
		f.store.Put("op", "version/"+engineFigures.Model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, engineFigures.Model, version))
		ack := r.add("the store accepts version %d", version)
		v.mu.Lock()
		v.acks[version] = ack
		v.mu.Unlock()
		sleep(ctx, freezeAfter)
		for _, e := range engines {
			e.mu.Lock()
			older := e.version == version-1
			e.mu.Unlock()
			if older && trouble {
				go e.freeze(agents[e], freezeTime)
				break
			}
		}
		sleep(ctx, versionPause-freezeAfter)
	}
	stop()
	<-done
	v.mu.Lock()
	defer v.mu.Unlock()
	text := fmt.Sprintf("%d of %d requests began on an older version later than version_ms after the ack of a newer one", v.late, v.runs)
	r.add("%s", text)
	if v.late == 0 {
		return "", nil
	}
	return "VERSION: " + text, nil
}
