package configtext

import (
	"fmt"
	"slices"
	"strings"
)

// index builds the look-ups by name.
func (c *Config) index() {
	c.serviceIndex = make(map[string]int, len(c.services))
	for i, s := range c.services {
		c.serviceIndex[s.name] = i
	}
	c.accountIndex = make(map[string]int, len(c.accounts))
	for i, a := range c.accounts {
		c.accountIndex[a.name] = i
	}
	c.teamIndex = make(map[string]int, len(c.teams))
	for i, t := range c.teams {
		c.teamIndex[t.name] = i
	}
}

// checkReferences adds a fault for each name that refers to nothing, each name
// used twice and each dependency cycle.
func (r reader) checkReferences(c *Config) {
	r.checkTeams(c)
	r.checkRegions(c)
	for _, s := range c.services {
		r.checkTeamOf(c, serviceTable, s.name, s.team)
		r.checkDependencies(c, s)
	}
	for _, a := range c.accounts {
		r.checkTeamOf(c, accountTable, a.name, a.team)
	}
	r.checkCycles(c)
}

func (r reader) checkTeams(c *Config) {
	owners := map[string]string{}
	administrators := 0
	for _, t := range c.teams {
		if t.administrator {
			administrators++
		}
		sum := t.tokenDigest.String()
		other, taken := owners[sum]
		if taken && !t.tokenDigest.IsZero() {
			r.fault(teamTable, t.name, tokenDigest.Name, fmt.Sprintf("is the token of team %s as well", other))
		}
		owners[sum] = t.name
	}
	if administrators == 0 {
		r.doc.Root().Fault(teamTable, "no team is an administrator, so nobody could change the teams")
	}
}

func (r reader) checkRegions(c *Config) {
	owners := map[string]string{}
	for _, region := range c.regions {
		for _, domain := range region.failureDomains {
			if other, taken := owners[domain]; taken {
				r.fault(regionTable, region.name, failureDomains.Name, fmt.Sprintf("%s is a failure domain of region %s as well", domain, other))
			}
			owners[domain] = region.name
		}
	}
	if len(c.regions) == 0 && !r.doc.Root().Has(regionTable) {
		r.doc.Root().Fault(regionTable, "at least one region is required")
	}
	store := c.deployment.storeRegion
	known := func(o Region) bool { return o.name == store }
	if store != "" && !slices.ContainsFunc(c.regions, known) {
		r.doc.Root().Table(deploymentTable).Fault(storeRegion.Name, fmt.Sprintf("unknown region %q", store))
	}
}

func (r reader) checkTeamOf(c *Config, table, name, team string) {
	if _, found := c.teamIndex[team]; !found && team != "" {
		r.fault(table, name, ownerTeam.Name, fmt.Sprintf("unknown team %q", team))
	}
}

func (r reader) checkDependencies(c *Config, s Service) {
	t := r.doc.Root().Table(serviceTable).Table(s.name)
	for i, name := range s.dependsOn {
		if _, found := c.serviceIndex[name]; !found {
			t.FaultAt(dependsOn.Name, i, fmt.Sprintf("unknown service %q", name))
		}
	}
}

func (r reader) fault(table, name, key, reason string) {
	r.doc.Root().Table(table).Table(name).Fault(key, reason)
}

// Bounds of what is printed of dependency cycles.
const (
	maxCycles      = 20
	maxCycleNames  = 32
	keptCycleNames = maxCycleNames / 2
)

// visit is the state of a service in the search for cycles.
type visit byte

const (
	unvisited visit = iota
	onPath
	finished
)

// cycleSearch walks the dependencies depth first. Each cycle is reported once,
// at the service that closes it, and the search ends after maxCycles.
type cycleSearch struct {
	config *Config
	states []visit
	path   []string
	cycles int
	found  func(closing string, cycle []string)
}

func (r reader) checkCycles(c *Config) {
	search := cycleSearch{
		config: c,
		states: make([]visit, len(c.services)),
		found: func(closing string, cycle []string) {
			r.fault(serviceTable, closing, dependsOn.Name, "dependency cycle "+printCycle(cycle))
		},
	}
	for i := range c.services {
		search.from(i)
	}
}

func (s *cycleSearch) from(i int) {
	if s.states[i] != unvisited {
		return
	}
	s.states[i] = onPath
	service := s.config.services[i]
	s.path = append(s.path, service.name)
	for _, name := range service.dependsOn {
		next, known := s.config.serviceIndex[name]
		if !known {
			continue
		}
		if s.states[next] == onPath && s.cycles < maxCycles {
			s.cycles++
			start := slices.Index(s.path, name)
			s.found(service.name, append(slices.Clone(s.path[start:]), name))
		}
		s.from(next)
	}
	s.path = s.path[:len(s.path)-1]
	s.states[i] = finished
}

// printCycle leaves the middle out of a long cycle.
func printCycle(cycle []string) string {
	if len(cycle) <= maxCycleNames {
		return strings.Join(cycle, " -> ")
	}
	head := strings.Join(cycle[:keptCycleNames], " -> ")
	tail := strings.Join(cycle[len(cycle)-keptCycleNames:], " -> ")
	return fmt.Sprintf("%s -> (%d more) -> %s", head, len(cycle)-maxCycleNames, tail)
}
