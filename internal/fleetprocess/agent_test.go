package fleetprocess

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// A notice sets the target only if it names a version of a model that the endpoint runs.
func TestNoticesOfOtherWeights(t *testing.T) {
	engine := &fleet.Engine{Models: []string{"m", "n"}}
	c := fleet.NewConfiguration(1, fleet.WithServices(fleet.NewService("s", fleet.WithEngine(engine)), fleet.NewService("plain")))
	for _, test := range []struct {
		name          string
		weights       *nodev1.NamedWeights
		configuration *fleet.Configuration
		service       string
		want          bool
	}{
		{"own model", &nodev1.NamedWeights{Model: "n", Version: 2}, c, "s", true},
		{"before the configuration is known", &nodev1.NamedWeights{Model: "x", Version: 2}, nil, "s", true},
		{"other model", &nodev1.NamedWeights{Model: "x", Version: 2}, c, "s", false},
		{"no model", &nodev1.NamedWeights{Version: 2}, nil, "s", false},
		{"no weights", nil, c, "s", false},
		{"no version", &nodev1.NamedWeights{Model: "m"}, c, "s", false},
		{"negative version", &nodev1.NamedWeights{Model: "m", Version: -2}, nil, "s", false},
		{"version too large", &nodev1.NamedWeights{Model: "m", Version: math.MaxInt64}, c, "s", false},
		{"service without engine", &nodev1.NamedWeights{Model: "m", Version: 2}, c, "plain", false},
		{"unknown service", &nodev1.NamedWeights{Model: "m", Version: 2}, c, "t", false},
	} {
		require.Equal(t, test.want, ownTarget(test.weights, test.configuration, test.service), test.name)
	}
}
