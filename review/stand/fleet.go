package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

const (
	// program is what the deploy file builds and runs.
	program = "target/primrosetally-fleet"
	// restartDelay is the time after which the platform starts a process that has ended.
	restartDelay = 500 * time.Millisecond
	// startTimeout bounds the time until a process that has just started is ready.
	startTimeout = 12 * time.Second
	// mostAgents is the number of engines up to which their agents are started.
	mostAgents = 4
)

// fleet is a small deployment: the stand-in of the platform and its servers, and the
// project's processes.
type fleet struct {
	*standin.Deployment
	record    *recorder
	directory string // temporary
	processes []*process
	once      sync.Once // of the end
}

// running are the fleets that have not ended, so that they are ended when a case takes too long.
var running struct {
	sync.Mutex
	fleets []*fleet
}

// endRunning ends all fleets.
func endRunning() {
	running.Lock()
	defer running.Unlock()
	for _, f := range running.fleets {
		f.end()
	}
}

// process is a process of the project, which is started again when it ends.
type process struct {
	machine  standin.Machine
	role     string
	record   *recorder
	settings string // file

	mu       sync.Mutex
	command  *exec.Cmd
	stopped  bool // the case is over
	planned  bool // the platform has stopped it
	ownEnds  int  // ends by itself
	lastExit string
	ended    chan struct{} // closed when no process runs any more after stop
}

// startFleet starts a deployment on a free network of loopback, and its entries.
func startFleet(r *recorder, options ...standin.DeploymentOption) (*fleet, error) {
	const firstNetwork, networks = 140, 80
	first := rand.IntN(networks)
	for i := range networks {
		network := byte(firstNetwork + (first+i)%networks)
		d, err := standin.StartDeployment(append(options, standin.WithNetwork(network))...)
		if err != nil {
			r.linef("network 127.%d is not free: %v", network, err)
			continue
		}
		return newFleet(r, d)
	}
	return nil, errors.New("no free network")
}

func newFleet(r *recorder, d *standin.Deployment) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	f := &fleet{Deployment: d, record: r, directory: directory}
	running.Lock()
	running.fleets = append(running.fleets, f)
	running.Unlock()
	for _, m := range d.Entries {
		f.processes = append(f.processes, f.newProcess(m, "entry"))
	}
	if len(d.Agents) <= mostAgents { // with more of them, no case names weights
		for _, m := range d.Agents {
			f.processes = append(f.processes, f.newProcess(m, "agent"))
		}
	}
	for _, p := range f.processes {
		if err := p.writeSettings(d.Settings(p.machine, d.StoreAddress())); err != nil {
			return f, err
		}
		if err := p.start(); err != nil {
			return f, err
		}
	}
	for _, m := range d.Entries {
		if !f.awaitReady(m) {
			return f, fmt.Errorf("%s is not ready", m.Name)
		}
	}
	r.notef("%d entries and %d agents run", len(d.Entries), len(f.processes)-len(d.Entries))
	return f, nil
}

func (f *fleet) newProcess(m standin.Machine, role string) *process {
	return &process{machine: m, role: role, record: f.record, settings: filepath.Join(f.directory, m.Name+".conf"), ended: make(chan struct{})}
}

// awaitReady waits until an entry is ready, for startTimeout at most.
func (f *fleet) awaitReady(m standin.Machine) bool {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.IsReady(m) {
			return true
		}
	}
	return false
}

// end ends all processes and removes the temporary folder.
func (f *fleet) end() {
	f.once.Do(func() {
		for _, p := range f.processes {
			p.end()
		}
		f.Close()
		os.RemoveAll(f.directory)
	})
}

func (p *process) writeSettings(text string) error {
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// start starts the process, and again each time that it ends.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		close(p.ended)
		return nil
	}
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	at, err := log.Seek(0, 2)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	c := exec.Command(program, p.role, "--settings", p.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.machine.Name, err)
	}
	p.command, p.planned = c, false
	go p.watch(c, at)
	return nil
}

// watch waits for the end of the process and starts it again. What it has logged begins at an
// offset of its log.
func (p *process) watch(c *exec.Cmd, at int64) {
	_ = c.Wait() // the status is read below
	p.mu.Lock()
	if !p.planned && !p.stopped {
		p.ownEnds++
		p.lastExit = c.ProcessState.String()
		p.record.linef("%s has ended by itself: %v; it wrote: %.200s", p.machine.Name, c.ProcessState, p.logged(at))
	}
	p.mu.Unlock()
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		p.record.notef("%v", err)
		close(p.ended)
	}
}

// logged returns the beginning of what was logged after an offset.
func (p *process) logged(at int64) string {
	text, err := os.ReadFile(p.settings + ".log")
	if err != nil || int64(len(text)) < at {
		return ""
	}
	return string(text[at:])
}

// signal sends a signal by which the platform stops the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planned = true
	_ = p.command.Process.Signal(s) // it may have ended
}

// endsByItself returns how often the process has ended without a signal of the platform.
func (p *process) endsByItself() (times int, last string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds, p.lastExit
}

// end ends the process for good and waits until it has ended.
func (p *process) end() {
	p.mu.Lock()
	p.stopped = true
	c := p.command
	p.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill() // it may have ended
	<-p.ended
}
