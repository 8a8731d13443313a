package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/platform/standin"
)

const (
	// restartDelay is the time after which the platform starts a process that ended.
	restartDelay = 300 * time.Millisecond
	// restarting is the number of a fault that lasts until the next start of a process.
	restarting = 0
	// terminating is the number of a planned stop, which lasts as long.
	terminating = 1
	// listenNetworks is added to the second number of the addresses by which others
	// reach a process: it listens there, behind the proxies.
	listenNetworks = 30
)

// machine runs one process and starts it again when it ends. Only processes that
// it started are signalled, by their ids.
type machine struct {
	standin.Machine
	role  string
	run   *run
	index int
	// store is the machine's way to the store, peers that of other processes to it,
	// front that of callers.
	store, peers, front *link
	storeAt             string
	lifetime            atomic.Int64
	excess              int64 // lifetime that took too much memory

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool // the soak is over
	halted  int  // faults that pause the process
	halts   spans
	// restarts are the times from a signal that ends the process to its next start, and
	// startDelay is added to restartDelay at that start.
	restarts   spans
	startDelay time.Duration
	ended      chan struct{}
}

// connect opens the proxies before the process and between it and the store.
func (m *machine) connect() error {
	d := m.run.deployment
	_, host, _ := strings.Cut(m.IP, fmt.Sprintf("127.%d.", m.run.network))
	listen := fmt.Sprintf("127.%d.%s", int(m.run.network)+listenNetworks, host)
	behind := func(address string) string { return strings.Replace(address, m.IP, listen, 1) }
	m.store, m.peers, m.front = newLink("store of "+m.Name), newLink("peers of "+m.Name), newLink("callers of "+m.Name)
	m.storeAt = fmt.Sprintf("127.%d.%d.%d:8007", m.run.network, 100+m.index/250, 1+m.index%250)
	if _, err := m.store.stream(m.storeAt, d.StoreAddress()); err != nil {
		return err
	}
	peer := d.PeerAddress(m.Machine)
	if _, err := m.peers.stream(peer, behind(peer)); err != nil {
		return err
	}
	if err := m.peers.datagrams(peer, behind(peer)); err != nil {
		return err
	}
	if m.role != "entry" {
		return nil
	}
	for _, address := range []string{d.Front(m.Machine), d.Ready(m.Machine), d.Directory(m.Machine)} {
		if _, err := m.front.stream(address, behind(address)); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) links() []*link {
	if m.role == "entry" {
		return []*link{m.store, m.peers, m.front}
	}
	return []*link{m.store, m.peers}
}

// listenIP returns the address at which the process listens, behind the proxies.
func (m *machine) listenIP() string {
	return strings.Replace(m.IP, fmt.Sprintf("127.%d.", m.run.network), fmt.Sprintf("127.%d.", int(m.run.network)+listenNetworks), 1)
}

func (m *machine) start() error {
	settings := filepath.Join(m.run.logs, m.Name+".conf")
	text := m.run.deployment.Settings(m.Machine, m.storeAt)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
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
	c := exec.Command(m.run.binary, m.role, "--settings", settings, "--listen-ip", m.listenIP())
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		return eris.Wrap(err, "soak")
	}
	m.command = c
	for ; m.halted > 0; m.halted-- {
		m.halts.finish(m.halted)
	}
	m.restarts.moment()
	m.restarts.finish(restarting)
	m.restarts.finish(terminating)
	m.lifetime.Add(1)
	m.ended = make(chan struct{})
	go m.watch(c, m.ended)
	return nil
}

// watch starts the process again after it has ended.
func (m *machine) watch(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	close(ended)
	m.mu.Lock()
	stopped, delay := m.stopped, restartDelay+m.startDelay
	m.startDelay = 0
	m.mu.Unlock()
	if stopped {
		return
	}
	if status, ok := c.ProcessState.Sys().(syscall.WaitStatus); ok && !status.Signaled() && c.ProcessState.ExitCode() != 0 {
		m.run.ledger.violate("exit: %s ended by itself: %v", m.Name, err)
	}
	time.Sleep(delay)
	if err := m.start(); err != nil {
		m.run.ledger.violate("exit: %s did not start again: %v", m.Name, err)
	}
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch front := m.run.deployment.Front(m.Machine); s {
	case syscall.SIGHUP:
		m.run.ledger.planned.reloaded(front)
	case syscall.SIGTERM:
		m.run.ledger.planned.stopped(front)
		m.restarts.begin(terminating)
	default:
		m.restarts.begin(restarting)
	}
	// A process that has just ended is started again; the signal is then lost.
	_ = m.command.Process.Signal(s)
}

// delayStart adds a time to the delay of the next start after the process has ended.
func (m *machine) delayStart(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startDelay = d
}

// pause halts the process, and resume lets it go on once no fault halts it.
func (m *machine) pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.halted++
	m.halts.begin(m.halted)
	_ = m.command.Process.Signal(syscall.SIGSTOP)
}

func (m *machine) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.halted == 0 {
		return // the process was ended and started meanwhile
	}
	m.halts.finish(m.halted)
	if m.halted--; m.halted == 0 {
		_ = m.command.Process.Signal(syscall.SIGCONT)
	}
}

// end kills the process for good.
func (m *machine) end() {
	m.mu.Lock()
	m.stopped = true
	c, ended := m.command, m.ended
	m.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill() // it may have ended already
		<-ended
	}
	for _, l := range m.links() {
		if l != nil {
			l.stop()
		}
	}
}

func (m *machine) ready() bool { return m.run.deployment.IsReady(m.Machine) }

// awaitReady waits until an entry is ready.
func (m *machine) awaitReady(ctx context.Context, deadline time.Time) error {
	for m.role == "entry" && !m.ready() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return eris.Errorf("soak: %s is not ready", m.Name)
		}
		pause(ctx, 50*time.Millisecond)
	}
	return nil
}
