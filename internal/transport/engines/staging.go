package engines

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Order is an order to an engine to serve the weights of a manifest. Repeating it is
// harmless.
type Order struct {
	manifest *model.Manifest
	wire     WireOrder
}

// OrderOption sets an optional property of an order.
type OrderOption func(*WireOrder)

// NewOrder returns an order to serve the manifest.
func NewOrder(m *model.Manifest, options ...OrderOption) Order {
	o := Order{manifest: m, wire: WireOrder{Manifest: m.Encode()}}
	for _, f := range options {
		f(&o.wire)
	}
	return o
}

// WithRevision sets the configuration revision that names the weights.
func WithRevision(n uint64) OrderOption {
	return func(w *WireOrder) { w.Revision = n }
}

// WithFencing sets the fencing number of the lease under which the order is
// given.
func WithFencing(n uint64) OrderOption {
	return func(w *WireOrder) { w.Fencing = n }
}

// Manifest returns the manifest to serve.
func (o Order) Manifest() *model.Manifest { return o.manifest }

// Revision returns the configuration revision.
func (o Order) Revision() uint64 { return o.wire.Revision }

// Fencing returns the fencing number.
func (o Order) Fencing() uint64 { return o.wire.Fencing }

// WireOrder is the JSON form of an order.
type WireOrder struct {
	Manifest json.RawMessage `json:"manifest"`
	Revision uint64          `json:"revision"`
	Fencing  uint64          `json:"fencing"`
}

// WireChunks is the JSON form of the list of staged chunks.
type WireChunks struct {
	Chunks []digest.Digest `json:"chunks"`
}

// Load gives the order. The engine accepts it and loads; State shows when it
// is done. The error is ErrFenced, ErrMissingChunk or ErrUnavailable.
func (c *Client) Load(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	data, err := json.Marshal(o.wire)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "encode order: %v", err)
	}
	response, err := c.do(ctx, http.MethodPost, PathOrders, data)
	if err != nil {
		return err
	}
	defer discard(response.Body)
	return stagingFailure(response, "order")
}

// PutChunk stages a chunk. The engine does not verify it. The error is
// ErrStagingFull or ErrUnavailable.
func (c *Client) PutChunk(ctx context.Context, d digest.Digest, data []byte) error {
	return c.changeChunk(ctx, http.MethodPut, d, data)
}

// DropChunk removes a chunk from the staging area; an absent one stays absent.
// The error is ErrUnavailable.
func (c *Client) DropChunk(ctx context.Context, d digest.Digest) error {
	return c.changeChunk(ctx, http.MethodDelete, d, nil)
}

func (c *Client) changeChunk(ctx context.Context, method string, d digest.Digest, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.do(ctx, method, chunkPath(d), data)
	if err != nil {
		return err
	}
	defer discard(response.Body)
	return stagingFailure(response, "chunk "+d.Short())
}

// OpenChunk returns a stream over a staged chunk from offset on, in bytes. The
// caller closes it. The error is ErrMissingChunk or ErrUnavailable.
func (c *Client) OpenChunk(ctx context.Context, d digest.Digest, offset int64) (io.ReadCloser, error) {
	path := chunkPath(d)
	if offset > 0 {
		path += "?offset=" + strconv.FormatInt(offset, 10)
	}
	response, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if err := stagingFailure(response, "chunk "+d.Short()); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response.Body, nil
}

// Chunks lists the staged chunks. The error is ErrUnavailable.
func (c *Client) Chunks(ctx context.Context) ([]digest.Digest, error) {
	var w WireChunks
	if err := c.getJSON(ctx, PathChunks, &w); err != nil {
		return nil, err
	}
	return w.Chunks, nil
}

// stagingFailure returns the error that the status stands for, nil for success.
func stagingFailure(response *http.Response, what string) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return eris.Wrap(ErrFenced, what)
	case http.StatusNotFound, http.StatusFailedDependency:
		return eris.Wrap(ErrMissingChunk, what)
	case http.StatusInsufficientStorage:
		return eris.Wrap(ErrStagingFull, what)
	}
	return eris.Wrapf(ErrUnavailable, "%s: status %d", what, response.StatusCode)
}

func chunkPath(d digest.Digest) string {
	return PathChunks + "/" + d.String()
}

func reader(data []byte) io.Reader {
	if len(data) == 0 {
		return nil
	}
	return bytes.NewReader(data)
}
