package main

import (
	"encoding/json"
	"time"
)

// Names of the configuration.
const (
	host        = "shop.example"
	key         = "key-of-shop-1"
	pathStream  = "/draft/"
	pathRead    = "/read/"
	pathPublish = "/publish/"
	writers     = "writers"
	pages       = "pages"
)

// terms are what the cases vary in a configuration.
type terms struct {
	attempts  int    // largest number of servers for one request of a client
	resume    bool   // streams may be resumed
	target    int    // time in milliseconds within which an answer is due
	anonymous bool   // publications need no key
	key       string // of the only tenant
	origin    string // address of the origin of weights, empty for a service without an engine
}

// usual returns the terms of most cases.
func usual(attempts int, resume bool) terms {
	return terms{attempts: attempts, resume: resume, target: 500, key: key}
}

// configure writes a configuration and returns the time of the store's ack.
func (f *fleet) configure(t terms) (ack time.Duration) {
	f.version += 3
	route := func(path, kind, service string, attempts int, resume, anonymous bool) map[string]any {
		return map[string]any{
			"name": "route" + path, "host": host, "prefix": path, "kind": kind, "timeout-ms": 6000, "target-latency-ms": t.target,
			"target-gap-ms": 400, "priority": 1, "service": service, "max-attempts": attempts, "anonymous": anonymous, "stream-resume": resume,
		}
	}
	services := []any{map[string]any{"name": writers, "max-connections": 100}, map[string]any{"name": pages, "max-connections": 100}}
	if t.origin != "" {
		services = []any{
			map[string]any{"name": writers, "max-connections": 100, "engine": engineTerms()},
			map[string]any{"name": "weights", "origin": t.origin, "zone": f.zones[0], "max-connections": 48},
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": f.version,
		"routes": []any{
			route(pathStream, "streaming", writers, t.attempts, t.resume, false),
			route(pathRead, "idempotent", pages, t.attempts, false, false),
			route(pathPublish, "non_idempotent", pages, 1, false, t.anonymous),
		},
		"services": services,
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": []any{
			map[string]any{"name": "shop-1", "api-keys": []string{t.key}, "priority": 1},
		},
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("op", "config", text)
	return f.record.add("the store accepts configuration %d: %+v", f.version, t)
}

// engineTerms are the figures of the model servers in a configuration.
func engineTerms() map[string]any {
	e := engineFigures
	return map[string]any{
		"slots": slots, "kv-capacity": 317000, "stride": 5, "step_ms": 8, "per_seq_ms": 0.02, "read_per_s": 20700.0, "chunk": 2048,
		"layers": e.Layers, "chunks": e.Chunks, "chunk-bytes": e.ChunkBytes,
		"models": []any{map[string]any{"name": e.Model, "warmup-s": e.Load.Seconds()}},
		"usual":  map[string]any{"prompt": 900, "answer": 40},
	}
}
