package logbook

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The summary shows how a caller left, and the requests that ended without any cause.
func TestEndsAreTold(t *testing.T) {
	for _, test := range []struct {
		cause string
		told  string
		count string
	}{
		{"callerClosed", "the caller closed its connection, or its sending side, after 0s", "callerLeft: callerClosed"},
		{"writeFailed", "the answer could not be written", "callerLeft: writeFailed"},
		{"writeTimeout", "the caller did not read the answer", "callerLeft: writeTimeout"},
		{"", "the caller went away", "callerLeft: context canceled"},
	} {
		logs := `{"time":"2026-12-05T10:00:00Z","msg":"fleetRequestEnded","process":"e","request":"r","outcome":"callerLeft","reason":"context canceled","cause":"` + test.cause + `"}
{"time":"2026-12-05T10:00:01Z","msg":"requestsCounted","process":"e","read":3,"answered":1,"missing":1}
`
		story, err := Explain("r", []string{"-"}, strings.NewReader(logs))
		require.NoError(t, err)
		require.Contains(t, story.Cause(), test.told)
		summary, err := Summarise([]string{"-"}, strings.NewReader(logs))
		require.NoError(t, err)
		require.Equal(t, []Count{{Name: test.count, Count: 1}}, summary.Reasons())
		require.Equal(t, 1, summary.Missing())
		var text strings.Builder
		require.NoError(t, summary.WriteText(&text))
		require.Contains(t, text.String(), "1 requests ended without an answer, a refusal or a cause")
	}
}
