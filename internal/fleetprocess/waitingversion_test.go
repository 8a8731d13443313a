package fleetprocess

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of the runs in which requests wait at the endpoints while a version is set.
const (
	// versionBound is that of the deployment's settings.
	versionBound = 8 * time.Second
	// promptTime is how long a slow endpoint reads the prompt of a request.
	promptTime = 1800 * time.Millisecond
	// callInterval is between two requests of one caller.
	callInterval = 150 * time.Millisecond
)

// callStreams has a caller at each entry send streams until ctx is done, each without
// waiting for the one before.
func (s *system) callStreams(ctx context.Context, result *outcomes) {
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		for _, m := range s.Entries {
			go s.callOnce(s.Front(m), fmt.Sprintf("%s%s-%d", standin.PathStream, m.Name, n), fmt.Sprintf("wait-%s-%d", m.Name, n), result)
		}
		<-tick.C
	}
}

// outdatedRuns returns the runs that began on a version older than 2 after its bound.
func (l *runLog) outdatedRuns(bound time.Time) []standin.Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.runs), func(r standin.Run) bool {
		return r.Version == 0 || r.Version >= 2 || !r.Began.After(bound)
	})
}

// A request that is sent while the weights of an endpoint may be used waits there, and
// begins after the bound of the next version.
func TestRequestBeginsOnOldVersionAfterWaitAtEndpoint(t *testing.T) {
	for _, test := range []struct {
		name string
		slow []string // endpoints; the others are fast
		// unstaged makes the origin fail, so that no endpoint can be ordered to load.
		unstaged bool
	}{
		{"all endpoints are slow", []string{"i-engine-1-1", "i-engine-1-2", "i-engine-2-1", "i-engine-2-2"}, false},
		{"one endpoint is slow and none gets the version", []string{"i-engine-1-1"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, standin.WithSize(2, 2, 2, 1))
			for _, id := range test.slow {
				s.Servers[id].SetPromptTime(promptTime)
			}
			if test.unstaged {
				s.Origin.SetBroken(func() standin.Breakage { return standin.BreakError })
			}
			var streams outcomes
			ctx, cancel := context.WithTimeout(t.Context(), versionBound+2*promptTime)
			defer cancel()
			s.NameWeights(2)
			bound := time.Now().Add(versionBound)
			s.callStreams(ctx, &streams)
			outdated := s.runs.outdatedRuns(bound)
			t.Logf("answered %d, refused %d, failed %d", streams.answered.Load(), streams.refused.Load(), streams.failed.Load())
			for _, r := range outdated {
				t.Errorf("%s began on version %d at %s, %s after the bound", r.Attempt, r.Version, r.Server, r.Began.Sub(bound))
			}
			require.NotContains(t, s.logs.String(), "outdatedStart")
		})
	}
}

// As above, at endpoints that begin requests whose callers have left: a withdrawal does not
// reach what waits there.
func TestAbandonedRequestBeginsOnOldVersionAfterWait(t *testing.T) {
	s := startSystem(t, standin.WithSize(2, 2, 2, 1))
	for _, server := range s.Servers {
		server.SetPromptTime(promptTime)
		server.KeepAbandoned()
	}
	var streams outcomes
	ctx, cancel := context.WithTimeout(t.Context(), versionBound+2*promptTime)
	defer cancel()
	s.NameWeights(2)
	bound := time.Now().Add(versionBound)
	s.callStreams(ctx, &streams)
	t.Logf("answered %d, refused %d, failed %d", streams.answered.Load(), streams.refused.Load(), streams.failed.Load())
	for _, r := range s.runs.outdatedRuns(bound) {
		t.Errorf("%s began on version %d at %s, %s after the bound", r.Attempt, r.Version, r.Server, r.Began.Sub(bound))
	}
}
