package fleetprocess

import (
	"sync"

	"github.com/primrosetally/primrosetally/platform"
)

// rowReports knows which versions of the malformed rows of a table were logged, so that
// each is logged once. The zero value is ready to use. It is safe for concurrent use.
type rowReports struct {
	mu       sync.Mutex
	versions map[string]int64 // by key
}

// update replaces the malformed rows by those that the table has now, and returns the ones
// that were not known before.
func (r *rowReports) update(rows []platform.RowError) []platform.RowError {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := make(map[string]int64, len(rows))
	var unknown []platform.RowError
	for _, m := range rows {
		if version, known := r.versions[m.Key]; !known || version != m.Version {
			unknown = append(unknown, m)
		}
		versions[m.Key] = m.Version
	}
	r.versions = versions
	return unknown
}
