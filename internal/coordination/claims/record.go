package claims

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"
)

type state string

const (
	statePending  state = "pending"
	stateAnswered state = "answered"
	stateUnknown  state = "unknown"
	stateNotRun   state = "notRun"
)

// record is the value of a claim row.
type record struct {
	State       state    `json:"state"`
	RequestID   string   `json:"requestId"`
	Send        uint32   `json:"send,omitempty"`
	Entry       string   `json:"entry"`
	Incarnation uint64   `json:"incarnation"`
	Created     int64    `json:"created"` // Unix milliseconds
	Fingerprint string   `json:"fingerprint"`
	Reason      Reason   `json:"reason,omitempty"`
	Status      int      `json:"status,omitempty"`
	Headers     []Header `json:"headers,omitempty"`
	Body        []byte   `json:"body,omitempty"`
	// Object is the key of a body in the object store.
	Object string `json:"object,omitempty"`
	// BodyLost marks a body that was too large for the row and was not kept.
	BodyLost bool `json:"bodyLost,omitempty"`
}

type row struct {
	record  record
	version uint64
}

func (c *Claims) read(ctx context.Context, key string) (row, error) {
	value, version, err := c.get(ctx, key)
	if err != nil {
		return row{}, err
	}
	r := row{version: version}
	if version == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, &r.record); err != nil {
		return row{}, eris.Wrapf(err, "claim row %q", key)
	}
	return r, nil
}

func (c *Claims) write(ctx context.Context, key string, version uint64, rec record) (uint64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		panic("claims: record does not encode: " + err.Error())
	}
	return c.compareAndSet(ctx, key, version, value)
}

func (c *Claims) pending(r Request) record {
	return record{
		State:       statePending,
		RequestID:   r.id,
		Send:        r.send,
		Entry:       c.entry,
		Incarnation: c.incarnation,
		Created:     c.now().UnixMilli(),
		Fingerprint: r.fingerprint.String(),
	}
}

// stored reads the answer that a row holds or points to.
func (c *Claims) stored(ctx context.Context, rec record) Decision {
	body := rec.Body
	if rec.Object != "" && c.getObject != nil {
		data, err := c.getObject(ctx, rec.Object)
		if err != nil {
			return Decision{kind: Pending, reason: ReasonStillPending, retryAfter: c.retryAfter}
		}
		body = data
	}
	if rec.BodyLost {
		return Decision{kind: Unknown, reason: ReasonResponseLost}
	}
	return Decision{kind: Stored, answer: NewResponse(rec.Status, rec.Headers, body)}
}

// outcome returns the row for an outcome, with a large body put into the object
// store.
func (c *Claims) outcome(ctx context.Context, r Request, o Outcome) record {
	rec := c.pending(r)
	rec.State = o.state
	rec.Reason = o.reason
	rec.Status = o.answer.status
	rec.Headers = o.answer.headers
	switch {
	case len(o.answer.body) <= c.maxInline:
		rec.Body = o.answer.body
	case c.putObject == nil:
		rec.BodyLost = true
	default:
		rec.Object = r.rowKey() + "/" + r.id
		rec.BodyLost = c.putObject(ctx, rec.Object, o.answer.body) != nil
	}
	return rec
}
