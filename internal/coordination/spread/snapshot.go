package spread

import (
	"crypto/sha256"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

var (
	// ErrDigestMismatch is returned for a head or section whose digest does not fit it.
	ErrDigestMismatch = eris.New("digest does not match")
	// ErrMissingSection is returned for a snapshot that lacks a section of its head.
	ErrMissingSection = eris.New("section is missing")
)

// SectionRef names one section of the operators' text by content.
type SectionRef struct {
	name   string
	digest digest.Digest
}

// NewSectionRef returns a reference to a section.
func NewSectionRef(name string, d digest.Digest) SectionRef { return SectionRef{name: name, digest: d} }

// Name returns the name of the section.
func (r SectionRef) Name() string { return r.name }

// Digest returns the content address of the section's text.
func (r SectionRef) Digest() digest.Digest { return r.digest }

// Head names one accepted configuration: its revision and its sections in order.
// It is immutable.
type Head struct {
	revision uint64
	digest   digest.Digest
	changeID string
	refs     []SectionRef
}

// NewHead returns the head of a revision. It keeps refs, which the caller must
// not change afterwards.
func NewHead(revision uint64, changeID string, refs []SectionRef) Head {
	return Head{revision: revision, digest: digestOf(refs), changeID: changeID, refs: refs}
}

// Revision returns the number of the accepted change, 0 for "none".
func (h Head) Revision() uint64 { return h.revision }

// Digest returns the digest over the section list.
func (h Head) Digest() digest.Digest { return h.digest }

// ChangeID returns the identifier that the operator gave the change.
func (h Head) ChangeID() string { return h.changeID }

// Refs returns the sections in order; the caller must not change the slice.
func (h Head) Refs() []SectionRef { return h.refs }

// VerifyDigest returns ErrDigest unless d is the digest over the section list. A
// receiver calls it with the digest that came with the head.
func (h Head) VerifyDigest(d digest.Digest) error {
	if h.digest != d {
		return eris.Wrapf(ErrDigestMismatch, "head %d has %s, want %s", h.revision, h.digest.Short(), d.Short())
	}
	return nil
}

// Section is the text of one section.
type Section struct {
	digest digest.Digest
	text   []byte
}

// NewSection returns a section. It keeps text, which the caller must not change
// afterwards.
func NewSection(text []byte) Section { return Section{digest: digest.Of(text), text: text} }

// Digest returns the content address of the text.
func (s Section) Digest() digest.Digest { return s.digest }

// Text returns the text; the caller must not change it.
func (s Section) Text() []byte { return s.text }

// Snapshot is one whole configuration. It is immutable.
type Snapshot struct {
	head     Head
	sections map[digest.Digest]Section
}

// NewSnapshot returns the configuration that head names, or ErrMissing when a
// section is not among those given. Sections that head does not name are left out.
func NewSnapshot(head Head, sections []Section) (*Snapshot, error) {
	given := make(map[digest.Digest]Section, len(sections))
	for _, s := range sections {
		given[s.digest] = s
	}
	kept := make(map[digest.Digest]Section, len(head.refs))
	for _, r := range head.refs {
		s, ok := given[r.digest]
		if !ok {
			return nil, eris.Wrapf(ErrMissingSection, "%s of revision %d", r.name, head.revision)
		}
		kept[r.digest] = s
	}
	return &Snapshot{head: head, sections: kept}, nil
}

// Head returns what the snapshot consists of.
func (s *Snapshot) Head() Head { return s.head }

// Section returns the section with the given digest.
func (s *Snapshot) Section(d digest.Digest) (Section, bool) {
	section, ok := s.sections[d]
	return section, ok
}

// revision returns 0 for no snapshot.
func (s *Snapshot) revision() uint64 {
	if s == nil {
		return 0
	}
	return s.head.revision
}

// changedSince returns the sections that base lacks, in the order of the head.
func (s *Snapshot) changedSince(base *Snapshot) []Section {
	var changed []Section
	for _, r := range s.head.refs {
		if base != nil {
			if _, ok := base.sections[r.digest]; ok {
				continue
			}
		}
		changed = append(changed, s.sections[r.digest])
	}
	return changed
}

// digestOf returns SHA-256 over the names and digests of the sections, each
// followed by a line feed, as the accepting process computes it.
func digestOf(refs []SectionRef) digest.Digest {
	h := sha256.New()
	for _, r := range refs {
		fmt.Fprintf(h, "%s\n%s\n", r.name, r.digest)
	}
	return digest.Digest(h.Sum(nil))
}
