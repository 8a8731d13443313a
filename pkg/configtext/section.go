package configtext

import (
	"bytes"
	"fmt"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// sectionsFile is the file name in the faults of FromSections.
const sectionsFile = "sections"

// Section is one table of the text in its canonical form. It is immutable.
type Section struct {
	name   string
	text   []byte
	digest digest.Digest
}

// NewSection returns a section with the text as given. Whether the text is
// the canonical form of a section of that name is checked by FromSections.
func NewSection(name string, text []byte) Section {
	return Section{name: name, text: bytes.Clone(text), digest: digest.Of(text)}
}

// Name returns the dotted path of the table, such as "service.shop-pages".
func (s Section) Name() string { return s.name }

// Digest returns the digest of the text.
func (s Section) Digest() digest.Digest { return s.digest }

// Text returns the canonical text. The caller must not change it.
func (s Section) Text() []byte { return s.text }

// Sections returns the sections in their fixed order: the deployment, then
// regions, teams, services and accounts, each sorted by name.
func (c *Config) Sections() []Section { return append([]Section(nil), c.sections...) }

// Section returns the section of that name.
func (c *Config) Section(name string) (Section, bool) {
	for _, s := range c.sections {
		if s.name == name {
			return s, true
		}
	}
	return Section{}, false
}

// Text returns the canonical text of the whole configuration.
func (c *Config) Text() []byte {
	return joinTexts(c.sections)
}

// HeadDigest returns the digest that identifies the configuration: SHA-256
// over the ordered names and digests of its sections.
func (c *Config) HeadDigest() digest.Digest { return c.head }

// SectionList returns the text whose digest HeadDigest is.
func (c *Config) SectionList() []byte { return sectionList(c.sections) }

// HeadDigestOf returns the digest over an ordered list of sections.
func HeadDigestOf(sections []Section) digest.Digest {
	return digest.Of(sectionList(sections))
}

// sectionList writes, for each section, its name and its digest in hexadecimal,
// each followed by a line feed.
func sectionList(sections []Section) []byte {
	var list bytes.Buffer
	for _, s := range sections {
		fmt.Fprintf(&list, "%s\n%s\n", s.name, s.digest)
	}
	return list.Bytes()
}

// FromSections rebuilds the Config that the sections were taken from. They are
// refused unless they are exactly the canonical sections of a valid Config, in
// order; the error is Faults.
func FromSections(sections []Section) (*Config, error) {
	cfg, err := Parse(sectionsFile, joinTexts(sections))
	if err != nil {
		return nil, err
	}
	if len(cfg.sections) != len(sections) {
		reason := fmt.Sprintf("%d sections hold %d tables", len(sections), len(cfg.sections))
		return nil, tomltext.Faults{tomltext.NewFault(sectionsFile, 0, "", reason)}
	}
	for i, s := range cfg.sections {
		if s.name != sections[i].name || s.digest != sections[i].digest {
			return nil, tomltext.Faults{tomltext.NewFault(sectionsFile, 0, sections[i].name, "is not in canonical form and order")}
		}
	}
	return cfg, nil
}

func joinTexts(sections []Section) []byte {
	var text bytes.Buffer
	for i, s := range sections {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.Write(s.text)
	}
	return text.Bytes()
}

func tooLong(n int) string {
	return fmt.Sprintf("%d bytes in canonical form, at most %d", n, MaxTextBytes)
}

// seal writes the sections and the digest over them.
func (c *Config) seal() {
	c.sections = append(c.sections, c.deployment.section())
	for _, r := range c.regions {
		c.sections = append(c.sections, r.section())
	}
	for _, t := range c.teams {
		c.sections = append(c.sections, t.section())
	}
	for _, s := range c.services {
		c.sections = append(c.sections, s.section())
	}
	for _, a := range c.accounts {
		c.sections = append(c.sections, a.section())
	}
	c.head = HeadDigestOf(c.sections)
}

func (d Deployment) section() Section {
	w := newWriter(deploymentTable)
	w.text(deploymentName, d.name)
	w.text(storeRegion, d.storeRegion)
	w.integer(entryInstances, int64(d.entryInstances))
	w.duration(failureDomainLatency, d.failureDomainLatency)
	w.duration(regionLatency, d.regionLatency)
	w.duration(clientLatency, d.clientLatency)
	w.float(originLinkCopies, d.originLinkCopies)
	w.float(instanceLinkCopies, d.instanceLinkCopies)
	w.duration(addressTimeToLive, d.addressTimeToLive)
	return w.section()
}

func (r Region) section() Section {
	w := newWriter(regionTable + "." + r.name)
	w.texts(failureDomains, r.failureDomains)
	w.integer(linkBitsPerSecond, r.linkBitsPerSecond)
	return w.section()
}

func (t Team) section() Section {
	w := newWriter(teamTable + "." + t.name)
	w.digest(tokenDigest, t.tokenDigest)
	w.boolean(administrator, t.administrator)
	return w.section()
}

func (s Service) section() Section {
	name := serviceTable + "." + s.name
	w := newWriter(name)
	w.text(ownerTeam, s.team)
	w.text(serviceKind, string(s.kind))
	w.integer(servers, int64(s.servers))
	w.text(serve, s.serve)
	w.texts(dependsOn, s.dependsOn)
	w.integer(maxUnavailable, int64(s.maxUnavailable))
	w.boolean(honoursFencing, s.honoursFencing)
	w.boolean(idempotentCompletions, s.idempotentCompletions)
	w.float(maxOriginCopies, s.maxOriginCopies)
	w.duration(requestTimeout, s.requestTimeout)
	w.integer(maxConcurrency, int64(s.maxConcurrency))
	w.duration(keyRetention, s.keyRetention)
	for _, m := range s.models {
		w.open(name + "." + models.Name)
		w.text(modelName, m.name)
		w.text(modelVersion, m.version)
		w.digest(modelManifest, m.manifest)
	}
	for _, r := range s.calls {
		w.open(name + "." + calls.Name)
		w.text(callMethod, r.method)
		w.text(callPath, r.path)
		w.boolean(callIdempotent, r.idempotent)
	}
	return w.section()
}

func (a Account) section() Section {
	w := newWriter(accountTable + "." + a.name)
	w.text(ownerTeam, a.team)
	w.integer(weight, int64(a.weight))
	w.integer(priority, int64(a.priority))
	w.float(requestsPerSecond, a.requestsPerSecond)
	w.integer(maxInFlight, int64(a.maxInFlight))
	w.digest(keyDigest, a.keyDigest)
	return w.section()
}
