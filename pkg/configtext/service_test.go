package configtext_test

import (
	"context"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

func TestIdempotent(t *testing.T) {
	const text = goodText + `
[service.mixed]
team = "drafts"
kind = "plain"
[[service.mixed.calls]]
method = "GET"
path = "/legacy/**"
idempotent = false
[[service.mixed.calls]]
method = "*"
path = "/tags/*/set"
idempotent = true

[service.bots]
team = "drafts"
kind = "model"
idempotentCompletions = true
[[service.bots.models]]
name = "faq"
version = "1"
manifest = "` + zeros + `"
`
	cfg, err := configtext.Parse("calls.toml", []byte(text))
	require.NoError(t, err)
	tests := []struct {
		service string
		method  string
		path    string
		want    bool
	}{
		{"pages", "GET", "/page", true},
		{"pages", "HEAD", "/page", true},
		{"pages", "OPTIONS", "*", false},
		{"pages", "POST", "/search", true},
		{"pages", "POST", "/search/", true},
		{"pages", "POST", "/search?q=1", true},
		{"pages", "POST", "/search/more", false},
		{"pages", "POST", "/x/../search", false},
		{"pages", "POST", "//search", false},
		{"pages", "POST", "search", false},
		{"pages", "PUT", "/page", false},
		{"pages", "DELETE", "/page", false},
		{"pages", "get", "/page", false},
		{"mixed", "GET", "/legacy/publish", false},
		{"mixed", "GET", "/%6cegacy/publish", false},
		{"mixed", "GET", "/%256cegacy/publish", false},
		{"mixed", "GET", "/x/../legacy/publish", false},
		{"mixed", "GET", "/other", true},
		{"mixed", "POST", "/tags/a/set", true},
		{"mixed", "POST", "/tags/a/b/set", false},
		{"mixed", "POST", "/tags/a", false},
		{"mixed", "POST", "/v1/completions", false},
		{"writers", "POST", "/v1/completions", false},
		{"bots", "POST", "/v1/completions", true},
		{"bots", "POST", "/v1/chat/completions", true},
		{"bots", "POST", "/v1/embeddings", false},
	}
	for _, tt := range tests {
		t.Run(tt.service+" "+tt.method+" "+tt.path, func(t *testing.T) {
			s, found := cfg.Service(tt.service)
			require.True(t, found)
			require.Equal(t, tt.want, s.Idempotent(tt.method, tt.path))
		})
	}
}

func TestDefaults(t *testing.T) {
	cfg, err := configtext.Parse("good.toml", []byte(goodText))
	require.NoError(t, err)
	desk, found := cfg.Service("desk")
	require.True(t, found)
	require.Equal(t, configtext.KindPlain, desk.Kind())
	require.Equal(t, 1, desk.Servers())
	require.Equal(t, 1, desk.MaxUnavailable())
	require.Equal(t, 30*time.Second, desk.RequestTimeout())
	require.Equal(t, 24*time.Hour, desk.KeyRetention())
	require.Equal(t, 64, desk.MaxConcurrency())
	require.False(t, desk.HonoursFencing())
	require.Equal(t, configtext.ModelVersion{}, desk.Model())
	writers, found := cfg.Service("writers")
	require.True(t, found)
	require.Equal(t, "faq@1", writers.Model().String())
	require.InDelta(t, 1.5, writers.MaxOriginCopies(), 0)
	shop, found := cfg.Account("shop")
	require.True(t, found)
	require.Equal(t, 2, shop.Weight())
	require.Equal(t, 5, shop.Priority())
	require.True(t, shop.KeyDigest().IsZero())
	require.Equal(t, 30*time.Second, cfg.Properties().AddressTimeToLive())
}

func TestTeamOfToken(t *testing.T) {
	cfg := example(t, "daugava.toml")
	tests := []struct {
		token string
		team  string
		found bool
	}{
		{"daugava-platform-example", "platform", true},
		{"daugava-drafts-example", "drafts", true},
		{"", "", false},
		{"other", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.token, func(t *testing.T) {
			team, found := cfg.TeamOfToken(tt.token)
			require.Equal(t, tt.found, found)
			require.Equal(t, tt.team, team.Name())
		})
	}
}

func TestCheckManifests(t *testing.T) {
	cfg, err := configtext.Parse("good.toml", []byte(goodText))
	require.NoError(t, err)
	tests := []struct {
		name   string
		exists bool
		err    error
		want   error
		text   string
	}{
		{"there", true, nil, nil, ""},
		{"missing", false, nil, configtext.ErrInvalid, "good.toml:46: service.writers.models[0].manifest: manifest cc"},
		{"no answer", false, eris.New("store is down"), configtext.ErrUnchecked, "store is down"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			asked := 0
			exists := func(context.Context, digest.Digest) (bool, error) {
				asked++
				return tt.exists, tt.err
			}
			err := configtext.Check(context.Background(), cfg, configtext.WithManifestExists(exists))
			require.Equal(t, 1, asked)
			if tt.want == nil {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, tt.want)
			require.ErrorContains(t, err, tt.text)
		})
	}
}
