package claims

import (
	"context"

	"github.com/rotisserie/eris"
)

// deferredWrite is a row that this entry still has to write: the outcome of a claim
// that it holds, or the withdrawal of a claim that may be in the table although the
// request was abandoned.
type deferredWrite struct {
	request Request
	record  record
	// version is the row version that the claim was held at, 0 if unknown.
	version uint64
}

// Finish writes the outcome of a claim. If the write fails, it returns
// ErrWriteDeferred and Flush retries the write; the response may be returned to the
// caller nevertheless. If another request holds the row, it returns ErrNotHeld.
func (c *Claims) Finish(ctx context.Context, claim Claim, o Outcome) error {
	w := deferredWrite{request: claim.request, record: c.outcomeRecord(ctx, claim.request, o), version: claim.version}
	err := c.writeOutcome(ctx, w)
	if err == nil || eris.Is(err, ErrNotHeld) {
		return err
	}
	c.enqueue(w)
	return eris.Wrapf(ErrWriteDeferred, "%v", err)
}

// Flush retries the deferred writes and returns the number of rows that remain. A row
// that another request holds by now is not written.
func (c *Claims) Flush(ctx context.Context) int {
	for _, w := range c.takeBacklog() {
		err := c.writeOutcome(ctx, w)
		if err != nil && !eris.Is(err, ErrNotHeld) {
			c.enqueue(w)
		}
	}
	return c.Backlog()
}

// Backlog returns the number of rows that wait for Flush.
func (c *Claims) Backlog() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.backlog)
}

// Dropped returns the number of deferred writes that were discarded because the backlog
// was full. The keys of those rows remain pending.
func (c *Claims) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// withdraw abandons a request whose claim is or may become visible in the table, and
// queues a write that marks the claim as not run.
func (c *Claims) withdraw(r Request, reason Reason) Decision {
	rec := c.pendingRecord(r)
	rec.State = stateNotRun
	rec.Reason = reason
	c.enqueue(deferredWrite{request: r, record: rec})
	return c.notDispatched(r, reason, c.retryAfter)
}

func (c *Claims) writeOutcome(ctx context.Context, w deferredWrite) error {
	version := w.version
	versionKnown := version != 0
	for range maxWriteAttempts {
		if !versionKnown {
			next, done, err := c.writableVersion(ctx, w)
			if done || err != nil {
				return err
			}
			version = next
		}
		_, err := c.write(ctx, w.request.rowKey(), version, w.record)
		if err == nil || eris.Is(err, ErrUnavailable) {
			return err
		}
		versionKnown = false
	}
	return ErrUnknown
}

// writableVersion reads the row and returns the version at which it may be written,
// or true if the row already holds the outcome.
func (c *Claims) writableVersion(ctx context.Context, w deferredWrite) (uint64, bool, error) {
	row, err := c.read(ctx, w.request.rowKey())
	switch {
	case err != nil:
		return 0, false, err
	case row.version == 0:
		return 0, false, nil
	case row.record.RequestID == w.request.id:
		return row.version, row.record.State != statePending, nil
	case w.record.State == stateNotRun && w.supersedes(row.record):
		return row.version, false, nil
	}
	return 0, false, ErrNotHeld
}

// supersedes reports whether the withdrawal of a claim may overwrite a row held by
// another request. It may if the claim could have taken over that row, because the row
// or the caller's statement proves that the earlier send did not run.
func (w deferredWrite) supersedes(rec record) bool {
	if rec.State == stateNotRun {
		return rec.Send <= w.request.send
	}
	reportedNotRun := rec.Send > 0 && rec.Send <= w.request.notRunThrough
	return rec.State == statePending && reportedNotRun && rec.Send < w.request.send
}

func (c *Claims) enqueue(w deferredWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.backlog) >= maxBacklog {
		c.dropped++
		return
	}
	c.backlog = append(c.backlog, w)
}

func (c *Claims) takeBacklog() []deferredWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.backlog
	c.backlog = nil
	return taken
}
