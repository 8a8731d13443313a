package spread

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Push carries a revision and its changed sections to another process.
type Push struct {
	Head     Head
	Sections []Section
	// Depth is the number of leading path components shared by all members that the
	// receiver must forward the revision to; see forwardPlan.
	Depth uint32
}

// Compare carries the revision in force at the sender to a neighbour.
type Compare struct {
	Revision uint64
	Digest   digest.Digest
	// ConfirmedAge is the time since the table confirmed the revision, directly or
	// relayed by any number of processes; Unconfirmed if it never did.
	ConfirmedAge time.Duration
	Suspicions   []membership.Suspicion
}

// CompareReply is the reply to a Compare.
type CompareReply struct {
	Revision     uint64
	Digest       digest.Digest
	ConfirmedAge time.Duration
	// Head is set only if the replying process has a newer revision.
	Head *Head
}

// Unconfirmed is the ConfirmedAge of a revision that the table never confirmed.
const Unconfirmed = time.Duration(1<<63 - 1)

// Actions lists what the caller must do after an input, in any order. The zero
// value requests nothing.
type Actions struct {
	// Applied is the snapshot that took effect, or nil.
	Applied *Snapshot
	// Poll requests a read of the head in the table. The caller reports the result
	// with PollCompleted.
	Poll     bool
	Pushes   []PushTo
	Compares []CompareTo
	Fetches  []Fetch
	// Divergence is set if a peer has a different digest at the same revision.
	Divergence *Divergence
}

// PushTo requests a push. The caller reports the result with PushCompleted.
type PushTo struct {
	To   member.Member
	Push Push
}

// CompareTo requests a comparison. The caller reports the result with
// CompareCompleted.
type CompareTo struct {
	To      member.Member
	Compare Compare
}

// Fetch requests sections. The caller reports the result with FetchCompleted.
type Fetch struct {
	// From is the peer to fetch from; nil is the table.
	From     *member.Member
	Revision uint64
	Digests  []digest.Digest
}

// Divergence reports a peer that has a different configuration at the same revision.
// The table's compare-and-set prevents this unless the table lost data.
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
