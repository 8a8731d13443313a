package configtext_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/pkg/configtext"
)

func example(t *testing.T, name string) *configtext.Config {
	t.Helper()
	file := filepath.Join("..", "..", "examples", name)
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	cfg, err := configtext.Parse(file, text)
	require.NoError(t, err)
	return cfg
}

func TestExamples(t *testing.T) {
	tests := []struct {
		file     string
		services []string
		servers  []int
	}{
		{"daugava.toml", []string{"ledger-desk", "shop-pages", "tally-writers"}, []int{1, 3, 11}},
		{"mehfil.toml", []string{"alpona-web", "bhoj-bookings", "shabda-llm"}, []int{1, 3, 11}},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			cfg := example(t, tt.file)
			var names []string
			var servers []int
			for _, s := range cfg.Services() {
				names = append(names, s.Name())
				servers = append(servers, s.Servers())
			}
			require.Equal(t, tt.services, names)
			require.Equal(t, tt.servers, servers)
			require.Len(t, cfg.Accounts(), 10)
			require.Len(t, cfg.Regions(), 3)
			for _, r := range cfg.Regions() {
				require.Len(t, r.FailureDomains(), 1)
				require.EqualValues(t, 20_000_000, r.LinkBitsPerSecond())
			}
			same, err := configtext.FromSections(cfg.Sections())
			require.NoError(t, err)
			require.True(t, cfg.Equal(same))
			require.Equal(t, string(cfg.Text()), string(same.Text()))
		})
	}
}
