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

// Keys of the table rows and of the objects.
const (
	// HeadKey holds the latest revision; see ParseHead.
	HeadKey = "config/head"
	// ChangePrefix leads the rows of accepted changes, by change ID.
	ChangePrefix = "config/change/"
	// RevisionPrefix leads the rows of revisions, by number with 20 digits.
	RevisionPrefix = "config/revision/"
	// SectionPrefix leads the objects of sections and section lists, by digest.
	SectionPrefix = "sections/"
)

// ErrMalformed is returned for a row that this package didn't write.
var ErrMalformed = eris.New("malformed configuration row")

// idPattern is what change IDs must match, since they become part of a key.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Row is one table row. An absent row has version 0.
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

// Expectation is the version that a row must have, 0 for an absent row.
type Expectation struct {
	key     string
	version uint64
}

// Key returns the key of the row.
func (e Expectation) Key() string { return e.key }

// Version returns the expected version.
func (e Expectation) Version() uint64 { return e.version }

// Write is a row to be written.
type Write struct {
	key   string
	value []byte
}

// Key returns the key of the row.
func (w Write) Key() string { return w.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.value }

// Transaction writes all its rows if every expectation holds, and none
// otherwise.
type Transaction struct {
	expect []Expectation
	writes []Write
}

// Expectations returns the expectations.
func (t Transaction) Expectations() []Expectation { return t.expect }

// Writes returns the rows to write.
func (t Transaction) Writes() []Write { return t.writes }

// newTransaction builds the write of one revision.
func newTransaction(s state, head snapshot.Head, team string, changed []string) Transaction {
	r := record{
		Revision:     head.Revision,
		Digest:       head.Digest,
		ChangeID:     head.ChangeID,
		AcceptedUnix: head.AcceptedUnix,
		Team:         team,
		Changed:      changed,
	}
	return Transaction{
		expect: []Expectation{{HeadKey, s.version}, {ChangePrefix + head.ChangeID, 0}},
		writes: []Write{
			{HeadKey, encode(r)},
			{ChangePrefix + head.ChangeID, encode(r)},
			{revisionKey(head.Revision), encode(r)},
		},
	}
}

// newRefusal builds the write that keeps every attempt of c from succeeding.
func newRefusal(c Change, team string, unix int64, reason string) Transaction {
	r := record{Digest: c.Config.HeadDigest(), ChangeID: c.ID, AcceptedUnix: unix, Team: team, Refused: reason}
	key := ChangePrefix + c.ID
	return Transaction{
		expect: []Expectation{{key, 0}},
		writes: []Write{{key, encode(r)}},
	}
}

// record is the value of the head row, of a change row and of a revision row. A
// change row that records a refusal has no revision.
type record struct {
	Revision     uint64        `json:"revision"`
	Digest       digest.Digest `json:"digest"`
	ChangeID     string        `json:"changeId"`
	AcceptedUnix int64         `json:"acceptedUnix"`
	Team         string        `json:"team"`
	Changed      []string      `json:"changedSections,omitempty"`
	Refused      string        `json:"refused,omitempty"`
}

// head returns the head that r records, without its sections.
func (r record) head() snapshot.Head {
	return snapshot.Head{
		Revision:     r.Revision,
		Digest:       r.Digest,
		ChangeID:     r.ChangeID,
		AcceptedUnix: r.AcceptedUnix,
	}
}

// refsOf returns the sections of cfg by name and digest.
func refsOf(cfg *configtext.Config) []snapshot.SectionRef {
	var refs []snapshot.SectionRef
	for _, s := range cfg.Sections() {
		refs = append(refs, snapshot.SectionRef{Name: s.Name(), Digest: s.Digest()})
	}
	return refs
}

// ParseHead reads the value of the head row. The head has no sections; they are
// in the object whose name is SectionPrefix and the digest, see
// ParseSectionList.
func ParseHead(value []byte) (snapshot.Head, error) {
	r, err := decodeRecord(value)
	return r.head(), err
}

// ParseSectionList reads the object that lists the sections of a revision: the
// name and the digest of each, on a line of its own. It returns ErrMalformed
// where the list doesn't have the digest d of the revision.
func ParseSectionList(list []byte, d digest.Digest) ([]snapshot.SectionRef, error) {
	if digest.Of(list) != d {
		return nil, eris.Wrapf(ErrMalformed, "section list has another digest than %s", d.Short())
	}
	lines := strings.Split(strings.TrimSuffix(string(list), "\n"), "\n")
	if len(lines)%2 != 0 {
		return nil, eris.Wrapf(ErrMalformed, "section list of %d lines", len(lines))
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

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("accept: row does not encode: " + err.Error())
	}
	return data
}

// revisionKey pads the number, so that keys sort as revisions do.
func revisionKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", RevisionPrefix, revision)
}

func changedNames(base, cfg *configtext.Config) []string {
	var names []string
	for _, c := range configtext.Changes(base, cfg) {
		names = append(names, c.Section())
	}
	return names
}
