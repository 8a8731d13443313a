package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/logbook"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Whatever a request ends with, the story from the logs has a sentence of its own for it.
func TestEveryEndIsExplained(t *testing.T) {
	reasons := map[string][]string{
		outcomeAnswered: {""},
		outcomePassed:   {""},
		outcomeRejected: {"unknown key"},
		outcomeFailed:   {"time is over"},
		outcomeAborted:  {"time is over"},
		outcomeLeft:     {"caller is gone"},
		outcomeRefused: {
			string(placement.ReasonNoEndpoint), string(placement.ReasonHeld), string(placement.ReasonOverload), string(placement.ReasonExpired),
			"no configuration is known yet", "the route has no service", "configuration is not confirmed", "endpoints crashed under it", "time is over",
		},
	}
	for outcome, list := range reasons {
		for _, reason := range list {
			var lines bytes.Buffer
			logger := slog.New(slog.NewJSONHandler(&lines, nil))
			telemetry.FleetRequestEnded.Log(context.Background(), logger, "request", "r", "outcome", outcome, "reason", reason)
			story, err := logbook.Explain("r", []string{"-"}, &lines)
			require.NoError(t, err)
			require.NotContains(t, story.Cause(), "ended with the outcome", "%s: %s", outcome, reason)
			if outcome == outcomeRefused {
				require.NotEqual(t, "did not run: "+reason, story.Cause(), "%s has no sentence", reason)
			}
		}
	}
}
