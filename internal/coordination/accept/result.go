package accept

import (
	"fmt"
	"strconv"

	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Outcome is what became of a change.
type Outcome int

// The outcomes.
const (
	// Unknown means that the change may be accepted now or later. Submitting it
	// again with the same ID settles it.
	Unknown Outcome = iota
	// Accepted means that the change is a revision for good.
	Accepted
	// Refused means that the change is not allowed and never takes effect.
	Refused
	// Conflict means that another change was made from the same base, so this
	// one never takes effect.
	Conflict
)

// String returns the outcome as operators read it.
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

// Result is the outcome of a change with what belongs to it.
type Result struct {
	outcome  Outcome
	head     snapshot.Head
	faults   []configtext.Fault
	other    string
	reason   string
	repeated bool
}

// Outcome returns what became of the change.
func (r Result) Outcome() Outcome { return r.outcome }

// Head returns the accepted head with its sections. After a conflict it holds
// only the latest revision.
func (r Result) Head() snapshot.Head { return r.head }

// Faults returns the sections that the team may not change.
func (r Result) Faults() []configtext.Fault { return r.faults }

// OtherChangeID returns, after a conflict, the change that was accepted as the
// revision after the base.
func (r Result) OtherChangeID() string { return r.other }

// Reason returns why the change is not known to be accepted.
func (r Result) Reason() string { return r.reason }

// Repeated reports whether an earlier Submit was the one that was accepted.
func (r Result) Repeated() bool { return r.repeated }

func refused(reason string) Result {
	return Result{outcome: Refused, reason: reason}
}

func unknown(err error) *Result {
	return &Result{outcome: Unknown, reason: err.Error()}
}

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }
