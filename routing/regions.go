package routing

import "slices"

// Regions are the regions that requests must stay in. Nil allows all; an empty list allows
// none, as where a route and a team have no region in common.
type Regions []string

// Allows reports whether a request may go to a region. One that is not known is no region of
// a list.
func (r Regions) Allows(region string) bool { return r == nil || slices.Contains(r, region) }

// Intersect are the regions that both lists allow.
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
