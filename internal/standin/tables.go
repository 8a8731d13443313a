package standin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/julienschmidt/httprouter"

	"github.com/primrosetally/primrosetally/internal/transport/tables"
)

const maxListedRows = 10_000

// Tables stands in for the transactional table service.
type Tables struct {
	faults
	router *httprouter.Router

	rowsMu sync.Mutex
	rows   []tables.WireRow // in the order of their keys
	last   tables.Version
	counts TableCounts
}

// TableCounts are the counters of a table service.
type TableCounts struct {
	Reads       uint64 `json:"reads"`
	Commits     uint64 `json:"commits"`
	Conflicts   uint64 `json:"conflicts"`
	RowsWritten uint64 `json:"rowsWritten"`
	LostAnswers uint64 `json:"lostAnswers"`
}

// NewTables returns an empty table service.
func NewTables() *Tables {
	t := &Tables{router: httprouter.New()}
	t.router.HandlerFunc(http.MethodGet, tables.PathRows, t.read)
	t.router.HandlerFunc(http.MethodPost, tables.PathTransactions, t.commit)
	t.router.HandlerFunc(http.MethodPost, PathControl, t.control)
	t.router.HandlerFunc(http.MethodGet, PathControl, t.report)
	return t
}

// ServeHTTP implements http.Handler.
func (t *Tables) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != PathControl && !t.admit(w, r) {
		return
	}
	t.router.ServeHTTP(w, r)
}

// Counts returns the counters.
func (t *Tables) Counts() TableCounts {
	t.mu.Lock()
	dropped := t.dropped
	t.mu.Unlock()
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	counts := t.counts
	counts.LostAnswers = dropped
	return counts
}

func (t *Tables) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("key") {
		answer(w, http.StatusOK, t.get(query.Get("key")))
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || !query.Has("prefix") {
		fail(w, http.StatusBadRequest, "want key, or prefix and limit")
		return
	}
	answer(w, http.StatusOK, tables.WireRows{Rows: t.list(query.Get("prefix"), limit)})
}

func (t *Tables) get(key string) tables.WireRow {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	t.counts.Reads++
	i, found := t.find(key)
	if !found {
		return tables.WireRow{Key: key}
	}
	return t.rows[i]
}

// list returns up to limit rows; a limit below 1 stands for maxListedRows.
func (t *Tables) list(prefix string, limit int) []tables.WireRow {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	t.counts.Reads++
	if limit < 1 || limit > maxListedRows {
		limit = maxListedRows
	}
	first, _ := t.find(prefix)
	end := first
	for end < len(t.rows) && end-first < limit && strings.HasPrefix(t.rows[end].Key, prefix) {
		end++
	}
	return append([]tables.WireRow{}, t.rows[first:end]...)
}

func (t *Tables) commit(w http.ResponseWriter, r *http.Request) {
	var transaction tables.WireTransaction
	if !decode(w, r, &transaction) {
		return
	}
	version, conflict := t.apply(transaction)
	if conflict != nil {
		answer(w, http.StatusConflict, conflict)
		return
	}
	t.loseAnswer()
	answer(w, http.StatusOK, tables.WireCommitted{Version: version})
}

// apply returns the version of the transaction or the first condition that
// does not hold, with the version found.
func (t *Tables) apply(transaction tables.WireTransaction) (tables.Version, *tables.WireCondition) {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	for _, c := range transaction.Expect {
		if found := t.versionOf(c.Key); found != c.Version {
			t.counts.Conflicts++
			return 0, &tables.WireCondition{Key: c.Key, Version: found}
		}
	}
	t.last++
	t.counts.Commits++
	for _, write := range transaction.Writes {
		t.write(write)
	}
	return t.last, nil
}

func (t *Tables) write(w tables.WireWrite) {
	t.counts.RowsWritten++
	i, found := t.find(w.Key)
	row := tables.WireRow{Key: w.Key, Value: w.Value, Version: t.last}
	switch {
	case w.Delete && found:
		t.rows = slices.Delete(t.rows, i, i+1)
	case w.Delete:
	case found:
		t.rows[i] = row
	default:
		t.rows = slices.Insert(t.rows, i, row)
	}
}

func (t *Tables) versionOf(key string) tables.Version {
	i, found := t.find(key)
	if !found {
		return 0
	}
	return t.rows[i].Version
}

func (t *Tables) find(key string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, key, func(r tables.WireRow, key string) int {
		return cmp.Compare(r.Key, key)
	})
}

func (t *Tables) control(w http.ResponseWriter, r *http.Request) {
	var c Control
	if !decode(w, r, &c) {
		return
	}
	t.faults.apply(c)
	t.report(w, r)
}

func (t *Tables) report(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, t.Counts())
}
