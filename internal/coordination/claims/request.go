package claims

import (
	"encoding/hex"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// ErrMalformedKey is returned for a text that is not an idempotency key.
var ErrMalformedKey = eris.New("malformed idempotency key")

// RowPrefix begins the keys of all claim rows.
const RowPrefix = "claim/"

const keyRandomBytes = 16

var keyPattern = regexp.MustCompile(`^([0-9]{13})-([0-9A-Za-z_-]{1,64})$`)

// Key is an idempotency key that a caller chose. It carries its creation time.
type Key struct {
	text    string
	created time.Time
}

// NewKey returns a key made at now; random has 16 bytes from a secure source.
func NewKey(now time.Time, random [keyRandomBytes]byte) Key {
	millis := now.UnixMilli()
	text := strconv.FormatInt(millis, 10) + "-" + hex.EncodeToString(random[:])
	return Key{text: text, created: time.UnixMilli(millis)}
}

// ParseKey reads "<unixMillis>-<random>": 13 digits, then 1 to 64 letters,
// digits, underscores or hyphens.
func ParseKey(text string) (Key, error) {
	parts := keyPattern.FindStringSubmatch(text)
	if parts == nil {
		return Key{}, eris.Wrapf(ErrMalformedKey, "%.80q", text)
	}
	millis, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return Key{}, eris.Wrapf(ErrMalformedKey, "%.80q", text)
	}
	return Key{text: text, created: time.UnixMilli(millis)}, nil
}

// String returns the form that ParseKey reads.
func (k Key) String() string { return k.text }

// Created returns the creation time that the key carries.
func (k Key) Created() time.Time { return k.created }

// FingerprintOf returns the fingerprint by which a key that comes back with
// another request is told from a repeat.
func FingerprintOf(method, path string, body []byte) digest.Digest {
	text := make([]byte, 0, len(method)+len(path)+len(body)+2)
	text = append(text, method...)
	text = append(text, 0)
	text = append(text, path...)
	text = append(text, 0)
	return digest.Of(append(text, body...))
}

// Request is one send of a keyed request as it reached an entry.
type Request struct {
	id            string
	service       string
	account       string
	key           Key
	fingerprint   digest.Digest
	send          uint32
	notRunThrough uint32
	received      time.Time
	retention     time.Duration
}

// RequestOption sets an optional property of a request.
type RequestOption func(*Request)

// NewRequest returns a request. The id is unique to this send.
func NewRequest(id, service, account string, key Key, fingerprint digest.Digest, options ...RequestOption) Request {
	r := Request{id: id, service: service, account: account, key: key, fingerprint: fingerprint}
	for _, o := range options {
		o(&r)
	}
	return r
}

// WithSend sets the caller's number of this send of the key, from 1, and the
// number up to which it got "not run" for every send. A send number stands for
// one transmission; a caller that cannot be sure of that leaves it out.
func WithSend(send, notRunThrough uint32) RequestOption {
	return func(r *Request) {
		r.send = send
		r.notRunThrough = notRunThrough
	}
}

// WithReceived sets when the request reached the entry; its age bounds what an
// unnumbered request may still take over.
func WithReceived(t time.Time) RequestOption {
	return func(r *Request) { r.received = t }
}

// WithKeyRetention sets the retention of the service, in place of the one of
// Claims.
func WithKeyRetention(d time.Duration) RequestOption {
	return func(r *Request) { r.retention = d }
}

// ID returns the entry's name for this send.
func (r Request) ID() string { return r.id }

// NoEarlierRun reports that no earlier send of the key can have run.
func (r Request) NoEarlierRun() bool {
	return r.send > 0 && r.notRunThrough >= r.send-1
}

func (r Request) rowKey() string {
	return RowKey(r.service, r.account, r.key)
}

// RowKey returns the key of the table row of a claim.
func RowKey(service, account string, key Key) string {
	return AccountPrefix(service, account) + key.text
}

// AccountPrefix begins the row keys of one account's claims on a service. Rows
// below it sort by the creation time of their keys.
func AccountPrefix(service, account string) string {
	return RowPrefix + url.PathEscape(service) + "/" + url.PathEscape(account) + "/"
}

// keyOfRow returns the idempotency key at the end of a row key.
func keyOfRow(rowKey string) (Key, error) {
	return ParseKey(rowKey[strings.LastIndexByte(rowKey, '/')+1:])
}
