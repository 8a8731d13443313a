package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// TestDocs compares the tables of docs/CONFIG.md with the keys of the configuration
// and of the settings.
func TestDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIG.md")
	require.NoError(t, err)
	var documented [][]string
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, " | ")
		const columns = 6
		if len(cells) != columns || !strings.HasPrefix(line, "| `") {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(cells[i], "|` \n")
		}
		require.NotEmpty(t, cells[columns-1], "%s has no meaning", cells[0])
		documented = append(documented, cells[:columns-1])
	}
	var keys [][]string
	for _, k := range append(configtext.Keys(), settings.Keys()...) {
		keys = append(keys, []string{k.Path(), k.Kind(), k.Unit(), k.Range(), k.Default()})
	}
	require.Equal(t, keys, documented)
}
