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

// Package logbook has a specific explanation for every outcome and reason with which
// a request can end.
func TestEveryOutcomeIsExplained(t *testing.T) {
	reasons := map[string][]string{
		outcomeAnswered:        {""},
		outcomeEndpointFailure: {""},
		outcomeRejected:        {"unknown key"},
		outcomeUnknown:         {"time is over", reasonStopping},
		outcomeAborted:         {"time is over", reasonStopping},
		outcomeCallerGone:      {"caller disconnected"},
		outcomeNotRun: {
			string(placement.ReasonNoEndpoint), string(placement.ReasonHeld), string(placement.ReasonOverload), string(placement.ReasonExpired),
			"no configuration is known yet", "the route has no service", "configuration is not confirmed", "endpoints crashed under it", "time is over", reasonStopping,
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
			if outcome == outcomeNotRun {
				require.NotEqual(t, "did not run: "+reason, story.Cause(), "%s has no explanation", reason)
			}
		}
	}
}
