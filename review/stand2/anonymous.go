package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of a route that needs no key any more.
const (
	keylessZones   = 2
	keylessServers = 1 // in each zone
	keylessBurst   = 120
	keylessWork    = 200 * time.Millisecond
	keylessTarget  = 3000 // milliseconds
	// keylessAfter is how long after the burst the configuration changes.
	keylessAfter  = 400 * time.Millisecond
	keylessRounds = 3
	keylessGap    = 10 * time.Second

	deniedAllowed = 5
	deniedShare   = 500 // one request in so many may be denied too
)

// keyless lets a route become anonymous while the key of its callers is taken away. Requests
// that were sent before wait for a server meanwhile.
func keyless(ctx context.Context, r *record) (broken string, err error) {
	f, err := newFleet(r, keylessZones)
	if err != nil {
		return "", err
	}
	defer f.close()
	before := usual(1, false)
	before.target = keylessTarget
	after := before
	after.anonymous, after.key = true, "another-key-of-shop-1"
	f.configure(before)
	for zone := range keylessZones {
		if err := f.addEntry(zone, 0); err != nil {
			return "", err
		}
		for n := range keylessServers {
			v := &server{
				fleet: f, service: pages, zone: f.zones[zone], name: fmt.Sprintf("%d-%d", zone+1, n+1),
				address: f.at(f.ip(zone, 100+n), portApp), publishWork: keylessWork, arrived: noteArrival, run: noteNothing,
			}
			if err := v.start(); err != nil {
				return "", err
			}
		}
	}
	if err := f.start(ctx); err != nil {
		return "", err
	}
	k := newClient(f)
	var mu sync.Mutex
	statuses := make(map[int]int)
	for range keylessRounds {
		sleep(ctx, contact)
		var requests sync.WaitGroup
		for n := range keylessBurst {
			requests.Go(func() {
				a := k.send(ctx, f.machines[n%len(f.machines)], http.MethodPost, fmt.Sprintf("%s%d", pathPublish, n), "", "a page")
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
		}
		sleep(ctx, keylessAfter)
		if trouble {
			f.configure(after)
		}
		requests.Wait()
		f.configure(before)
		sleep(ctx, keylessGap-contact)
	}
	denied, all := statuses[http.StatusUnauthorized], keylessRounds*keylessBurst
	text := fmt.Sprintf("%d of %d requests got 401, though both configurations allow them; statuses %v", denied, all, statuses)
	r.add("%s", text)
	if denied <= deniedAllowed+all/deniedShare {
		return "", nil
	}
	return "DENIED: " + text, nil
}

func noteArrival(s *server, id string, r *http.Request) {
	s.fleet.record.add("request %s reaches server %s", r.Header.Get(names.Attempt), id)
}

func noteNothing(*server, string, *http.Request) {}
