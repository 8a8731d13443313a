package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// The newest configuration may take keys away. While it can't be read, they were accepted.
func TestKeysWhileConfigurationIsUnreadable(t *testing.T) {
	for _, test := range []struct {
		bound  time.Duration
		status int
	}{
		{5 * time.Second, http.StatusServiceUnavailable},
		{0, http.StatusOK},
	} {
		f := startRawFleet(t, 1, manyAnswers(), WithConfirmation(boottime.Now, test.bound))
		f.gateway.ApplyConfiguration(rawConfiguration(2, fleet.WithAccount(fleet.NewAccount("shop"), "key-1")), nil)
		require.NotNil(t, f.gateway.summary(boottime.Now()).ConfirmedAgeUs)
		f.gateway.SetUnreadable(true)
		require.Equal(t, test.status, f.status("key-1"))
		require.Nil(t, f.gateway.summary(boottime.Now()).ConfirmedAgeUs, "another entry takes it for a confirmation")
		f.gateway.SetUnreadable(false)
		f.gateway.ApplyConfiguration(rawConfiguration(3, fleet.WithAccount(fleet.NewAccount("shop"), "key-1")), nil)
		require.Equal(t, http.StatusOK, f.status("key-1"))
	}
}
