package accept

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Keys of the table rows and of the objects in the object store.
const (
	// HeadKey is the key of the row that holds the latest revision; see ParseHead.
	HeadKey = "config/head"
	// ChangePrefix is the key prefix of the change rows, followed by the change ID.
	// A change row records an accepted change or a refusal.
	ChangePrefix = "config/change/"
	// RevisionPrefix is the key prefix of the revision rows, followed by the
	// revision with 20 digits.
	RevisionPrefix = "config/revision/"
	// SectionPrefix is the key prefix of the objects that hold sections and section
	// lists, followed by the digest.
	SectionPrefix = "sections/"
)

// ErrMalformed is returned for a row or an object that can't be decoded or does not
// match its digest.
var ErrMalformed = eris.New("malformed configuration row")

// changeIDPattern is the pattern of valid change IDs. It is restricted because a
// change ID becomes part of a key.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Row is one row of the table. An absent row has version 0.
type Row struct {
	key     string
	value   []byte
	version uint64
}

// NewRow returns a row.
func NewRow(key string, value []byte, version uint64) Row {
	return Row{key: key, value: value, version: version}
}

// Key returns the key.
func (r Row) Key() string { return r.key }

// Value returns the value, nil for an absent row.
func (r Row) Value() []byte { return r.value }

// Version returns the version of the last write, 0 for an absent row.
func (r Row) Version() uint64 { return r.version }

// Expectation is the version that a row must have; 0 means that it must be absent.
type Expectation struct {
	key     string
	version uint64
}

// Key returns the key of the row.
func (e Expectation) Key() string { return e.key }

// Version returns the expected version.
func (e Expectation) Version() uint64 { return e.version }

// Write is a row to write.
type Write struct {
	key   string
	value []byte
}

// Key returns the key of the row.
func (w Write) Key() string { return w.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.value }

// Transaction writes all its rows if every expectation is met, and none
// otherwise.
type Transaction struct {
	expect []Expectation
	writes []Write
}

// Expectations returns the expectations.
func (t Transaction) Expectations() []Expectation { return t.expect }

// Writes returns the rows to write.
func (t Transaction) Writes() []Write { return t.writes }

// newTransaction returns the transaction that writes one revision.
func newTransaction(s tableState, head snapshot.Head, team string, changed []string) Transaction {
	r := record{
		Revision:     head.Revision,
		Digest:       head.Digest,
		ChangeID:     head.ChangeID,
		AcceptedUnix: head.AcceptedUnix,
		Team:         team,
		Changed:      changed,
	}
	return Transaction{
		expect: []Expectation{{HeadKey, s.headVersion}, {ChangePrefix + head.ChangeID, 0}},
		writes: []Write{
			{HeadKey, encodeRecord(r)},
			{ChangePrefix + head.ChangeID, encodeRecord(r)},
			{revisionKey(head.Revision), encodeRecord(r)},
		},
	}
}

// newRefusal returns the transaction that records the refusal of c. Since it writes
// the change row, no attempt to commit c can succeed afterwards.
func newRefusal(c Change, team string, unix int64, reason string) Transaction {
	r := record{Digest: c.Config.HeadDigest(), ChangeID: c.ID, AcceptedUnix: unix, Team: team, Refused: reason}
	key := ChangePrefix + c.ID
	return Transaction{
		expect: []Expectation{{key, 0}},
		writes: []Write{{key, encodeRecord(r)}},
	}
}

// record is the value of the head row, of a change row and of a revision row. In a
// change row that records a refusal the revision is 0.
type record struct {
	Revision     uint64        `json:"revision"`
	Digest       digest.Digest `json:"digest"`
	ChangeID     string        `json:"changeId"`
	AcceptedUnix int64         `json:"acceptedUnix"`
	Team         string        `json:"team"`
	Changed      []string      `json:"changedSections,omitempty"`
	Refused      string        `json:"refused,omitempty"`
}

// head returns the recorded head without its sections.
func (r record) head() snapshot.Head {
	return snapshot.Head{
		Revision:     r.Revision,
		Digest:       r.Digest,
		ChangeID:     r.ChangeID,
		AcceptedUnix: r.AcceptedUnix,
	}
}

// sectionRefs returns the names and digests of the sections of cfg.
func sectionRefs(cfg *configtext.Config) []snapshot.SectionRef {
	var refs []snapshot.SectionRef
	for _, s := range cfg.Sections() {
		refs = append(refs, snapshot.SectionRef{Name: s.Name(), Digest: s.Digest()})
	}
	return refs
}

// ParseHead decodes the value of the head row. The head has no sections; they are
// listed in the object whose key is SectionPrefix followed by the digest, see
// ParseSectionList. It returns ErrMalformed if the value does not decode.
func ParseHead(value []byte) (snapshot.Head, error) {
	r, err := decodeRecord(value)
	return r.head(), err
}

// ParseSectionList parses the object that lists the sections of a revision. For
// each section it has one line with the name and one with the digest. It returns
// ErrMalformed if the list does not match d, the digest of the revision, or can't
// be parsed.
func ParseSectionList(list []byte, d digest.Digest) ([]snapshot.SectionRef, error) {
	if digest.Of(list) != d {
		return nil, eris.Wrapf(ErrMalformed, "section list does not match digest %s", d.Short())
	}
	lines := strings.Split(strings.TrimSuffix(string(list), "\n"), "\n")
	if len(lines)%2 != 0 {
		return nil, eris.Wrapf(ErrMalformed, "section list has an odd number of lines: %d", len(lines))
	}
	var refs []snapshot.SectionRef
	for pair := range slices.Chunk(lines, 2) {
		section, err := digest.Parse(pair[1])
		if err != nil {
			return nil, eris.Wrapf(ErrMalformed, "section %.80q: %v", pair[0], err)
		}
		refs = append(refs, snapshot.SectionRef{Name: pair[0], Digest: section})
	}
	return refs, nil
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil || (r.Revision == 0) == (r.Refused == "") {
		return r, eris.Wrapf(ErrMalformed, "%.80q", value)
	}
	return r, nil
}

func encodeRecord(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("accept: encode row: " + err.Error())
	}
	return data
}

// revisionKey returns the key of a revision row. The revision is zero-padded, so
// that keys sort in the order of revisions.
func revisionKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", RevisionPrefix, revision)
}

func changedSectionNames(base, cfg *configtext.Config) []string {
	var names []string
	for _, c := range configtext.Changes(base, cfg) {
		names = append(names, c.Section())
	}
	return names
}
