package configtext_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// drawText draws a text without faults.
func drawText(t *rapid.T) string {
	var out strings.Builder
	fmt.Fprintf(&out, "[deployment]\nname = \"d\"\nclientLatency = \"%dus\"\n", rapid.IntRange(0, 9_999_999).Draw(t, "latency"))
	fmt.Fprintf(&out, "[region.r]\nfailureDomains = [\"a\"]\nlinkBitsPerSecond = %d\n", rapid.IntRange(1000, 1<<39).Draw(t, "link"))
	fmt.Fprintf(&out, "[team.t]\ntokenDigest = \"%s\"\nadministrator = true\n", zeros)
	for i := range rapid.IntRange(0, 4).Draw(t, "services") {
		drawService(t, &out, i)
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "accounts") {
		fmt.Fprintf(&out, "[account.a%d]\nteam = \"t\"\nrequestsPerSecond = %g\npriority = %d\n", i,
			rapid.Float64Range(0.01, 1e6).Draw(t, "rate"), rapid.IntRange(0, 9).Draw(t, "priority"))
	}
	return out.String()
}

func drawService(t *rapid.T, out *strings.Builder, i int) {
	fmt.Fprintf(out, "[service.s%d]\nteam = \"t\"\n", i)
	fmt.Fprintf(out, "honoursFencing = %v\nservers = %d\n", rapid.Bool().Draw(t, "fencing"), rapid.IntRange(1, 9).Draw(t, "servers"))
	if i > 0 && rapid.Bool().Draw(t, "depends") {
		fmt.Fprintf(out, "dependsOn = [\"s%d\"]\n", rapid.IntRange(0, i-1).Draw(t, "dependency"))
	}
	if rapid.Bool().Draw(t, "model") {
		versions := rapid.IntRange(1, 3).Draw(t, "versions")
		fmt.Fprintf(out, "kind = \"model\"\nserve = \"m@%d\"\n", rapid.IntRange(0, versions-1).Draw(t, "wanted"))
		for v := range versions {
			fmt.Fprintf(out, "[[service.s%d.models]]\nname = \"m\"\nversion = \"%d\"\nmanifest = \"%s\"\n", i, v, zeros)
		}
		return
	}
	out.WriteString("kind = \"plain\"\n")
	for c := range rapid.IntRange(0, 2).Draw(t, "calls") {
		path := rapid.StringMatching(`/[a-zé"\\	 ]{0,8}`).Draw(t, "path")
		fmt.Fprintf(out, "[[service.s%d.calls]]\nmethod = \"POST\"\npath = %q\nidempotent = true\n", i, fmt.Sprintf("/%d%s", c, path))
	}
}

func TestSectionsRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawText(t)
		cfg, err := configtext.Parse("drawn.toml", []byte(text))
		if err != nil {
			// A drawn path may end in a slash, which is refused.
			require.ErrorContains(t, err, "clean path")
			return
		}
		same, err := configtext.FromSections(cfg.Sections())
		require.NoError(t, err)
		require.True(t, cfg.Equal(same))
		require.Equal(t, cfg.HeadDigest(), configtext.HeadDigestOf(same.Sections()))
		again, err := configtext.Parse("again.toml", cfg.Text())
		require.NoError(t, err)
		require.Equal(t, string(cfg.Text()), string(again.Text()))
		require.Empty(t, configtext.Changes(cfg, same))
	})
}

func TestSectionsRefused(t *testing.T) {
	cfg := example(t, "daugava.toml")
	tests := []struct {
		name  string
		spoil func([]configtext.Section) []configtext.Section
	}{
		{"none", func([]configtext.Section) []configtext.Section { return nil }},
		{"one missing", func(s []configtext.Section) []configtext.Section { return s[1:] }},
		{"one missing that none refers to", func(s []configtext.Section) []configtext.Section {
			text := append(slices.Clone(s[1].Text()), s[2].Text()...)
			return append([]configtext.Section{s[0], configtext.NewSection(s[1].Name(), text)}, s[3:]...)
		}},
		{"swapped", func(s []configtext.Section) []configtext.Section {
			s[1], s[2] = s[2], s[1]
			return s
		}},
		{"renamed", func(s []configtext.Section) []configtext.Section {
			s[1] = configtext.NewSection("region.tallinn", s[1].Text())
			return s
		}},
		{"not canonical", func(s []configtext.Section) []configtext.Section {
			s[1] = configtext.NewSection(s[1].Name(), append(slices.Clone(s[1].Text()), "# comment\n"...))
			return s
		}},
		{"a section twice", func(s []configtext.Section) []configtext.Section { return append(s, s[1]) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := configtext.FromSections(tt.spoil(cfg.Sections()))
			require.ErrorIs(t, err, configtext.ErrInvalid)
		})
	}
}

func TestAuthorize(t *testing.T) {
	before, err := configtext.Parse("before.toml", []byte(goodText))
	require.NoError(t, err)
	tests := []struct {
		name     string
		old      string
		new      string
		team     string
		sections []string
	}{
		{"nothing changed", "", "", "drafts", nil},
		{"own service", "servers = 3", "servers = 4", "drafts", nil},
		{"another team's service", "servers = 3", "servers = 4", "platform", []string{"service.pages"}},
		{"own account", "weight = 2", "weight = 3", "drafts", nil},
		{"deployment by an administrator", `"3ms"`, `"4ms"`, "platform", nil},
		{"deployment by another", `"3ms"`, `"4ms"`, "drafts", []string{"deployment"}},
		{"region by another", "20_000_000", "10_000_000", "drafts", []string{"region.riga"}},
		{"own token by another", "bb0000", "ee0000", "drafts", []string{"team.drafts"}},
		{"taking over a service", "[service.desk]\nteam = \"platform\"", "[service.desk]\nteam = \"drafts\"", "drafts", []string{"service.desk"}},
		{"giving a service away", "[service.desk]\nteam = \"platform\"", "[service.desk]\nteam = \"drafts\"", "platform", nil},
		{"making oneself administrator", "bb00000000000000000000000000000000000000000000000000000000000001\"", "bb00000000000000000000000000000000000000000000000000000000000001\"\nadministrator = true", "drafts", []string{"team.drafts"}},
		{"new account of one's own", "[account.shop]", "[account.other]\nteam = \"drafts\"\n[account.shop]", "drafts", nil},
		{"new account of another", "[account.shop]", "[account.other]\nteam = \"platform\"\n[account.shop]", "drafts", []string{"account.other"}},
		{"renamed account of another", "[account.shop]", "[account.shops]", "platform", []string{"account.shop", "account.shops"}},
		{"unknown team", "weight = 2", "weight = 3", "nobody", []string{"account.shop"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			after, err := configtext.Parse("after.toml", []byte(strings.Replace(goodText, tt.old, tt.new, 1)))
			require.NoError(t, err)
			var sections []string
			for _, f := range configtext.Authorize(before, after, tt.team) {
				sections = append(sections, f.Key())
			}
			require.Equal(t, tt.sections, sections)
		})
	}
	require.Empty(t, configtext.Authorize(nil, before, "platform"))
	require.Len(t, configtext.Authorize(nil, before, "drafts"), 1)
}

func TestChanges(t *testing.T) {
	before, err := configtext.Parse("before.toml", []byte(goodText))
	require.NoError(t, err)
	text := strings.NewReplacer("servers = 3", "servers = 4", "[account.shop]", "[account.other]").Replace(goodText)
	after, err := configtext.Parse("after.toml", []byte(text))
	require.NoError(t, err)
	var lines []string
	for _, c := range configtext.Changes(before, after) {
		lines = append(lines, fmt.Sprintf("%s added=%v removed=%v", c.Section(), c.Added(), c.Removed()))
		lines = append(lines, c.Lines()...)
	}
	require.Equal(t, []string{
		"account.other added=true removed=false",
		"+[account.other]", `+team = "drafts"`, "+weight = 2", "+requestsPerSecond = 5.5",
		"account.shop added=false removed=true",
		"-[account.shop]", `-team = "drafts"`, "-weight = 2", "-requestsPerSecond = 5.5",
		"service.pages added=false removed=false",
		"-servers = 3", "+servers = 4",
	}, lines)
}
