package weights

import "math"

// link is a shared capacity in bytes a second.
type link struct {
	rate  float64
	flows int
	spare float64
}

// flow is one transfer over up to four links.
type flow struct {
	links     []*link
	pace      float64 // bound on the rate, 0 for none
	rate      float64
	remaining float64
	stuck     bool // the sender is dead
	done      func()
}

// network shares links among flows: each flow gets its equal share of every
// link it crosses, and what others leave is shared again.
type network struct {
	origin  *link
	up      []*link
	down    []*link
	between [][]*link // by region of the sender and of the receiver
	flows   []*flow
	changed bool
}

// sharingRounds is the number of times that spare capacity is shared again.
const sharingRounds = 4

func newNetwork(p Place, n int) *network {
	w := &network{origin: &link{rate: OriginRate}}
	for range n {
		w.up = append(w.up, &link{rate: InstanceRate})
		w.down = append(w.down, &link{rate: InstanceRate})
	}
	for range p.regions {
		row := make([]*link, len(p.regions))
		for i := range row {
			row[i] = &link{rate: p.regionRate}
		}
		w.between = append(w.between, row)
	}
	return w
}

// path returns the links from a sender to a receiver. The sender -1 is the origin,
// which stands in region 0.
func (w *network) path(p Place, from, to int) []*link {
	first, region := w.origin, 0
	if from >= 0 {
		first, region = w.up[from], p.region(from)
	}
	links := []*link{first, w.down[to]}
	if region != p.region(to) {
		links = append(links, w.between[region][p.region(to)])
	}
	return links
}

func (w *network) start(f *flow) *flow {
	w.flows = append(w.flows, f)
	w.changed = true
	return f
}

func (w *network) stop(f *flow) {
	for i, g := range w.flows {
		if g == f {
			w.flows[i] = w.flows[len(w.flows)-1]
			w.flows = w.flows[:len(w.flows)-1]
			w.changed = true
			return
		}
	}
}

// advance moves all flows on by seconds and returns those that are complete.
func (w *network) advance(seconds float64) []*flow {
	if w.changed {
		w.share()
		w.changed = false
	}
	var complete []*flow
	for _, f := range w.flows {
		f.remaining -= f.rate * seconds
		if f.remaining <= 0 {
			complete = append(complete, f)
		}
	}
	return complete
}

// share sets the rates of all flows.
func (w *network) share() {
	for _, f := range w.flows {
		f.rate = 0
		for _, l := range f.links {
			l.flows = 0
			l.spare = l.rate
		}
	}
	for _, f := range w.flows {
		if !f.stuck {
			for _, l := range f.links {
				l.flows++
			}
		}
	}
	for range sharingRounds {
		w.shareSpare()
	}
}

// shareSpare adds to each flow the smallest of its shares of the spare capacity.
func (w *network) shareSpare() {
	added := make([]float64, len(w.flows))
	for i, f := range w.flows {
		if f.stuck {
			continue
		}
		added[i] = math.Inf(1)
		if f.pace > 0 {
			added[i] = f.pace - f.rate
		}
		for _, l := range f.links {
			added[i] = min(added[i], l.spare/float64(l.flows))
		}
	}
	for i, f := range w.flows {
		f.rate += added[i]
		for _, l := range f.links {
			l.spare = max(l.spare-added[i], 0)
		}
	}
}

// nextCompletion returns the seconds until the first flow completes.
func (w *network) nextCompletion() float64 {
	if w.changed {
		w.share()
		w.changed = false
	}
	next := math.Inf(1)
	for _, f := range w.flows {
		if f.rate > 0 {
			next = min(next, f.remaining/f.rate)
		}
	}
	return next
}
