package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Operands beyond the named ones are taken out, with or without flags between them.
func TestOperands(t *testing.T) {
	for _, test := range []struct {
		name      string
		named     int
		arguments []string
		kept      []string
		rest      []string
	}{
		{"none", 1, []string{"id"}, []string{"id"}, nil},
		{"files", 1, []string{"id", "a", "b"}, []string{"id"}, []string{"a", "b"}},
		{"standard input", 1, []string{"id", "-"}, []string{"id"}, []string{"-"}},
		{"a flag between", 1, []string{"id", "a", "--json", "b"}, []string{"id", "--json"}, []string{"a", "b"}},
		{"a flag with a value", 0, []string{"--svg", "out", "a"}, []string{"--svg", "out"}, []string{"a"}},
		{"a flag with its value missing", 0, []string{"a", "--svg"}, []string{"--svg"}, []string{"a"}},
	} {
		var rest []string
		o := &operands{named: test.named, rest: &rest, valued: []string{"--svg"}}
		require.Equal(t, test.kept, o.split(test.arguments), test.name)
		require.Equal(t, test.rest, rest, test.name)
	}
}

// The commands on logs, by status and output.
func TestLogsCommands(t *testing.T) {
	const played = "../logbook/testdata/requests.log"
	drawing := filepath.Join(t.TempDir(), "outcomes.svg")
	for _, test := range []struct {
		name      string
		arguments []string
		status    int
		out, err  string
	}{
		{"a request", []string{"explain", "14e327e3edf942d8", played, played}, statusOK, "it may have run: time is over", ""},
		{"as JSON", []string{"explain", "14e327e3edf942d8", "--json", played}, statusOK, `{"request":"14e327e3edf942d8","cause":"it may have run`, ""},
		{"nobody's request", []string{"explain", "x", played}, statusUsage, "", "no line names the request"},
		{"no file", []string{"explain", "x", "nowhere"}, statusUsage, "", "nowhere"},
		{"no request", []string{"explain"}, statusUsage, "", ""},
		{"all", []string{"logs", "--svg", drawing, played}, statusOK, "10 requests ended", ""},
		{"a folder without logs", []string{"logs", t.TempDir()}, statusUsage, "", "no line of a log found"},
		{"a drawing that can't be written", []string{"logs", "--svg", t.TempDir(), played}, statusFailed, "", "is a directory"},
	} {
		var out, failure bytes.Buffer
		require.Equal(t, test.status, Run(test.arguments, &out, &failure), test.name)
		require.Contains(t, out.String(), test.out, test.name)
		require.Contains(t, failure.String(), test.err, test.name)
	}
	svg, err := os.ReadFile(drawing)
	require.NoError(t, err)
	require.Contains(t, string(svg), "<svg")
}
