// Package digest defines the content address used for chunks, manifests and
// configuration sections.
//
// # Usage
//
//	d := digest.Of(data)
//	text := d.String()              // 64 hexadecimal digits
//	same, err := digest.Parse(text)
package digest

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// ErrMalformed is returned for a text that is not 64 hexadecimal digits or for
// a byte slice that is not Size bytes long.
var ErrMalformed = eris.New("malformed digest")

// Size is the length of a digest in bytes.
const Size = sha256.Size

// Digest is a SHA-256 sum. The zero value stands for "none".
type Digest [Size]byte

// Of returns the digest of data.
func Of(data []byte) Digest {
	return sha256.Sum256(data)
}

// Parse reads the form that String writes.
func Parse(text string) (Digest, error) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}, eris.Wrapf(ErrMalformed, "%.80q", text)
	}
	return FromBytes(data)
}

// FromBytes copies a digest out of data, which is Size bytes long. An empty
// slice gives the zero digest.
func FromBytes(data []byte) (Digest, error) {
	var d Digest
	if len(data) == 0 {
		return d, nil
	}
	if len(data) != Size {
		return d, eris.Wrapf(ErrMalformed, "%d bytes", len(data))
	}
	copy(d[:], data)
	return d, nil
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Short returns the first 12 hexadecimal digits, for logs.
func (d Digest) Short() string {
	return hex.EncodeToString(d[:6])
}

// IsZero reports whether d stands for "none".
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// Bytes returns a copy of the sum, or nil for the zero digest.
func (d Digest) Bytes() []byte {
	if d.IsZero() {
		return nil
	}
	return append([]byte(nil), d[:]...)
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	if d.IsZero() {
		return []byte{}, nil
	}
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = Digest{}
		return nil
	}
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}
