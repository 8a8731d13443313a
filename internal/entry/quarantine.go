package entry

import (
	"context"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
)

// quarantined returns the requests that were in flight at crashes, after a fresh
// read of the table. Those with two crashes or more are refused.
func (e *Entry) quarantined(ctx context.Context) ([]*adminv1.QuarantineEntry, error) {
	if err := e.traffic.suspects.Refresh(ctx); err != nil {
		return nil, err
	}
	var list []*adminv1.QuarantineEntry
	for _, s := range e.traffic.suspects.Suspects() {
		list = append(list, &adminv1.QuarantineEntry{
			Fingerprint: s.Fingerprint().String(),
			Crashes:     uint32(s.Crashes()),
			ExpiresUnix: s.Expires().Unix(),
		})
	}
	return list, nil
}

// liftQuarantine lets a request run again at every entry.
func (e *Entry) liftQuarantine(ctx context.Context, fingerprint string) (bool, error) {
	fp, err := digest.Parse(fingerprint)
	if err != nil {
		return false, err
	}
	return e.traffic.suspects.Clear(ctx, fp)
}
