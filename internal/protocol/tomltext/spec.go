package tomltext

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Kind is the type of a key's value.
type Kind string

// The kinds of values.
const (
	String   Kind = "string"
	Integer  Kind = "integer"
	Float    Kind = "float"
	Boolean  Kind = "boolean"
	Duration Kind = "duration"
	Digest   Kind = "digest"
	Address  Kind = "address"
	URL      Kind = "URL"
	Strings  Kind = "list of strings"
	TableOf  Kind = "table"
	Tables   Kind = "list of tables"
)

// maxStringBytes bounds a string where its Spec sets no other bound.
const maxStringBytes = 1024

// Spec declares one key.
type Spec struct {
	// Name is the key within its table.
	Name string
	// Kind is the type of the value.
	Kind Kind
	// Unit is the unit of a number, empty for counts and other kinds.
	Unit string
	// Least and Most bound numbers in the unit, durations in seconds, and the
	// length of lists.
	Least, Most float64
	// Default is written as in the text; empty stands for none.
	Default string
	// Required keys have no default and must be set.
	Required bool
	// OneOf lists the values that a string may take.
	OneOf []string
	// Pattern is what a string or each element of a list must match.
	Pattern *regexp.Regexp
}

// Range describes the values that the Spec lets pass.
func (s Spec) Range() string {
	switch {
	case len(s.OneOf) > 0:
		return strings.Join(s.OneOf, ", ")
	case s.Kind == Integer || s.Kind == Float:
		return fmt.Sprintf("%s to %s", number(s.Least), number(s.Most))
	case s.Kind == Duration:
		return fmt.Sprintf("%s to %s", seconds(s.Least), seconds(s.Most))
	case s.Kind == Strings || s.Kind == Tables:
		return fmt.Sprintf("%s to %s elements", number(s.Least), number(s.Most))
	case s.Kind == Boolean:
		return "true, false"
	case s.Kind == Digest:
		return "64 hexadecimal digits"
	case s.Kind == Address:
		return "IP number and port"
	case s.Kind == URL:
		return "http or https, IP number and port"
	case s.Pattern != nil:
		return s.Pattern.String()
	case s.Kind == String:
		return fmt.Sprintf("up to %d bytes", maxStringBytes)
	}
	return ""
}

// String returns the string under s.
func (t *Table) String(s Spec) string {
	data, found := t.valueOf(s)
	if !found {
		return s.Default
	}
	text, isString := data.(string)
	if !isString {
		t.wrongKind(s, data)
		return s.Default
	}
	if reason := s.refusesString(text); reason != "" {
		t.Fault(s.Name, reason)
		return s.Default
	}
	return text
}

// Strings returns the list of strings under s.
func (t *Table) Strings(s Spec) []string {
	data, found := t.valueOf(s)
	if !found {
		return nil
	}
	list, isList := data.(*array)
	if !isList {
		t.wrongKind(s, data)
		return nil
	}
	if n := float64(len(list.elements)); n < s.Least || n > s.Most {
		t.Fault(s.Name, fmt.Sprintf("%d elements, must be %s", len(list.elements), s.Range()))
		return nil
	}
	var texts []string
	for i, v := range list.elements {
		text, isString := v.data.(string)
		switch {
		case v.data == invalid{}:
		case !isString:
			t.FaultAt(s.Name, i, fmt.Sprintf("element %d is %s, must be a string", i, kindOf(v.data)))
		case s.refusesString(text) != "":
			t.FaultAt(s.Name, i, s.refusesString(text))
		case slices.Contains(texts, text):
			t.FaultAt(s.Name, i, fmt.Sprintf("%.80q is listed twice", text))
		default:
			texts = append(texts, text)
		}
	}
	return texts
}

// Integer returns the integer under s.
func (t *Table) Integer(s Spec) int64 {
	fallback, _ := strconv.ParseInt(s.Default, 10, 64)
	data, found := t.valueOf(s)
	if !found {
		return fallback
	}
	n, isInteger := data.(int64)
	if !isInteger {
		t.wrongKind(s, data)
		return fallback
	}
	if float64(n) < s.Least || float64(n) > s.Most {
		t.Fault(s.Name, fmt.Sprintf("%d is out of range, must be %s", n, s.Range()))
		return fallback
	}
	return n
}

// Float returns the number under s; integers are taken as well.
func (t *Table) Float(s Spec) float64 {
	fallback, _ := strconv.ParseFloat(s.Default, 64)
	data, found := t.valueOf(s)
	if !found {
		return fallback
	}
	f, isFloat := data.(float64)
	if n, isInteger := data.(int64); isInteger {
		f, isFloat = float64(n), true
	}
	if !isFloat {
		t.wrongKind(s, data)
		return fallback
	}
	if math.IsNaN(f) || f < s.Least || f > s.Most {
		t.Fault(s.Name, fmt.Sprintf("%v is out of range, must be %s", f, s.Range()))
		return fallback
	}
	return f
}

// Boolean returns the boolean under s.
func (t *Table) Boolean(s Spec) bool {
	data, found := t.valueOf(s)
	if !found {
		return s.Default == "true"
	}
	b, isBoolean := data.(bool)
	if !isBoolean {
		t.wrongKind(s, data)
		return s.Default == "true"
	}
	return b
}

// Duration returns the duration under s, written as in "1.5ms" or "24h".
func (t *Table) Duration(s Spec) time.Duration {
	fallback, _ := time.ParseDuration(s.Default)
	data, found := t.valueOf(s)
	if !found {
		return fallback
	}
	text, isString := data.(string)
	if !isString {
		t.wrongKind(s, data)
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fault(s.Name, fmt.Sprintf("%.40q is not a duration such as \"1.5ms\" or \"24h\"", text))
		return fallback
	}
	if d.Seconds() < s.Least || d.Seconds() > s.Most {
		t.Fault(s.Name, fmt.Sprintf("%s is out of range, must be %s", text, s.Range()))
		return fallback
	}
	return d
}

// Digest returns the digest under s, or the zero digest where it is absent.
func (t *Table) Digest(s Spec) digest.Digest {
	data, found := t.valueOf(s)
	if !found {
		return digest.Digest{}
	}
	text, isString := data.(string)
	if !isString {
		t.wrongKind(s, data)
		return digest.Digest{}
	}
	d, err := digest.Parse(text)
	if err != nil || d.IsZero() {
		t.Fault(s.Name, fmt.Sprintf("%.80q is not a SHA-256 sum of 64 hexadecimal digits", text))
		return digest.Digest{}
	}
	return d
}

// Address returns the IP number and port under s, or the zero value where it is
// absent. Host names are refused.
func (t *Table) Address(s Spec) netip.AddrPort {
	data, found := t.valueOf(s)
	if !found {
		fallback, _ := netip.ParseAddrPort(s.Default)
		return fallback
	}
	text, isString := data.(string)
	if !isString {
		t.wrongKind(s, data)
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		t.Fault(s.Name, fmt.Sprintf("%.80q is not an IP number with a port", text))
		return netip.AddrPort{}
	}
	return address
}

// URL returns the URL under s without a slash at its end, or nil where it is
// absent. Its host is an IP number with a port.
func (t *Table) URL(s Spec) *url.URL {
	data, found := t.valueOf(s)
	if !found {
		return nil
	}
	text, isString := data.(string)
	if !isString {
		t.wrongKind(s, data)
		return nil
	}
	u, err := url.Parse(strings.TrimSuffix(text, "/"))
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		t.Fault(s.Name, fmt.Sprintf("%.80q is not a plain http or https URL", text))
		return nil
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		t.Fault(s.Name, fmt.Sprintf("%.80q must name its host by IP number and port", text))
		return nil
	}
	return u
}

func (t *Table) valueOf(s Spec) (any, bool) {
	e := t.ask(s.Name)
	if e != nil {
		return e.value, true
	}
	if s.Required && !t.Has(s.Name) {
		t.doc.Fault(t.line, t.join(s.Name), "is required")
	}
	return nil, false
}

func (t *Table) wrongKind(s Spec, data any) {
	t.Fault(s.Name, fmt.Sprintf("is %s, must be of the kind %s", kindOf(data), s.Kind))
}

func (s Spec) refusesString(text string) string {
	if len(text) > maxStringBytes {
		return fmt.Sprintf("%d bytes, at most %d", len(text), maxStringBytes)
	}
	if len(s.OneOf) > 0 && !slices.Contains(s.OneOf, text) {
		return fmt.Sprintf("%.80q is not one of %s", text, s.Range())
	}
	if s.Pattern != nil && !s.Pattern.MatchString(text) {
		return fmt.Sprintf("%.80q does not match %s", text, s.Pattern)
	}
	return ""
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func seconds(f float64) string {
	return time.Duration(f * float64(time.Second)).String()
}
