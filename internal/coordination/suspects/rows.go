package suspects

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Suspect is a fingerprint that was in flight at one or more crashes. It is immutable
// except for the flag that it was requested while in quarantine.
type Suspect struct {
	fingerprint digest.Digest
	crashes     []string
	expires     time.Time
	requested   atomic.Bool
}

type suspectJSON struct {
	Fingerprint digest.Digest `json:"fingerprint"`
	// Crashes are "<endpoint>/<incarnation>"; empty after the suspect was cleared.
	Crashes []string `json:"crashes"`
	Expires int64    `json:"expires"` // Unix milliseconds
}

// Fingerprint returns the fingerprint of the request.
func (s *Suspect) Fingerprint() digest.Digest { return s.fingerprint }

// Crashes returns the number of crashes at which the request was in flight.
func (s *Suspect) Crashes() int { return len(s.crashes) }

// Expires returns the time at which the suspect is removed.
func (s *Suspect) Expires() time.Time { return s.expires }

// MarshalJSON implements json.Marshaler.
func (s *Suspect) MarshalJSON() ([]byte, error) {
	return json.Marshal(suspectJSON{Fingerprint: s.fingerprint, Crashes: s.crashes, Expires: s.expires.UnixMilli()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Suspect) UnmarshalJSON(data []byte) error {
	var w suspectJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	s.fingerprint = w.Fingerprint
	s.crashes = w.Crashes
	s.expires = time.UnixMilli(w.Expires)
	return nil
}

func (s *Suspect) clone() *Suspect {
	return &Suspect{fingerprint: s.fingerprint, crashes: slices.Clone(s.crashes), expires: s.expires}
}

// union returns a copy of s with the crashes of other added, up to maxCrashes, and the
// later of both expiry times. An other that is nil or has expired is ignored.
func (s *Suspect) union(other *Suspect, now time.Time) *Suspect {
	merged := s.clone()
	if other == nil || !other.expires.After(now) {
		return merged
	}
	for _, crash := range other.crashes {
		if !slices.Contains(merged.crashes, crash) && len(merged.crashes) < maxCrashes {
			merged.crashes = append(merged.crashes, crash)
		}
	}
	if other.expires.After(merged.expires) {
		merged.expires = other.expires
	}
	merged.requested.Store(other.requested.Load())
	return merged
}

// Refresh writes the crashes that could not be written before, renews the quarantine of
// requests that callers still send, and replaces the snapshot with the table's rows.
func (g *Registry) Refresh(ctx context.Context) error {
	if err := g.writeUnsaved(ctx); err != nil {
		return err
	}
	if err := g.renewQuarantines(ctx); err != nil {
		return err
	}
	values, err := g.list(ctx, RowPrefix, maxRows)
	if err != nil {
		return err
	}
	snapshot := map[digest.Digest]*Suspect{}
	for _, value := range values {
		s := &Suspect{}
		if err := json.Unmarshal(value, s); err != nil {
			return eris.Wrap(err, "decode suspect row")
		}
		if len(s.crashes) > 0 && s.expires.After(g.now()) {
			snapshot[s.fingerprint] = s
		}
	}
	g.replaceSnapshot(snapshot)
	return nil
}

// replaceSnapshot stores the new snapshot, with the crashes added that are not yet in
// the table.
func (g *Registry) replaceSnapshot(snapshot map[digest.Digest]*Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for fp, crashes := range g.unsaved {
		snapshot[fp] = g.newSuspect(fp, crashes...).union(snapshot[fp], g.now())
	}
	g.snapshot.Store(&snapshot)
}

func (g *Registry) writeUnsaved(ctx context.Context) error {
	g.mu.Lock()
	unsaved := maps.Clone(g.unsaved)
	g.mu.Unlock()
	for fp, crashes := range unsaved {
		for _, crash := range crashes {
			if err := g.addCrash(ctx, fp, crash); err != nil {
				return err
			}
		}
		g.mu.Lock()
		delete(g.unsaved, fp)
		g.mu.Unlock()
	}
	return nil
}

func (g *Registry) renewQuarantines(ctx context.Context) error {
	for _, s := range *g.snapshot.Load() {
		if !s.requested.Load() || s.expires.Sub(g.now()) > g.expiry/2 {
			continue
		}
		err := g.updateRow(ctx, s.fingerprint, func(row *Suspect) *Suspect {
			next := row.clone()
			next.expires = g.now().Add(g.expiry)
			return next
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Clear removes a suspect or lifts its quarantine. It returns false if the fingerprint
// is not a suspect.
func (g *Registry) Clear(ctx context.Context, fp digest.Digest) (bool, error) {
	cleared := false
	err := g.updateRow(ctx, fp, func(row *Suspect) *Suspect {
		cleared = cleared || len(row.crashes) > 0
		next := row.clone()
		next.crashes = nil
		return next
	})
	if err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	snapshot := maps.Clone(*g.snapshot.Load())
	cleared = cleared || snapshot[fp] != nil
	delete(snapshot, fp)
	delete(g.unsaved, fp)
	g.snapshot.Store(&snapshot)
	return cleared, nil
}

// addCrash adds a crash to the row and merges the row into the snapshot.
func (g *Registry) addCrash(ctx context.Context, fp digest.Digest, crash string) error {
	var written *Suspect
	err := g.updateRow(ctx, fp, func(row *Suspect) *Suspect {
		written = g.newSuspect(fp, crash).union(row, g.now())
		return written
	})
	if err != nil {
		return err
	}
	g.merge([]*Suspect{written})
	return nil
}

// updateRow applies update to a row. All updates are idempotent, so after a failed
// write, also one with an unknown outcome, the row is read and written again.
func (g *Registry) updateRow(ctx context.Context, fp digest.Digest, update func(*Suspect) *Suspect) error {
	var err error
	for range maxWriteAttempts {
		row, version, readErr := g.read(ctx, fp)
		if readErr != nil {
			return readErr
		}
		if row == nil {
			row = &Suspect{fingerprint: fp}
		}
		value, encodeErr := json.Marshal(update(row))
		if encodeErr != nil {
			panic("suspects: cannot encode row: " + encodeErr.Error())
		}
		if err = g.compareAndSet(ctx, rowKey(fp), version, value); err == nil {
			return nil
		}
	}
	return err
}

func (g *Registry) read(ctx context.Context, fp digest.Digest) (*Suspect, uint64, error) {
	value, version, err := g.get(ctx, rowKey(fp))
	if err != nil || version == 0 {
		return nil, version, err
	}
	s := &Suspect{}
	if err := json.Unmarshal(value, s); err != nil {
		return nil, 0, eris.Wrapf(err, "decode suspect row %s", fp.Short())
	}
	return s, version, nil
}

func rowKey(fp digest.Digest) string {
	return RowPrefix + fp.String()
}
