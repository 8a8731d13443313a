// Package snapshot holds the accepted configuration that a process acts on.
//
// A Snapshot is immutable and published through a Holder by one atomic pointer,
// so a request reads it without a lock and sees one revision from start to end.
//
// # Usage
//
//	var h snapshot.Holder
//	applied := h.Apply(s)   // false when s is not newer than the one in force
//	current := h.Load()     // nil until the first revision is in force
package snapshot

import (
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// ErrIncomplete is returned when the text of a section is missing or does not
// match its digest.
var ErrIncomplete = eris.New("configuration incomplete")

// SectionRef names one section of the operators' text by content.
type SectionRef struct {
	Name   string        `json:"name"`
	Digest digest.Digest `json:"digest"`
}

// Head names one accepted configuration. It is the value of the table row
// config/head, and of config/revision/<n> for each earlier one.
type Head struct {
	Revision     uint64        `json:"revision"`
	Digest       digest.Digest `json:"digest"`
	ChangeID     string        `json:"changeId"`
	AcceptedUnix int64         `json:"acceptedUnix"`
	Sections     []SectionRef  `json:"sections"`
}

// Snapshot is one accepted configuration with the text of all its sections.
type Snapshot struct {
	head     Head
	config   *configtext.Config
	sections map[digest.Digest]configtext.Section
}

// New builds a snapshot; text looks up the text of a section by digest.
func New(head Head, text func(digest.Digest) ([]byte, bool)) (*Snapshot, error) {
	s := &Snapshot{head: head, sections: make(map[digest.Digest]configtext.Section, len(head.Sections))}
	list := make([]configtext.Section, 0, len(head.Sections))
	for _, r := range head.Sections {
		data, ok := text(r.Digest)
		if !ok || digest.Of(data) != r.Digest {
			return nil, eris.Wrapf(ErrIncomplete, "revision %d: section %s", head.Revision, r.Name)
		}
		section := configtext.NewSection(r.Name, data)
		s.sections[r.Digest] = section
		list = append(list, section)
	}
	c, err := configtext.FromSections(list)
	if err != nil {
		return nil, eris.Wrapf(err, "revision %d", head.Revision)
	}
	s.config = c
	return s, nil
}

// Head returns the name of the configuration. The caller must not change it.
func (s *Snapshot) Head() Head { return s.head }

// Revision returns the revision, which grows with every accepted change.
func (s *Snapshot) Revision() uint64 { return s.head.Revision }

// Config returns the checked configuration.
func (s *Snapshot) Config() *configtext.Config { return s.config }

// Section returns the text of a section.
func (s *Snapshot) Section(d digest.Digest) ([]byte, bool) {
	section, ok := s.sections[d]
	if !ok {
		return nil, false
	}
	return section.Text(), true
}

// Holder publishes the snapshot in force. The zero value holds none.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the snapshot in force, or nil before the first.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Apply puts s in force and reports true, unless a revision as new is already
// in force: a configuration never reverts.
func (h *Holder) Apply(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Revision() >= s.Revision() {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			return true
		}
	}
}
