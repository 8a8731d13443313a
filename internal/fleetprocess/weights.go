package fleetprocess

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

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
	row := targetVersionRow{Model: v.Model, Version: v.Version, SetAtMS: e.operatorWatcher.Table().StoreTime(v.SetAt).Milliseconds()}
	write := e.store.Create
	if v.Exact {
		write = e.store.Put
	}
	go func() {
		ctx := context.Background()
		value, err := json.Marshal(row)
		if err == nil {
			err = write(ctx, platform.TableWeights, row.key(), value)
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
	if e.operatorWatcher.Table().Confirmed() == 0 {
		return false
	}
	page, err := e.store.List(ctx, platform.TableWeights)
	if err != nil {
		telemetry.StoreLost.Log(ctx, e.logger, "table", platform.TableWeights, "error", err)
		return false
	}
	for _, r := range page.Rows {
		var row targetVersionRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			telemetry.OperatorRowMalformed.Log(ctx, e.logger, "weights", r.Key, "error", err)
			continue
		}
		setAt := time.Duration(row.SetAtMS) * time.Millisecond
		if page.StoreTime-setAt > targetVersionTTL {
			// Another entry may have removed the row; if the call failed, the next read
			// removes it.
			_ = e.store.Remove(ctx, platform.TableWeights, r.Key, r.Version)
			continue
		}
		e.gateway.ApplyTargetVersion(row.Model, row.Version, e.operatorWatcher.Table().LocalTime(setAt))
	}
	return true
}
