package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

func TestExamples(t *testing.T) {
	tests := []struct {
		file string
		role member.Role
	}{
		{"../../examples/settings/entry.toml", member.RoleEntry},
		{"../../examples/settings/agent.toml", member.RoleAgent},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			s, err := settings.Load(tt.file)
			require.NoError(t, err)
			require.Equal(t, tt.role, s.Role())
			require.Equal(t, s.Listen(), s.Advertise())
			require.EqualValues(t, 3000, s.Budgets().ControlBytesPerSecond())
			require.NotEmpty(t, s.Platform().TablesURL())
		})
	}
}
