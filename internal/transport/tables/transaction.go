package tables

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

// Transaction collects conditions and writes that are applied together. The
// zero value and NewTransaction give an empty one. It is not safe for
// concurrent use.
type Transaction struct {
	wire WireTransaction
}

// NewTransaction returns an empty transaction.
func NewTransaction() *Transaction {
	return &Transaction{}
}

// Expect makes the transaction fail with ErrConflict unless the row has the
// version, 0 for an absent row.
func (t *Transaction) Expect(key string, v Version) *Transaction {
	t.wire.Expect = append(t.wire.Expect, WireCondition{Key: key, Version: v})
	return t
}

// Put writes the row.
func (t *Transaction) Put(key string, value []byte) *Transaction {
	t.wire.Writes = append(t.wire.Writes, WireWrite{Key: key, Value: value})
	return t
}

// Delete removes the row; an absent one stays absent.
func (t *Transaction) Delete(key string) *Transaction {
	t.wire.Writes = append(t.wire.Writes, WireWrite{Key: key, Delete: true})
	return t
}

func (t *Transaction) request(url string) (*http.Request, error) {
	data, err := json.Marshal(t.wire)
	if err != nil {
		return nil, eris.Wrapf(ErrRejected, "encode transaction: %v", err)
	}
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrapf(ErrRejected, "commit: %v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// WireTransaction is the JSON form of a transaction.
type WireTransaction struct {
	Expect []WireCondition `json:"expect,omitempty"`
	Writes []WireWrite     `json:"writes"`
}

// WireCondition is the JSON form of an expected version.
type WireCondition struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// WireWrite is the JSON form of a put or a delete.
type WireWrite struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// WireCommitted is the JSON form of a committed transaction's answer.
type WireCommitted struct {
	Version Version `json:"version"`
}

// WireRow is the JSON form of a row.
type WireRow struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
}

// WireRows is the JSON form of a list of rows.
type WireRows struct {
	Rows []WireRow `json:"rows"`
}

func (w WireRow) row() Row {
	return Row{key: w.Key, value: w.Value, version: w.Version}
}
