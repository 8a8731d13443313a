package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Table writes the report as Markdown tables, the counted and computed rows
// first, or as one JSON object.
func (r Report) Table(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	if _, err := fmt.Fprintf(w, "%s\n", r.markdown(func(k string) bool { return k != kindTimed })); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%s", r.markdown(func(k string) bool { return k == kindTimed }))
	return err
}

// markdown returns the table of the rows whose kind is chosen.
func (r Report) markdown(chosen func(kind string) bool) string {
	var b strings.Builder
	b.WriteString("| role | cost | slope | at the target | limit | fits | kind | mechanism |\n|---|---|---|---|---|---|---|---|\n")
	for _, row := range r.Rows {
		if chosen(row.Kind) {
			fmt.Fprintf(&b, "| %s | %s | %.4g a %s | %.4g %s | %s | %s | %s | %s |\n", row.Role, row.Cost, row.Per, row.Of,
				row.AtTarget, row.Unit, limitText(row), fitsText(row), row.Kind, row.Mechanism)
		}
	}
	return b.String()
}

func limitText(r Row) string {
	if r.Limit == 0 {
		return "–"
	}
	return fmt.Sprintf("%.4g", r.Limit)
}

func fitsText(r Row) string {
	switch {
	case r.Limit == 0:
		return "–"
	case r.Fits():
		return "yes"
	}
	return "**no**"
}
