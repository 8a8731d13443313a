package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

const (
	engineSlots = 16
	enginePort  = 8001
	// eventInterval is the time between two events of a stream.
	eventInterval = 100 * time.Millisecond
)

// engine is a model server whose streams have as many events as their path says. It stops work
// when the time budget of its request ends: it writes no further event, and the answer ends.
type engine struct {
	id      string
	address string
	record  *recorder
	active  atomic.Int64
	server  *http.Server
}

// startEngine starts an engine on an address of the deployment and lists it.
func (f *fleet) startEngine(number int) (*engine, error) {
	ip := strings.TrimSuffix(f.Entries[number%len(f.Entries)].IP, ".10")
	e := &engine{id: fmt.Sprintf("i-stream-%d", number), address: fmt.Sprintf("%s.%d:%d", ip, 100+number, enginePort), record: f.record}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }() // ends with Close
	row, err := json.Marshal(map[string]any{
		"service": standin.ServiceEngine, "address": e.address, "zone": f.Entries[number%len(f.Entries)].Domain, "version": "v1",
		"slots": engineSlots, "state": "ready", "cold-remaining-ms": 0, "stage": "combined", "sequence": 0, "born": time.Now().UnixMilli(),
		"models": []any{map[string]any{"name": standin.Model, "version": 1, "adapters": []any{}}},
		"layers": map[string]any{"from": 0, "target": standin.SmallEngine.Layers, "version": 1},
	})
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	f.Store.Put("servers", e.id, row)
	return e, nil
}

// streamPath returns the path of a stream with so many events.
func streamPath(id string, events int) string {
	return fmt.Sprintf("%s%s/%d", standin.PathStream, id, events)
}

// eventsOf returns how many events the stream of a path has.
func eventsOf(path string) int {
	n, err := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
	if err != nil {
		return 1
	}
	return n
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Primrosetally-Attempt-Id")
	w.Header().Set("Primrosetally-Attempt-Id", id)
	budget, err := strconv.Atoi(r.Header.Get("Primrosetally-Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(budget) * time.Millisecond)
	switch version := r.Header.Get("Primrosetally-Expect-Version"); {
	case r.Header.Get("Primrosetally-Target-Instance") != e.id || version != "" && version != "1":
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case err != nil || e.active.Load() >= engineSlots:
		w.Header().Set("Primrosetally-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.active.Add(1)
	defer e.active.Add(-1)
	e.record.linef("server %s runs %s with a time budget of %d ms", e.id, id, budget)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(standin.Seal, "seal-"+e.id)
	w.Header().Set("Primrosetally-Weight-Versions", "1")
	e.stream(w, r, id, deadline)
}

// stream writes the events that follow the last one that the caller has.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string, deadline time.Time) {
	total := eventsOf(r.URL.Path)
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for n := last + 1; n <= total; n++ {
		select {
		case <-r.Context().Done():
			e.record.linef("server %s: the caller of %s has left after event %d of %d", e.id, id, n-1, total)
			return
		case <-time.After(min(eventInterval, time.Until(deadline))):
		}
		if !time.Now().Before(deadline) {
			e.record.linef("server %s stops work on %s at the end of its time budget, after event %d of %d", e.id, id, n-1, total)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d of %d\n\n", n, id, n, total)
		_ = http.NewResponseController(w).Flush() // a caller that has left ends the context
	}
	e.record.linef("server %s has answered %s whole", e.id, id)
}
