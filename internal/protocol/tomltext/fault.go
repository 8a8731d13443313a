package tomltext

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid is matched by every Faults value.
var ErrInvalid = eris.New("invalid text")

// Fault is one error in a text, with its position.
type Fault struct {
	file   string
	line   int
	key    string
	reason string
}

// NewFault returns a fault at a line of a file; line 0 stands for the file as
// a whole.
func NewFault(file string, line int, key, reason string) Fault {
	return Fault{file: file, line: line, key: key, reason: reason}
}

// File returns the name of the file as the reader of the text gave it.
func (f Fault) File() string { return f.file }

// Line returns the line, counted from 1, or 0 for the file as a whole.
func (f Fault) Line() int { return f.line }

// Key returns the dotted path of the key, empty where none is concerned.
func (f Fault) Key() string { return f.key }

// Reason returns what is wrong.
func (f Fault) Reason() string { return f.reason }

// String returns "FILE:LINE: key: reason".
func (f Fault) String() string {
	if f.key == "" {
		return fmt.Sprintf("%s:%d: %s", f.file, f.line, f.reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.key, f.reason)
}

// Faults holds every error found in one text, ordered by line.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (f Faults) Is(target error) bool { return target == ErrInvalid }

// Err returns f sorted as an error, or nil where f is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sorted := slices.Clone(f)
	slices.SortStableFunc(sorted, func(a, b Fault) int { return cmp.Compare(a.line, b.line) })
	return sorted
}
