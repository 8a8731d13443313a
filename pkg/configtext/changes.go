package configtext

import (
	"cmp"
	"slices"
	"strings"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
)

// Change is one section in which two configurations differ.
type Change struct {
	section string
	before  []byte
	after   []byte
}

// Section returns the name of the section.
func (c Change) Section() string { return c.section }

// Added reports whether only the newer configuration has the section.
func (c Change) Added() bool { return c.before == nil }

// Removed reports whether only the older configuration has the section.
func (c Change) Removed() bool { return c.after == nil }

// Lines returns the differing lines of the section in order, those of the older
// text led by "-" and those of the newer by "+".
func (c Change) Lines() []string {
	return diffLines(splitLines(c.before), splitLines(c.after))
}

// Changes returns the sections in which before and after differ, sorted by
// name. A nil Config has no sections.
func Changes(before, after *Config) []Change {
	texts := map[string]*Change{}
	for _, s := range sectionsOf(before) {
		texts[s.name] = &Change{section: s.name, before: s.text}
	}
	for _, s := range sectionsOf(after) {
		if texts[s.name] == nil {
			texts[s.name] = &Change{section: s.name}
		}
		texts[s.name].after = s.text
	}
	var changes []Change
	for _, c := range texts {
		if string(c.before) != string(c.after) {
			changes = append(changes, *c)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.section, b.section) })
	return changes
}

// Authorize returns a fault for each section that differs between before and
// after and isn't the team's own. A section of a service or an account belongs
// to the team that it names; its owner may give it to another team. All other
// sections belong to the administrators. Where nothing was in force before, an
// administrator of after may make the whole text.
func Authorize(before, after *Config, team string) []Fault {
	if before == nil {
		return authorizeFirst(after, team)
	}
	var faults []Fault
	for _, c := range Changes(before, after) {
		owner := before
		if c.Added() {
			owner = after
		}
		if reason := owner.refusesTeam(c.section, team); reason != "" {
			faults = append(faults, tomltext.NewFault(after.file, after.lines[c.section], c.section, reason))
		}
	}
	return faults
}

func authorizeFirst(after *Config, team string) []Fault {
	t, found := after.Team(team)
	if found && t.administrator {
		return nil
	}
	reason := "the first text must come from an administrator, and team " + team + " is none"
	return []Fault{tomltext.NewFault(after.file, after.lines[deploymentTable], deploymentTable, reason)}
}

// refusesTeam returns why team may not change a section of c, or "".
func (c *Config) refusesTeam(section, team string) string {
	table, name, _ := strings.Cut(section, ".")
	owner := ""
	switch table {
	case serviceTable:
		owner = c.services[c.serviceIndex[name]].team
	case accountTable:
		owner = c.accounts[c.accountIndex[name]].team
	default:
		if t, found := c.Team(team); !found || !t.administrator {
			return "belongs to the administrators, and team " + team + " is none"
		}
		return ""
	}
	if owner != team {
		return "belongs to team " + owner + ", not to team " + team
	}
	return ""
}

func sectionsOf(c *Config) []Section {
	if c == nil {
		return nil
	}
	return c.sections
}

func splitLines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// diffLines returns the lines outside of a longest common subsequence.
func diffLines(before, after []string) []string {
	common := commonLengths(before, after)
	var lines []string
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			i++
			j++
		case j == len(after) || i < len(before) && common[i+1][j] >= common[i][j+1]:
			lines = append(lines, "-"+before[i])
			i++
		default:
			lines = append(lines, "+"+after[j])
			j++
		}
	}
	return lines
}

// commonLengths returns, for each i and j, the length of a longest common
// subsequence of before[i:] and after[j:].
func commonLengths(before, after []string) [][]int {
	lengths := make([][]int, len(before)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			if before[i] == after[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			}
		}
	}
	return lengths
}
