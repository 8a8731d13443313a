package fleetprocess

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/gateway"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/platform"
)

// targetVersionTTL is how long the row of a target version is kept after the version was
// set. Only versions that were set within the version bound are needed.
const targetVersionTTL = 2 * time.Minute

// targetVersionRow records when a target version was set, for entries that start later:
// the operator's row contains the newest version only, without a time.
type targetVersionRow struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	SetAtMS int64  `json:"namedMs"` // on the store's clock, the earliest possible time
}

func (r targetVersionRow) key() string { return r.Model + "/" + strconv.FormatInt(r.Version, 10) }

// recordTargetVersion stores when a target version was set. It writes in a goroutine of
// its own, because the watcher must not wait for it. A time that is not exact does not
// replace a stored one.
func (e *Entry) recordTargetVersion(v gateway.TargetVersion) {
	row := targetVersionRow{Model: v.Model, Version: v.Version, SetAtMS: e.tables.operator.Table().StoreTime(v.SetAt).Milliseconds()}
	write := e.store.Create
	if v.Exact {
		write = e.store.Put
	}
	go func() {
		ctx := context.Background()
		value, err := json.Marshal(row)
		if err == nil {
			_, err = write(ctx, platform.TableWeights, row.key(), value)
		}
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			telemetry.StoreLost.Log(ctx, e.logger, "table", platform.TableWeights, "error", err)
			return
		}
		e.readTargetVersions(ctx)
	}()
}

// readTargetVersions applies the times of target versions that were set before this
// process started and removes rows older than targetVersionTTL. It reports whether the
// rows could be read.
func (e *Entry) readTargetVersions(ctx context.Context) bool {
	if e.tables.operator.Table().Confirmed() == 0 {
		return false
	}
	page, err := e.store.List(ctx, platform.TableWeights)
	if err != nil {
		telemetry.StoreLost.Log(ctx, e.logger, "table", platform.TableWeights, "error", err)
		return false
	}
	rows, failures := decodeTargetVersions(page)
	for _, f := range e.weightsRows.update(failures) {
		telemetry.OperatorRowMalformed.Log(ctx, e.logger, "weights", f.Key, "rowVersion", f.Version, "error", f.Err)
	}
	for _, r := range rows {
		if r.age > targetVersionTTL {
			// Another entry may have removed the row; if the call failed, the next read
			// removes it.
			_ = e.store.Remove(ctx, platform.TableWeights, r.row.key(), r.written)
			continue
		}
		e.gateway.ApplyTargetVersion(r.row.Model, r.row.Version, e.tables.operator.Table().LocalTime(page.StoreTime-r.age))
	}
	return true
}

// maxClockError is by how much the time in a row may be later than the store's clock: it
// is derived from a response that may have taken this long.
const maxClockError = 5 * time.Second

// recordedVersion is a row with the time at which a target version was set.
type recordedVersion struct {
	row     targetVersionRow
	written watch.Position
	age     time.Duration // since the version was set, by the store's clock
}

// decodeTargetVersions returns the rows of a page, and those that no entry has written.
func decodeTargetVersions(page watch.Update) (rows []recordedVersion, failures []platform.RowError) {
	for _, r := range page.Rows {
		row, err := decodeTargetVersion(r, page.StoreTime)
		if err != nil {
			failures = append(failures, platform.RowError{Key: r.Key, Version: r.Version, Err: err})
			continue
		}
		age := page.StoreTime - time.Duration(row.SetAtMS)*time.Millisecond
		rows = append(rows, recordedVersion{row: row, written: page.PositionOf(r), age: max(age, 0)})
	}
	return rows, failures
}

func decodeTargetVersion(r watch.Row, storeTime time.Duration) (targetVersionRow, error) {
	var row targetVersionRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return row, eris.Wrapf(platform.ErrMalformed, "%.*v", maxLoggedText, err)
	}
	if row.Model == "" || !platform.ValidVersion(row.Version) || row.key() != r.Key {
		return row, eris.Wrapf(platform.ErrMalformed, "version %d of model %.*q", row.Version, maxLoggedText, row.Model)
	}
	if row.SetAtMS < 0 || row.SetAtMS > (storeTime+maxClockError).Milliseconds() {
		return row, eris.Wrapf(platform.ErrMalformed, "set at %d ms of the store's clock", row.SetAtMS)
	}
	return row, nil
}
