package swarm

import (
	"math/rand/v2"
	"time"
)

// MaxOriginCopies is the maximum number of copies of a model that the regions
// together are assigned to download from the origin.
const MaxOriginCopies = 4

// DefaultLinkShare is the share of the rate of a link between regions that one
// rollout uses.
const DefaultLinkShare = 0.95

// minPollInterval is the minimum time between two polls of a peer. It applies when
// fetches take less than that.
const minPollInterval = 100 * time.Millisecond

type settings struct {
	concurrency       int
	gateways          int
	neighbours        int
	maxPerPeer        int
	originConcurrency int
	originRegion      string
	originCopies      int
	linkRate          float64
	linkShare         float64
	pollInterval      time.Duration
	stallTimeout      time.Duration
	takeoverTimeout   time.Duration
	uploadSlots       int
	rand              func(n int) int
	maxDuplicates     int
	backoff           backoffPolicy
}

// PickerOption sets an option of a Picker.
type PickerOption func(*settings)

func newSettings(options []PickerOption) settings {
	generator := rand.New(rand.NewPCG(1, 2))
	s := settings{
		concurrency:       6,
		gateways:          8,
		neighbours:        12,
		maxPerPeer:        2,
		originConcurrency: 1,
		linkShare:         DefaultLinkShare,
		pollInterval:      time.Second,
		stallTimeout:      5 * time.Second,
		takeoverTimeout:   15 * time.Second,
		uploadSlots:       DefaultUploadSlots,
		rand:              generator.IntN,
		maxDuplicates:     2,
		backoff:           defaultBackoff,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithConcurrency sets the maximum number of concurrent fetches from peers in the
// region.
func WithConcurrency(n int) PickerOption {
	return func(s *settings) { s.concurrency = max(n, 1) }
}

// WithGateways sets how many members of a region fetch from outside the region.
func WithGateways(n int) PickerOption {
	return func(s *settings) { s.gateways = max(n, 1) }
}

// WithNeighbours sets how many members of the region are polled as neighbours for
// their chunk maps.
func WithNeighbours(n int) PickerOption {
	return func(s *settings) { s.neighbours = max(n, 1) }
}

// WithOriginRegion sets the region in which the origin is located. Other regions
// reach the origin over their link to that region.
func WithOriginRegion(region string) PickerOption {
	return func(s *settings) { s.originRegion = region }
}

// WithMaxOriginCopies sets how many regions are assigned to download a copy from the
// origin: n from 1 to MaxOriginCopies, or 0 for every region. The remaining regions
// download from peers in other regions. They fetch a chunk from the origin only if
// those peers have had nothing to fetch for the takeover timeout.
func WithMaxOriginCopies(n int) PickerOption {
	return func(s *settings) { s.originCopies = min(max(n, 0), MaxOriginCopies) }
}

// WithRegionLink sets the rate of each link between two regions, in bytes per
// second, and the share of it that one rollout may use. A rate of 0 disables rate
// limiting on the links.
func WithRegionLink(rate, share float64) PickerOption {
	return func(s *settings) {
		s.linkRate = rate
		s.linkShare = share
	}
}

// WithPollInterval sets the maximum time between two polls of the same peer.
func WithPollInterval(d time.Duration) PickerOption {
	return func(s *settings) { s.pollInterval = d }
}

// WithStallTimeout sets how long a fetch may receive no bytes before it is canceled.
func WithStallTimeout(d time.Duration) PickerOption {
	return func(s *settings) { s.stallTimeout = d }
}

// WithTakeoverTimeout sets how long a gateway may make no progress before the next
// member in rank replaces it.
func WithTakeoverTimeout(d time.Duration) PickerOption {
	return func(s *settings) { s.takeoverTimeout = d }
}

// WithBackoff sets the initial and the maximum delay before a failed source is used
// again. The delay doubles with each consecutive failure.
func WithBackoff(initial, maximum time.Duration) PickerOption {
	return func(s *settings) { s.backoff = backoffPolicy{initial: initial, maximum: maximum} }
}

// WithRand sets the function that returns a random number in [0, n). The default is
// a generator with a fixed seed.
func WithRand(random func(n int) int) PickerOption {
	return func(s *settings) { s.rand = random }
}
