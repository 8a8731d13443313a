package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform"
	"github.com/primrosetally/primrosetally/platform/standin"
)

// Bounds of the deployment, in milliseconds and seconds. They are those of the small sites.
const (
	contact     = 3 * time.Second
	drainBound  = 2 * time.Second
	configBound = 2 * time.Second
	graceS      = 8
	revokeMS    = 5000
	versionMS   = 8000
	retryRatio  = 0.2
	budgetSlack = 104
	memoryMB    = 284 // of each machine
)

// program is the build of the deploy file, from the root of the repository.
const program = "target/primrosetally-fleet"

// machine is a machine of the system with addresses of its own on loopback.
type machine struct {
	name, role, ip, zone string
	store                *proxy // its way to the store

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet is a deployment: the platform's store, the servers and the processes of the system.
type fleet struct {
	record *record
	dir    string
	net    int // second number of all addresses
	port   int // first port

	store   *standin.Store
	storeAt string
	closers []func()

	machines []*machine
	zones    []string
	version  int64
}

// newFleet opens the store at addresses that are free.
func newFleet(r *record, zones int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: standin.NewStore()}
	for range 20 {
		f.net, f.port = 110+rand.IntN(120), 20000+100*rand.IntN(100)
		f.storeAt = fmt.Sprintf("127.%d.0.1:%d", f.net, f.port)
		if err = f.serve(f.storeAt, f.store); err == nil {
			break
		}
	}
	for n := range zones {
		f.zones = append(f.zones, fmt.Sprintf("zone-%d", n+1))
	}
	return f, err
}

// serve serves a stand-in until the end of the case.
func (f *fleet) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // ends with close
	f.closers = append(f.closers, func() { s.Close() })
	return nil
}

// at returns the address of a host of a zone; the port is the offset from the first one.
func (f *fleet) at(ip string, offset int) string { return fmt.Sprintf("%s:%d", ip, f.port+offset) }

// ip returns the address of a host of a zone, both counted from 0.
func (f *fleet) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", f.net, zone+1, host+1) }

// Offsets of the ports.
const (
	portFront = 1 + iota
	portReady
	portDirectory
	portControl
	portApp
	portStore
	portInternal
)

func (f *fleet) front(m *machine) string { return f.at(m.ip, portFront) }

// addEntry adds an entry and the proxy between it and the store.
func (f *fleet) addEntry(zone, host int) error {
	m := &machine{name: fmt.Sprintf("edge-%d-%d", zone+1, host+1), role: "entry", ip: f.ip(zone, host), zone: f.zones[zone]}
	p, err := newProxy(f.at(m.ip, portStore), f.storeAt)
	if err != nil {
		return err
	}
	m.store = p
	f.closers = append(f.closers, p.close)
	f.machines = append(f.machines, m)
	return nil
}

// addAgent adds the agent on the machine of a model server.
func (f *fleet) addAgent(zone, host int) (*machine, error) {
	m := &machine{name: fmt.Sprintf("side-%d-%d", zone+1, host), role: "agent", ip: f.ip(zone, host), zone: f.zones[zone]}
	p, err := newProxy(f.at(m.ip, portStore), f.storeAt)
	if err != nil {
		return nil, err
	}
	m.store = p
	f.closers = append(f.closers, p.close)
	f.machines = append(f.machines, m)
	return m, nil
}

// entries returns the machines of entries.
func (f *fleet) entries() []*machine {
	var list []*machine
	for _, m := range f.machines {
		if m.role == "entry" {
			list = append(list, m)
		}
	}
	return list
}

func (f *fleet) settings(m *machine) string {
	var b strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&b, "%s=%v\n", key, value) }
	var seeds []string
	for _, e := range f.machines {
		if e.role == "entry" && len(seeds) < 3 {
			seeds = append(seeds, f.at(e.ip, portControl))
		}
	}
	line("node-name", m.name)
	line("role", m.role)
	line("machine-class", "edge")
	line("serves", "edge,controller,registry")
	line("ip", m.ip)
	line("zone", m.zone)
	line("region", "region-of-"+m.zone)
	for _, z := range f.zones {
		line("zones."+z, "region-of-"+z)
	}
	line("listen.frontend", f.front(m))
	line("listen.ready", f.at(m.ip, portReady))
	line("listen.directory", f.at(m.ip, portDirectory))
	line("listen.control-plane", f.at(m.ip, portControl))
	line("internal-ports", fmt.Sprintf("%d,%d", f.port+portInternal, f.port+portInternal+15))
	line("seed-nodes", strings.Join(seeds, ","))
	line("bootstrap", true)
	line("limits.cpu-share", 0.4)
	line("limits.cpu-cores", 1)
	line("limits.memory-mb", memoryMB)
	line("limits.max-fds", 4100)
	line("limits.link-mbps", 1000.0)
	line("discovery", "platform")
	line("heartbeat-ms", heartbeat.Milliseconds())
	line("bounds.contact-ms", contact.Milliseconds())
	line("bounds.drain-ms", drainBound.Milliseconds())
	line("bounds.config-apply-ms", configBound.Milliseconds())
	line("bounds.grace-s", graceS)
	line("bounds.strict-revocation", true)
	line("bounds.revoke-ms", revokeMS)
	line("bounds.version_ms", versionMS)
	line("bounds.retry-budget-ratio", retryRatio)
	line("bounds.budget-window-s", 10)
	line("bounds.budget-slack", budgetSlack)
	line("bounds.ttl_max_s", 5)
	line("platform.address", m.store.address)
	line("platform.form", "table")
	if m.role == "agent" {
		line("app", f.at(m.ip, portApp))
		line("service", writers)
	}
	return b.String()
}

// start starts all processes of the system and waits until the entries are ready.
func (f *fleet) start(ctx context.Context) error {
	for _, m := range f.machines {
		if err := f.startProcess(m); err != nil {
			return err
		}
	}
	for _, m := range f.entries() {
		if err := f.awaitReady(ctx, m); err != nil {
			return err
		}
	}
	f.record.add("all %d processes are ready", len(f.machines))
	return nil
}

func (f *fleet) startProcess(m *machine) error {
	file := filepath.Join(f.dir, m.name+".conf")
	if err := os.WriteFile(file, []byte(f.settings(m)), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	c := exec.Command(program, m.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + file}
	c.Stdout, c.Stderr = logs, logs
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait() // a process that is killed reports that
		close(ended)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.command, m.ended = c, ended
	return nil
}

var errNotReady = errors.New("an entry is not ready")

// startTime is how long the processes may take to be ready.
const startTime = 15 * time.Second

func (f *fleet) awaitReady(ctx context.Context, m *machine) error {
	client := http.Client{Timeout: time.Second}
	for begun := time.Now(); time.Since(begun) < startTime; sleep(ctx, 50*time.Millisecond) {
		response, err := client.Get("http://" + f.at(m.ip, portReady) + names.Ready)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Signal(s) // it may have ended
}

// close ends all processes and stand-ins. The logs stay where KEEP_LOGS names a folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.command != nil {
			m.signal(syscall.SIGKILL)
			<-m.ended
		}
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		_ = os.CopyFS(kept, os.DirFS(f.dir))
	}
	os.RemoveAll(f.dir)
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
