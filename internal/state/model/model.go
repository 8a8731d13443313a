// Package model describes one version of a model's weights: the manifest with
// the digest of every chunk and of the whole.
//
// A manifest is content-addressed: its ID is the digest of its encoding, so two
// versions that share chunks name them by the same digests, and an ID fixes
// every byte of the weights.
//
// # Usage
//
//	m, err := model.Split("faq", "2", reader, model.ChunkSizeFor(size), store)
//	id := m.ID()
//	same, err := model.Parse(m.Encode())
package model

import (
	"crypto/sha256"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// ErrManifest is returned for a manifest that contradicts itself.
var ErrManifest = eris.New("invalid manifest")

// Bounds of the chunk size, in bytes.
const (
	MinChunkSize = 64 << 10
	MaxChunkSize = 16 << 20
)

// targetChunks is the number of chunks that ChunkSizeFor aims at.
const targetChunks = 512

// MaxChunks bounds the chunks of one manifest.
const MaxChunks = 1 << 20

// Chunk is one piece of the weights.
type Chunk struct {
	digest digest.Digest
	size   int64
}

// NewChunk returns a chunk of size bytes with the given content address.
func NewChunk(d digest.Digest, size int64) Chunk {
	return Chunk{digest: d, size: size}
}

// Digest returns the content address of the chunk.
func (c Chunk) Digest() digest.Digest { return c.digest }

// Size returns the length of the chunk in bytes.
func (c Chunk) Size() int64 { return c.size }

// Manifest lists the chunks of one model version in order. It is immutable.
type Manifest struct {
	name    string
	version string
	chunks  []Chunk
	whole   digest.Digest
	size    int64
	encoded []byte
	id      digest.Digest
}

// New builds a manifest from its chunks and the digest of the whole.
func New(name, version string, chunks []Chunk, whole digest.Digest) (*Manifest, error) {
	m := &Manifest{
		name:    name,
		version: version,
		chunks:  append([]Chunk(nil), chunks...),
		whole:   whole,
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	m.seal()
	return m, nil
}

// Split reads the weights, hands each chunk to store in order and returns the
// manifest. The data passed to store is reused after store returns.
func Split(name, version string, r io.Reader, chunkSize int64, store func(Chunk, []byte) error) (*Manifest, error) {
	var chunks []Chunk
	whole := sha256.New()
	buf := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(r, buf)
		if err == io.EOF {
			break
		}
		if err != nil && err != io.ErrUnexpectedEOF {
			return nil, eris.Wrap(err, "read weights")
		}
		c := NewChunk(digest.Of(buf[:n]), int64(n))
		whole.Write(buf[:n])
		if err := store(c, buf[:n]); err != nil {
			return nil, err
		}
		chunks = append(chunks, c)
	}
	return New(name, version, chunks, digest.Digest(whole.Sum(nil)))
}

// ChunkSizeFor returns the chunk size for weights of size bytes: a power of two
// between MinChunkSize and MaxChunkSize that gives a few hundred chunks.
func ChunkSizeFor(size int64) int64 {
	chunk := int64(MinChunkSize)
	for chunk < MaxChunkSize && size/chunk > targetChunks {
		chunk *= 2
	}
	return chunk
}

// Parse reads the form that Encode writes.
func Parse(data []byte) (*Manifest, error) {
	var w wireManifest
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, eris.Wrapf(ErrManifest, "%v", err)
	}
	chunks := make([]Chunk, len(w.Chunks))
	for i, c := range w.Chunks {
		chunks[i] = NewChunk(c.Digest, c.Size)
	}
	return New(w.Name, w.Version, chunks, w.Whole)
}

// Name returns the name of the model.
func (m *Manifest) Name() string { return m.name }

// Version returns the version of the model.
func (m *Manifest) Version() string { return m.version }

// Chunks returns the number of chunks.
func (m *Manifest) Chunks() int { return len(m.chunks) }

// Chunk returns chunk i.
func (m *Manifest) Chunk(i int) Chunk { return m.chunks[i] }

// Whole returns the SHA-256 sum of all chunks in order.
func (m *Manifest) Whole() digest.Digest { return m.whole }

// Size returns the length of the weights in bytes.
func (m *Manifest) Size() int64 { return m.size }

// ID returns the digest of the encoded manifest.
func (m *Manifest) ID() digest.Digest { return m.id }

// Encode returns the canonical encoding. The caller must not change it.
func (m *Manifest) Encode() []byte { return m.encoded }

type wireManifest struct {
	Name    string        `json:"name"`
	Version string        `json:"version"`
	Whole   digest.Digest `json:"whole"`
	Chunks  []wireChunk   `json:"chunks"`
}

type wireChunk struct {
	Digest digest.Digest `json:"digest"`
	Size   int64         `json:"size"`
}

func (m *Manifest) check() error {
	if m.name == "" || m.version == "" {
		return eris.Wrap(ErrManifest, "name and version are required")
	}
	if len(m.chunks) == 0 || len(m.chunks) > MaxChunks {
		return eris.Wrapf(ErrManifest, "%d chunks, want 1 to %d", len(m.chunks), MaxChunks)
	}
	for i, c := range m.chunks {
		if c.size <= 0 || c.size > MaxChunkSize || c.digest.IsZero() {
			return eris.Wrapf(ErrManifest, "chunk %d has %d bytes, digest %s", i, c.size, c.digest.Short())
		}
		m.size += c.size
	}
	if m.whole.IsZero() {
		return eris.Wrap(ErrManifest, "no digest of the whole")
	}
	return nil
}

func (m *Manifest) seal() {
	w := wireManifest{Name: m.name, Version: m.version, Whole: m.whole}
	w.Chunks = make([]wireChunk, len(m.chunks))
	for i, c := range m.chunks {
		w.Chunks[i] = wireChunk{Digest: c.digest, Size: c.size}
	}
	data, err := json.Marshal(w)
	if err != nil {
		panic("model: manifest does not encode: " + err.Error())
	}
	m.encoded = data
	m.id = digest.Of(data)
}
