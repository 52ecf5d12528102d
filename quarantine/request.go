package quarantine

import "time"

// Verdict is the decision on a request that is quarantined because of one of its suspects.
type Verdict struct {
	ID
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// RequestQuarantined reports whether a request is quarantined because of one of its suspects. If there
// are several, the verdict is the one that lasts longest.
func (t *Tracker) RequestQuarantined(suspects []ID, now time.Duration) (v Verdict, quarantined bool) {
	if len(t.quarantined) == 0 {
		return v, false
	}
	for _, id := range suspects {
		v, quarantined = t.longer(v, quarantined, id, now)
		if id.Kind == PromptPart {
			v, quarantined = t.longer(v, quarantined, id.shared(), now)
		}
	}
	return v, quarantined
}

func (t *Tracker) longer(v Verdict, quarantined bool, id ID, now time.Duration) (Verdict, bool) {
	if retryAfter, ok := t.Quarantined(id, now); ok && (!quarantined || retryAfter > v.RetryAfter) {
		return Verdict{id, retryAfter}, true
	}
	return v, quarantined
}

// trialSuspect returns the suspect that a trial of a request tests: its only quarantined one, or its content if
// one part, of which a trial is due, is quarantined too. Where a popular request and a part that only such requests have
// are both quarantined, no other trial could show that they are harmless. With several parts, a request that is answered
// or crashes its server shows nothing of any of them.
func (t *Tracker) trialSuspect(suspects []ID, now time.Duration) (suspect ID, ok bool) {
	var quarantined []ID
	for _, id := range suspects {
		_, isQuarantined := t.Quarantined(id, now)
		if !isQuarantined && id.Kind == PromptPart {
			_, isQuarantined = t.Quarantined(id.shared(), now)
		}
		if isQuarantined {
			quarantined = append(quarantined, id)
		}
	}
	switch len(quarantined) {
	case 1:
		return quarantined[0], true
	case 2:
		content, part := quarantined[0], quarantined[1]
		return content, content.Kind == WholeContent && t.TrialDue(part, now)
	}
	return ID{}, false
}

// RequestTrialDue reports whether a trial of a request is due, see trialSuspect.
func (t *Tracker) RequestTrialDue(suspects []ID, now time.Duration) bool {
	id, ok := t.trialSuspect(suspects, now)
	return ok && t.TrialDue(id, now)
}

// StartRequestTrial reports whether a request may be sent as a trial of one of its suspects, and records the trial if
// so.
func (t *Tracker) StartRequestTrial(suspects []ID, now time.Duration) (Update, bool) {
	id, ok := t.trialSuspect(suspects, now)
	if !ok {
		return Update{}, false
	}
	return t.StartTrial(id, now)
}

// RequestNearThreshold reports whether one more crash would quarantine a suspect of a request, or whether
// one is quarantined already.
func (t *Tracker) RequestNearThreshold(suspects []ID) bool {
	for _, id := range suspects {
		if _, quarantined := t.quarantined[id.shared()]; quarantined || t.NearThreshold(id) {
			return true
		}
	}
	return false
}

// ClearRequest records that a server has answered a request with these suspects.
func (t *Tracker) ClearRequest(suspects []ID, at time.Duration) Update {
	var list []Record
	for _, id := range suspects {
		if r := t.records[id]; r != nil && len(r.countedCrashes(t.policy.Window)) > 0 {
			list = append(list, Record{ID: id, ClearedAt: at})
		}
	}
	return t.Merge(list)
}

// Lift records that an operator has released a suspect, and returns false if it has no record.
func (t *Tracker) Lift(id ID, at time.Duration) (Update, bool) {
	var list []Record
	for known := range t.records {
		if known == id || id.Kind == SharedPromptPart && known.shared() == id && known.Kind == PromptPart {
			list = append(list, Record{ID: known, ClearedAt: at})
		}
	}
	return t.Merge(list), len(list) > 0
}

// QuarantinedIDs returns the quarantined suspects, in no particular order.
func (t *Tracker) QuarantinedIDs() (out []ID) {
	for id := range t.quarantined {
		out = append(out, id)
	}
	return out
}
