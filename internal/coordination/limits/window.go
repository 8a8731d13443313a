package limits

const (
	defaultWindowFloor   = 0.5
	defaultWindowCeiling = 4.0
	// refusalCut is the number of slots by which a refusal by an endpoint shrinks the
	// window.
	refusalCut = 1.5
	// windowGrowth is the number of slots by which a round, in which each slot has
	// served one request, enlarges the window.
	windowGrowth = 0.25
)

// WithWindowBounds sets the smallest and largest size of the slot window as multiples of the
// equal share. If both are 1 the number of slots is fixed.
func WithWindowBounds(floor, ceiling float64) Option {
	return func(g *AdmissionController) {
		g.window.floor = floor
		g.window.ceiling = ceiling
	}
}

// window controls the number of slots by additive increase and additive decrease. Entries
// have no information about each other's requests. While all slots are in use, the window
// grows with each round of requests, and it shrinks when an endpoint refuses a request.
// Entries with high demand thus take over the capacity that others leave unused.
type window struct {
	size    float64
	share   float64
	floor   float64 // multiple of the share
	ceiling float64 // multiple of the share
}

func newWindow(share int) window {
	return window{
		size:    float64(share),
		share:   float64(share),
		floor:   defaultWindowFloor,
		ceiling: defaultWindowCeiling,
	}
}

// set sets the equal share and clamps the size to the new bounds.
func (w *window) set(share int) {
	w.share = float64(share)
	w.clamp()
}

func (w *window) slots() int { return int(w.size) }

// released records the end of a request while busy slots were in use.
func (w *window) released(busy int) {
	if busy < w.slots() || w.size < 1 {
		return
	}
	w.size += windowGrowth / w.size
	w.clamp()
}

// refused shrinks the window after a refusal. In equilibrium with the growth, the ratio
// of refusals to rounds of requests is windowGrowth/refusalCut.
func (w *window) refused() {
	w.size -= refusalCut
	w.clamp()
}

// clamp limits the size to its bounds. With a share of at least one slot, the window
// keeps at least one slot.
func (w *window) clamp() {
	w.size = min(max(w.size, w.floor*w.share), w.ceiling*w.share)
	if w.share >= 1 {
		w.size = max(w.size, 1)
	}
}
