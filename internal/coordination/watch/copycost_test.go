package watch_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
)

// copyCost is what copies cost the store and the links between regions.
type copyCost struct {
	calls   int // to the store
	lists   int // of the endpoints
	rows    int // in responses of the store
	remote  int // fetches from entries of other regions
	crossed int // rows in these
	local   int // fetches from entries of the own region
}

// copyCosts counts a cost. It is safe for concurrent use.
type copyCosts struct {
	mu   sync.Mutex
	cost copyCost
}

func (c *copyCosts) call() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost.calls++
}

func (c *copyCosts) list(u watch.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost.calls++
	c.cost.lists++
	c.cost.rows += len(u.Rows)
}

func (c *copyCosts) fetch(to, from string, u watch.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if regionOf(to) == regionOf(from) {
		c.cost.local++
		return
	}
	c.cost.remote++
	c.cost.crossed += len(u.Rows)
}

// take returns the cost since the last call.
func (c *copyCosts) take() copyCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := c.cost
	c.cost = copyCost{}
	return cost
}

// Parameters of the fleets whose cost is counted.
const (
	costRegions = 3
	costRows    = 500              // endpoints
	costLost    = 30               // of these, written in the lost time
	costStart   = 16 * time.Second // until a fleet that starts has settled
	costReturn  = 6 * time.Second  // of which the rows are written again in the first
)

// copyEntries is larger in runs by hand.
var copyEntries = flag.Int("copyEntries", 30, "entries of the largest fleet whose cost is counted")

// After a return of the store some entries of each region list the endpoints, and the others
// take the rows over from them, as in a start. It costs less than a start, whatever the size of
// the fleet, also if all polls are left without an answer.
func TestCostOfReturn(t *testing.T) {
	for _, entries := range []int{30, 100, 300} {
		if entries > *copyEntries {
			break
		}
		for _, hang := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d entries, polls hang: %t", entries, hang), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCopyFleet(2, costRegions, entries/costRegions)
					f.store.hang = hang
					playReturnCost(t, f)
				})
			})
		}
	}
}

func playReturnCost(t *testing.T, f *copyFleet) {
	defer func() {
		for _, a := range f.all {
			f.stop(a)
		}
		time.Sleep(time.Minute) // messages on their way and calls in progress end
	}()
	for n := range costRows {
		f.store.write(watch.Row{Key: fmt.Sprintf("c-%d", n)})
	}
	for _, a := range f.all {
		f.start(a)
		f.pause(max(1, 350/len(f.all)))
	}
	time.Sleep(costStart)
	start := f.costs.take()
	f.store.backUp()
	for n := range costLost {
		f.store.write(watch.Row{Key: fmt.Sprintf("c-%d", n)})
	}
	time.Sleep(removalBound)
	f.costs.take()
	f.restore()
	time.Sleep(costReturn)
	back := f.costs.take()
	t.Logf("start %+v, return %+v", start, back)
	require.LessOrEqual(t, back.lists, start.lists/4)
	require.Less(t, back.calls, start.calls)
	require.Less(t, back.rows+back.crossed, start.rows+start.crossed)
}
