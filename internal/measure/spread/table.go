package spread

import (
	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
)

// table is the platform's table service.
type table struct {
	network *network
	current *core.Snapshot
	down    bool
	traffic Traffic
	reads   int
	writes  int
}

// read answers with the newest snapshot after the latency, and counts rows reads
// with size bytes of values.
func (t *table) read(p *Process, rows, size int, answered func(*core.Snapshot, error)) {
	t.reads += rows
	w := t.network
	bytes := rows * (onWire(tableRequestBytes, 0) + onWire(tableResponseBytes, size/rows))
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

// accept writes a snapshot: the head and the change's own row.
func (t *table) accept(s *core.Snapshot) {
	t.writes += writesPerChange
	t.current = s
}

const (
	// writesPerChange is the rows that one accepted change writes: the revision,
	// the head and the change's own.
	writesPerChange = 3
	// tableRequestBytes and tableResponseBytes are the HTTP headers of one read.
	tableRequestBytes  = 150
	tableResponseBytes = 150
	// revisionRowBytes is the row with the revision and the digest of the head,
	// which pollers read, in JSON.
	revisionRowBytes = 160
	// refRowBytes is one section's reference in the head's row, in JSON, without
	// the name.
	refRowBytes = 90
)

// headRowBytes returns the size of the head's row, in JSON.
func headRowBytes(h core.Head) int {
	size := revisionRowBytes
	for _, r := range h.Refs() {
		size += refRowBytes + len(r.Name())
	}
	return size
}
