package configtext_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/pkg/configtext"
)

func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"", goodText, "a = [[1], {b = 2}]", "[service.a]\nservers = 0x1p4", "[[service]]\n[service.a]", "a.b.c = 1\n[a.b]", "\"\" = 1979-05-27",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := configtext.Parse("fuzz.toml", text)
		if err != nil {
			require.ErrorIs(t, err, configtext.ErrInvalid)
			require.Nil(t, cfg)
			return
		}
		same, err := configtext.FromSections(cfg.Sections())
		require.NoError(t, err)
		require.True(t, cfg.Equal(same))
	})
}
