package limits

const (
	defaultMinMultiple = 0.5
	defaultMaxMultiple = 4.0
	// overloadDecrease is the number of slots by which a refusal by an endpoint shrinks
	// the window.
	overloadDecrease = 1.5
	// roundIncrease is the number of slots by which a round, in which each slot has
	// served one request, enlarges the window.
	roundIncrease = 0.25
)

// WithWindowBounds sets the smallest and largest size of the slot window as multiples of
// the equal share. If both are 1 the number of slots is fixed.
func WithWindowBounds(minMultiple, maxMultiple float64) Option {
	return func(c *AdmissionController) {
		c.window.minMultiple = minMultiple
		c.window.maxMultiple = maxMultiple
	}
}

// window controls the number of slots by additive increase and additive decrease. Entries
// have no information about each other's requests. While all slots are in use, the window
// grows with each round of requests, and it shrinks when an endpoint refuses a request.
// Entries with high demand thus take over the capacity that others leave unused.
type window struct {
	size        float64
	share       float64
	minMultiple float64 // multiple of the share
	maxMultiple float64 // multiple of the share
}

func newWindow(share int) window {
	return window{
		size:        float64(share),
		share:       float64(share),
		minMultiple: defaultMinMultiple,
		maxMultiple: defaultMaxMultiple,
	}
}

// setShare sets the equal share and clamps the size to the new bounds.
func (w *window) setShare(share int) {
	w.share = float64(share)
	w.clamp()
}

func (w *window) slots() int { return int(w.size) }

// recordRelease records the end of a request while slotsInUse slots were in use.
func (w *window) recordRelease(slotsInUse int) {
	if slotsInUse < w.slots() || w.size < 1 {
		return
	}
	w.size += roundIncrease / w.size
	w.clamp()
}

// recordOverload shrinks the window after a refusal. In equilibrium with the growth, the
// ratio of refusals to rounds of requests is roundIncrease/overloadDecrease.
func (w *window) recordOverload() {
	w.size -= overloadDecrease
	w.clamp()
}

// clamp limits the size to its bounds. With a share of at least one slot, the window
// keeps at least one slot.
func (w *window) clamp() {
	w.size = min(max(w.size, w.minMultiple*w.share), w.maxMultiple*w.share)
	if w.share >= 1 {
		w.size = max(w.size, 1)
	}
}
