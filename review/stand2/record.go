package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. It is safe for concurrent use.
type record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
	text *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: f, text: bufio.NewWriter(f)}, nil
}

// now returns the time since the begin of the case.
func (r *record) now() time.Duration { return time.Since(r.begun) }

// add adds a line with the time since the begin of the case, which it returns.
func (r *record) add(format string, args ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	fmt.Fprintf(r.text, "%8.3f s  "+format+"\n", append([]any{at.Seconds()}, args...)...)
	return at
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.text.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
