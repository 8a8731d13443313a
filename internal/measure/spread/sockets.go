package spread

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/primrosetally/primrosetally/internal/node"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/transport/nodes"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

const (
	// socketDomains is the number of failure domains of the nodes on sockets.
	socketDomains = 6
	// socketAccounts is the number of client accounts in their text, each a section.
	socketAccounts = 97
	// socketChanges is the number of changes that are accepted, and socketPause the
	// time between two of them.
	socketChanges = 10
	socketPause   = 500 * time.Millisecond
	// socketWait bounds the wait for one revision.
	socketWait = 30 * time.Second
	// socketPoll is how often the nodes are looked at during that wait.
	socketPoll = time.Millisecond
)

// ErrNotInForce is returned when a revision did not reach every node in time.
var ErrNotInForce = eris.New("revision is not in force on every node")

// SocketRow is what the nodes of one process cost, each with a listener and
// connections of its own. Times are of the whole process, stand-ins included,
// divided by the nodes.
type SocketRow struct {
	Nodes int `json:"nodes"`
	// CPUIdle is the processor time of a node, in microseconds a second.
	CPUIdle float64 `json:"cpuIdleMicroseconds"`
	// CPUChange is the processor time of a node for one change, in microseconds.
	CPUChange float64 `json:"cpuChangeMicroseconds"`
	// BytesIdle is what a node sends to and receives from other nodes, in bytes a
	// second, without TCP and IP.
	BytesIdle float64 `json:"bytesIdle"`
	// BytesChange is the same for one change, in bytes.
	BytesChange float64 `json:"bytesChange"`
	// Memory is the heap and stacks of a node, in bytes.
	Memory float64 `json:"memory"`
	// Goroutines is the number of goroutines of a node.
	Goroutines float64 `json:"goroutines"`
	// SlowestMS is the longest time until a change was in force on all nodes.
	SlowestMS float64 `json:"slowestMs"`
}

// Sockets runs each number of nodes over sockets of loopback and measures them
// idle for a time and then during changes.
func Sockets(ctx context.Context, counts []int, idle time.Duration) ([]SocketRow, error) {
	var rows []SocketRow
	for _, n := range counts {
		row, err := measureSockets(ctx, n, idle)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// WriteSockets writes the rows as text.
func WriteSockets(w io.Writer, rows []SocketRow) {
	fmt.Fprintln(w, "nodes  idle us/s  us/change  idle B/s  B/change  memory KB  goroutines  slowest ms")
	for _, r := range rows {
		fmt.Fprintf(w, "%5d %10.0f %10.0f %9.0f %9.0f %10.0f %11.1f %11.0f\n", r.Nodes, r.CPUIdle, r.CPUChange,
			r.BytesIdle, r.BytesChange, r.Memory/1024, r.Goroutines, r.SlowestMS)
	}
}

// cluster is the nodes of one measurement and their platform.
type cluster struct {
	nodes   []*node.Node
	servers []*http.Server
	serving conc.WaitGroup
	bytes   atomic.Int64
	ended   []<-chan struct{}
	stop    context.CancelFunc
}

func measureSockets(ctx context.Context, count int, idle time.Duration) (SocketRow, error) {
	before := occupied()
	c, err := startCluster(ctx, count)
	defer c.close()
	if err != nil {
		return SocketRow{}, err
	}
	if _, err := c.change(ctx, 1); err != nil {
		return SocketRow{}, err
	}
	row := SocketRow{Nodes: count}
	perNode := float64(count)
	cpu, bytes := processorTime(), c.bytes.Load()
	if err := sleep(ctx, idle); err != nil {
		return row, err
	}
	row.CPUIdle = microseconds(processorTime()-cpu) / idle.Seconds() / perNode
	row.BytesIdle = endpoints * float64(c.bytes.Load()-bytes) / idle.Seconds() / perNode
	after := occupied()
	row.Memory = float64(after.memory-before.memory) / perNode
	row.Goroutines = float64(after.goroutines-before.goroutines) / perNode
	return c.measureChanges(ctx, row)
}

func (c *cluster) measureChanges(ctx context.Context, row SocketRow) (SocketRow, error) {
	began, cpu, bytes := time.Now(), processorTime(), c.bytes.Load()
	for i := range socketChanges {
		took, err := c.change(ctx, uint64(2+i))
		if err != nil {
			return row, err
		}
		row.SlowestMS = max(row.SlowestMS, milliseconds(took))
		if err := sleep(ctx, socketPause); err != nil {
			return row, err
		}
	}
	seconds := time.Since(began).Seconds()
	perNode := float64(row.Nodes)
	spent := microseconds(processorTime()-cpu)/perNode - row.CPUIdle*seconds
	sent := endpoints*float64(c.bytes.Load()-bytes)/perNode - row.BytesIdle*seconds
	row.CPUChange = spent / socketChanges
	row.BytesChange = sent / socketChanges
	return row, nil
}

// change accepts a revision at one node and waits until it is in force on all.
func (c *cluster) change(ctx context.Context, revision uint64) (time.Duration, error) {
	config, err := configtext.Parse("measure.toml", socketText(revision))
	if err != nil {
		return 0, err
	}
	head := snapshot.Head{Revision: revision, Digest: config.HeadDigest(), ChangeID: fmt.Sprintf("change-%d", revision)}
	texts := make(map[digest.Digest][]byte)
	for _, s := range config.Sections() {
		head.Sections = append(head.Sections, snapshot.SectionRef{Name: s.Name(), Digest: s.Digest()})
		texts[s.Digest()] = s.Text()
	}
	text := func(d digest.Digest) ([]byte, bool) {
		data, ok := texts[d]
		return data, ok
	}
	began := time.Now()
	if err := c.nodes[int(revision)%len(c.nodes)].ChangeAccepted(head, text); err != nil {
		return 0, err
	}
	for time.Since(began) < socketWait {
		if c.inForce(revision) {
			return time.Since(began), nil
		}
		if err := sleep(ctx, socketPoll); err != nil {
			return 0, err
		}
	}
	return 0, eris.Wrapf(ErrNotInForce, "revision %d, %d nodes", revision, len(c.nodes))
}

func (c *cluster) inForce(revision uint64) bool {
	for _, n := range c.nodes {
		if n.Revision() < revision {
			return false
		}
	}
	return true
}

func startCluster(ctx context.Context, count int) (*cluster, error) {
	ctx, stop := context.WithCancel(ctx)
	c := &cluster{stop: stop}
	list := standin.NewMembers()
	var urls []string
	for _, h := range []http.Handler{standin.NewTables(), standin.NewObjects(), standin.NewObjects(), list} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return c, eris.Wrap(err, "stand-in")
		}
		c.serve(l, h)
		urls = append(urls, "http://"+l.Addr().String())
	}
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return c, eris.Wrap(err, "node")
		}
		c.addNode(l, socketMember(i, l.Addr().String()), node.NewPlatform(urls[0], urls[1], urls[2], urls[3]))
	}
	for _, n := range c.nodes {
		list.Put(n.Self())
	}
	for _, n := range c.nodes {
		c.ended = append(c.ended, n.Start(ctx))
	}
	return c, nil
}

func (c *cluster) addNode(l net.Listener, self member.Member, platform *node.Platform) {
	n := node.New(self, platform, node.WithLogger(slog.New(slog.DiscardHandler)))
	mux := http.NewServeMux()
	n.Register(mux)
	c.nodes = append(c.nodes, n)
	c.serve(countingListener{Listener: l, bytes: &c.bytes}, mux)
}

func (c *cluster) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, Protocols: nodes.ServerProtocols(), ReadHeaderTimeout: socketWait}
	c.servers = append(c.servers, server)
	c.serving.Go(func() { _ = server.Serve(l) })
}

// close stops the nodes, then the listeners, and waits for both.
func (c *cluster) close() {
	c.stop()
	for _, ended := range c.ended {
		<-ended
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.serving.Wait()
	for _, n := range c.nodes {
		n.Pool().Close()
	}
}

func socketMember(i int, address string) member.Member {
	domain := i % socketDomains
	region := fmt.Sprintf("region-%d", domain%2)
	return member.New(fmt.Sprintf("entry-%d", i), member.RoleEntry, address,
		member.WithPlace(region, fmt.Sprintf("%s-%c", region, 'a'+domain/2)),
		member.WithIncarnation(originIncarnation))
}

// socketText is a text of 100 sections in which one account changes with the
// revision.
func socketText(revision uint64) []byte {
	var b strings.Builder
	b.WriteString(socketHead)
	for i := range socketAccounts {
		limit := 100
		if uint64(i) == revision%socketAccounts {
			limit += int(revision)
		}
		fmt.Fprintf(&b, "\n[account.shop-%03d]\nteam = \"answers\"\nweight = 1\nrequestsPerSecond = 5.0\nmaxInFlight = %d\n", i, limit)
	}
	return []byte(b.String())
}

const socketHead = `[deployment]
name = "measure"
storeRegion = "riga"
entryInstances = 7
failureDomainLatency = "500us"
regionLatency = "1ms"
clientLatency = "1ms"
originLinkCopies = 4.0
instanceLinkCopies = 2.0

[region.riga]
failureDomains = ["riga-a"]
linkBitsPerSecond = 20_000_000

[team.answers]
tokenDigest = "35694cf663e20daed8cee5727a1a405a2e625f6c62aa0da8728b7c080d607016"
administrator = true
`

// countingListener counts the bytes of all connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// space is what this process occupies.
type space struct {
	memory     int64
	goroutines int
}

func occupied() space {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return space{memory: int64(m.HeapAlloc + m.StackInuse), goroutines: runtime.NumGoroutine()}
}

// processorTime returns what this process has used since it started.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("spread: no resource usage: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
