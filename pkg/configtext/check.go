package configtext

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// ErrUnchecked is returned by Check where a look-up failed, so that the Config
// is neither good nor bad.
var ErrUnchecked = eris.New("configuration could not be checked")

// checks holds the look-ups of Check.
type checks struct {
	manifestExists func(context.Context, digest.Digest) (bool, error)
}

// CheckOption adds a look-up to Check.
type CheckOption func(*checks)

// WithManifestExists makes Check look up each manifest once. An error of exists
// means that the store gave no answer.
func WithManifestExists(exists func(context.Context, digest.Digest) (bool, error)) CheckOption {
	return func(c *checks) { c.manifestExists = exists }
}

// Check makes those checks that need more than the text. It returns Faults for
// what the text names and doesn't exist, and an error that matches ErrUnchecked
// where a look-up failed.
func Check(ctx context.Context, cfg *Config, options ...CheckOption) error {
	var c checks
	for _, o := range options {
		o(&c)
	}
	if c.manifestExists == nil {
		return nil
	}
	return c.checkManifests(ctx, cfg)
}

func (c checks) checkManifests(ctx context.Context, cfg *Config) error {
	known := map[digest.Digest]bool{}
	var faults tomltext.Faults
	for _, s := range cfg.services {
		for _, m := range s.models {
			exists, asked := known[m.manifest]
			if !asked {
				var err error
				exists, err = c.manifestExists(ctx, m.manifest)
				if err != nil {
					return eris.Wrapf(ErrUnchecked, "manifest %s of %s: %v", m.manifest.Short(), s.name, err)
				}
				known[m.manifest] = exists
			}
			if !exists {
				faults = append(faults, tomltext.NewFault(cfg.file, m.line, m.key, "manifest "+m.manifest.String()+" does not exist in the store"))
			}
		}
	}
	return faults.Err()
}
