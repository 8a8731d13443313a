package spread

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Push hands on a revision with the sections that changed in it.
type Push struct {
	Head     Head
	Sections []Section
	// Depth is the number of path components that the sender and the receiver's
	// part of the tree share; see forwardPlan.
	Depth uint32
}

// Compare tells a neighbour what is in force.
type Compare struct {
	Revision uint64
	Digest   digest.Digest
	// ConfirmedAge is how long ago the table confirmed the revision, through
	// however many processes; Unconfirmed when it never did.
	ConfirmedAge time.Duration
	Suspicions   []membership.Suspicion
}

// CompareReply answers a Compare.
type CompareReply struct {
	Revision     uint64
	Digest       digest.Digest
	ConfirmedAge time.Duration
	// Head is set only when the answering process has a newer revision.
	Head *Head
}

// Unconfirmed is the ConfirmedAge of a revision that the table never confirmed.
const Unconfirmed = time.Duration(1<<63 - 1)

// Actions is what the caller must do after an input, in any order. The zero
// value asks for nothing.
type Actions struct {
	// Applied is the snapshot that came in force, nil if none did.
	Applied *Snapshot
	// Poll asks for a read of the head in the table, answered by PollAnswered.
	Poll     bool
	Pushes   []PushTo
	Compares []CompareTo
	Fetches  []Fetch
	// Divergence is set when a peer has another digest at the same revision.
	Divergence *Divergence
}

// PushTo asks for a push, answered by PushAnswered.
type PushTo struct {
	To   member.Member
	Push Push
}

// CompareTo asks for a comparison, answered by CompareAnswered.
type CompareTo struct {
	To      member.Member
	Compare Compare
}

// Fetch asks for sections, answered by FetchAnswered.
type Fetch struct {
	// From is the peer to ask; nil stands for the table.
	From     *member.Member
	Revision uint64
	Digests  []digest.Digest
}

// Divergence names a peer that has another configuration at the same revision,
// which the table's compare-and-set rules out unless the table lost data.
type Divergence struct {
	Peer     string
	Revision uint64
}

func (a *Actions) add(b Actions) {
	if b.Applied != nil {
		a.Applied = b.Applied
	}
	if b.Divergence != nil {
		a.Divergence = b.Divergence
	}
	a.Poll = a.Poll || b.Poll
	a.Pushes = append(a.Pushes, b.Pushes...)
	a.Compares = append(a.Compares, b.Compares...)
	a.Fetches = append(a.Fetches, b.Fetches...)
}
