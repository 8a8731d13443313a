// These tests run the system as separate processes on loopback: stand-ins of the
// platform, three entries and four agents, with processes killed and frozen while
// callers send requests.
//
// Nothing here asserts a time. A test waits for a condition, for as long as
// conditionWait at most.

package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/members"
)

const (
	conditionWait = 2 * time.Minute
	conditionPoll = 50 * time.Millisecond
	// Ports below those that the system gives to outgoing connections.
	firstPort = 20_000
	lastPort  = 30_000
)

const (
	modelService = "tally"
	plainService = "bookings"
	account      = "shop"
)

var failureDomains = []string{"riga-a", "liepaja-a", "daugavpils-a"}

// binary is the program under test, built once with the race detector.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "primrosetally")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "primrosetally")
	build := exec.Command("go", "build", "-race", "-o", binary, "github.com/primrosetally/primrosetally/cmd/primrosetally")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// proc is one process that the test started.
type proc struct {
	name    string
	self    member.Member
	command *exec.Cmd
	stderr  *lockedBuffer
	ended   chan struct{} // closed when the process has ended
	err     error         // of the end, valid once ended is closed
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// start runs the program. The test's cleanup kills what is left of it and
// fails the test if the race detector found something.
func start(t *testing.T, name string, arguments ...string) (*proc, *bufio.Reader) {
	t.Helper()
	p := &proc{name: name, command: exec.Command(binary, arguments...), stderr: &lockedBuffer{}, ended: make(chan struct{})}
	p.command.Stderr = p.stderr
	out, err := p.command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.command.Start())
	go func() {
		defer close(p.ended)
		// The wait is for the process alone: Wait would close the pipe that the
		// test may still read.
		state, err := p.command.Process.Wait()
		p.err = err
		if err == nil && !state.Success() {
			p.err = fmt.Errorf("%s: %s", name, state)
		}
	}()
	t.Cleanup(func() {
		p.signal(t, syscall.SIGCONT)
		if t.Failed() {
			p.dump(t)
		}
		p.signal(t, syscall.SIGKILL)
		<-p.ended
		if strings.Contains(p.stderr.String(), "DATA RACE") {
			t.Errorf("%s: data race:\n%s", name, p.stderr)
		}
		if t.Failed() {
			t.Logf("%s:\n%s", name, tail(p.stderr.String()))
		}
	})
	return p, bufio.NewReader(out)
}

// dump ends the process with a trace of its goroutines on its standard error.
func (p *proc) dump(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGQUIT)
	select {
	case <-p.ended:
	case <-time.After(dumpTimeout):
		t.Logf("%s writes no trace of its goroutines", p.name)
	}
}

// dumpTimeout is above what a process takes to write its goroutines beside load.
const dumpTimeout = 5 * time.Second

func tail(text string) string {
	const limit = 60_000 // bytes: a trace of a few hundred goroutines
	return text[max(0, len(text)-limit):]
}

// incarnation returns the number of the start that the process logged, 0 before.
func (p *proc) incarnation() uint64 {
	for line := range strings.Lines(p.stderr.String()) {
		var event struct {
			EventID     int
			Incarnation uint64
		}
		if json.Unmarshal([]byte(line), &event) == nil && event.EventID == telemetry.ProcessStarted.Number() {
			return event.Incarnation
		}
	}
	return 0
}

// running reports whether the process has not ended.
func (p *proc) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to a process that has not ended.
func (p *proc) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if !p.running() {
		return
	}
	if err := p.command.Process.Signal(s); err != nil && err != os.ErrProcessDone {
		t.Logf("%s: signal %v: %v", p.name, s, err)
	}
}

// deployment is a running system with its stand-ins.
type deployment struct {
	dir                              string
	tables, objects, origin, members string // URLs
	plain                            string
	engines                          []string
	entries                          []*proc
	agents                           []*proc // the last one stands before the plain service
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{dir: t.TempDir()}
	d.tables = standinURL(t, "tables")
	d.objects = standinURL(t, "objects")
	d.origin = standinURL(t, "origin")
	d.members = standinURL(t, "members")
	d.plain = standinURL(t, "plain")
	for i := range 3 {
		d.entries = append(d.entries, d.startEntry(t, i))
	}
	for i := range 3 {
		d.engines = append(d.engines, standinURL(t, "engine"))
		d.agents = append(d.agents, d.startAgent(t, i, modelService, d.engines[i]))
	}
	d.agents = append(d.agents, d.startAgent(t, 3, plainService, d.plain))
	return d
}

// standinURL starts a stand-in, which prints the address that it listens on.
func standinURL(t *testing.T, kind string) string {
	t.Helper()
	_, out := start(t, "standin "+kind, "standin", kind, "--listen", "127.0.0.1:0")
	line, err := out.ReadString('\n')
	require.NoError(t, err)
	return "http://" + strings.TrimSpace(line)
}

func (d *deployment) startEntry(t *testing.T, i int) *proc {
	t.Helper()
	name := fmt.Sprintf("entry-%d", i+1)
	callers := freeAddress(t)
	return d.startRole(t, name, member.RoleEntry, i, "callerListen = \""+callers+"\"\n", member.WithCallerAddress(callers))
}

func (d *deployment) startAgent(t *testing.T, i int, service, engineURL string) *proc {
	t.Helper()
	name := fmt.Sprintf("agent-%d", i+1)
	settings := fmt.Sprintf("service = %q\nengineUrl = %q\n", service, engineURL)
	return d.startRole(t, name, member.RoleAgent, i, settings, member.WithService(service))
}

// startRole writes the settings of a process, starts it, waits until it listens
// and puts it on the membership list.
func (d *deployment) startRole(t *testing.T, name string, role member.Role, place int, settings string, options ...member.Option) *proc {
	t.Helper()
	domain := failureDomains[place%len(failureDomains)]
	region := strings.TrimSuffix(domain, "-a")
	address := freeAddress(t)
	text := fmt.Sprintf("name = %q\nrole = %q\nregion = %q\nfailureDomain = %q\nlisten = %q\n", name, role, region, domain, address) +
		settings +
		fmt.Sprintf("[trace]\nexporter = \"file\"\nfile = %q\n", d.spanFile(name)) +
		fmt.Sprintf("[platform]\ntablesUrl = %q\nobjectsUrl = %q\noriginUrl = %q\nmembersUrl = %q\n", d.tables, d.objects, d.origin, d.members)
	file := filepath.Join(d.dir, name+".toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	p, _ := start(t, name, string(role), "--settings", file)
	var incarnation uint64
	waitFor(t, name+" has started", func() bool {
		incarnation = p.incarnation()
		return incarnation != 0
	})
	options = append(options, member.WithPlace(region, domain), member.WithIncarnation(incarnation))
	p.self = member.New(name, role, address, options...)
	d.enlist(t, p.self)
	return p
}

// spanFile is where a process writes its spans.
func (d *deployment) spanFile(name string) string {
	return filepath.Join(d.dir, name+".spans.json")
}

// enlist puts a member on the platform's list.
func (d *deployment) enlist(t *testing.T, m member.Member) {
	t.Helper()
	data, err := json.Marshal(m)
	require.NoError(t, err)
	d.changeMembers(t, http.MethodPut, m.Name(), data)
}

// delist takes a member off the platform's list.
func (d *deployment) delist(t *testing.T, name string) {
	t.Helper()
	d.changeMembers(t, http.MethodDelete, name, nil)
}

func (d *deployment) changeMembers(t *testing.T, method, name string, body []byte) {
	t.Helper()
	r, err := http.NewRequest(method, d.members+members.PathMembers+"/"+name, bytes.NewReader(body))
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusNoContent, answer.StatusCode)
}

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()%((lastPort-firstPort)/2)
)

// freeAddress returns an address on loopback that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for nextPort < lastPort {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if l, err := net.Listen("tcp", address); err == nil {
			require.NoError(t, l.Close())
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// waitFor polls the condition until it holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), conditionWait)
	defer cancel()
	poll := time.NewTicker(conditionPoll)
	defer poll.Stop()
	for !condition() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			t.Fatalf("waited %v for: %s", conditionWait, what)
		}
	}
}
