package configtext

import (
	"fmt"
	"slices"
	"strings"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
)

// Names of the top-level tables.
const (
	deploymentTable = "deployment"
	regionTable     = "region"
	teamTable       = "team"
	serviceTable    = "service"
	accountTable    = "account"
)

// reader turns a document into a Config and gathers faults.
type reader struct {
	doc *tomltext.Document
}

func (r reader) config() *Config {
	c := &Config{file: r.doc.File(), lines: map[string]int{}}
	root := r.doc.Root()
	if t := root.Table(deploymentTable); t != nil {
		c.deployment = readDeployment(t)
		c.lines[deploymentTable] = t.Line()
	} else if !root.Has(deploymentTable) {
		root.Fault(deploymentTable, "is required")
	}
	c.regions = readNamed(c, root, regionTable, MaxRegions, readRegion)
	c.teams = readNamed(c, root, teamTable, MaxTeams, readTeam)
	c.services = readNamed(c, root, serviceTable, MaxServices, readService)
	c.accounts = readNamed(c, root, accountTable, MaxAccounts, readAccount)
	c.index()
	return c
}

// readNamed reads the tables below root.key, sorted by name, and notes their
// lines in c.
func readNamed[T any](c *Config, root *tomltext.Table, key string, most int, read func(string, *tomltext.Table) T) []T {
	parent := root.Table(key)
	if parent == nil {
		return nil
	}
	names := parent.Keys()
	if len(names) > most {
		root.Fault(key, fmt.Sprintf("%d sections, at most %d", len(names), most))
		return nil
	}
	slices.Sort(names)
	var values []T
	for _, name := range names {
		if !namePattern.MatchString(name) {
			parent.Fault(name, fmt.Sprintf("%.80q does not match %s", name, namePattern))
		}
		if t := parent.Table(name); t != nil {
			c.lines[t.Path()] = t.Line()
			values = append(values, read(name, t))
		}
	}
	return values
}

func readDeployment(t *tomltext.Table) Deployment {
	return Deployment{
		name:                 t.String(deploymentName),
		storeRegion:          t.String(storeRegion),
		entryInstances:       int(t.Integer(entryInstances)),
		failureDomainLatency: t.Duration(failureDomainLatency),
		regionLatency:        t.Duration(regionLatency),
		clientLatency:        t.Duration(clientLatency),
		originLinkCopies:     t.Float(originLinkCopies),
		instanceLinkCopies:   t.Float(instanceLinkCopies),
		addressTimeToLive:    t.Duration(addressTimeToLive),
	}
}

func readRegion(name string, t *tomltext.Table) Region {
	return Region{
		name:              name,
		failureDomains:    t.Strings(failureDomains),
		linkBitsPerSecond: t.Integer(linkBitsPerSecond),
	}
}

func readTeam(name string, t *tomltext.Table) Team {
	return Team{
		name:          name,
		tokenDigest:   t.Digest(tokenDigest),
		administrator: t.Boolean(administrator),
	}
}

func readAccount(name string, t *tomltext.Table) Account {
	return Account{
		name:              name,
		team:              t.String(ownerTeam),
		weight:            int(t.Integer(weight)),
		priority:          int(t.Integer(priority)),
		requestsPerSecond: t.Float(requestsPerSecond),
		maxInFlight:       int(t.Integer(maxInFlight)),
		keyDigest:         t.Digest(keyDigest),
	}
}

func readService(name string, t *tomltext.Table) Service {
	s := Service{
		name:                  name,
		team:                  t.String(ownerTeam),
		kind:                  Kind(t.String(serviceKind)),
		servers:               int(t.Integer(servers)),
		serve:                 t.String(serve),
		dependsOn:             t.Strings(dependsOn),
		maxUnavailable:        int(t.Integer(maxUnavailable)),
		honoursFencing:        t.Boolean(honoursFencing),
		idempotentCompletions: t.Boolean(idempotentCompletions),
		maxOriginCopies:       t.Float(maxOriginCopies),
		requestTimeout:        t.Duration(requestTimeout),
		maxConcurrency:        int(t.Integer(maxConcurrency)),
		keyRetention:          t.Duration(keyRetention),
	}
	s.models = readModels(t)
	s.calls = readCalls(t)
	s.wanted = wantedModel(s, t)
	refuseModelKeys(s, t)
	if s.maxUnavailable > s.servers {
		t.Fault(maxUnavailable.Name, fmt.Sprintf("%d is more than the service's %d servers", s.maxUnavailable, s.servers))
	}
	return s
}

// boundedTables returns the tables under s, none where there are too many.
func boundedTables(t *tomltext.Table, s tomltext.Spec) []*tomltext.Table {
	tables := t.Tables(s.Name)
	if len(tables) > int(s.Most) {
		t.Fault(s.Name, fmt.Sprintf("%d elements, must be %s", len(tables), s.Range()))
		return nil
	}
	return tables
}

func readModels(t *tomltext.Table) []ModelVersion {
	var list []ModelVersion
	for _, sub := range boundedTables(t, models) {
		m := ModelVersion{
			name:     sub.String(modelName),
			version:  sub.String(modelVersion),
			manifest: sub.Digest(modelManifest),
			line:     sub.LineOf(modelManifest.Name),
			key:      sub.Path() + "." + modelManifest.Name,
		}
		same := func(o ModelVersion) bool { return o.name == m.name && o.version == m.version }
		if m.name != "" && m.version != "" && slices.ContainsFunc(list, same) {
			sub.Fault(modelVersion.Name, fmt.Sprintf("%s is listed twice", m))
		}
		list = append(list, m)
	}
	return list
}

func readCalls(t *tomltext.Table) []callRule {
	var rules []callRule
	for _, sub := range boundedTables(t, calls) {
		r := callRule{
			method:     sub.String(callMethod),
			path:       sub.String(callPath),
			idempotent: sub.Boolean(callIdempotent),
		}
		if reason := refusesPattern(r.path); r.path != "" && reason != "" {
			sub.Fault(callPath.Name, reason)
		}
		same := func(o callRule) bool { return o.method == r.method && o.path == r.path }
		if r.path != "" && slices.ContainsFunc(rules, same) {
			sub.Fault(callPath.Name, fmt.Sprintf("%s %s is listed twice", r.method, r.path))
		}
		rules = append(rules, r)
	}
	return rules
}

// wantedModel returns the index of the version that `serve` names, or 0 where
// the service lists a single one.
func wantedModel(s Service, t *tomltext.Table) int {
	if s.kind != KindModel {
		return 0
	}
	if len(s.models) == 0 {
		if !t.Has(models.Name) {
			t.Fault(models.Name, "a service of the kind model must list a model version")
		}
		return 0
	}
	if !t.Has(serve.Name) {
		if len(s.models) > 1 {
			t.Fault(serve.Name, "is required where several model versions are listed")
		}
		return 0
	}
	i := slices.IndexFunc(s.models, func(m ModelVersion) bool { return m.String() == s.serve })
	if i >= 0 {
		return i
	}
	if s.serve != "" {
		t.Fault(serve.Name, fmt.Sprintf("unknown model version %q, known are %s", s.serve, joinVersions(s.models)))
	}
	return 0
}

// refuseModelKeys adds a fault for each key of a plain service that is for
// services with a model.
func refuseModelKeys(s Service, t *tomltext.Table) {
	if s.kind != KindPlain {
		return
	}
	for _, key := range []tomltext.Spec{models, serve, idempotentCompletions, maxOriginCopies} {
		if t.Has(key.Name) {
			t.Fault(key.Name, "a service of the kind plain has no model")
		}
	}
}

func joinVersions(list []ModelVersion) string {
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = m.String()
	}
	return strings.Join(names, ", ")
}
