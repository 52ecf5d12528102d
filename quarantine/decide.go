package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// candidate is a suspect with enough crashes to be quarantined.
type candidate struct {
	ID
	crashes []Crash
	// unexplained are those of the crashes that no better candidate explains.
	unexplained []Crash
	// answered is set if a server has answered the suspect before these crashes.
	answered bool
	// teams are the records that a SharedPromptPart is judged by.
	teams []*Record
	// threshold is the number of crashes at which the suspect is quarantined.
	threshold int
}

// rank orders candidates by how well they explain crashes: first those that no server has ever
// answered, then by the number of crashes, then whole contents, which are more specific than the
// parts of their prompts.
func rank(x, y candidate) int {
	return cmp.Or(compareBools(x.answered, y.answered), cmp.Compare(len(y.crashes), len(x.crashes)), compareBools(x.Kind != WholeContent, y.Kind != WholeContent))
}

func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// decide recomputes from the records which suspects are quarantined, and returns those that it has
// quarantined and released.
//
// A crash counts against every suspect that ran on the server. A harmless part that many requests
// share runs on most servers that crash under another one, so candidates are judged from the best
// explanation to the worst: one is quarantined if enough of its crashes remain that no better
// candidate explains. A wrong choice corrects itself: a suspect that is quarantined runs no more, so
// that the next crash is under the right one only.
//
// A whole content that no server has answered is explained by nothing. Otherwise a content that many callers send
// would absorb the crashes of a crashing one, which would then never be quarantined, and so would a part beside
// it. If it is harmless, it shares its crashes with others; its decision is ambiguous, and a trial shows that it is
// harmless. One that servers have answered is explained by parts, and by the suspects that none has answered.
func (t *Tracker) decide() (quarantined, released []ID) {
	previous := t.quarantined
	t.quarantined = make(map[ID]decision, len(previous))
	candidates := t.candidates()
	contents := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.Kind != WholeContent || c.answered })
	// explained are the crashes that better candidates explain, byPart those that prompt parts do, and forAnswered
	// those that are explained for answered contents.
	explained, byPart, forAnswered := make(map[uint64]bool), make(map[uint64]bool), make(map[uint64]bool)
	for len(candidates) > 0 {
		n := 1
		for n < len(candidates) && rank(candidates[0], candidates[n]) == 0 {
			n++
		}
		equal := candidates[:n]
		candidates = candidates[n:]
		for i := range equal {
			switch c := &equal[i]; {
			case c.Kind == WholeContent && c.answered:
				c.unexplained = unexplained(c.crashes, forAnswered)
			case c.Kind == WholeContent:
				c.unexplained = c.crashes
			case c.answered:
				c.unexplained = unexplained(c.crashes, explained)
			default:
				c.unexplained = unexplained(c.crashes, byPart, explainedByContents(*c, contents))
			}
		}
		equal = slices.DeleteFunc(equal, func(c candidate) bool { return len(c.unexplained) < c.threshold })
		// parts counts for each crash the prompt parts that explain it equally well.
		parts := make(map[uint64]int)
		for _, c := range equal {
			if c.Kind == PromptPart {
				for _, crash := range c.crashes {
					parts[crash.Incarnation]++
				}
			}
		}
		for _, c := range equal {
			t.quarantine(c, slices.ContainsFunc(c.crashes, func(crash Crash) bool { return parts[crash.Incarnation] > 1 }))
		}
		for _, c := range equal {
			for _, crash := range c.crashes {
				explained[crash.Incarnation] = true
				byPart[crash.Incarnation] = byPart[crash.Incarnation] || c.Kind != WholeContent
				forAnswered[crash.Incarnation] = forAnswered[crash.Incarnation] || c.Kind != WholeContent || !c.answered
			}
		}
	}
	t.markAmbiguous()
	return missing(t.quarantined, previous), missing(previous, t.quarantined)
}

// candidates returns the suspects with enough crashes, ordered by rank.
func (t *Tracker) candidates() (out []candidate) {
	teams := make(map[uint64][]*Record)
	for id, r := range t.records {
		c := candidate{ID: id, crashes: r.countedCrashes(t.policy.Window), answered: r.ClearedAt > 0, threshold: t.policy.CrashThreshold}
		if id.Kind == PromptPart {
			c.threshold = t.policy.PartThreshold
			teams[id.Content] = append(teams[id.Content], r)
		}
		if c.hasEvidence(t.policy) {
			out = append(out, c)
		}
	}
	for _, records := range teams {
		if len(records) < t.policy.SharedPartThreshold {
			continue
		}
		if c := t.sharedCandidate(records); c.hasEvidence(t.policy) {
			out = append(out, c)
		}
	}
	if slices.ContainsFunc(out, func(c candidate) bool { return c.Kind != WholeContent }) {
		t.raiseThresholds(out)
		out = slices.DeleteFunc(out, func(c candidate) bool { return !c.hasEvidence(t.policy) })
	}
	slices.SortFunc(out, func(x, y candidate) int { return cmp.Or(rank(x, y), compareIDs(x.ID, y.ID)) })
	return out
}

// raiseThresholds raises the thresholds of prompt parts that have been answered before, and of those that
// explain a small share of the crashes in their time: with many crashes for other reasons, some parts
// have several by chance.
func (t *Tracker) raiseThresholds(candidates []candidate) {
	byContents := make(map[uint64]bool)
	for _, c := range candidates {
		if c.Kind == WholeContent && !c.answered {
			for _, crash := range c.crashes {
				byContents[crash.Incarnation] = true
			}
		}
	}
	all := t.crashTimes(byContents)
	for i := range candidates {
		c := &candidates[i]
		if c.Kind == WholeContent {
			continue
		}
		n, total := t.share(*c, all, byContents)
		switch {
		case c.answered || 4*n < total:
			c.threshold = t.policy.RaisedPartThreshold
		case 3*n < 2*total:
			c.threshold = (c.threshold + t.policy.RaisedPartThreshold) / 2
		}
	}
}

// share returns the number of a candidate's crashes, and that of all crashes in their time. Crashes under trials don't
// count: in the time before a trial, the others go on while the candidate runs no more.
func (t *Tracker) share(c candidate, all []time.Duration, byContents map[uint64]bool) (n, total int) {
	crashes := c.crashes
	if r := t.records[c.ID]; r != nil && len(r.Trials) > 0 {
		firstTrial := r.Trials[len(r.Trials)-1]
		if i := slices.IndexFunc(crashes, func(c Crash) bool { return c.At <= firstTrial }); i > 0 {
			crashes = crashes[i:]
		}
	}
	first, _ := slices.BinarySearch(all, crashes[len(crashes)-1].At)
	end, _ := slices.BinarySearch(all, crashes[0].At+1)
	total = end - first
	for _, crash := range crashes {
		if byContents[crash.Incarnation] {
			total++
		}
	}
	return len(crashes), total
}

// crashTimes returns the times of the crashes that records name, without those that are explained, in order.
func (t *Tracker) crashTimes(explained map[uint64]bool) []time.Duration {
	times := make(map[uint64]time.Duration)
	for _, r := range t.records {
		for _, c := range r.Crashes {
			if !explained[c.Incarnation] {
				times[c.Incarnation] = max(times[c.Incarnation], c.At)
			}
		}
	}
	return slices.Sorted(maps.Values(times))
}

// sharedCandidate judges a prompt part by the records of the teams that use it. One crash of each
// team counts, so that no team can have the requests of another quarantined.
func (t *Tracker) sharedCandidate(records []*Record) candidate {
	c := candidate{ID: records[0].shared(), threshold: t.policy.SharedPartThreshold}
	var clearedAt time.Duration
	for _, r := range records {
		clearedAt = max(clearedAt, r.ClearedAt)
	}
	for _, r := range records {
		if len(r.Crashes) > 0 && r.Crashes[0].At > clearedAt {
			c.crashes, c.teams = append(c.crashes, r.Crashes[0]), append(c.teams, r)
		}
	}
	c.crashes, c.answered = newestCrashes(c.crashes), clearedAt > 0
	return c
}

// hasEvidence reports whether a suspect has enough crashes to be quarantined. Those under a prompt part must
// be apart and span some time: servers that crash together run many parts that requests share.
func (c *candidate) hasEvidence(p Policy) bool {
	n := len(c.crashes)
	if c.Kind == WholeContent || n < c.threshold {
		return n >= c.threshold
	}
	return spacedCrashes(c.crashes, p.MinCrashGap) >= c.threshold && c.crashes[0].At-c.crashes[n-1].At >= p.MinPartSpan
}

// explainedByContents returns the crashes that contents explain for a prompt part that no server has answered: those of
// contents with as many crashes at the time of its last one. Later crashes, under trials of a content, say nothing of
// a part that did not run there.
func explainedByContents(part candidate, contents []candidate) map[uint64]bool {
	explained := make(map[uint64]bool)
	for _, c := range contents {
		i := slices.IndexFunc(c.crashes, func(c Crash) bool { return c.At <= part.crashes[0].At })
		if i < 0 || len(c.crashes)-i < len(part.crashes) {
			continue
		}
		for _, crash := range c.crashes {
			explained[crash.Incarnation] = true
		}
	}
	return explained
}

// unexplained returns the crashes that are in none of the sets of explained ones.
func unexplained(crashes []Crash, explained ...map[uint64]bool) (out []Crash) {
	for _, c := range crashes {
		if !slices.ContainsFunc(explained, func(set map[uint64]bool) bool { return set[c.Incarnation] }) {
			out = append(out, c)
		}
	}
	return out
}

// quarantine quarantines a candidate. ambiguous is set if another prompt part explains a crash equally well.
func (t *Tracker) quarantine(c candidate, ambiguous bool) {
	d := decision{lastCrash: c.crashes[0].At, crashes: c.unexplained}
	switch {
	case c.Kind == SharedPromptPart:
		for _, r := range c.teams {
			if _, ok := t.quarantined[r.ID]; !ok {
				t.quarantined[r.ID] = d
			}
		}
	case c.Kind == PromptPart && c.answered:
		d.trialDelay, d.maxTrialCrashes = t.policy.AnsweredPartTrialDelay, t.policy.MaxTrialCrashes
	case c.Kind == PromptPart && ambiguous:
		d.trialDelay, d.maxTrialCrashes = t.policy.TrialDelay, t.policy.MaxTrialCrashes
	case c.Kind == PromptPart:
		d.trialDelay, d.maxTrialCrashes = t.policy.PartTrialDelay, t.policy.MaxPartTrialCrashes
	}
	t.quarantined[c.ID] = d
}

// markAmbiguous allows trials of the whole contents of which fewer than CrashThreshold of the counted
// crashes are theirs alone. A crash is shared if another content with more than one crash ran on the
// server too, also if that one has been cleared by a trial, or a quarantined prompt part.
func (t *Tracker) markAmbiguous() {
	suspects := make(map[uint64]int)
	for id, r := range t.records {
		if _, quarantined := t.quarantined[id]; id.Kind == WholeContent && len(r.Crashes) > 1 || quarantined {
			for _, c := range r.Crashes {
				suspects[c.Incarnation]++
			}
		}
	}
	for id, d := range t.quarantined {
		if id.Kind != WholeContent || t.records[id].countCrashes(t.policy.Window, func(c Crash) bool { return suspects[c.Incarnation] == 1 }) >= t.policy.CrashThreshold {
			continue
		}
		d.trialDelay, d.maxTrialCrashes = t.policy.TrialDelay, t.policy.MaxTrialCrashes
		if t.records[id].ClearedAt > 0 {
			d.maxTrialCrashes = t.policy.MaxAnsweredTrialCrashes
		}
		t.quarantined[id] = d
	}
}
