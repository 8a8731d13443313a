package configtext

import (
	"strconv"
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// writer writes one section in canonical form: keys in a fixed order, one a
// line, those with their default left out.
type writer struct {
	name string
	out  strings.Builder
}

func newWriter(name string) *writer {
	w := &writer{name: name}
	w.out.WriteString("[" + name + "]\n")
	return w
}

// open starts an element of the array of tables at path.
func (w *writer) open(path string) {
	w.out.WriteString("[[" + path + "]]\n")
}

func (w *writer) section() Section {
	return NewSection(w.name, []byte(w.out.String()))
}

func (w *writer) set(s tomltext.Spec, literal string) {
	w.out.WriteString(s.Name + " = " + literal + "\n")
}

func (w *writer) text(s tomltext.Spec, value string) {
	if value != s.Default {
		w.set(s, quote(value))
	}
}

func (w *writer) texts(s tomltext.Spec, values []string) {
	if len(values) == 0 {
		return
	}
	quoted := make([]string, len(values))
	for i, v := range values {
		quoted[i] = quote(v)
	}
	w.set(s, "["+strings.Join(quoted, ", ")+"]")
}

func (w *writer) integer(s tomltext.Spec, value int64) {
	if literal := strconv.FormatInt(value, 10); literal != s.Default {
		w.set(s, literal)
	}
}

func (w *writer) float(s tomltext.Spec, value float64) {
	if literal := strconv.FormatFloat(value, 'f', -1, 64); literal != s.Default {
		w.set(s, literal)
	}
}

func (w *writer) boolean(s tomltext.Spec, value bool) {
	if literal := strconv.FormatBool(value); literal != s.Default {
		w.set(s, literal)
	}
}

func (w *writer) duration(s tomltext.Spec, value time.Duration) {
	if fallback, err := time.ParseDuration(s.Default); err != nil || fallback != value {
		w.set(s, quote(value.String()))
	}
}

func (w *writer) digest(s tomltext.Spec, value digest.Digest) {
	if !value.IsZero() {
		w.set(s, quote(value.String()))
	}
}

// quote returns a basic TOML string. Control characters, quotes and backslashes
// are escaped.
func quote(text string) string {
	var out strings.Builder
	out.WriteByte('"')
	for _, r := range text {
		switch {
		case r == '"' || r == '\\':
			out.WriteByte('\\')
			out.WriteRune(r)
		case r < 0x20 || r == 0x7f:
			const unicodeDigits = 4
			digits := strconv.FormatInt(int64(r), 16)
			out.WriteString("\\u" + strings.Repeat("0", unicodeDigits-len(digits)) + digits)
		default:
			out.WriteRune(r)
		}
	}
	out.WriteByte('"')
	return out.String()
}
