package standin

import (
	"context"
	"sync"
)

// latch holds those who wait at it while it is closed. The zero value is open.
type latch struct {
	mu     sync.Mutex
	opened chan struct{} // nil while the latch is open
}

func (l *latch) set(closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if closed && l.opened == nil {
		l.opened = make(chan struct{})
	}
	if !closed && l.opened != nil {
		close(l.opened)
		l.opened = nil
	}
}

// wait returns once the latch is open, or with the context's error.
func (l *latch) wait(ctx context.Context) error {
	l.mu.Lock()
	opened := l.opened
	l.mu.Unlock()
	if opened == nil {
		return ctx.Err()
	}
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
