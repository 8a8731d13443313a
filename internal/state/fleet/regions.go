package fleet

import "slices"

// RegionsEvidence is what a configuration says of the regions in which something is allowed.
type RegionsEvidence int

const (
	// RegionsAbsent stands for a configuration that says nothing. All regions are allowed.
	RegionsAbsent RegionsEvidence = iota
	// RegionsEmpty stands for a list that is there and names none. All regions are allowed:
	// operators' programs write an empty list where they restrict nothing.
	RegionsEmpty
	// RegionsNamed stands for a list of those that are allowed, also where no failure domain is
	// in any of them.
	RegionsNamed
	// RegionsUnreadable stands for a list that can't be read. No region is allowed, since the
	// list may exclude any.
	RegionsUnreadable
)

// Regions are the regions in which the requests of a route or a client account may be served.
// They are immutable. A nil *Regions allows all.
type Regions struct {
	evidence RegionsEvidence
	names    []string
}

// NewRegions returns the regions of a list that could be read. Empty names are dropped: they
// would match an endpoint whose region is unknown.
func NewRegions(names ...string) *Regions {
	if len(names) == 0 {
		return &Regions{evidence: RegionsEmpty}
	}
	named := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "" })
	return &Regions{evidence: RegionsNamed, names: named}
}

// UnreadableRegions returns the regions of a list that can't be read.
func UnreadableRegions() *Regions { return &Regions{evidence: RegionsUnreadable} }

// Evidence returns what the configuration says.
func (r *Regions) Evidence() RegionsEvidence {
	if r == nil {
		return RegionsAbsent
	}
	return r.evidence
}

// Names returns the allowed regions if there is a restriction. The caller must not change
// them.
func (r *Regions) Names() []string {
	if r == nil {
		return nil
	}
	return r.names
}

// Restricts reports whether some region is not allowed.
func (r *Regions) Restricts() bool {
	e := r.Evidence()
	return e == RegionsNamed || e == RegionsUnreadable
}

// Admits reports whether a region is allowed. An unknown region, which is empty, is allowed
// only without a restriction.
func (r *Regions) Admits(region string) bool {
	return !r.Restricts() || region != "" && slices.Contains(r.names, region)
}
