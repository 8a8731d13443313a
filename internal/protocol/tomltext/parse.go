// Package tomltext reads TOML texts whose keys are declared beforehand, and
// reports every fault of a text at once with file, line and key.
//
// The TOML library stops at the first value of a wrong type and keeps no
// positions of values. This package therefore walks the library's syntax tree
// and builds a Table that remembers the line of each key. A reader asks the
// Table for the keys it knows; what nobody asked for is an unknown key.
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
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
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

// Parse reads the syntax of text. It returns false where a fault of the
// syntax, the size or a key defined twice makes further reading pointless; the
// faults are then in Err.
func Parse(file string, text []byte, maxBytes int) (*Document, bool) {
	d := &Document{file: file}
	d.root = newTable(d, "", 1)
	if len(text) > maxBytes {
		d.Fault(0, "", fmt.Sprintf("%d bytes, at most %d are read", len(text), maxBytes))
		return d, false
	}
	d.indexLines(text)
	if !d.walk(text) || len(d.faults) > 0 {
		return d, false
	}
	return d, d.conforms(text)
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

// conforms lets the library read the whole text, which refuses what the walk
// lets pass, such as an inline table that is extended later.
func (d *Document) conforms(text []byte) bool {
	var whole map[string]any
	err := toml.Unmarshal(text, &whole)
	if err == nil {
		return true
	}
	line := 0
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	d.Fault(line, "", "syntax: "+strings.TrimPrefix(err.Error(), "toml: "))
	return false
}

func (d *Document) openTable(n *unstable.Node) *Table {
	keys, line := d.keyOf(n)
	parent := d.descend(d.root, keys[:len(keys)-1], line)
	last := keys[len(keys)-1]
	old, found := parent.entries[last]
	if !found {
		t := newTable(d, parent.join(last), line)
		t.explicit = true
		parent.put(last, line, t)
		return t
	}
	t, isTable := old.value.(*Table)
	if !isTable || t.explicit {
		d.Fault(line, parent.join(last), fmt.Sprintf("defined already in line %d", old.line))
		return newTable(d, parent.join(last), line)
	}
	t.explicit = true
	t.line = line
	return t
}

func (d *Document) appendTable(n *unstable.Node) *Table {
	keys, line := d.keyOf(n)
	parent := d.descend(d.root, keys[:len(keys)-1], line)
	last := keys[len(keys)-1]
	old, found := parent.entries[last]
	if !found {
		old = parent.put(last, line, []value(nil))
	}
	list, isList := old.value.([]value)
	if !isList {
		d.Fault(line, parent.join(last), fmt.Sprintf("defined already in line %d", old.line))
		return newTable(d, parent.join(last), line)
	}
	t := newTable(d, fmt.Sprintf("%s[%d]", parent.join(last), len(list)), line)
	t.explicit = true
	old.value = append(list, value{line: line, data: t})
	return t
}

// descend returns the table at keys below t, and makes it where it is missing.
// Within an array of tables the last element is meant.
func (d *Document) descend(t *Table, keys []string, line int) *Table {
	for _, key := range keys {
		old, found := t.entries[key]
		if !found {
			next := newTable(d, t.join(key), line)
			t.put(key, line, next)
			t = next
			continue
		}
		next := lastTable(old.value)
		if next == nil {
			d.Fault(line, t.join(key), fmt.Sprintf("is not a table in line %d", old.line))
			return newTable(d, t.join(key), line)
		}
		t = next
	}
	return t
}

func lastTable(data any) *Table {
	switch v := data.(type) {
	case *Table:
		return v
	case []value:
		if len(v) > 0 {
			return lastTable(v[len(v)-1].data)
		}
	}
	return nil
}

func (d *Document) setKey(t *Table, n *unstable.Node, depth int) {
	keys, line := d.keyOf(n)
	t = d.descend(t, keys[:len(keys)-1], line)
	last := keys[len(keys)-1]
	if old, found := t.entries[last]; found {
		d.Fault(line, t.join(last), fmt.Sprintf("defined already in line %d", old.line))
		return
	}
	t.put(last, line, d.valueOf(n.Value(), t.join(last), line, depth))
}

func (d *Document) keyOf(n *unstable.Node) ([]string, int) {
	var keys []string
	line := 0
	it := n.Key()
	for it.Next() {
		if line == 0 {
			line = d.lineAt(it.Node().Raw.Offset)
		}
		keys = append(keys, d.keyPart(it.Node().Data, line))
	}
	if len(keys) > maxKeyParts {
		d.Fault(line, strings.Join(keys[:maxKeyParts], "."), fmt.Sprintf("%d parts in a key, at most %d", len(keys), maxKeyParts))
		keys = keys[:maxKeyParts]
	}
	return keys, line
}

func (d *Document) keyPart(data []byte, line int) string {
	if len(data) <= maxKeyBytes {
		return string(data)
	}
	short := string(data[:maxKeyBytes])
	d.Fault(line, short, fmt.Sprintf("%d bytes in a key, at most %d", len(data), maxKeyBytes))
	return short
}

func (d *Document) valueOf(n *unstable.Node, key string, line, depth int) any {
	if depth > maxNesting {
		d.Fault(line, key, fmt.Sprintf("nested more than %d deep", maxNesting))
		return nil
	}
	switch n.Kind {
	case unstable.String:
		return string(n.Data)
	case unstable.Bool:
		return string(n.Data) == "true"
	case unstable.Integer:
		return d.integerOf(string(n.Data), key, line)
	case unstable.Float:
		return d.floatOf(string(n.Data), key, line)
	case unstable.Array:
		return d.arrayOf(n, key, line, depth)
	case unstable.InlineTable:
		t := newTable(d, key, line)
		t.explicit = true
		it := n.Children()
		for it.Next() {
			d.setKey(t, it.Node(), depth+1)
		}
		return t
	}
	return date{}
}

func (d *Document) arrayOf(n *unstable.Node, key string, line, depth int) []value {
	var list []value
	it := n.Children()
	for it.Next() {
		elementLine := line
		if it.Node().Raw.Length > 0 {
			elementLine = d.lineAt(it.Node().Raw.Offset)
		}
		element := fmt.Sprintf("%s[%d]", key, len(list))
		list = append(list, value{line: elementLine, data: d.valueOf(it.Node(), element, elementLine, depth+1)})
	}
	return list
}

func (d *Document) integerOf(text, key string, line int) any {
	clean := strings.TrimPrefix(strings.ReplaceAll(text, "_", ""), "+")
	n, err := strconv.ParseInt(clean, 0, 64)
	if err != nil {
		d.Fault(line, key, fmt.Sprintf("%.40q is not a number of 64 bits", text))
	}
	return n
}

func (d *Document) floatOf(text, key string, line int) any {
	f, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
	if err != nil {
		d.Fault(line, key, fmt.Sprintf("%.40q is not a number of 64 bits", text))
	}
	return f
}
