package settings

import (
	"regexp"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Patterns of names. sectionPattern is for regions, failure domains and services, and
// equals their pattern in the operators' configuration.
var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	sectionPattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
)

// maxRate is the upper limit of every rate, in bytes per second.
const maxRate = 1e12

// Keys of the root table.
var (
	nameKey          = tomltext.Spec{Name: "name", Kind: tomltext.String, Pattern: namePattern, Required: true}
	roleKey          = tomltext.Spec{Name: "role", Kind: tomltext.String, OneOf: []string{string(member.RoleEntry), string(member.RoleAgent)}, Required: true}
	listenKey        = tomltext.Spec{Name: "listen", Kind: tomltext.Address, Required: true}
	callerListenKey  = tomltext.Spec{Name: "callerListen", Kind: tomltext.Address}
	advertiseKey     = tomltext.Spec{Name: "advertise", Kind: tomltext.Address}
	regionKey        = tomltext.Spec{Name: "region", Kind: tomltext.String, Pattern: sectionPattern, Required: true}
	failureDomainKey = tomltext.Spec{Name: "failureDomain", Kind: tomltext.String, Pattern: sectionPattern, Required: true}
	serviceKey       = tomltext.Spec{Name: "service", Kind: tomltext.String, Pattern: sectionPattern}
	engineURLKey     = tomltext.Spec{Name: "engineUrl", Kind: tomltext.URL}
)

// Keys of [platform].
var (
	tablesURLKey  = tomltext.Spec{Name: "tablesUrl", Kind: tomltext.URL, Required: true}
	objectsURLKey = tomltext.Spec{Name: "objectsUrl", Kind: tomltext.URL, Required: true}
	originURLKey  = tomltext.Spec{Name: "originUrl", Kind: tomltext.URL, Required: true}
	membersURLKey = tomltext.Spec{Name: "membersUrl", Kind: tomltext.URL, Required: true}
)

// Keys of [budgets].
var (
	uploadKey     = tomltext.Spec{Name: "uploadBytesPerSecond", Kind: tomltext.Integer, Unit: "B/s", Least: 1000, Most: maxRate, Default: "100000000"}
	regionLinkKey = tomltext.Spec{Name: "regionLinkBytesPerSecond", Kind: tomltext.Integer, Unit: "B/s", Least: 1000, Most: maxRate, Default: "1250000"}
	originKey     = tomltext.Spec{Name: "originBytesPerSecond", Kind: tomltext.Integer, Unit: "B/s", Least: 1000, Most: maxRate, Default: "100000000"}
	controlKey    = tomltext.Spec{Name: "controlBytesPerSecond", Kind: tomltext.Integer, Unit: "B/s", Least: 100, Most: maxRate, Default: "3000"}
)

// Keys of [trace].
var (
	exporterKey      = tomltext.Spec{Name: "exporter", Kind: tomltext.String, OneOf: []string{string(ExporterNone), string(ExporterStdout), string(ExporterFile), string(ExporterOTLP)}, Default: string(ExporterNone)}
	traceFileKey     = tomltext.Spec{Name: "file", Kind: tomltext.String}
	traceEndpointKey = tomltext.Spec{Name: "endpoint", Kind: tomltext.URL}
)

// levelKey is the only key of [log].
var levelKey = tomltext.Spec{Name: "level", Kind: tomltext.String, OneOf: []string{"debug", "info", "warn", "error"}, Default: "info"}

// Keys of [tls].
var (
	certFileKey = tomltext.Spec{Name: "certFile", Kind: tomltext.String}
	keyFileKey  = tomltext.Spec{Name: "keyFile", Kind: tomltext.String}
	caFileKey   = tomltext.Spec{Name: "caFile", Kind: tomltext.String}
)

// Keys of [tokens].
var (
	nodeTokenKey     = tomltext.Spec{Name: "node", Kind: tomltext.String}
	platformTokenKey = tomltext.Spec{Name: "platform", Kind: tomltext.String}
)

// Names of the tables.
const (
	platformTable = "platform"
	budgetsTable  = "budgets"
	traceTable    = "trace"
	logTable      = "log"
	tlsTable      = "tls"
	tokensTable   = "tokens"
)

// Keys returns every key of a settings file, in the order of docs/CONFIG.md.
func Keys() []tomltext.Key {
	var keys []tomltext.Key
	add := func(path string, specs ...tomltext.Spec) {
		for _, s := range specs {
			keys = append(keys, tomltext.NewKey(path+s.Name, s))
		}
	}
	add("", nameKey, roleKey, listenKey, callerListenKey, advertiseKey, regionKey, failureDomainKey, serviceKey, engineURLKey)
	add(platformTable+".", tablesURLKey, objectsURLKey, originURLKey, membersURLKey)
	add(budgetsTable+".", uploadKey, regionLinkKey, originKey, controlKey)
	add(traceTable+".", exporterKey, traceFileKey, traceEndpointKey)
	add(logTable+".", levelKey)
	add(tlsTable+".", certFileKey, keyFileKey, caFileKey)
	add(tokensTable+".", nodeTokenKey, platformTokenKey)
	return keys
}
