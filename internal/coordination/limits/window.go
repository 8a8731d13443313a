package limits

const (
	defaultWindowFloor   = 0.5
	defaultWindowCeiling = 4.0
	// refusalCut is the slots that a refusal by an endpoint takes away.
	refusalCut = 1.5
	// windowGrowth is the slots that a round of requests adds.
	windowGrowth = 0.25
)

// WithWindowBounds sets the multiples of the even share between which the slots move.
// Both 1 keep them fixed.
func WithWindowBounds(floor, ceiling float64) Option {
	return func(g *AdmissionController) {
		g.window.floor = floor
		g.window.ceiling = ceiling
	}
}

// window is the number of slots of a gate. Entries are not told of each other's
// requests: the window grows with every round while all slots are in use, and is
// cut when an endpoint refuses, so that the entries with the demand find the
// slots that others leave.
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

// set changes the even share.
func (w *window) set(share int) {
	w.share = float64(share)
	w.clamp()
}

func (w *window) slots() int { return int(w.size) }

// released takes in the end of a request while busy slots were in use.
func (w *window) released(busy int) {
	if busy < w.slots() || w.size < 1 {
		return
	}
	w.size += windowGrowth / w.size
	w.clamp()
}

// refused cuts the window. In balance with the growth, about one request in
// windowGrowth/refusalCut windows is refused.
func (w *window) refused() {
	w.size -= refusalCut
	w.clamp()
}

func (w *window) clamp() {
	w.size = min(max(w.size, w.floor*w.share), w.ceiling*w.share)
	if w.share >= 1 {
		w.size = max(w.size, 1)
	}
}
