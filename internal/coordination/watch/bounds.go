package watch

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrInvalidUpdate is wrapped by the error of Merge for an update that contradicts itself
// or is out of bounds. The copy stays as it was.
var ErrInvalidUpdate = eris.New("update is invalid")

// Bounds of an update.
const (
	// maxVersion bounds versions of the store. A copy at a larger one would take every
	// later update for an earlier one.
	maxVersion = 1 << 53
	// maxClock bounds the store's clock, which may count from 1970, and maxAge ages, so that
	// sums of them do not overflow.
	maxClock = 200 * 365 * 24 * time.Hour
	maxAge   = 50 * 365 * 24 * time.Hour
)

// check returns an error that wraps ErrInvalidUpdate unless the update can be merged.
func (u Update) check() error {
	if u.Era < 0 || u.Version < 0 || u.Version > maxVersion || u.Floor < 0 || u.Floor > u.Version {
		return eris.Wrapf(ErrInvalidUpdate, "version %d, floor %d", u.Version, u.Floor)
	}
	if u.StoreTime < 0 || u.StoreTime > maxClock || u.Age > maxAge {
		return eris.Wrapf(ErrInvalidUpdate, "store time %v, age %v", u.StoreTime, u.Age)
	}
	for _, r := range u.Rows {
		if r.Version <= 0 || r.Version > u.Version {
			return eris.Wrapf(ErrInvalidUpdate, "row version %d, version %d", r.Version, u.Version)
		}
	}
	return nil
}
