package configtext

import (
	"regexp"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
)

// Patterns of names. A name of a section can stand as a bare key in TOML.
var (
	namePattern    = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	servePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}@[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// Bounds of lists.
const (
	maxFailureDomains = 64
	maxDependencies   = 100
	maxModels         = 16
	maxCalls          = 100
)

// maxLatencySeconds bounds the latencies of a deployment.
const maxLatencySeconds = 10

// Keys of [deployment].
var (
	deploymentName       = tomltext.Spec{Name: "name", Kind: tomltext.String, Pattern: namePattern, Required: true}
	storeRegion          = tomltext.Spec{Name: "storeRegion", Kind: tomltext.String, Pattern: namePattern}
	entryInstances       = tomltext.Spec{Name: "entryInstances", Kind: tomltext.Integer, Least: 1, Most: 10_000, Default: "8"}
	failureDomainLatency = tomltext.Spec{Name: "failureDomainLatency", Kind: tomltext.Duration, Most: maxLatencySeconds, Default: "1ms"}
	regionLatency        = tomltext.Spec{Name: "regionLatency", Kind: tomltext.Duration, Most: maxLatencySeconds, Default: "3ms"}
	clientLatency        = tomltext.Spec{Name: "clientLatency", Kind: tomltext.Duration, Most: maxLatencySeconds, Default: "3ms"}
	originLinkCopies     = tomltext.Spec{Name: "originLinkCopies", Kind: tomltext.Float, Unit: "copies", Least: 0.1, Most: 1000, Default: "4"}
	instanceLinkCopies   = tomltext.Spec{Name: "instanceLinkCopies", Kind: tomltext.Float, Unit: "copies", Least: 0.1, Most: 1000, Default: "2"}
	addressTimeToLive    = tomltext.Spec{Name: "addressTimeToLive", Kind: tomltext.Duration, Least: 1, Most: 3600, Default: "30s"}
)

// Keys of [region.NAME].
var (
	failureDomains    = tomltext.Spec{Name: "failureDomains", Kind: tomltext.Strings, Pattern: namePattern, Least: 1, Most: maxFailureDomains, Required: true}
	linkBitsPerSecond = tomltext.Spec{Name: "linkBitsPerSecond", Kind: tomltext.Integer, Unit: "bit/s", Least: 1000, Most: 1e12, Default: "20000000"}
)

// Keys of [team.NAME].
var (
	tokenDigest   = tomltext.Spec{Name: "tokenDigest", Kind: tomltext.Digest, Required: true}
	administrator = tomltext.Spec{Name: "administrator", Kind: tomltext.Boolean, Default: "false"}
)

// ownerTeam stands in [service.NAME] and [account.NAME].
var ownerTeam = tomltext.Spec{Name: "team", Kind: tomltext.String, Pattern: namePattern, Required: true}

// Keys of [service.NAME].
var (
	serviceKind           = tomltext.Spec{Name: "kind", Kind: tomltext.String, OneOf: []string{string(KindModel), string(KindPlain)}, Required: true}
	servers               = tomltext.Spec{Name: "servers", Kind: tomltext.Integer, Least: 1, Most: 100_000, Default: "1"}
	serve                 = tomltext.Spec{Name: "serve", Kind: tomltext.String, Pattern: servePattern}
	models                = tomltext.Spec{Name: "models", Kind: tomltext.Tables, Most: maxModels}
	dependsOn             = tomltext.Spec{Name: "dependsOn", Kind: tomltext.Strings, Pattern: namePattern, Most: maxDependencies}
	maxUnavailable        = tomltext.Spec{Name: "maxUnavailable", Kind: tomltext.Integer, Least: 1, Most: 100_000, Default: "1"}
	honoursFencing        = tomltext.Spec{Name: "honoursFencing", Kind: tomltext.Boolean, Default: "false"}
	idempotentCompletions = tomltext.Spec{Name: "idempotentCompletions", Kind: tomltext.Boolean, Default: "false"}
	calls                 = tomltext.Spec{Name: "calls", Kind: tomltext.Tables, Most: maxCalls}
	maxOriginCopies       = tomltext.Spec{Name: "maxOriginCopies", Kind: tomltext.Float, Unit: "copies", Least: 1, Most: 4, Default: "1"}
	requestTimeout        = tomltext.Spec{Name: "requestTimeout", Kind: tomltext.Duration, Least: 0.001, Most: 3600, Default: "30s"}
	maxConcurrency        = tomltext.Spec{Name: "maxConcurrency", Kind: tomltext.Integer, Unit: "requests", Least: 1, Most: 100_000, Default: "64"}
	keyRetention          = tomltext.Spec{Name: "keyRetention", Kind: tomltext.Duration, Least: 60, Most: 30 * 86400, Default: "24h"}
)

// Keys of [[service.NAME.models]].
var (
	modelName     = tomltext.Spec{Name: "name", Kind: tomltext.String, Pattern: versionPattern, Required: true}
	modelVersion  = tomltext.Spec{Name: "version", Kind: tomltext.String, Pattern: versionPattern, Required: true}
	modelManifest = tomltext.Spec{Name: "manifest", Kind: tomltext.Digest, Required: true}
)

// Keys of [[service.NAME.calls]].
var (
	callMethod     = tomltext.Spec{Name: "method", Kind: tomltext.String, OneOf: []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE", anyMethod}, Required: true}
	callPath       = tomltext.Spec{Name: "path", Kind: tomltext.String, Required: true}
	callIdempotent = tomltext.Spec{Name: "idempotent", Kind: tomltext.Boolean, Required: true}
)

// Keys of [account.NAME].
var (
	weight            = tomltext.Spec{Name: "weight", Kind: tomltext.Integer, Least: 1, Most: 1000, Default: "1"}
	priority          = tomltext.Spec{Name: "priority", Kind: tomltext.Integer, Most: 9, Default: "5"}
	requestsPerSecond = tomltext.Spec{Name: "requestsPerSecond", Kind: tomltext.Float, Unit: "requests/s", Least: 0.01, Most: 1_000_000, Default: "10"}
	maxInFlight       = tomltext.Spec{Name: "maxInFlight", Kind: tomltext.Integer, Unit: "requests", Least: 1, Most: 1_000_000, Default: "100"}
	keyDigest         = tomltext.Spec{Name: "keyDigest", Kind: tomltext.Digest}
)

// Key describes one key of the text. Its path has NAME where a name stands.
type Key = tomltext.Key

// Keys returns every key of the text, in the order of docs/CONFIG.md.
func Keys() []Key {
	groups := []struct {
		path  string
		specs []tomltext.Spec
	}{
		{"deployment.", []tomltext.Spec{
			deploymentName, storeRegion, entryInstances, failureDomainLatency, regionLatency,
			clientLatency, originLinkCopies, instanceLinkCopies, addressTimeToLive,
		}},
		{"region.NAME.", []tomltext.Spec{failureDomains, linkBitsPerSecond}},
		{"team.NAME.", []tomltext.Spec{tokenDigest, administrator}},
		{"service.NAME.", []tomltext.Spec{
			ownerTeam, serviceKind, servers, serve, models, dependsOn, maxUnavailable, honoursFencing,
			idempotentCompletions, calls, maxOriginCopies, requestTimeout, maxConcurrency, keyRetention,
		}},
		{"service.NAME.models[].", []tomltext.Spec{modelName, modelVersion, modelManifest}},
		{"service.NAME.calls[].", []tomltext.Spec{callMethod, callPath, callIdempotent}},
		{"account.NAME.", []tomltext.Spec{ownerTeam, weight, priority, requestsPerSecond, maxInFlight, keyDigest}},
	}
	var keys []Key
	for _, g := range groups {
		for _, s := range g.specs {
			keys = append(keys, tomltext.NewKey(g.path+s.Name, s))
		}
	}
	return keys
}
