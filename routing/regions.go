package routing

import "slices"

// Regions are the regions that requests must stay in. A nil list allows all regions. An empty
// list allows none, as when a route and a team have no region in common.
type Regions []string

// Allows reports whether a request may go to a region. An unknown region, which is the empty
// string, is allowed only by a nil list.
func (r Regions) Allows(region string) bool { return r == nil || slices.Contains(r, region) }

// Intersect returns the regions that both lists allow.
func (r Regions) Intersect(o Regions) Regions {
	if r == nil {
		return o
	}
	if o == nil {
		return r
	}
	both := Regions{}
	for _, region := range r {
		if o.Allows(region) {
			both = append(both, region)
		}
	}
	return both
}
