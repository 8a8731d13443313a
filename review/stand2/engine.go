package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// engineFigures are those of the model servers: small weights, and streams of 0.1 to 0.6 s.
var engineFigures = standin.Engine{
	Model: "faq", Layers: 4, Chunks: 12, ChunkBytes: 4096, Event: 40 * time.Millisecond, Load: 100 * time.Millisecond,
}

// engineLine is what a model server reports to the stand: a row that it writes, or a request
// that begins.
type engineLine struct {
	Row     json.RawMessage `json:"row,omitempty"`
	Attempt string          `json:"attempt,omitempty"`
	Version int64           `json:"version,omitempty"`
}

// serveEngine is the process of a model server. It holds version 1 and drops a request whose
// channel it finds closed, as most servers do; KEEP=1 in the environment makes it go on.
func serveEngine(address, id, zone string) int {
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	report := func(l engineLine) {
		mu.Lock()
		defer mu.Unlock()
		_ = out.Encode(l) // without the stand there is nobody to tell
	}
	s := standin.NewServer(id, writers, standin.WithEngine(engineFigures, 1), standin.WithQueue(32),
		standin.WithRuns(func(r standin.Run) { report(engineLine{Attempt: r.Attempt, Version: r.Version}) }))
	if os.Getenv("KEEP") == "1" {
		s.KeepAbandoned()
	}
	s.OnChange(func() { report(engineLine{Row: s.Row(address, zone)}) })
	report(engineLine{Row: s.Row(address, zone)})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // ends with the stand
		os.Exit(statusHeld)
	}()
	server := http.Server{Addr: address, Handler: s, ReadHeaderTimeout: time.Minute}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	return statusNotRun
}

// engineProcess is the process of a model server, as the stand sees it.
type engineProcess struct {
	fleet   *fleet
	id      string
	command *exec.Cmd
	ended   chan struct{}
	begun   func(id string, l engineLine)

	mu      sync.Mutex
	row     []byte
	version int64
	silent  bool // its row is gone until it writes again
}

// startEngine starts a model server on the machine of an agent.
func (f *fleet) startEngine(zone, host int, begun func(id string, l engineLine)) (*engineProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{fleet: f, id: fmt.Sprintf("i-engine-%d-%d", zone+1, host), begun: begun, ended: make(chan struct{})}
	e.command = exec.Command(program, "engine", f.at(f.ip(zone, host), portApp), e.id, f.zones[zone])
	e.command.Stderr = os.Stderr
	out, err := e.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if _, err := e.command.StdinPipe(); err != nil {
		return nil, err
	}
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	go e.read(out)
	f.closers = append(f.closers, func() {
		_ = e.command.Process.Kill()
		<-e.ended
	})
	return e, nil
}

// read takes the reports of a model server.
func (e *engineProcess) read(out io.Reader) {
	defer close(e.ended)
	defer func() { _ = e.command.Wait() }() // a process that is killed reports that
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var l engineLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			continue
		}
		if l.Row == nil {
			e.begun(e.id, l)
			continue
		}
		var row struct {
			Models []struct {
				Version int64 `json:"version"`
			} `json:"models"`
		}
		_ = json.Unmarshal(l.Row, &row) // the stand-in writes it
		e.mu.Lock()
		e.row, e.version, e.silent = l.Row, 0, false
		if len(row.Models) > 0 {
			e.version = row.Models[0].Version
		}
		e.mu.Unlock()
		e.fleet.store.Put("servers", e.id, l.Row)
		e.fleet.record.add("server %s has version %d", e.id, e.version)
	}
}

// freeze suspends a model server and the agent on its machine for a time. The platform removes
// its row after three heartbeats of silence; it writes it again when it wakes.
func (e *engineProcess) freeze(agent *machine, d time.Duration) {
	e.fleet.record.add("the machine of %s is suspended", e.id)
	_ = e.command.Process.Signal(syscall.SIGSTOP)
	agent.signal(syscall.SIGSTOP)
	time.Sleep(min(d, 3*heartbeat))
	e.fleet.store.Remove("servers", e.id)
	time.Sleep(d - min(d, 3*heartbeat))
	e.fleet.record.add("the machine of %s goes on", e.id)
	agent.signal(syscall.SIGCONT)
	_ = e.command.Process.Signal(syscall.SIGCONT)
	e.mu.Lock()
	row := e.row
	e.mu.Unlock()
	e.fleet.store.Put("servers", e.id, row)
}
