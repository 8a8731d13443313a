package watch_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Times of what must hold.
const (
	removalBound = 2 * time.Second // from a removal until no entry lists the row
	copyContact  = 3 * time.Second // without a start or a return of the store before removalBound counts
)

// copySizes are the sizes of the fleets.
var copySizes = []struct {
	name             string
	regions, entries int // in each region
}{
	{"one region", 1, 3},
	{"three regions", 3, 3},
	{"two regions of many", 2, 8},
}

// listedTooLong returns the endpoints that an entry lists although they were removed, and
// those that it lacks.
func (f *copyFleet) listedTooLong(e *copyEntry) (removed, missing []string) {
	e.mu.Lock()
	listed := e.listed
	e.mu.Unlock()
	without := func(list, excluded []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(key string) bool { return slices.Contains(excluded, key) })
	}
	keys := f.store.keys()
	return without(listed, keys), without(keys, listed)
}

// copySeeds is larger in runs by hand.
var copySeeds = flag.Uint64("copySeeds", 12, "seeds to play with each size of fleet")

// Entries that start, one by one or all at once, list no endpoint that has left: a removal
// that one of them never saw reaches it from the others.
func TestRemovedEndpointIsForgottenByAllEntries(t *testing.T) {
	for _, test := range copySizes {
		t.Run(test.name, func(t *testing.T) {
			for seed := range *copySeeds {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playCopies(t, newCopyFleet(seed, test.regions, test.entries)) })
				})
			}
		})
	}
}

// playCopies makes random changes and checks all copies after each series of them.
func playCopies(t *testing.T, f *copyFleet) {
	defer func() {
		for _, a := range f.all {
			f.stop(a)
		}
		time.Sleep(time.Minute) // messages on their way and calls in progress end
	}()
	var steps []string
	steps = append(steps, "start all")
	f.restartAll()
	for range 8 {
		settled := removalBound
		for range 1 + f.random.IntN(4) {
			f.pause(1200)
			step := f.step()
			if step == stepRestore {
				settled = copyContact + removalBound
			}
			steps = append(steps, step)
		}
		time.Sleep(settled)
		f.check(t, steps)
	}
	time.Sleep(copyContact)
	f.check(t, steps)
}

// check reports the entries whose copies are wrong, of those that have run long enough.
func (f *copyFleet) check(t *testing.T, steps []string) {
	t.Helper()
	for _, a := range f.all {
		e := f.entry(a)
		if copyTime()-e.started < copyContact {
			continue
		}
		removed, missing := f.listedTooLong(e)
		if len(removed)+len(missing) > 0 {
			f.logTrace(t, a)
		}
		require.Empty(t, removed, "%s lists endpoints that have left, after %v", a, steps)
		require.Empty(t, missing, "%s lacks endpoints, after %v", a, steps)
	}
	differing := f.differing()
	if len(differing) > 0 {
		f.logTrace(t, differing[0])
	}
	require.Empty(t, differing, "copies differ at one position, after %v", steps)
}

// logTrace logs what has happened since the start of an entry.
func (f *copyFleet) logTrace(t *testing.T, address string) {
	t.Helper()
	t.Logf("since the start of %s:\n%s", address, f.trace.since(f.entry(address).started))
}

// A failure can be traced only if a run of its seed shows it again: all that happens to the
// copies happens in the same order.
func TestSeedOfCopiesRepeats(t *testing.T) {
	for _, test := range copySizes {
		t.Run(test.name, func(t *testing.T) {
			var traces []string
			for range 2 {
				synctest.Test(t, func(t *testing.T) {
					f := newCopyFleet(0, test.regions, test.entries)
					playCopies(t, f)
					traces = append(traces, f.trace.since(0))
				})
			}
			require.Equal(t, traces[0], traces[1])
		})
	}
}
