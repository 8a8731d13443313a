package tomltext

import (
	"fmt"
	"slices"
)

type entry struct {
	line  int
	value any
	asked bool
}

// Table is one TOML table. Its readers take a Spec each, add a fault where the
// value doesn't fit, and return the default of the Spec in that case.
type Table struct {
	doc     *Document
	path    string
	line    int
	origin  origin
	order   []string
	entries map[string]*entry
}

func newTable(d *Document, path string, line int) *Table {
	return &Table{doc: d, path: path, line: line, entries: map[string]*entry{}}
}

// Path returns the dotted path of the table, empty for the root.
func (t *Table) Path() string { return t.path }

// Line returns the line that opens the table.
func (t *Table) Line() int { return t.line }

// LineOf returns the line of a key, or that of the table where it is absent.
func (t *Table) LineOf(key string) int {
	if e, found := t.entries[key]; found {
		return e.line
	}
	return t.line
}

// Has reports whether the text sets key.
func (t *Table) Has(key string) bool {
	_, found := t.entries[key]
	return found
}

// Fault adds a fault at key of t.
func (t *Table) Fault(key, reason string) {
	t.doc.Fault(t.LineOf(key), t.join(key), reason)
}

// FaultAt adds a fault at element i of the list under key.
func (t *Table) FaultAt(key string, i int, reason string) {
	line := t.LineOf(key)
	if e, found := t.entries[key]; found {
		if list, isList := e.value.(*array); isList && i < len(list.elements) {
			line = list.elements[i].line
		}
	}
	t.doc.Fault(line, t.join(key), reason)
}

// Table returns the table under key, or nil where it is absent or no table.
func (t *Table) Table(key string) *Table {
	e := t.ask(key)
	if e == nil {
		return nil
	}
	sub, isTable := e.value.(*Table)
	if !isTable {
		t.Fault(key, "must be a table")
		return nil
	}
	return sub
}

// TableOrEmpty returns the table under key, or an empty one where it is absent
// or no table.
func (t *Table) TableOrEmpty(key string) *Table {
	if sub := t.Table(key); sub != nil {
		return sub
	}
	return newTable(t.doc, t.join(key), t.line)
}

// Tables returns the elements of the array of tables under key.
func (t *Table) Tables(key string) []*Table {
	e := t.ask(key)
	if e == nil {
		return nil
	}
	list, isList := e.value.(*array)
	if !isList {
		t.Fault(key, "must be an array of tables")
		return nil
	}
	tables := make([]*Table, 0, len(list.elements))
	for i, v := range list.elements {
		sub, isTable := v.data.(*Table)
		if !isTable {
			t.FaultAt(key, i, "must be an array of tables")
			continue
		}
		tables = append(tables, sub)
	}
	return tables
}

// Keys returns the keys of t in the order of the text.
func (t *Table) Keys() []string { return slices.Clone(t.order) }

// ask returns the entry under key, or nil where it is absent or has its fault
// already.
func (t *Table) ask(key string) *entry {
	e := t.entries[key]
	if e == nil {
		return nil
	}
	e.asked = true
	if _, bad := e.value.(invalid); bad {
		return nil
	}
	return e
}

func (t *Table) put(key string, line int, data any) *entry {
	e := &entry{line: line, value: data}
	t.entries[key] = e
	t.order = append(t.order, key)
	return e
}

func (t *Table) join(key string) string {
	if t.path == "" {
		return key
	}
	if key == "" {
		return t.path
	}
	return t.path + "." + key
}

func (t *Table) refuseUnknown() {
	for _, key := range t.order {
		e := t.entries[key]
		if !e.asked {
			t.Fault(key, "unknown key")
			continue
		}
		switch v := e.value.(type) {
		case *Table:
			v.refuseUnknown()
		case *array:
			refuseUnknownIn(v.elements)
		}
	}
}

func refuseUnknownIn(list []value) {
	for _, v := range list {
		if t, isTable := v.data.(*Table); isTable {
			t.refuseUnknown()
		}
	}
}

func kindOf(data any) string {
	switch data.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case *Table:
		return "a table"
	case *array:
		return "an array"
	}
	return fmt.Sprintf("%T", data)
}
