package tomltext

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// origin tells how a table came to be, which decides what may extend it.
type origin byte

const (
	// byPath tables are named within the path of a header only.
	byPath origin = iota
	// byHeader tables have a header of their own.
	byHeader
	// byDottedKey tables are named within a dotted key.
	byDottedKey
	// byValue tables and arrays are values, which nothing extends.
	byValue
)

// array is the value of a key that holds an array.
type array struct {
	origin   origin
	elements []value
}

func (d *Document) openTable(n *unstable.Node) *Table {
	keys, line := d.keyOf(n)
	parent := d.descendHeader(keys[:len(keys)-1], line)
	last := keys[len(keys)-1]
	old, found := parent.entries[last]
	if !found {
		t := newTable(d, parent.join(last), line)
		t.origin = byHeader
		parent.put(last, line, t)
		return t
	}
	t, isTable := old.value.(*Table)
	if !isTable || t.origin != byPath {
		return d.definedTwice(parent, last, line)
	}
	t.origin = byHeader
	t.line = line
	old.line = line
	return t
}

func (d *Document) appendTable(n *unstable.Node) *Table {
	keys, line := d.keyOf(n)
	parent := d.descendHeader(keys[:len(keys)-1], line)
	last := keys[len(keys)-1]
	old, found := parent.entries[last]
	if !found {
		old = parent.put(last, line, &array{origin: byHeader})
	}
	list, isList := old.value.(*array)
	if !isList || list.origin != byHeader {
		return d.definedTwice(parent, last, line)
	}
	t := newTable(d, fmt.Sprintf("%s[%d]", parent.join(last), len(list.elements)), line)
	t.origin = byHeader
	list.elements = append(list.elements, value{line: line, data: t})
	return t
}

// definedTwice adds a fault and returns a table that takes the keys that follow.
func (d *Document) definedTwice(parent *Table, key string, line int) *Table {
	d.Fault(line, parent.join(key), fmt.Sprintf("defined already in line %d", parent.entries[key].line))
	return newTable(d, parent.join(key), line)
}

// descendHeader returns the table at keys below the root, and makes it where it
// is missing. Within an array of tables the last element is meant.
func (d *Document) descendHeader(keys []string, line int) *Table {
	t := d.root
	for _, key := range keys {
		old, found := t.entries[key]
		if !found {
			next := newTable(d, t.join(key), line)
			t.put(key, line, next)
			t = next
			continue
		}
		next := headerTable(old.value)
		if next == nil {
			d.Fault(line, t.join(key), fmt.Sprintf("is not a table in line %d", old.line))
			return newTable(d, t.join(key), line)
		}
		t = next
	}
	return t
}

// headerTable returns the table that a header may extend, or nil.
func headerTable(data any) *Table {
	switch v := data.(type) {
	case *Table:
		if v.origin != byValue {
			return v
		}
	case *array:
		if v.origin == byHeader {
			return v.elements[len(v.elements)-1].data.(*Table)
		}
	}
	return nil
}

// descendDotted returns the table at the leading parts of a dotted key below t,
// and makes it where it is missing. A dotted key extends only what dotted keys
// have made.
func (d *Document) descendDotted(t *Table, keys []string, line int) *Table {
	for _, key := range keys {
		old, found := t.entries[key]
		if !found {
			next := newTable(d, t.join(key), line)
			next.origin = byDottedKey
			t.put(key, line, next)
			t = next
			continue
		}
		next, isTable := old.value.(*Table)
		if !isTable || next.origin != byDottedKey {
			return d.definedTwice(t, key, line)
		}
		t = next
	}
	return t
}

func (d *Document) setKey(t *Table, n *unstable.Node, depth int) {
	keys, line := d.keyOf(n)
	t = d.descendDotted(t, keys[:len(keys)-1], line)
	last := keys[len(keys)-1]
	if _, found := t.entries[last]; found {
		d.definedTwice(t, last, line)
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
