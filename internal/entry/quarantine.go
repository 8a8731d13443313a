package entry

import (
	"context"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
)

// quarantined refreshes the suspects from the table and returns them: the requests that
// were in flight during a crash. Those with two or more crashes are refused.
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

// clearQuarantine clears the recorded crashes of a request, so that every entry admits
// it again. It returns false if none were recorded.
func (e *Entry) clearQuarantine(ctx context.Context, fingerprint string) (bool, error) {
	fp, err := digest.Parse(fingerprint)
	if err != nil {
		return false, err
	}
	return e.traffic.suspects.Clear(ctx, fp)
}
