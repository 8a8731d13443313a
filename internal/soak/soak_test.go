package soak

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Each checker must find what it is for in what callers and servers saw.
func TestCheckers(t *testing.T) {
	now := time.Now()
	ran := func(attempt, target string) standin.Run {
		return standin.Run{Attempt: attempt, Target: target, Account: standin.Account, Server: "i"}
	}
	for _, test := range []struct {
		name string
		call call
		runs []standin.Run
		find string
	}{
		{"nothing wrong", call{attempt: "a", path: "/p", status: 200, body: "x", want: "x", whole: true}, []standin.Run{ran("a", "/p")}, ""},
		{"an answer that breaks off", call{attempt: "a", path: "/p", status: 200, body: "x", want: "xyz", idempotent: true}, nil, ""},
		{"another answer", call{attempt: "a", path: "/p", status: 200, body: "y", want: "x", whole: true}, nil, "answers"},
		{"half an answer as whole", call{attempt: "a", path: "/p", status: 200, body: "x", want: "xyz", whole: true}, nil, "answers"},
		{"other bytes before it breaks off", call{attempt: "a", path: "/p", status: 200, body: "y", want: "xyz"}, nil, "answers"},
		{"twice", call{attempt: "a", path: "/p", status: 502}, []standin.Run{ran("a", "/p"), ran("a", "/p")}, "at most once"},
		{"twice, allowed", call{attempt: "a", path: "/p", status: 502, idempotent: true}, []standin.Run{ran("a", "/p"), ran("a", "/p")}, ""},
		{"not run, and ran", call{attempt: "a", path: "/p", status: 503}, []standin.Run{ran("a", "/p")}, "not run"},
		{"another target", call{attempt: "a", path: "/p", status: 200, body: "x", want: "x", whole: true}, []standin.Run{ran("a", "/q")}, "requests"},
		{"nobody sent it", call{attempt: "b"}, []standin.Run{ran("a", "/p")}, "requests"},
		{"a key passed on", call{attempt: "a", path: "/p"}, []standin.Run{{Attempt: "a", Target: "/p", Account: standin.Account, Key: "k"}}, "keys"},
		{"another account", call{attempt: "a", path: "/p"}, []standin.Run{{Attempt: "a", Target: "/p", Account: "x"}}, "accounts"},
		{"revoked", call{attempt: "a", path: "/p", key: "old", sent: now.Add(revocation + time.Second)}, []standin.Run{ran("a", "/p")}, "revoked"},
		{"revoked just now", call{attempt: "a", path: "/p", key: "old", sent: now.Add(time.Second)}, []standin.Run{ran("a", "/p")}, ""},
	} {
		l := newLedger()
		l.removed["old"] = now
		for _, r := range test.runs {
			l.ran(r)
		}
		l.answered(test.call)
		l.conclude()
		found := strings.Join(l.report().Violations, "\n")
		if test.find == "" {
			require.Empty(t, found, test.name)
			continue
		}
		require.Contains(t, found, test.find+":", test.name)
	}
}

// A short run with fixed seeds. A seed that ever failed stays here, with a line on
// its cause.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "primrosetally-fleet")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/primrosetally-fleet").CombinedOutput()
	require.NoError(t, err, string(output))
	for _, test := range []struct {
		seed     uint64
		duration time.Duration
	}{
		{1, 6 * time.Second},
	} {
		report, err := Run(t.Context(), binary, WithSeed(test.seed), WithDuration(test.duration),
			WithNetwork(59), WithLogs(t.TempDir()))
		require.NoError(t, err)
		require.Empty(t, report.Violations, strings.Join(report.Schedule, "\n"))
		require.Positive(t, report.Served)
	}
}
