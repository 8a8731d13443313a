package logbook_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/logbook"
)

// requests.log holds lines of a played day, with other names.
const played = "testdata/requests.log"

func TestCauses(t *testing.T) {
	for _, test := range []struct {
		request string
		cause   string
	}{
		{"d45ac7f920a7320b", "answered whole by i-b4885fcc58"},
		{"7683ab69cbc6bd92", "endpoint i-beeddee317 itself answered 504"},
		{"b641f9bd46023812", "did not run: the last confirmation of the configuration was 11.658s old"},
		{"eb036b10d51547c7", "not allowed: unknown key (status 401)"},
		{"6d6bb8dbaa5ee0c6", "did not run: it waited 244ms for an endpoint with room (load); it was asked to come back after 1.073s"},
		{"da0ef180778c15c1", "did not run: on arrival no endpoint was expected to have room in time (load)"},
		{"14e327e3edf942d8", "it may have run: time is over; attempts: i-c8509b4b5b: endpoint answered 504 Gateway Timeout (may have run there)"},
		{"94710f016dbbdc56", "did not run: the entry knew no endpoint that might begin it"},
		{"a33553c0a5355fe4", "did not run: weights of the endpoint are too old by now; attempts: i-ed87f24e73"},
		{"dc8ce372c2e2edfc", "the caller went away after 92ms"},
	} {
		s, err := logbook.Explain(test.request, []string{played}, nil)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(s.Cause(), test.cause), "%s: %s", test.request, s.Cause())
		require.NotEmpty(t, s.Lines())
		require.NotEmpty(t, s.Beliefs(), test.request)
		for _, b := range s.Beliefs() {
			require.GreaterOrEqual(t, b.Age.Seconds(), 0.0)
		}
	}
}

func line(at int, event, fields string) string {
	return fmt.Sprintf(`{"time":"2026-12-04T10:00:%02dZ","msg":%q,"process":"entry-1",%s}`, at, event, fields)
}

// What the lines of the request alone do not tell.
func TestStory(t *testing.T) {
	failed := line(5, "fleetAttemptFailed", `"request":"r","endpoint":"e","reason":"reset","executed":true`)
	ended := line(6, "fleetRequestEnded", `"request":"r","outcome":"unknown","status":502,"reason":"reset","endpoint":"e"`)
	unconfirmed := line(6, "fleetRequestEnded", `"request":"r","outcome":"notRun","reason":"configuration is not confirmed","age":4000000000`)
	lost := line(2, "storeLost", `"table":"op","error":"silent"`)
	for _, test := range []struct {
		name    string
		lines   []string
		cause   string
		beliefs []string
		near    int
		dropped int
	}{
		{"lines out of order", []string{ended, failed}, "it may have run: reset; attempts: e: reset (may have run there)", nil, 0, 0},
		{
			"the endpoint's lines",
			[]string{line(1, "endpointListed", `"endpoint":"e"`), line(4, "endpointGone", `"endpoint":"e"`), failed, ended},
			"it may have run",
			[]string{"endpoint e"},
			2, 0,
		},
		{"another endpoint's", []string{line(4, "endpointGone", `"endpoint":"f"`), failed, ended}, "it may have run", nil, 0, 0},
		{
			"the store",
			[]string{lost, unconfirmed},
			"did not run: the last confirmation of the configuration was 4s old, too old for a key; the store did not answer for 4s (silent)",
			[]string{"store, table op"},
			1, 0,
		},
		{
			"the store came back",
			[]string{lost, line(3, "storeRegained", `"table":"op"`), unconfirmed},
			"did not run: the last confirmation of the configuration was 4s old, too old for a key",
			[]string{"store, table op"},
			2, 0,
		},
		{"too old weights", []string{
			line(1, "weightsNamed", `"model":"faq","version":3,"age":2000000000,"exact":true`),
			line(6, "fleetRequestEnded", `"request":"r","outcome":"notRun","reason":"no endpoint can take it","retryAfter":1500000000`),
		}, "did not run: the entry knew no endpoint that might begin it; version 3 of faq was named 7s before; it was asked to come back after 1.5s", []string{"weights of faq"}, 1, 0},
		{"all endpoints ask for a pause", []string{
			line(4, "endpointAsks", `"endpoint":"e","wait":9000000000`),
			line(6, "fleetRequestEnded", `"request":"r","outcome":"notRun","reason":"endpoints take none before it is of no use"`),
		}, "did not run: all endpoints of the service had asked for a pause longer than the caller's time; e asked for 9s at 10:00:04.000", nil, 1, 0},
		{"all endpoints have a rate limit", []string{
			line(4, "quotaGrantor", `"grantor":"10.0.0.7:1"`),
			line(6, "fleetRequestEnded", `"request":"r","outcome":"notRun","reason":"rate limits of the endpoints leave no room in time"`),
		}, "did not run: all endpoints of the service have a rate limit, and no permit was expected in its time; 10.0.0.7:1 granted the permits", nil, 1, 0},
		{"no final answer", []string{failed}, "no final answer is logged: the process ended", nil, 0, 0},
		{"no final answer, lines are missing", []string{failed, line(5, "linesDropped", `"lines":7`)}, "no final answer is logged, and lines are missing", nil, 0, 1},
		{"the process started again", []string{failed, line(6, "processStarted", `"role":"entry"`)}, "no final answer: entry-1 ended with the request in progress and started again at 10:00:06.000", nil, 1, 0},
		{"what came later is not known yet", []string{failed, ended, line(7, "endpointGone", `"endpoint":"e"`)}, "it may have run", nil, 1, 0},
	} {
		s, err := logbook.Explain("r", []string{"-"}, strings.NewReader(strings.Join(test.lines, "\n")))
		require.NoError(t, err, test.name)
		require.True(t, strings.HasPrefix(s.Cause(), test.cause), "%s: %s", test.name, s.Cause())
		var beliefs []string
		for _, b := range s.Beliefs() {
			beliefs = append(beliefs, b.Of)
		}
		require.Equal(t, test.beliefs, beliefs, test.name)
		require.Len(t, s.Near(), test.near, test.name)
		require.Len(t, s.Dropped(), test.dropped, test.name)
	}
}

// A story is the same from a file, a folder, compressed, from standard input, and with a
// name before each line; it says how many lines are none of the log.
func TestSources(t *testing.T) {
	text, err := os.ReadFile(played)
	require.NoError(t, err)
	const request = "14e327e3edf942d8"
	want := textOf(t, request, []string{played}, nil)
	folder := t.TempDir()
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	_, err = z.Write(text)
	require.NoError(t, err)
	require.NoError(t, z.Close())
	require.NoError(t, os.WriteFile(filepath.Join(folder, "a.log.gz"), packed.Bytes(), 0o600))
	require.Equal(t, want, textOf(t, request, []string{folder}, nil))
	require.Equal(t, want, textOf(t, request, []string{"-"}, bytes.NewReader(text)))
	require.Equal(t, want, textOf(t, request, []string{"-"}, bytes.NewReader(packed.Bytes())))
	prefixed := "host-1 " + strings.ReplaceAll(strings.TrimSpace(string(text)), "\n", "\nhost-1 ")
	require.Equal(t, want, textOf(t, request, []string{"-"}, strings.NewReader(prefixed)))
	trace := string(text) + "panic: broken\n\ngoroutine 1 [running]:\n{\n" + strings.Repeat("x", 2<<20) + "\n"
	require.Equal(t, want+"\n4 lines are not of the log (a trace of a process that ended?)\n", textOf(t, request, []string{"-"}, strings.NewReader(trace)))
	cut := packed.Bytes()[:packed.Len()/2]
	_, err = logbook.Summarise([]string{"-"}, bytes.NewReader(cut))
	require.NoError(t, err, "a log that breaks off is read to there")
}

func textOf(t *testing.T, request string, sources []string, stdin io.Reader) string {
	t.Helper()
	s, err := logbook.Explain(request, sources, stdin)
	require.NoError(t, err)
	var b bytes.Buffer
	require.NoError(t, s.WriteText(&b))
	return b.String()
}

func TestNothingFound(t *testing.T) {
	_, err := logbook.Explain("nobody", []string{played}, nil)
	require.ErrorIs(t, err, logbook.ErrUnknownRequest)
	_, err = logbook.Summarise([]string{"-"}, strings.NewReader("no log\n"))
	require.ErrorIs(t, err, logbook.ErrNothing)
	_, err = logbook.Summarise([]string{"testdata/missing"}, nil)
	require.ErrorIs(t, err, os.ErrNotExist)
}

// The JSON form holds the lines as they stand.
func TestStoryAsJSON(t *testing.T) {
	s, err := logbook.Explain("14e327e3edf942d8", []string{played}, nil)
	require.NoError(t, err)
	var b bytes.Buffer
	require.NoError(t, s.WriteJSON(&b))
	var got struct {
		Request, Cause string
		Lines          []struct{ Msg string }
		Beliefs        []struct {
			Of   string
			AgeS float64
		}
	}
	require.NoError(t, json.Unmarshal(b.Bytes(), &got))
	require.Equal(t, s.Cause(), got.Cause)
	require.Len(t, got.Lines, len(s.Lines()))
	require.Len(t, got.Beliefs, len(s.Beliefs()))
}

func TestSummary(t *testing.T) {
	u, err := logbook.Summarise([]string{played}, nil)
	require.NoError(t, err)
	require.Equal(t, 10, u.Requests())
	require.Len(t, u.Reasons(), 9)
	require.Contains(t, u.Reasons(), logbook.Count{Name: "notRun: no room came in time", Count: 1})
	inSeconds := 0
	for _, s := range u.Seconds() {
		for _, c := range s.Outcomes {
			inSeconds += c.Count
		}
	}
	require.Equal(t, u.Requests(), inSeconds)
	var text, svg bytes.Buffer
	require.NoError(t, u.WriteText(&text))
	require.Contains(t, text.String(), "10 requests ended, 9 of them not answered whole")
	require.NoError(t, u.WriteSVG(&svg))
	require.Contains(t, svg.String(), "<svg")
	require.Contains(t, svg.String(), "answered")
}
