package weights

import (
	"fmt"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Sizes that the users give. In the window, the origin's link carries four
// copies of the model and the link of each instance two.
const (
	// ModelSize is the size of the model in bytes.
	ModelSize = 1 << 30
	// Window is the time in which a model must be everywhere.
	Window = 10 * time.Minute
	// OriginRate is the rate of the origin's link in bytes a second.
	OriginRate = 4 * ModelSize / 600.0
	// InstanceRate is the rate of an instance's link each way in bytes a second.
	InstanceRate = 2 * ModelSize / 600.0
	// RegionRate is the rate of a link between two regions each way, 20 Mbit/s,
	// in bytes a second.
	RegionRate = 20e6 / 8
	// wideRegionRate lets the links of the instances bind.
	wideRegionRate = 4 * InstanceRate
)

// Policy is what an operator weighs more.
type Policy string

// The policies.
const (
	// FewOriginBytes draws one copy from the origin in all and hands it from
	// region to region.
	FewOriginBytes Policy = "fewOriginBytes"
	// ShortTime lets every region draw its copy from the origin.
	ShortTime Policy = "shortTime"
)

// Place is where the instances stand and how their regions are joined. The
// origin stands in the first region.
type Place struct {
	name       string
	regions    []string
	domains    int // failure domains a region
	regionRate float64
	regional   time.Duration // one way between regions
	nearby     time.Duration // one way inside a region
	policy     Policy
}

// Name returns the name of the place.
func (p Place) Name() string { return p.name }

// Policy returns what its operators weigh more.
func (p Place) Policy() Policy { return p.policy }

// Regions returns the regions; the origin stands in the first one.
func (p Place) Regions() []string { return p.regions }

// Places returns the places of today and those of the target size. The target
// has no figure for the link between its regions, so it is measured twice: with
// today's rate, and with one at which the links of the instances bind.
func Places() []Place {
	return []Place{
		{
			name: "daugava", regions: []string{"riga", "liepaja", "daugavpils"}, domains: 1,
			regionRate: RegionRate, regional: 3 * time.Millisecond, nearby: 1500 * time.Microsecond, policy: FewOriginBytes,
		},
		{
			name: "mehfil", regions: []string{"kolkata", "siliguri", "durgapur"}, domains: 1,
			regionRate: RegionRate, regional: time.Millisecond, nearby: 500 * time.Microsecond, policy: FewOriginBytes,
		},
		{
			name: "target", regions: []string{"east", "west"}, domains: 3,
			regionRate: RegionRate, regional: 3 * time.Millisecond, nearby: 1500 * time.Microsecond, policy: FewOriginBytes,
		},
		{
			name: "targetWide", regions: []string{"east", "west"}, domains: 3,
			regionRate: wideRegionRate, regional: 3 * time.Millisecond, nearby: 1500 * time.Microsecond, policy: FewOriginBytes,
		},
	}
}

// members returns n agents, spread evenly over the regions and failure domains.
func (p Place) members(n int) []member.Member {
	members := make([]member.Member, n)
	for i := range members {
		region := p.regions[i%len(p.regions)]
		domain := fmt.Sprintf("%s-%c", region, 'a'+i/len(p.regions)%p.domains)
		members[i] = member.New(fmt.Sprintf("agent-%03d", i), member.RoleAgent, fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250+1),
			member.WithPlace(region, domain), member.WithIncarnation(1))
	}
	return members
}

func (p Place) region(i int) int { return i % len(p.regions) }

func (p Place) latency(a, b int) time.Duration {
	if a == b {
		return p.nearby
	}
	return p.regional
}
