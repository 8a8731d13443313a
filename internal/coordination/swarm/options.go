package swarm

import (
	"math/rand/v2"
	"time"
)

// MaxOriginCopies bounds the copies of a model that all regions together draw
// from the origin by plan.
const MaxOriginCopies = 4

// DefaultLinkShare is the share of a link between regions that one rollout fills.
const DefaultLinkShare = 0.95

// minPollInterval bounds the polls of one peer when chunks take less.
const minPollInterval = 100 * time.Millisecond

type settings struct {
	concurrency   int
	gateways      int
	neighbours    int
	perPeer       int
	originSlots   int
	originRegion  string
	originCopies  int
	linkRate      float64
	linkShare     float64
	pollInterval  time.Duration
	stallTimeout  time.Duration
	takeover      time.Duration
	uploadSlots   int
	rand          func(n int) int
	maxDuplicates int
	backoff       backoff
}

// PickerOption changes a property of a Picker.
type PickerOption func(*settings)

func newSettings(options []PickerOption) settings {
	random := rand.New(rand.NewPCG(1, 2))
	s := settings{
		concurrency:   6,
		gateways:      8,
		neighbours:    12,
		perPeer:       2,
		originSlots:   1,
		linkShare:     DefaultLinkShare,
		pollInterval:  time.Second,
		stallTimeout:  5 * time.Second,
		takeover:      15 * time.Second,
		uploadSlots:   DefaultUploadSlots,
		rand:          random.IntN,
		maxDuplicates: 2,
		backoff:       defaultBackoff,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithConcurrency sets how many chunks are fetched at a time inside the region.
func WithConcurrency(n int) PickerOption {
	return func(s *settings) { s.concurrency = max(n, 1) }
}

// WithGateways sets how many members of a region draw from outside of it.
func WithGateways(n int) PickerOption {
	return func(s *settings) { s.gateways = max(n, 1) }
}

// WithNeighbours sets how many members of the region are polled for their
// chunk maps.
func WithNeighbours(n int) PickerOption {
	return func(s *settings) { s.neighbours = max(n, 1) }
}

// WithOriginRegion names the region in which the origin stands. Other regions
// reach it over their link to that region.
func WithOriginRegion(region string) PickerOption {
	return func(s *settings) { s.originRegion = region }
}

// WithMaxOriginCopies sets how many regions draw a copy from the origin by plan:
// n from 1 to MaxOriginCopies; 0 lets each region draw one. The remaining regions
// take their copy from peers in other regions, and turn to the origin only for a
// chunk that no such peer had for the takeover timeout.
func WithMaxOriginCopies(n int) PickerOption {
	return func(s *settings) { s.originCopies = min(max(n, 0), MaxOriginCopies) }
}

// WithRegionLink sets the rate in bytes a second of each link between two
// regions, and the share of it that one rollout may fill. A rate of 0 leaves
// the links unpaced.
func WithRegionLink(rate, share float64) PickerOption {
	return func(s *settings) {
		s.linkRate = rate
		s.linkShare = share
	}
}

// WithPollInterval sets the longest time between two polls of the same peer.
func WithPollInterval(d time.Duration) PickerOption {
	return func(s *settings) { s.pollInterval = d }
}

// WithStallTimeout sets how long a fetch may stand still before it is dropped.
func WithStallTimeout(d time.Duration) PickerOption {
	return func(s *settings) { s.stallTimeout = d }
}

// WithTakeoverTimeout sets how long a gateway may make no progress before the next in
// rank draws in its place.
func WithTakeoverTimeout(d time.Duration) PickerOption {
	return func(s *settings) { s.takeover = d }
}

// WithBackoff sets how long a source rests after it failed: at first, doubling
// with each failure in a row, and at most.
func WithBackoff(first, longest time.Duration) PickerOption {
	return func(s *settings) { s.backoff = backoff{first: first, longest: longest} }
}

// WithRand sets the source of random numbers: n gives one in [0, n).
func WithRand(random func(n int) int) PickerOption {
	return func(s *settings) { s.rand = random }
}
