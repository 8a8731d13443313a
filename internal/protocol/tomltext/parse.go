// Package tomltext reads TOML texts whose keys are declared beforehand, and
// reports every fault of a text at once with file, line and key.
//
// The TOML library stops at the first value of a wrong type and keeps no
// positions of values. This package therefore walks the library's syntax tree
// and builds a Table that remembers the line of each key. A reader asks the
// Table for the keys it knows; what nobody asked for is an unknown key. Texts
// that the library refuses are refused, and so are dates, which no key takes.
//
// A syntax error ends the reading of a text, since what follows it can't be
// told apart from its consequences. All other faults are gathered.
//
// # Usage
//
//	listen := tomltext.Spec{Name: "listen", Kind: tomltext.String, Required: true}
//	doc, ok := tomltext.Parse("entry.toml", text, 64<<10)
//	if ok {
//		address := doc.Root().String(listen)
//		doc.RefuseUnknown()
//	}
//	err := doc.Err()
package tomltext

import (
	"errors"
	"fmt"
	"slices"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Bounds that keep the work on a hostile text in proportion to its length.
const (
	// maxNesting bounds how deep arrays and inline tables are followed.
	maxNesting = 16
	// maxKeyParts bounds the parts of a dotted key.
	maxKeyParts = 8
	// maxKeyBytes bounds one part of a key.
	maxKeyBytes = 128
	// maxFaults bounds the faults that are kept; further ones are counted.
	maxFaults = 1000
)

// Document is one text being read. It is not safe for concurrent use.
type Document struct {
	file   string
	lines  []int
	root   *Table
	faults Faults
	more   int
}

// Parse reads the syntax of text. It returns false where a fault of the syntax or
// the size makes further reading pointless; the fault is then in Err. After other
// faults, such as a key defined twice, reading goes on.
func Parse(file string, text []byte, maxBytes int) (*Document, bool) {
	d := &Document{file: file}
	d.root = newTable(d, "", 1)
	if len(text) > maxBytes {
		d.Fault(0, "", fmt.Sprintf("%d bytes, at most %d are read", len(text), maxBytes))
		return d, false
	}
	d.indexLines(text)
	return d, d.walk(text)
}

// Root returns the table of the whole text.
func (d *Document) Root() *Table { return d.root }

// File returns the name given to Parse.
func (d *Document) File() string { return d.file }

// Fault adds a fault. Beyond 1,000 faults they are only counted.
func (d *Document) Fault(line int, key, reason string) {
	if len(d.faults) >= maxFaults {
		d.more++
		return
	}
	d.faults = append(d.faults, NewFault(d.file, line, key, reason))
}

// Err returns Faults with all faults found so far, or nil.
func (d *Document) Err() error {
	if d.more == 0 {
		return d.faults.Err()
	}
	more := NewFault(d.file, 0, "", fmt.Sprintf("%d more faults are not listed", d.more))
	return append(slices.Clone(d.faults), more).Err()
}

// RefuseUnknown adds a fault for each key that no reader asked for.
func (d *Document) RefuseUnknown() { d.root.refuseUnknown() }

func (d *Document) indexLines(text []byte) {
	for i, c := range text {
		if c == '\n' {
			d.lines = append(d.lines, i)
		}
	}
}

func (d *Document) lineAt(offset uint32) int {
	return 1 + sort.SearchInts(d.lines, int(offset))
}

func (d *Document) walk(text []byte) bool {
	var p unstable.Parser
	p.Reset(text)
	current := d.root
	for p.NextExpression() {
		n := p.Expression()
		switch n.Kind {
		case unstable.Table:
			current = d.openTable(n)
		case unstable.ArrayTable:
			current = d.appendTable(n)
		case unstable.KeyValue:
			d.setKey(current, n, 0)
		}
	}
	if err := p.Error(); err != nil {
		d.Fault(d.lineOf(&p, err), "", "syntax: "+err.Error())
		return false
	}
	return true
}

func (d *Document) lineOf(p *unstable.Parser, err error) int {
	var parse *unstable.ParserError
	if !errors.As(err, &parse) || len(parse.Highlight) == 0 {
		return 0
	}
	return d.lineAt(p.Range(parse.Highlight).Offset)
}
