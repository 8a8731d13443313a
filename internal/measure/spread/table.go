package spread

import (
	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
)

// table is the platform's table service, with the object store beside it.
type table struct {
	network *network
	current *core.Snapshot
	down    bool
	traffic Traffic
	reads   int
	writes  int
	objects int
}

// readHead reads the head's row.
func (t *table) readHead(p *Process, answered func(*core.Snapshot, error)) {
	t.reads++
	t.read(p, onWire(platformFraming, 0)+onWire(platformFraming, headRowBytes), answered)
}

// readObjects reads objects that have size bytes together.
func (t *table) readObjects(p *Process, count, size int, answered func(*core.Snapshot, error)) {
	t.objects += count
	t.read(p, count*(onWire(platformFraming, 0)+onWire(platformFraming, size/count)), answered)
}

// read answers with the newest snapshot after the latency.
func (t *table) read(p *Process, bytes int, answered func(*core.Snapshot, error)) {
	w := t.network
	t.traffic.add(bytes)
	p.bytes += bytes
	if t.down || w.tableCut(p.member) || w.random.Float64() < w.loss {
		w.after(core.CallTimeout, p.ifRunning(func() { answered(nil, errNoAnswer) }))
		return
	}
	w.after(latencyTable, func() {
		current := t.current
		w.after(latencyTable, p.ifRunning(func() { answered(current, nil) }))
	})
}

// accept writes a snapshot.
func (t *table) accept(s *core.Snapshot) {
	t.writes += writesPerChange
	t.current = s
}

const (
	// writesPerChange is the rows that one accepted change writes: the head, the
	// change's own and the revision's.
	writesPerChange = 3
	// platformFraming is the HTTP headers of one request or answer of the platform.
	platformFraming = 150
	// headRowBytes is the answer with the head's row.
	headRowBytes = 360
	// refBytes is one section's reference in the list of sections, in JSON, without
	// the name.
	refBytes = 90
)

// sectionListBytes returns the size of the object with the list of sections.
func sectionListBytes(h core.Head) int {
	size := 0
	for _, r := range h.Refs() {
		size += refBytes + len(r.Name())
	}
	return size
}
