package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run. It is safe for concurrent use.
type recorder struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &recorder{begun: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// linef writes a line with the time since the start.
func (r *recorder) linef(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// notef writes a line to the record and to the standard output.
func (r *recorder) notef(format string, arguments ...any) {
	r.linef(format, arguments...)
	fmt.Printf("%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	r.file.Close()
}
