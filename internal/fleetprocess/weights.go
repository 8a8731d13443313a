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

// weightsKept is how long the row of a version is kept after it was named. Only
// the versions of the last bound matter.
const weightsKept = 2 * time.Minute

// weightsRow says when a version of weights was named, for entries that start
// later: the operators' row does not, and shows the newest version alone.
type weightsRow struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	NamedMS int64  `json:"namedMs"` // on the store's clock, at the earliest
}

func (r weightsRow) key() string { return r.Model + "/" + strconv.FormatInt(r.Version, 10) }

// recordWeights writes down when a version was named. It runs beside the watcher,
// which must not wait for it. A date that is not exact does not replace another one.
func (e *Entry) recordWeights(v gateway.TargetVersion) {
	row := weightsRow{Model: v.Model, Version: v.Version, NamedMS: e.operators.Table().StoreTime(v.SetAt).Milliseconds()}
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
		e.readWeights(ctx)
	}()
}

// readWeights takes in when versions were named before this process started, and
// removes rows that are of no use any more.
func (e *Entry) readWeights(ctx context.Context) bool {
	if e.operators.Table().Confirmed() == 0 {
		return false
	}
	page, err := e.store.List(ctx, platform.TableWeights)
	if err != nil {
		telemetry.StoreLost.Log(ctx, e.logger, "table", platform.TableWeights, "error", err)
		return false
	}
	for _, r := range page.Rows {
		var row weightsRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			telemetry.OperatorRowMalformed.Log(ctx, e.logger, "weights", r.Key, "error", err)
			continue
		}
		named := time.Duration(row.NamedMS) * time.Millisecond
		if page.StoreTime-named > weightsKept {
			// Another entry may have removed it; the next reading tries again.
			_ = e.store.Remove(ctx, platform.TableWeights, r.Key, r.Version)
			continue
		}
		e.gateway.ApplyTargetVersion(row.Model, row.Version, e.operators.Table().LocalTime(named))
	}
	return true
}
