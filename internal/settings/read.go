package settings

import (
	"log/slog"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

func readSettings(root *tomltext.Table) *Settings {
	s := &Settings{
		name:          root.String(nameKey),
		role:          member.Role(root.String(roleKey)),
		listen:        root.Address(listenKey),
		callerListen:  root.Address(callerListenKey),
		advertise:     root.Address(advertiseKey),
		region:        root.String(regionKey),
		failureDomain: root.String(failureDomainKey),
		service:       root.String(serviceKey),
		engineURL:     root.URL(engineURLKey),
	}
	s.platform = readPlatform(root)
	s.budgets = readBudgets(root)
	s.trace = readTrace(root)
	s.log = readLog(root)
	s.tls = readTLS(root)
	s.tokens = readTokens(root)
	s.checkRole(root)
	s.checkAddresses(root)
	return s
}

func readPlatform(root *tomltext.Table) Platform {
	t := root.TableOrEmpty(platformTable)
	return Platform{
		tables:  t.URL(tablesURLKey),
		objects: t.URL(objectsURLKey),
		origin:  t.URL(originURLKey),
		members: t.URL(membersURLKey),
	}
}

func readBudgets(root *tomltext.Table) Budgets {
	t := root.TableOrEmpty(budgetsTable)
	return Budgets{
		upload:     t.Integer(uploadKey),
		regionLink: t.Integer(regionLinkKey),
		origin:     t.Integer(originKey),
		control:    t.Integer(controlKey),
	}
}

func readTrace(root *tomltext.Table) Trace {
	t := root.TableOrEmpty(traceTable)
	trace := Trace{
		exporter: Exporter(t.String(exporterKey)),
		file:     t.String(traceFileKey),
		endpoint: t.URL(traceEndpointKey),
	}
	requireOnlyIf(t, traceFileKey, trace.exporter == ExporterFile, "exporter is \"file\"")
	requireOnlyIf(t, traceEndpointKey, trace.exporter == ExporterOTLP, "exporter is \"otlp\"")
	return trace
}

func readLog(root *tomltext.Table) Log {
	var level slog.Level
	name := root.TableOrEmpty(logTable).String(levelKey)
	if err := level.UnmarshalText([]byte(name)); err != nil {
		panic("settings: log level " + name + " passed validation but can't be parsed: " + err.Error())
	}
	return Log{level: level}
}

func readTLS(root *tomltext.Table) TLS {
	t := root.TableOrEmpty(tlsTable)
	files := TLS{
		certFile: t.String(certFileKey),
		keyFile:  t.String(keyFileKey),
		caFile:   t.String(caFileKey),
	}
	requireOnlyIf(t, keyFileKey, t.Has(certFileKey.Name), "certFile is set")
	return files
}

func readTokens(root *tomltext.Table) Tokens {
	t := root.TableOrEmpty(tokensTable)
	return Tokens{
		node:     t.String(nodeTokenKey),
		platform: t.String(platformTokenKey),
	}
}

// requireOnlyIf adds a fault if key is required but not set, or set but not required.
// The text of condition says when the key is required.
func requireOnlyIf(t *tomltext.Table, key tomltext.Spec, required bool, condition string) {
	switch set := t.Has(key.Name); {
	case required && !set:
		t.Fault(key.Name, "is required when "+condition)
	case !required && set:
		t.Fault(key.Name, "is only allowed when "+condition)
	}
}

func (s *Settings) checkRole(root *tomltext.Table) {
	if s.role == "" {
		return
	}
	entry := s.role == member.RoleEntry
	requireOnlyIf(root, callerListenKey, entry, "role is \"entry\"")
	requireOnlyIf(root, serviceKey, !entry, "role is \"agent\"")
	requireOnlyIf(root, engineURLKey, !entry, "role is \"agent\"")
}

// checkAddresses sets advertise to listen if it is absent. It adds faults for advertised
// addresses that other processes can't reach, and for a callerListen that would carry
// operators' tokens without TLS outside of loopback.
func (s *Settings) checkAddresses(root *tomltext.Table) {
	if s.listen.IsValid() && !s.advertise.IsValid() {
		s.advertise = s.listen
		if s.listen.Addr().IsUnspecified() && !root.Has(advertiseKey.Name) {
			root.Fault(advertiseKey.Name, "is required when listen is the unspecified address")
		}
	} else if s.advertise.IsValid() && s.advertise.Addr().IsUnspecified() {
		root.Fault(advertiseKey.Name, "must not be the unspecified address")
	}
	if s.advertise.IsValid() && s.advertise.Port() == 0 {
		root.Fault(advertiseKey.Name, "must have a port other than 0")
	}
	if s.callerListen.IsValid() && s.callerListen == s.listen {
		root.Fault(callerListenKey.Name, "must differ from listen")
	}
	if s.callerListen.IsValid() && !s.callerListen.Addr().IsLoopback() && !s.tls.Enabled() {
		root.Fault(callerListenKey.Name, "carries operators' tokens, so it needs [tls] unless it is on loopback")
	}
}
