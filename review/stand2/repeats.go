package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the cases of requests that crash servers.
const (
	crashZones   = 3
	crashServers = 4 // in each zone
	crashDown    = 2500 * time.Millisecond
	crashAllowed = 3 // requests after the bound
	soundGap     = 25 * time.Millisecond
	crashTime    = 40 * time.Second

	repeatGap      = 4 * time.Second
	clientRetries  = 1 // after a failure, at once
	repeatAttempts = 3
	repeatCrashes  = 3 // from the last of which the bound counts
	repeatPath     = pathRead + "poison"
	readWork       = 20 * time.Millisecond
	savingWork     = 120 * time.Millisecond // of a request that runs once at most
	savingGap      = 40 * time.Millisecond
)

// crashRun is the state of a case of requests that crash servers.
type crashRun struct {
	fleet  *fleet
	record *record
	bound  int // number of crashes from the last of which the bound counts
	deadly func(r *http.Request) bool

	mu      sync.Mutex
	runs    int           // requests that crash servers, by those that began to run
	boundAt time.Duration // time of the last crash that the bound counts from, 0 before
	after   int           // such requests that reached servers after the bound
	lost    int           // sound requests without a whole answer
	sound   int
}

// newCrashRun starts a deployment with one entry in each zone.
func newCrashRun(ctx context.Context, f *fleet, c *crashRun, service string, work time.Duration, late bool) error {
	for zone := range crashZones {
		if err := f.addEntry(zone, 0); err != nil {
			return err
		}
		for n := range crashServers {
			v := &server{
				fleet: f, service: service, zone: f.zones[zone], name: fmt.Sprintf("%d-%d", zone+1, n+1),
				address: f.at(f.ip(zone, 100+n), portApp), work: work, publishWork: savingWork, late: late, down: crashDown,
				arrived: c.arrive, run: c.run,
			}
			if trouble {
				v.deadly = c.deadly
			}
			if err := v.start(); err != nil {
				return err
			}
		}
	}
	if err := f.start(ctx); err != nil {
		return err
	}
	sleep(ctx, contact)
	return nil
}

// arrive counts the requests that crash servers and reach one after the bound.
func (c *crashRun) arrive(_ *server, id string, r *http.Request) {
	if !c.deadly(r) {
		return
	}
	at := c.record.add("request %s, which crashes servers, reaches server %s", r.Header.Get(names.Attempt), id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.boundAt > 0 && at > c.boundAt+contact {
		c.after++
	}
}

// run counts the crashes.
func (c *crashRun) run(_ *server, _ string, r *http.Request) {
	if !trouble || !c.deadly(r) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs++; c.runs == c.bound {
		c.boundAt = c.record.add("crash %d", c.runs)
	}
}

// answered counts the answer to a sound request.
func (c *crashRun) answered(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sound++
	if !a.whole && a.status != http.StatusServiceUnavailable {
		c.lost++
	}
}

func (c *crashRun) verdict() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf("%d crashes; %d requests that crash servers reached one later than contact-ms after crash %d; %d of %d sound requests were neither answered whole nor refused",
		c.runs, c.after, c.bound, c.lost, c.sound)
	c.record.add("%s", text)
	if c.after <= crashAllowed {
		return ""
	}
	return "BUDGET: " + text
}

// repeats sends one request that crashes the servers which begin to run it, again and again, at
// any machine. Its route allows three servers for one request of a client, and the client
// repeats a request that has failed once.
func repeats(ctx context.Context, r *record) (broken string, err error) {
	f, err := newFleet(r, crashZones)
	if err != nil {
		return "", err
	}
	defer f.close()
	f.configure(usual(repeatAttempts, true))
	c := &crashRun{fleet: f, record: r, bound: repeatCrashes, deadly: func(r *http.Request) bool { return r.URL.Path == repeatPath }}
	if err := newCrashRun(ctx, f, c, pages, readWork, false); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, crashTime)
	defer cancel()
	k := newClient(f)
	anyEntry := func() *machine { return f.machines[rand.IntN(len(f.machines))] }
	var senders sync.WaitGroup
	senders.Go(func() {
		every(ctx, soundGap, func(n int) {
			c.answered(k.send(context.WithoutCancel(ctx), anyEntry(), http.MethodGet, fmt.Sprintf("%s%d", pathRead, n), "", ""))
		})
	})
	senders.Go(func() {
		every(ctx, savingGap, func(n int) {
			c.answered(k.send(context.WithoutCancel(ctx), anyEntry(), http.MethodPost, fmt.Sprintf("%s%d", pathPublish, n), "", "a page"))
		})
	})
	senders.Go(func() {
		every(ctx, repeatGap, func(int) {
			for range 1 + clientRetries {
				if k.send(context.WithoutCancel(ctx), anyEntry(), http.MethodGet, repeatPath, "", "").whole {
					return
				}
			}
		})
	})
	senders.Wait()
	return c.verdict(), nil
}
