package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// restartDelay is the time after which the platform starts a process that ended.
const restartDelay = 300 * time.Millisecond

// machine runs one process and starts it again when it ends. Only processes that
// it started are signalled, by their ids.
type machine struct {
	standin.Machine
	role string
	run  *run

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool // the soak is over
	halted  bool // the process is paused
	ended   chan struct{}
}

func (m *machine) start() error {
	settings := filepath.Join(m.run.logs, m.Name+".conf")
	if err := os.WriteFile(settings, []byte(m.run.deployment.Settings(m.Machine)), 0o600); err != nil {
		return eris.Wrap(err, "soak")
	}
	output, err := os.OpenFile(filepath.Join(m.run.logs, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "soak")
	}
	defer output.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	c := exec.Command(m.run.binary, m.role, "--settings", settings)
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		return eris.Wrap(err, "soak")
	}
	m.command = c
	m.halted = false
	m.ended = make(chan struct{})
	go m.watch(c, m.ended)
	return nil
}

// watch starts the process again after it has ended.
func (m *machine) watch(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	close(ended)
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if stopped {
		return
	}
	if status, ok := c.ProcessState.Sys().(syscall.WaitStatus); ok && !status.Signaled() && c.ProcessState.ExitCode() != 0 {
		m.run.ledger.violate("exit: %s ended by itself: %v", m.Name, err)
	}
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.run.ledger.violate("exit: %s did not start again: %v", m.Name, err)
	}
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGSTOP {
		m.halted = true
	}
	// A process that has just ended is started again; the signal is then lost.
	_ = m.command.Process.Signal(s)
}

func (m *machine) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.halted {
		m.halted = false
		_ = m.command.Process.Signal(syscall.SIGCONT)
	}
}

// end kills the process for good.
func (m *machine) end() {
	m.mu.Lock()
	m.stopped = true
	c, ended := m.command, m.ended
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill() // it may have ended already
	<-ended
}

func (m *machine) ready() bool { return m.run.deployment.IsReady(m.Machine) }
