package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times of the case of silent channels, from the start of a new server.
const (
	silentZones   = 3
	silentEntries = 2 // in each zone
	silentServers = 2 // in each zone, beside the one that is replaced

	silenceAfter = 500 * time.Millisecond
	leaveAfter   = 700 * time.Millisecond
	// leaveLonger is how long a server that leaves goes on beyond the bound.
	leaveLonger = 1200 * time.Millisecond
	releaseGap  = 8 * time.Second
	releases    = 11
	publishWork = 300 * time.Millisecond
	// Pages are published in batches, one every batchGap.
	batchAfter = 3600 * time.Millisecond
	batchGap   = 4 * time.Second
	batchSize  = 24
	// touchMargin is left beside the time after which a machine is in touch again.
	touchMargin = 20 * time.Millisecond
)

// silentRun is the state of the case.
type silentRun struct {
	fleet  *fleet
	record *record

	mu       sync.Mutex
	leaving  map[string]time.Duration // time of the ack, by the id of the server
	silentAt time.Duration            // last silence, 0 before
	late     map[string]string        // requests that reached a server too late, with the server

	lost sync.Map // status by the id of a request that was not answered with success
}

// silentChannels replaces servers one after the other. Open channels to the store fall silent
// between the start of a new server and the end of the old one.
func silentChannels(ctx context.Context, r *record) (broken string, err error) {
	f, err := newFleet(r, silentZones)
	if err != nil {
		return "", err
	}
	defer f.close()
	f.configure(usual(2, true))
	s := &silentRun{fleet: f, record: r, leaving: make(map[string]time.Duration), late: make(map[string]string)}
	for zone := range silentZones {
		for n := range silentEntries {
			if err := f.addEntry(zone, n); err != nil {
				return "", err
			}
		}
	}
	servers := make([][]*server, silentZones)
	for zone := range silentZones {
		for range silentServers {
			if servers[zone], err = s.add(zone, servers[zone]); err != nil {
				return "", err
			}
		}
	}
	if err := f.start(ctx); err != nil {
		return "", err
	}
	sleep(ctx, contact)
	c := newClient(f)
	var batches sync.WaitGroup
	for n := 0; n < releases && ctx.Err() == nil; n++ {
		zone := n % silentZones
		if servers[zone], err = s.add(zone, servers[zone]); err != nil {
			return "", err
		}
		old := servers[zone][0]
		servers[zone] = servers[zone][1:]
		sleep(ctx, silenceAfter)
		if trouble {
			s.silence()
		}
		sleep(ctx, leaveAfter-silenceAfter)
		s.leave(old)
		sleep(ctx, batchAfter-leaveAfter)
		batches.Go(func() { s.publish(ctx, c) })
		sleep(ctx, batchGap)
		batches.Go(func() { s.publish(ctx, c) })
		sleep(ctx, releaseGap-batchAfter-batchGap)
	}
	batches.Wait()
	return s.verdict(), nil
}

// publish sends a batch of requests to all entries in turn.
func (s *silentRun) publish(ctx context.Context, c *client) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := range batchSize {
		m := s.fleet.machines[n%len(s.fleet.machines)]
		requests.Go(func() {
			a := c.send(ctx, m, http.MethodPost, fmt.Sprintf("%s%d", pathPublish, n), "", "a page")
			if a.status != http.StatusOK {
				s.lost.Store(a.id, a.status)
			}
		})
	}
}

// add starts another server of a zone.
func (s *silentRun) add(zone int, list []*server) ([]*server, error) {
	n := rand.IntN(1 << 30)
	for host := 100; host < 250; host++ {
		v := &server{
			fleet: s.fleet, service: pages, zone: s.fleet.zones[zone], name: fmt.Sprintf("%d-%x", zone+1, n),
			address: s.fleet.at(s.fleet.ip(zone, host), portApp), publishWork: publishWork, arrived: s.arrive, run: func(*server, string, *http.Request) {},
		}
		if v.start() == nil {
			return append(list, v), nil
		}
	}
	return nil, errNotReady
}

// silence makes all open channels to the store silent.
func (s *silentRun) silence() {
	n := 0
	for _, m := range s.fleet.machines {
		n += m.store.silenceOpen()
	}
	at := s.record.add("%d open channels to the store fall silent", n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentAt = at
}

func (s *silentRun) leave(v *server) {
	v.mu.Lock()
	id := v.id
	v.mu.Unlock()
	ack := v.leave(leaveLonger)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[id] = ack
}

// arrive judges a request that reaches a server: it was sent by its client and sent on later
// than the bound after the server's leaving was acknowledged, by a machine that is in touch.
func (s *silentRun) arrive(_ *server, id string, r *http.Request) {
	request := r.Header.Get(names.Attempt)
	at := s.record.add("request %s reaches server %s", request, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	ack, leaving := s.leaving[id]
	if !leaving || at < ack+drainBound {
		return
	}
	inTouch := s.silentAt == 0 || at-s.silentAt >= contact+touchMargin
	s.late[request] = fmt.Sprintf("%s %.3f s after the ack, in touch %t", id, (at - ack).Seconds(), inTouch)
	if !inTouch {
		s.late[request] = ""
	}
}

func (s *silentRun) verdict() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, unanswered := 0, 0
	for id, text := range s.late {
		if text == "" {
			s.record.add("request %s reached a server late, from a machine out of touch", id)
			continue
		}
		count++
		status, isLost := s.lost.Load(id)
		if isLost {
			unanswered++
		}
		s.record.add("LATE: request %s reached server %s; lost %t, status %v", id, text, isLost, status)
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached a leaving server later than drain-ms after the ack, from machines in touch; %d of them were lost", count, unanswered)
}
