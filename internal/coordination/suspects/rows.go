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

// Suspect is a fingerprint that was in flight at crashes. It is immutable but
// for the mark that it was asked for.
type Suspect struct {
	fingerprint digest.Digest
	crashes     []string
	expires     time.Time
	asked       atomic.Bool
}

type wireSuspect struct {
	Fingerprint digest.Digest `json:"fingerprint"`
	// Crashes are "<endpoint>/<incarnation>"; none after the suspect was cleared.
	Crashes []string `json:"crashes"`
	Expires int64    `json:"expires"` // Unix milliseconds
}

// Fingerprint returns the fingerprint.
func (s *Suspect) Fingerprint() digest.Digest { return s.fingerprint }

// Crashes returns the number of crashes at which it was in flight.
func (s *Suspect) Crashes() int { return len(s.crashes) }

// Expires returns when it is forgotten.
func (s *Suspect) Expires() time.Time { return s.expires }

// MarshalJSON implements json.Marshaler.
func (s *Suspect) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireSuspect{Fingerprint: s.fingerprint, Crashes: s.crashes, Expires: s.expires.UnixMilli()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Suspect) UnmarshalJSON(data []byte) error {
	var w wireSuspect
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

// union returns s with the crashes of other, unless other has expired.
func (s *Suspect) union(other *Suspect, now time.Time) *Suspect {
	all := s.clone()
	if other == nil || !other.expires.After(now) {
		return all
	}
	for _, crash := range other.crashes {
		if !slices.Contains(all.crashes, crash) && len(all.crashes) < maxCrashes {
			all.crashes = append(all.crashes, crash)
		}
	}
	if other.expires.After(all.expires) {
		all.expires = other.expires
	}
	all.asked.Store(other.asked.Load())
	return all
}

// Refresh writes what could not be written before, renews the quarantine of
// requests that keep coming, and replaces the view by the table's rows.
func (g *Registry) Refresh(ctx context.Context) error {
	if err := g.save(ctx); err != nil {
		return err
	}
	if err := g.renew(ctx); err != nil {
		return err
	}
	values, err := g.list(ctx, RowPrefix, maxRows)
	if err != nil {
		return err
	}
	view := map[digest.Digest]*Suspect{}
	for _, value := range values {
		s := &Suspect{}
		if err := json.Unmarshal(value, s); err != nil {
			return eris.Wrap(err, "suspect row")
		}
		if len(s.crashes) > 0 && s.expires.After(g.now()) {
			view[s.fingerprint] = s
		}
	}
	g.replace(view)
	return nil
}

// replace swaps the view in, with the crashes that are not yet in the table.
func (g *Registry) replace(view map[digest.Digest]*Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for fp, crashes := range g.unsaved {
		view[fp] = g.suspect(fp, crashes...).union(view[fp], g.now())
	}
	g.view.Store(&view)
}

func (g *Registry) save(ctx context.Context) error {
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

func (g *Registry) renew(ctx context.Context) error {
	for _, s := range *g.view.Load() {
		if !s.asked.Load() || s.expires.Sub(g.now()) > g.expiry/2 {
			continue
		}
		err := g.change(ctx, s.fingerprint, func(row *Suspect) *Suspect {
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

// Clear forgets a suspect or lifts a quarantine, and returns false if there is
// none.
func (g *Registry) Clear(ctx context.Context, fp digest.Digest) (bool, error) {
	cleared := false
	err := g.change(ctx, fp, func(row *Suspect) *Suspect {
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
	view := maps.Clone(*g.view.Load())
	cleared = cleared || view[fp] != nil
	delete(view, fp)
	delete(g.unsaved, fp)
	g.view.Store(&view)
	return cleared, nil
}

// addCrash adds a crash to the row and takes the row into the view.
func (g *Registry) addCrash(ctx context.Context, fp digest.Digest, crash string) error {
	var written *Suspect
	err := g.change(ctx, fp, func(row *Suspect) *Suspect {
		written = g.suspect(fp, crash).union(row, g.now())
		return written
	})
	if err != nil {
		return err
	}
	g.merge([]*Suspect{written})
	return nil
}

// change applies update to a row. All updates may be repeated, so a write whose
// outcome is unknown is read back and written again.
func (g *Registry) change(ctx context.Context, fp digest.Digest, update func(*Suspect) *Suspect) error {
	var err error
	for range maxWrites {
		row, version, readErr := g.read(ctx, fp)
		if readErr != nil {
			return readErr
		}
		if row == nil {
			row = &Suspect{fingerprint: fp}
		}
		value, encodeErr := json.Marshal(update(row))
		if encodeErr != nil {
			panic("suspects: row does not encode: " + encodeErr.Error())
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
		return nil, 0, eris.Wrapf(err, "suspect row %s", fp.Short())
	}
	return s, version, nil
}

func rowKey(fp digest.Digest) string {
	return RowPrefix + fp.String()
}
