package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Figures of the case. The limits are those of the site's sheet and file.
const (
	// bodyBytes is the largest body that the config allows, as in the site file.
	bodyBytes = 4 << 20
	// memoryBytes is limits.memory-mb in the settings, at its largest reading.
	memoryBytes = standin.MemoryMB << 20
	// uploadTime is how long a client takes to send a body. All uploads of a burst together
	// stay below the 1,000 Mbit/s of the entry's link.
	uploadTime  = 2600 * time.Millisecond
	uploadParts = 40
	uploadPause = 200 * time.Millisecond
	// uploadBudget is the time budget of an upload.
	uploadBudget = 6 * time.Second
	// usualUploaders upload at each entry at any time. In a burst there are moreUploaders more,
	// which makes 1.7 times as many, for burstTime: the dose of the site file.
	usualUploaders = 40
	moreUploaders  = usualUploaders * 7 / 10
	burstTime      = 3 * time.Second
	bursts         = 3
	burstGap       = 10 * time.Second
	// smallClients send small requests to each entry at any time, plainWork is the time that a
	// server takes for one, as on the sheet.
	smallClients = 10
	plainWork    = 60 * time.Millisecond
	// queueLength is how many requests wait at a plain server.
	queueLength = 24
	// mostLost is how many requests may end without an answer at a machine.
	mostLost = 3
)

// upload is an upload of a client.
type upload struct {
	to     string // entry
	answer string // status, or why there was none
	lost   bool   // it ended without an answer
	kept   bool   // its channel had carried a request before
}

// uploads are all uploads, by attempt. They are safe for concurrent use.
type uploads struct {
	record *recorder

	mu   sync.Mutex
	list map[string]*upload
	next int
	runs map[string]bool // attempts that have run at a server, also of small requests
}

func (u *uploads) begin(to standin.Machine) (id string, up *upload) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next++
	id, up = fmt.Sprintf("u%05d", u.next), &upload{to: to.Name}
	u.list[id] = up
	return id, up
}

// ran records a run at a server.
func (u *uploads) ran(r standin.Run) {
	u.record.linef("server %s runs %s, %d bytes", r.Server, r.Attempt, len(r.Body))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[r.Attempt] = true
}

// playBodies lets more clients than usual upload bodies of the allowed size. The platform kills
// a process whose memory exceeds its limit.
func playBodies(r *recorder, trouble bool) error {
	u := &uploads{record: r, list: make(map[string]*upload), runs: make(map[string]bool)}
	f, err := startFleet(r, standin.WithSize(2, 1, 1, 2), standin.WithRunsOf(u.ran), standin.WithQueues(queueLength))
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return err
	}
	if err := f.changeConfig(func(config map[string]any) {
		config["limits"] = map[string]any{"max-header-bytes": 16384, "max-body-bytes": bodyBytes, "idle-timeout-ms": 15000}
	}); err != nil {
		return err
	}
	for _, s := range f.Servers {
		s.SetWork(plainWork)
	}
	time.Sleep(quietTime)
	c := newClients(f)
	stop := c.keepSending(slices.Repeat([]string{standin.Key}, smallClients)...)
	done := make(chan struct{})
	var work sync.WaitGroup
	for _, p := range f.processes[:len(f.Entries)] {
		work.Go(func() { p.watchMemory(done) })
		for i := range usualUploaders {
			work.Go(func() {
				pause(done, (uploadTime+uploadPause)*time.Duration(i)/usualUploaders)
				f.keepUploading(u, p.machine, done)
			})
		}
	}
	for range bursts {
		pause(done, burstGap)
		if trouble {
			f.burst(u, &work)
		}
	}
	pause(done, burstGap)
	close(done)
	stop()
	work.Wait()
	return judgeBodies(r, f, u, c)
}

func pause(done <-chan struct{}, d time.Duration) {
	select {
	case <-done:
	case <-time.After(d):
	}
}

// burst lets as many clients more come as a burst brings, for burstTime, to each entry.
func (f *fleet) burst(u *uploads, work *sync.WaitGroup) {
	f.record.notef("burst: %d clients more at each entry for %v", moreUploaders, burstTime)
	over := make(chan struct{})
	time.AfterFunc(burstTime, func() { close(over) })
	for _, m := range f.Entries {
		for range moreUploaders {
			work.Go(func() { f.keepUploading(u, m, over) })
		}
	}
}

// keepUploading uploads to an entry until done is closed, on a connection that is kept.
func (f *fleet) keepUploading(u *uploads, to standin.Machine, done <-chan struct{}) {
	var c net.Conn
	reused := false
	for {
		select {
		case <-done:
			if c != nil {
				c.Close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", f.Front(to), time.Second); err != nil {
				pause(done, uploadPause)
				continue
			}
			reused = false
		}
		id, up := u.begin(to)
		up.kept = reused
		reused = true
		kept, err := f.upload(c, id, up)
		u.mu.Lock()
		if err != nil {
			up.answer, up.lost = err.Error(), true
		}
		u.mu.Unlock()
		f.record.linef("upload %s to %s: %s", id, to.Name, up.answer)
		if !kept {
			c.Close()
			c = nil
		}
		pause(done, uploadPause)
	}
}

// upload sends a request with a body of bodyBytes and reads the answer. Kept tells whether the
// connection may be used again. The error tells why there is no answer.
func (f *fleet) upload(c net.Conn, id string, up *upload) (kept bool, err error) {
	request, err := standin.NewRequest(http.MethodPost, "", standin.PathPublish+id, id, standin.Key, uploadBudget)
	if err != nil {
		return false, fmt.Errorf("request: %w", err)
	}
	if err := c.SetDeadline(time.Now().Add(uploadBudget + time.Second)); err != nil {
		return false, fmt.Errorf("deadline: %w", err)
	}
	request.Body, request.ContentLength = io.NopCloser(&slowBody{left: bodyBytes}), bodyBytes
	if err := request.Write(c); err != nil {
		return false, fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), request)
	if err != nil {
		return false, fmt.Errorf("no answer: %w", err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false, fmt.Errorf("answer: %w", err)
	}
	up.answer = response.Status
	return !response.Close, nil
}

// slowBody is a body that comes at an even pace in uploadTime.
type slowBody struct{ left int }

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	const part = bodyBytes / uploadParts
	n := min(len(p), part, b.left)
	time.Sleep(uploadTime * time.Duration(n) / bodyBytes)
	copy(p, bytes.Repeat([]byte("x"), n))
	b.left -= n
	return n, nil
}

// watchMemory kills the process, as the platform does, when it exceeds its memory.
func (p *process) watchMemory(done <-chan struct{}) {
	const interval = 20 * time.Millisecond
	peak := 0
	for {
		select {
		case <-done:
			p.record.notef("%s: memory at its peak since the last kill: %d MB", p.machine.Name, peak>>20)
			return
		case <-time.After(interval):
		}
		p.mu.Lock()
		pid, running := p.command.Process.Pid, p.command.ProcessState == nil
		p.mu.Unlock()
		resident := residentBytes(pid)
		peak = max(peak, resident)
		if running && resident > memoryBytes {
			p.record.notef("%s takes %d MB of %d MB: the platform kills it", p.machine.Name, resident>>20, standin.MemoryMB)
			p.mu.Lock()
			_ = p.command.Process.Signal(syscall.SIGKILL) // it may have ended; an end by itself
			p.mu.Unlock()
			peak = 0
			pause(done, restartDelay)
		}
	}
}

// residentBytes returns the resident memory of a process that the case has started, 0 if it has
// ended.
func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}

// lostAt returns how many requests from kept channels that had been passed on to a server ended
// without an answer, by entry.
func (u *uploads) lostAt(c *clients) map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := make(map[string]int)
	for id, up := range u.list {
		if up.lost && up.kept && u.runs[id] {
			lost[up.to]++
		}
	}
	for id, s := range c.requests {
		if s.status == 0 && s.kept && u.runs[id] {
			lost[s.to]++
		}
	}
	return lost
}

// judgeBodies checks the requests against LOST.
func judgeBodies(r *recorder, f *fleet, u *uploads, c *clients) error {
	u.mu.Lock()
	counts := make(map[string]int)
	for _, up := range u.list {
		if up.lost {
			counts["no answer"]++
		} else {
			counts[up.answer]++
		}
	}
	u.mu.Unlock()
	r.notef("uploads: %v; small requests: %s (0: no answer)", counts, c.statuses(standin.Key, r.begun, time.Now()))
	broken := 0
	for entry, n := range u.lostAt(c) {
		r.notef("%s: %d requests from kept channels that had been passed on to a server got no answer", entry, n)
		if n > mostLost {
			broken++
		}
	}
	machines := 0
	for _, p := range f.processes {
		times, last := p.endsByItself()
		r.notef("%s has ended by itself %d times: %s", p.machine.Name, times, last)
		if times >= mostOwnEnds {
			machines++
		}
	}
	r.notef("on %d machines a process has ended by itself %d times or more", machines, mostOwnEnds)
	if broken > 0 {
		return fmt.Errorf("%w: LOST: at %d entries more than %d requests", errBroken, broken, mostLost)
	}
	return nil
}
