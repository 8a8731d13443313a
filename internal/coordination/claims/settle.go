package claims

import (
	"context"

	"github.com/rotisserie/eris"
)

// unsettled is a row that this entry still has to write: the outcome of a claim
// that it held, or the withdrawal of a claim that may be in the table although
// the request was given up.
type unsettled struct {
	request Request
	record  record
	// version is the row version that the claim was held at, 0 if unknown.
	version uint64
}

// Finish writes the outcome of a claim. If the table does not take it, the
// error is ErrUnsettled and Settle tries again; the answer may be given to the
// caller all the same.
func (c *Claims) Finish(ctx context.Context, claim Claim, o Outcome) error {
	u := unsettled{request: claim.request, record: c.outcome(ctx, claim.request, o), version: claim.version}
	err := c.settle(ctx, u)
	if err == nil || eris.Is(err, ErrNotHeld) {
		return err
	}
	c.postpone(u)
	return eris.Wrapf(ErrWriteDeferred, "%v", err)
}

// Flush writes what earlier calls could not and returns how many rows are
// still left. A row that another request holds by now is left alone.
func (c *Claims) Flush(ctx context.Context) int {
	for _, u := range c.takeBacklog() {
		err := c.settle(ctx, u)
		if err != nil && !eris.Is(err, ErrNotHeld) {
			c.postpone(u)
		}
	}
	return c.Backlog()
}

// Backlog returns the number of rows that wait for Settle.
func (c *Claims) Backlog() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.backlog)
}

// Dropped returns the number of rows that a full backlog lost. Their keys stay
// pending.
func (c *Claims) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// withdraw gives up a request whose claim may be or become visible in the
// table, and has Settle mark it as not run.
func (c *Claims) withdraw(r Request, reason Reason) Decision {
	rec := c.pending(r)
	rec.State = stateNotRun
	rec.Reason = reason
	c.postpone(unsettled{request: r, record: rec})
	return c.notDispatched(r, reason, c.retryAfter)
}

func (c *Claims) settle(ctx context.Context, u unsettled) error {
	version := u.version
	known := version != 0
	for range maxWrites {
		if !known {
			next, done, err := c.settleAt(ctx, u)
			if done || err != nil {
				return err
			}
			version = next
		}
		_, err := c.write(ctx, u.request.rowKey(), version, u.record)
		if err == nil || eris.Is(err, ErrUnavailable) {
			return err
		}
		known = false
	}
	return ErrUnknown
}

// settleAt reads the row and returns the version at which it may be written,
// or true if it already holds the outcome.
func (c *Claims) settleAt(ctx context.Context, u unsettled) (uint64, bool, error) {
	row, err := c.read(ctx, u.request.rowKey())
	switch {
	case err != nil:
		return 0, false, err
	case row.version == 0:
		return 0, false, nil
	case row.record.RequestID == u.request.id:
		return row.version, row.record.State != statePending, nil
	case u.record.State == stateNotRun && u.supersedes(row.record):
		return row.version, false, nil
	}
	return 0, false, ErrNotHeld
}

// supersedes reports whether a withdrawn claim may still overwrite the row: it
// was to be written into a row that proved that nothing ran.
func (u unsettled) supersedes(rec record) bool {
	if rec.State == stateNotRun {
		return rec.Send <= u.request.send
	}
	told := rec.Send > 0 && rec.Send <= u.request.notRunThrough
	return rec.State == statePending && told && rec.Send < u.request.send
}

func (c *Claims) postpone(u unsettled) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.backlog) >= maxBacklog {
		c.dropped++
		return
	}
	c.backlog = append(c.backlog, u)
}

func (c *Claims) takeBacklog() []unsettled {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.backlog
	c.backlog = nil
	return taken
}
