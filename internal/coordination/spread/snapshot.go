package spread

import (
	"crypto/sha256"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

var (
	// ErrDigestMismatch is returned for a head whose section list does not match its
	// digest.
	ErrDigestMismatch = eris.New("digest does not match")
	// ErrMissingSection is returned for a snapshot that lacks a section of its head.
	ErrMissingSection = eris.New("section is missing")
)

// SectionRef identifies one section of the operators' configuration text by its name
// and the digest of its content.
type SectionRef struct {
	name   string
	digest digest.Digest
}

// NewSectionRef returns a reference to a section.
func NewSectionRef(name string, d digest.Digest) SectionRef { return SectionRef{name: name, digest: d} }

// Name returns the name of the section.
func (r SectionRef) Name() string { return r.name }

// Digest returns the digest of the section's text.
func (r SectionRef) Digest() digest.Digest { return r.digest }

// Head identifies one accepted configuration: its revision and the ordered list of
// its sections. It is immutable.
type Head struct {
	revision uint64
	digest   digest.Digest
	changeID string
	refs     []SectionRef
}

// NewHead returns the head of a revision. It retains refs, which the caller must
// not modify afterwards.
func NewHead(revision uint64, changeID string, refs []SectionRef) Head {
	return Head{revision: revision, digest: sectionListDigest(refs), changeID: changeID, refs: refs}
}

// Revision returns the number of the accepted change; 0 means none.
func (h Head) Revision() uint64 { return h.revision }

// Digest returns the digest of the section list.
func (h Head) Digest() digest.Digest { return h.digest }

// ChangeID returns the identifier that the operator assigned to the change.
func (h Head) ChangeID() string { return h.changeID }

// Refs returns the sections in order. The caller must not modify the slice.
func (h Head) Refs() []SectionRef { return h.refs }

// VerifyDigest returns ErrDigestMismatch unless d is the digest of the section list. A
// receiver calls it with the digest that was sent with the head.
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

// NewSection returns a section. It retains text, which the caller must not modify
// afterwards.
func NewSection(text []byte) Section { return Section{digest: digest.Of(text), text: text} }

// Digest returns the digest of the text.
func (s Section) Digest() digest.Digest { return s.digest }

// Text returns the text. The caller must not modify it.
func (s Section) Text() []byte { return s.text }

// Snapshot is one complete configuration. It is immutable.
type Snapshot struct {
	head     Head
	sections map[digest.Digest]Section
}

// NewSnapshot returns the configuration that head identifies, or ErrMissingSection if
// sections lacks one of its sections. Sections that head does not list are ignored.
func NewSnapshot(head Head, sections []Section) (*Snapshot, error) {
	byDigest := make(map[digest.Digest]Section, len(sections))
	for _, s := range sections {
		byDigest[s.digest] = s
	}
	referenced := make(map[digest.Digest]Section, len(head.refs))
	for _, r := range head.refs {
		s, ok := byDigest[r.digest]
		if !ok {
			return nil, eris.Wrapf(ErrMissingSection, "%s of revision %d", r.name, head.revision)
		}
		referenced[r.digest] = s
	}
	return &Snapshot{head: head, sections: referenced}, nil
}

// Head returns the revision and the section list of the snapshot.
func (s *Snapshot) Head() Head { return s.head }

// Section returns the section with the given digest.
func (s *Snapshot) Section(d digest.Digest) (Section, bool) {
	section, ok := s.sections[d]
	return section, ok
}

// revision returns the revision of the snapshot, or 0 for a nil snapshot.
func (s *Snapshot) revision() uint64 {
	if s == nil {
		return 0
	}
	return s.head.revision
}

// changedSince returns the sections that base lacks, in the order of the head. A nil
// base has no sections.
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

// sectionListDigest returns the SHA-256 of the names and digests of the sections,
// each followed by a line feed. The accepting process computes the same digest.
func sectionListDigest(refs []SectionRef) digest.Digest {
	h := sha256.New()
	for _, r := range refs {
		fmt.Fprintf(h, "%s\n%s\n", r.name, r.digest)
	}
	return digest.Digest(h.Sum(nil))
}
