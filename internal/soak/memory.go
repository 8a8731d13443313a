package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// memoryInterval is between two looks at the memory of the processes.
const memoryInterval = 500 * time.Millisecond

// watchMemory looks at the memory of each process until ctx ends; the channel is closed
// then.
func (r *run) watchMemory(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			pause(ctx, memoryInterval)
			for _, m := range r.machines {
				m.checkMemory()
			}
		}
	}()
	return ended
}

// checkMemory finds a process that took more than its machine has, once for each.
func (m *machine) checkMemory() {
	m.mu.Lock()
	id, lifetime := m.command.Process.Pid, m.lifetime.Load()
	m.mu.Unlock()
	// The process may have ended meanwhile.
	peak, err := peakMemory(id)
	if err != nil || peak <= standin.MemoryMB<<20 || m.excess == lifetime {
		return
	}
	m.excess = lifetime
	m.run.ledger.violate("memory: %s took %d MB of %d", m.Name, peak>>20, standin.MemoryMB)
}

// peakMemory returns the most memory that a process has held, in bytes.
func peakMemory(id int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, eris.Wrap(err, "memory")
	}
	return parsePeak(text)
}

// parsePeak reads the line "VmHWM: N kB" of a status file.
func parsePeak(status []byte) (int64, error) {
	for line := range bytes.Lines(status) {
		name, rest, _ := bytes.Cut(line, []byte(":"))
		if string(name) != "VmHWM" {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSuffix(bytes.TrimSpace(rest), []byte(" kB"))), 10, 64)
		return n << 10, eris.Wrap(err, "memory")
	}
	return 0, eris.New("memory: no peak in the status of a process")
}
