package configtext_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/pkg/configtext"
)

const zeros = "0000000000000000000000000000000000000000000000000000000000000001"

// goodText is the text that the rows of TestFaults spoil at one place.
const goodText = `[deployment]
name = "daugava"
storeRegion = "riga"
regionLatency = "3ms"

[region.riga]
failureDomains = ["riga-a"]
linkBitsPerSecond = 20_000_000

[region.liepaja]
failureDomains = ["liepaja-a"]

[team.platform]
tokenDigest = "aa00000000000000000000000000000000000000000000000000000000000001"
administrator = true

[team.drafts]
tokenDigest = "bb00000000000000000000000000000000000000000000000000000000000001"

[service.desk]
team = "platform"
kind = "plain"

[service.pages]
team = "drafts"
kind = "plain"
dependsOn = ["desk"]
servers = 3
maxUnavailable = 2

[[service.pages.calls]]
method = "POST"
path = "/search"
idempotent = true

[service.writers]
team = "drafts"
kind = "model"
dependsOn = ["pages"]
requestTimeout = "30s"
maxOriginCopies = 1.5

[[service.writers.models]]
name = "faq"
version = "1"
manifest = "cc00000000000000000000000000000000000000000000000000000000000001"

[account.shop]
team = "drafts"
weight = 2
requestsPerSecond = 5.5
`

func TestFaults(t *testing.T) {
	model2 := "\n[[service.writers.models]]\nname = \"faq\"\nversion = \"2\"\nmanifest = \"" + zeros + "\"\n"
	tests := []struct {
		name   string
		old    string
		new    string
		key    string
		reason string
	}{
		{"syntax", `name = "daugava"`, `name = "daugava`, "", "syntax"},
		{"value without key", `name = "daugava"`, `"daugava"`, "", "syntax"},
		{"second table of a name", "[region.liepaja]", "[region.riga]", "region.riga", "defined already in line 6"},
		{"second key of a name", `kind = "plain"` + "\ndependsOn", `team = "drafts"` + "\ndependsOn", "service.pages.team", "defined already in line 25"},
		{"table extended from outside", `[account.shop]`, "service.writers.models = 1\n[account.shop]", "service.writers.models[0].service", "unknown key"},
		{"array of tables over a table", "[account.shop]", "[[service.desk]]\n[account.shop]", "service.desk", "defined already in line 20"},
		{"key below a value", "weight = 2", "weight = 2\nweight.more = 3", "account.shop.weight", "defined already in line 50"},
		{"header below a value", "weight = 2", "weight = 2\n[account.shop.weight.more]", "account.shop.weight", "is not a table in line 50"},
		{"unknown table", "[account.shop]", "[customer.shop]", "customer", "unknown key"},
		{"unknown key", "weight = 2", "wieght = 2", "account.shop.wieght", "unknown key"},
		{"unknown key of a model", `version = "1"`, "version = \"1\"\nsize = 4", "service.writers.models[0].size", "unknown key"},
		{"no deployment", "[deployment]", "[account.deployment]", "deployment", "is required"},
		{"no name", `name = "daugava"`, "", "deployment.name", "is required"},
		{"name of the wrong kind", `name = "daugava"`, "name = 4", "deployment.name", "is an integer"},
		{"date for a string", `name = "daugava"`, "name = 2026-12-03", "deployment.name", "is a date or time"},
		{"name with capitals", `name = "daugava"`, `name = "Daugava"`, "deployment.name", "does not match"},
		{"section name with capitals", "[account.shop]", "[account.Shop]", "account.Shop", "does not match"},
		{"unknown region", `storeRegion = "riga"`, `storeRegion = "rige"`, "deployment.storeRegion", "unknown region"},
		{"latency without unit", `regionLatency = "3ms"`, `regionLatency = "3"`, "deployment.regionLatency", "not a duration"},
		{"latency as a number", `regionLatency = "3ms"`, "regionLatency = 3", "deployment.regionLatency", "must be of the kind duration"},
		{"negative latency", `regionLatency = "3ms"`, `regionLatency = "-3ms"`, "deployment.regionLatency", "out of range"},
		{"no failure domains", `["riga-a"]`, `[]`, "region.riga.failureDomains", "must be 1 to 64"},
		{"failure domain listed twice", `["riga-a"]`, `["riga-a", "riga-a"]`, "region.riga.failureDomains", "listed twice"},
		{"failure domain of two regions", `["liepaja-a"]`, `["riga-a"]`, "region.riga.failureDomains", "of region liepaja as well"},
		{"failure domain of the wrong kind", `["riga-a"]`, `["riga-a", 4]`, "region.riga.failureDomains", "element 1 is an integer"},
		{"link too slow", "20_000_000", "20", "region.riga.linkBitsPerSecond", "out of range"},
		{"link beyond 64 bits", "20_000_000", "20000000000000000000000", "region.riga.linkBitsPerSecond", "not a number of 64 bits"},
		{"no administrator", "administrator = true", "", "team", "no team is an administrator"},
		{"token of two teams", "bb0000", "aa0000", "team.platform.tokenDigest", "as well"},
		{"malformed token digest", "bb0000", "b0000", "team.drafts.tokenDigest", "not a SHA-256 sum"},
		{"unknown team of a service", "team = \"platform\"\nkind", "team = \"platfrom\"\nkind", "service.desk.team", "unknown team"},
		{"unknown team of an account", "team = \"drafts\"\nweight", "team = \"nobody\"\nweight", "account.shop.team", "unknown team"},
		{"unknown kind", `kind = "model"`, `kind = "modal"`, "service.writers.kind", "not one of model, plain"},
		{"unknown dependency", `["desk"]`, `["dask"]`, "service.pages.dependsOn", `unknown service "dask"`},
		{"dependency on itself", `["desk"]`, `["pages"]`, "service.pages.dependsOn", "dependency cycle pages -> pages"},
		{"dependency cycle", `["desk"]`, `["writers"]`, "service.writers.dependsOn", "dependency cycle pages -> writers -> pages"},
		{"more unavailable than servers", "maxUnavailable = 2", "maxUnavailable = 4", "service.pages.maxUnavailable", "more than the service's 3 servers"},
		{"nothing unavailable", "maxUnavailable = 2", "maxUnavailable = 0", "service.pages.maxUnavailable", "out of range"},
		{"float for an integer", "servers = 3", "servers = 3.0", "service.pages.servers", "is a float"},
		{"plain service with a model", `kind = "model"`, `kind = "plain"`, "service.writers.models", "has no model"},
		{"model service without a model", "kind = \"plain\"\ndependsOn", "kind = \"model\"\ndependsOn", "service.pages.models", "must list a model version"},
		{"several versions, none wanted", "\n[account.shop]", model2 + "\n[account.shop]", "service.writers.serve", "is required"},
		{"unknown version wanted", `kind = "model"`, "kind = \"model\"\nserve = \"faq@3\"", "service.writers.serve", "known are faq@1"},
		{"malformed version wanted", `kind = "model"`, "kind = \"model\"\nserve = \"faq\"", "service.writers.serve", "does not match"},
		{"version listed twice", "\n[account.shop]", strings.Replace(model2, `"2"`, `"1"`, 1) + "\n[account.shop]", "service.writers.models[1].version", "faq@1 is listed twice"},
		{"malformed manifest", "cc0000", "zz0000", "service.writers.models[0].manifest", "not a SHA-256 sum"},
		{"models as a table", "[[service.writers.models]]", "[service.writers.models]", "service.writers.models", "must be an array of tables"},
		{"origin copies out of range", "maxOriginCopies = 1.5", "maxOriginCopies = 4.5", "service.writers.maxOriginCopies", "must be 1 to 4"},
		{"origin copies not a number", "maxOriginCopies = 1.5", "maxOriginCopies = nan", "service.writers.maxOriginCopies", "out of range"},
		{"unknown method", `method = "POST"`, `method = "PSOT"`, "service.pages.calls[0].method", "not one of"},
		{"path without slash", `path = "/search"`, `path = "search"`, "service.pages.calls[0].path", "clean path"},
		{"path with dots", `path = "/search"`, `path = "/a/../search"`, "service.pages.calls[0].path", "clean path"},
		{"wildcard inside", `path = "/search"`, `path = "/**/search"`, "service.pages.calls[0].path", "last segment"},
		{"wildcard in a segment", `path = "/search"`, `path = "/sea*"`, "service.pages.calls[0].path", "whole segment"},
		{"string for a boolean", "idempotent = true", `idempotent = "yes"`, "service.pages.calls[0].idempotent", "is a string"},
		{"weight out of range", "weight = 2", "weight = 1001", "account.shop.weight", "must be 1 to 1000"},
		{"no requests", "requestsPerSecond = 5.5", "requestsPerSecond = 0", "account.shop.requestsPerSecond", "out of range"},
		{"name too long", `name = "daugava"`, `name = "` + strings.Repeat("d", 2000) + `"`, "deployment.name", "at most 1024"},
	}
	_, err := configtext.Parse("good.toml", []byte(goodText))
	require.NoError(t, err)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, 1, strings.Count(goodText, tt.old), "the text to replace must be there once")
			text := strings.Replace(goodText, tt.old, tt.new, 1)
			cfg, err := configtext.Parse("bad.toml", []byte(text))
			require.Nil(t, cfg)
			requireFault(t, err, tt.key, tt.reason)
		})
	}
}

func requireFault(t *testing.T, err error, key, reason string) {
	t.Helper()
	require.ErrorIs(t, err, configtext.ErrInvalid)
	var faults configtext.Faults
	require.True(t, errors.As(err, &faults))
	for _, f := range faults {
		if f.Key() == key && strings.Contains(f.Reason(), reason) {
			require.Positive(t, f.Line())
			return
		}
	}
	require.Fail(t, "no such fault", "%s: %s in\n%v", key, reason, err)
}

func TestEveryFaultAtOnce(t *testing.T) {
	text := strings.NewReplacer(
		`storeRegion = "riga"`, `storeRegion = "rige"`,
		`["desk"]`, `["dask"]`,
		"weight = 2", "wieght = 2",
	).Replace(goodText)
	_, err := configtext.Parse("bad.toml", []byte(text))
	require.EqualError(t, err, strings.Join([]string{
		`bad.toml:3: deployment.storeRegion: unknown region "rige"`,
		`bad.toml:27: service.pages.dependsOn: unknown service "dask"`,
		`bad.toml:50: account.shop.wieght: unknown key`,
	}, "\n"))
}

func TestBounds(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		reason string
	}{
		{"bytes", strings.Repeat("#", configtext.MaxTextBytes+1), "at most 1048576 are read"},
		{"services", manySections("service", configtext.MaxServices+1), "10001 sections, at most 10000"},
		{"regions", manySections("region", configtext.MaxRegions+1), "65 sections, at most 64"},
		{"key parts", strings.Repeat("a.", 100_000) + "a = 1", "100001 parts in a key"},
		{"key bytes", strings.Repeat("a", 100_000) + " = 1", "100000 bytes in a key"},
		{"faults", manySections("team", 1000), "3 more faults are not listed"},
		{"long cycle", cycleOf(2000), "n0 -> n1 -> n2 -> n3 -> n4 -> n5 -> n6 -> n7 -> n8 -> n9 -> n10 -> n11 -> n12 -> n13 -> n14 -> n15 -> (1969 more) -> n1985"},
		{"nesting", "a = " + strings.Repeat("[", 64) + strings.Repeat("]", 64), "nested more than"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := configtext.Parse("big.toml", []byte(tt.text))
			require.ErrorIs(t, err, configtext.ErrInvalid)
			require.ErrorContains(t, err, tt.reason)
		})
	}
}

func manySections(table string, n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "[%s.n%d]\n", table, i)
	}
	return text.String()
}

func cycleOf(n int) string {
	text := goodText
	for i := range n {
		text += fmt.Sprintf("[service.n%d]\nteam = \"drafts\"\nkind = \"plain\"\ndependsOn = [\"n%d\"]\n", i, (i+1)%n)
	}
	return text
}

// deploymentText is a text of the size that is planned for: 600 servers in 60
// services, and 1,000 client accounts.
func deploymentText() string {
	text := goodText
	for i := range 60 {
		text += fmt.Sprintf("[service.n%d]\nteam = \"drafts\"\nkind = \"model\"\nservers = 10\ndependsOn = [\"pages\"]\n", i)
		text += fmt.Sprintf("[[service.n%d.models]]\nname = \"m\"\nversion = \"1\"\nmanifest = %q\n", i, zeros)
	}
	for i := range 1000 {
		text += fmt.Sprintf("[account.n%d]\nteam = \"drafts\"\nweight = 2\nmaxInFlight = 50\n", i)
	}
	return text
}

func BenchmarkParse(b *testing.B) {
	text := []byte(deploymentText())
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := configtext.Parse("bench.toml", text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkParseTables reads a text of the greatest length that is nothing but
// empty tables, which the number of tables must not make slow.
func BenchmarkParseTables(b *testing.B) {
	text := []byte(manySections("account", 60_000))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := configtext.Parse("bench.toml", text); err == nil {
			b.Fatal("empty accounts were taken")
		}
	}
}
