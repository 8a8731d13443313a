package fleetprocess

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of a return of the store.
const (
	returnBound   = 2 * time.Second // until requests are served as before
	returnWatched = 5 * time.Second // after the rows were written again
	rowPause      = 30 * time.Millisecond
)

// revokedKey works in the copy and was revoked in the lost time.
const revokedKey = "key-2"

// storeReturn is a return of the store from an older copy.
type storeReturn struct {
	options []standin.RestoreOption
	away    standin.Fault // of all calls for awayTime before
	pause   time.Duration // until the rows are written again
	delay   time.Duration // of each answer of the store afterwards
	again   time.Duration // until the store returns from the same copy once more, 0 for never
}

const awayTime = 500 * time.Millisecond

// begin plays the return and sends the time at which all rows were written again.
func (r storeReturn) begin(s *standin.Store, older standin.Copy) <-chan time.Time {
	written := make(chan time.Time, 1)
	go func() {
		r.play(s, older)
		written <- time.Now()
	}()
	return written
}

// play lets the store come back, and writes the rows again in random order.
func (r storeReturn) play(s *standin.Store, older standin.Copy) {
	if r.away != standin.FaultNone {
		s.SetFault(func(*http.Request) standin.Fault { return r.away })
		time.Sleep(awayTime)
	}
	release := s.HoldWrites()
	lost := s.Restore(older, r.options...)
	s.SetFault(func(*http.Request) standin.Fault { return standin.FaultNone })
	release()
	s.SetDelay(r.delay)
	if r.again > 0 {
		time.Sleep(r.again)
		s.Restore(older, r.options...)
	}
	time.Sleep(r.pause)
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, l := range lost {
		time.Sleep(rowPause)
		s.WriteAgain(l)
	}
}

// The store comes back in each way that it may. Callers of all entries are served as before
// in time, never by a revoked key or an older configuration, and nothing reaches the endpoint
// that left in the lost time.
func TestRequestsThroughReturnOfStore(t *testing.T) {
	const inForce = 4 * time.Second
	for _, test := range []struct {
		name string
		r    storeReturn
	}{
		{"polls are answered", storeReturn{}},
		{"polls are cut", storeReturn{options: []standin.RestoreOption{standin.WithCutFeeds()}}},
		{"polls hang", storeReturn{options: []standin.RestoreOption{standin.WithHangingFeeds()}}},
		{"polls hang, rows are written late", storeReturn{options: []standin.RestoreOption{standin.WithHangingFeeds()}, pause: 1500 * time.Millisecond}},
		{"away with 503", storeReturn{away: standin.FaultBusy, pause: 500 * time.Millisecond}},
		{"away with 429", storeReturn{away: standin.FaultLimited, pause: 500 * time.Millisecond}},
		{"away and silent", storeReturn{away: standin.FaultSilent, options: []standin.RestoreOption{standin.WithHangingFeeds()}}},
		{"slow afterwards", storeReturn{delay: 240 * time.Millisecond, options: []standin.RestoreOption{standin.WithCutFeeds()}}},
		{"the era is missing in answers", storeReturn{options: []standin.RestoreOption{standin.WithEraMissing()}}},
		{"twice", storeReturn{again: 600 * time.Millisecond}},
		{"twice, polls hang", storeReturn{again: 600 * time.Millisecond, options: []standin.RestoreOption{standin.WithHangingFeeds()}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, standin.WithSize(2, 2, 1, 1))
			t.Parallel() // each in its own address block
			s.SetKeys(standin.Key, revokedKey)
			s.requireAtAll(standin.PathRead, revokedKey, http.StatusOK, inForce)
			older := s.Store.Copy()
			for range 40 {
				s.Store.Put("status", "noise", nil) // versions that the copy does not have
			}
			s.SetKeys(standin.Key)
			s.AddRoutes(1)
			s.requireAtAll(standin.PathExtra(1), standin.Key, http.StatusOK, inForce)
			s.requireAtAll(standin.PathRead, revokedKey, http.StatusUnauthorized, inForce)
			leaving := s.Servers["i-plain-1-1"]
			leaving.Drain()
			pauseUntilQuiet(t, s, leaving)
			arrivals := leaving.Arrivals()

			s.requireServed(test.r.begin(s.Store, older))
			require.Equal(t, arrivals, leaving.Arrivals(), "an endpoint that leaves gets requests again")
			require.Contains(t, s.logs.String(), `"msg":"storeRestored"`)
			s.AddRoutes(1)
			s.requireAtAll(standin.PathExtra(2), standin.Key, http.StatusOK, returnBound)
		})
	}
}

// requireAtAll waits until all entries answer a request with a status.
func (s *system) requireAtAll(path, key string, status int, within time.Duration) {
	s.t.Helper()
	for _, m := range s.Entries {
		require.Eventually(s.t, func() bool { return s.statusAt(m, path, key) == status }, within, 20*time.Millisecond, m.Name)
	}
}

// requireServed calls all entries until some time after the rows were written again.
func (s *system) requireServed(written <-chan time.Time) {
	s.t.Helper()
	begun := time.Now()
	var end time.Time
	var refused []string
	for end.IsZero() || time.Since(end) < returnWatched {
		select {
		case end = <-written:
		default:
		}
		for _, m := range s.Entries {
			require.NotEqual(s.t, http.StatusOK, s.statusAt(m, standin.PathRead, revokedKey), "a revoked key works again")
			status := s.statusAt(m, standin.PathExtra(1), standin.Key)
			require.NotEqual(s.t, http.StatusNotFound, status, "a route is gone again")
			if status != http.StatusOK {
				refused = append(refused, fmt.Sprintf("%d by %s after %s", status, m.Name, time.Since(begun).Round(time.Millisecond)))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Empty(s.t, refused)
}
