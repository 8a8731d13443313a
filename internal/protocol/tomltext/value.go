package tomltext

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Numbers as TOML writes them; the syntax tree holds them as they stand.
var (
	integerPattern = regexp.MustCompile(`^([+-]?(0|[1-9](_?[0-9])*)|0x[0-9A-Fa-f](_?[0-9A-Fa-f])*|0o[0-7](_?[0-7])*|0b[01](_?[01])*)$`)
	floatPattern   = regexp.MustCompile(`^[+-]?(inf|nan|(0|[1-9](_?[0-9])*)(\.[0-9](_?[0-9])*)?([eE][+-]?[0-9](_?[0-9])*)?)$`)
)

// invalid stands for a value that has its fault already.
type invalid struct{}

// value is one element of an array.
type value struct {
	line int
	data any
}

func (d *Document) valueOf(n *unstable.Node, key string, line, depth int) any {
	if depth > maxNesting {
		d.Fault(line, key, fmt.Sprintf("nested more than %d deep", maxNesting))
		return invalid{}
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
		t.origin = byValue
		it := n.Children()
		for it.Next() {
			d.setKey(t, it.Node(), depth+1)
		}
		return t
	}
	d.Fault(line, key, "is a date or time, which no key takes")
	return invalid{}
}

func (d *Document) arrayOf(n *unstable.Node, key string, line, depth int) *array {
	list := &array{origin: byValue}
	it := n.Children()
	for it.Next() {
		elementLine := line
		if it.Node().Raw.Length > 0 {
			elementLine = d.lineAt(it.Node().Raw.Offset)
		}
		element := fmt.Sprintf("%s[%d]", key, len(list.elements))
		list.elements = append(list.elements, value{line: elementLine, data: d.valueOf(it.Node(), element, elementLine, depth+1)})
	}
	return list
}

func (d *Document) integerOf(text, key string, line int) any {
	if !integerPattern.MatchString(text) {
		d.Fault(line, key, fmt.Sprintf("%.40q is not an integer", text))
		return invalid{}
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 0, 64)
	if err != nil {
		d.Fault(line, key, fmt.Sprintf("%.40q is not a number of 64 bits", text))
		return invalid{}
	}
	return n
}

func (d *Document) floatOf(text, key string, line int) any {
	if !floatPattern.MatchString(text) {
		d.Fault(line, key, fmt.Sprintf("%.40q is not a number", text))
		return invalid{}
	}
	f, err := strconv.ParseFloat(strings.TrimPrefix(strings.ReplaceAll(text, "_", ""), "+"), 64)
	if err != nil {
		d.Fault(line, key, fmt.Sprintf("%.40q is not a number of 64 bits", text))
		return invalid{}
	}
	return f
}
