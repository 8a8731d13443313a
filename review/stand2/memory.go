package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case of a burst of clients with slow links.
const (
	memoryEntries = 2
	memoryServers = 12
	memoryWork    = 80 * time.Millisecond
	// usualClients is the number of clients of each entry, burstFactor that of a burst times it.
	usualClients = 2100
	burstFactor  = 1.7
	burstTime    = 3 * time.Second
	burstGap     = 14 * time.Second
	bursts       = 5
	// The head of a request has headBytes, its body bodyPieces pieces of pieceBytes, which come
	// pieceGap apart.
	headBytes   = 15000
	bodyPieces  = 10
	pieceBytes  = 4000
	pieceGap    = 300 * time.Millisecond
	pieceJitter = 100 * time.Millisecond
	startSpread = 3 * time.Second
	// sampleGap is how often the platform looks at the memory of a process.
	sampleGap    = 50 * time.Millisecond
	memoryLimit  = memoryMB << 20
	restartDelay = 300 * time.Millisecond
	// lostAllowed is how many requests of kept channels a machine may leave without an answer.
	lostAllowed = 3
)

// memoryRun is the state of the case.
type memoryRun struct {
	fleet  *fleet
	record *record
	active atomic.Bool // a burst is on

	mu    sync.Mutex
	ends  map[string]int   // by machine
	peaks map[string]int64 // largest memory in bytes, by machine
	runs  map[string]bool  // requests that a server began to run
	lost  map[string]int   // requests of kept channels that were run and not answered, by machine

	sent, answered atomic.Int64
}

// memory lets the clients of two entries become 1.7 times as many for three seconds. They have
// slow links, and the platform ends a process that exceeds its memory.
func memory(ctx context.Context, r *record) (broken string, err error) {
	f, err := newFleet(r, memoryEntries)
	if err != nil {
		return "", err
	}
	defer f.close()
	f.configure(usual(1, false))
	c := &memoryRun{fleet: f, record: r, ends: make(map[string]int), peaks: make(map[string]int64), runs: make(map[string]bool), lost: make(map[string]int)}
	for zone := range memoryEntries {
		if err := f.addEntry(zone, 0); err != nil {
			return "", err
		}
		for n := range memoryServers {
			v := &server{
				fleet: f, service: pages, zone: f.zones[zone], name: fmt.Sprintf("%d-%d", zone+1, n+1),
				address: f.at(f.ip(zone, 100+n), portApp), publishWork: memoryWork, arrived: func(*server, string, *http.Request) {}, run: c.run,
			}
			if err := v.start(); err != nil {
				return "", err
			}
		}
	}
	if err := f.start(ctx); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	for _, m := range f.machines {
		work.Go(func() { c.platform(ctx, m) })
		clients := usualClients
		if trouble {
			clients = int(usualClients * burstFactor)
		}
		for n := range clients {
			work.Go(func() { c.client(ctx, m, n >= usualClients) })
		}
	}
	for n := range bursts {
		sleep(ctx, burstGap-burstTime)
		if trouble {
			r.add("burst %d begins", n+1)
		}
		c.active.Store(trouble)
		sleep(ctx, burstTime)
		c.active.Store(false)
	}
	cancel()
	work.Wait()
	return c.verdict(), nil
}

func (c *memoryRun) run(_ *server, _ string, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a body that is cut off is noticed by its client
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.Header.Get(names.Attempt)] = true
}

// platform ends the process of a machine that exceeds its memory and starts it again.
func (c *memoryRun) platform(ctx context.Context, m *machine) {
	for ; ctx.Err() == nil; sleep(ctx, sampleGap) {
		m.mu.Lock()
		pid, ended := m.command.Process.Pid, m.ended
		m.mu.Unlock()
		held := residentBytes(pid)
		c.mu.Lock()
		c.peaks[m.name] = max(c.peaks[m.name], held)
		c.mu.Unlock()
		if held <= memoryLimit {
			continue
		}
		c.record.add("%s holds %d bytes, more than its %d MB: the platform ends it", m.name, held, memoryMB)
		c.mu.Lock()
		c.ends[m.name]++
		c.mu.Unlock()
		m.signal(syscall.SIGKILL)
		<-ended
		time.Sleep(restartDelay)
		if err := c.fleet.startProcess(m); err != nil {
			c.record.add("%s does not start: %v", m.name, err)
			return
		}
	}
}

// residentBytes returns the memory that a process holds.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0 // it has ended
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// client sends one request after the other on a channel that it keeps. One of a burst does so
// only meanwhile.
func (c *memoryRun) client(ctx context.Context, m *machine, inBurst bool) {
	sleep(ctx, rand.N(startSpread))
	var conn net.Conn
	var reader *bufio.Reader
	kept := false
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if inBurst && !c.active.Load() {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.fleet.front(m), time.Second); err != nil {
				conn = nil
				sleep(ctx, 500*time.Millisecond)
				continue
			}
			reader, kept = bufio.NewReaderSize(conn, 1<<10), false
		}
		if kept = c.send(ctx, m, conn, reader, kept); !kept {
			conn.Close()
			conn = nil
			sleep(ctx, 300*time.Millisecond)
		}
	}
}

// send sends one request, on a channel that was kept or a new one, and reads its answer. It
// reports whether the channel may be kept.
func (c *memoryRun) send(ctx context.Context, m *machine, conn net.Conn, reader *bufio.Reader, kept bool) (keep bool) {
	id := fmt.Sprintf("%08x", attempts.Add(1))
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		pathPublish, id, host, names.Attempt, id, key, names.Deadline, budget.Milliseconds(), bodyPieces*pieceBytes)
	head += "Form-State: " + strings.Repeat("s", headBytes-len(head)-20) + "\r\n\r\n"
	_ = conn.SetDeadline(time.Now().Add(budget + time.Second))
	c.sent.Add(1)
	if _, err := conn.Write([]byte(head)); err != nil {
		return false
	}
	piece := make([]byte, pieceBytes)
	for n := range bodyPieces {
		if n > 0 {
			sleep(ctx, pieceGap-pieceJitter/2+rand.N(pieceJitter))
		}
		if _, err := conn.Write(piece); err != nil {
			break // an answer may have come
		}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.countLost(ctx, m, id, kept, err)
		return false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.countLost(ctx, m, id, kept, err)
		return false
	}
	c.answered.Add(1)
	return !response.Close
}

// countLost counts a request of a kept channel that a server has run and whose channel was ended
// without an answer. One whose client has waited for too long is not counted.
func (c *memoryRun) countLost(ctx context.Context, m *machine, id string, kept bool, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[id] && ctx.Err() == nil {
		c.record.add("request %s, kept channel %t, was run by a server, and its channel to %s ended without an answer", id, kept, m.name)
		if kept {
			c.lost[m.name]++
		}
	}
}

func (c *memoryRun) verdict() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf("requests of kept channels that were run and not answered %v; ends by memory %v, largest memory in bytes %v; %d requests sent, %d answered",
		c.lost, c.ends, c.peaks, c.sent.Load(), c.answered.Load())
	c.record.add("%s", text)
	for _, n := range c.lost {
		if n > lostAllowed {
			return "LOST: " + text
		}
	}
	return ""
}
