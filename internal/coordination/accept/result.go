package accept

import (
	"fmt"
	"strconv"

	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Outcome is the outcome of a submitted change.
type Outcome int

// The outcomes of a change.
const (
	// Unknown means that the change may have been accepted or may still be
	// accepted. Submitting it again with the same ID resolves its outcome.
	Unknown Outcome = iota
	// Accepted means that the change is permanently a revision.
	Accepted
	// Refused means that the change is not allowed and never takes effect.
	Refused
	// Conflict means that another change with the same base was accepted, so this
	// one never takes effect.
	Conflict
)

// String returns the outcome as it is shown to operators.
func (o Outcome) String() string {
	switch o {
	case Unknown:
		return "unknown"
	case Accepted:
		return "accepted"
	case Refused:
		return "refused"
	case Conflict:
		return "conflict"
	}
	return fmt.Sprintf("outcome %d", int(o))
}

// Result is the outcome of a change with its details.
type Result struct {
	outcome       Outcome
	head          snapshot.Head
	faults        []configtext.Fault
	otherChangeID string
	reason        string
	repeated      bool
}

// Outcome returns the outcome of the change.
func (r Result) Outcome() Outcome { return r.outcome }

// Head returns the accepted head with its sections. After a conflict it holds
// only the latest revision.
func (r Result) Head() snapshot.Head { return r.head }

// Faults returns the faults for which the change was refused: the sections that the
// team may not change, or the faults that the check found.
func (r Result) Faults() []configtext.Fault { return r.faults }

// OtherChangeID returns, after a conflict, the ID of the change that was accepted
// as the revision after the base. If that can't be read, it is the ID of the latest
// accepted change.
func (r Result) OtherChangeID() string { return r.otherChangeID }

// Reason returns why the change is not confirmed as accepted.
func (r Result) Reason() string { return r.reason }

// Repeated reports whether the change was accepted by an earlier transaction, such
// as that of an earlier Submit, and this call only read the record of it.
func (r Result) Repeated() bool { return r.repeated }

func refused(reason string) Result {
	return Result{outcome: Refused, reason: reason}
}

func unknown(err error) *Result {
	return &Result{outcome: Unknown, reason: err.Error()}
}

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }
