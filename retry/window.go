package retry

import "time"

// slotCount is the number of slots in a window.
const slotCount = 40

// windowCounts counts first attempts and retries by the slots of a window. The zero value is empty.
type windowCounts struct {
	// slots is a ring with one slot more than a window has: the newest one is not over.
	slots [slotCount + 1]slotCounts
	// newest is the number of the newest slot since time zero.
	newest int64
	slot   time.Duration
}

// slotCounts counts what began in a slot. continuations is the part of retries that are continuations.
type slotCounts struct{ first, retries, continuations uint32 }

// advance makes the slot of a time the newest one and empties those that were passed over.
func (w *windowCounts) advance(window, now time.Duration) {
	if slot := max(1, window/slotCount); slot != w.slot {
		w.resize(slot)
	}
	number := int64(now / w.slot)
	for range min(number-w.newest, int64(len(w.slots))) {
		w.newest++
		*w.at(0) = slotCounts{}
	}
	w.newest = max(w.newest, number)
}

// resize changes the length of a slot. What was counted counts as of now, so that no bound is exceeded.
func (w *windowCounts) resize(slot time.Duration) {
	var sum slotCounts
	for i := range w.slots {
		sum.retries += w.slots[i].retries
		sum.continuations += w.slots[i].continuations
	}
	now := time.Duration(w.newest) * w.slot
	*w = windowCounts{slot: slot, newest: int64(now / slot)}
	*w.at(0) = sum
}

// at returns the slot that is a number of slots older than the newest one.
func (w *windowCounts) at(age int64) *slotCounts {
	n := int64(len(w.slots))
	return &w.slots[((w.newest-age)%n+n)%n]
}

// giveBack takes back a retry that was counted at a time. A retry that has left the window is ignored.
func (w *windowCounts) giveBack(k Kind, at time.Duration) {
	for age := max(0, w.newest-int64(at/w.slot)); age < int64(len(w.slots)); age++ {
		s := w.at(age)
		switch {
		case k != Continuation && s.retries > s.continuations:
			s.retries--
			return
		case k == Continuation && s.continuations > 0:
			s.retries--
			s.continuations--
			return
		}
	}
}

// debts returns by how much the retries exceed ratio times the first attempts: the most over all spans up to
// now that are within the window, and over the whole window. Both may be negative.
func (w *windowCounts) debts(ratio float64) (most, whole float64) {
	for age := range int64(len(w.slots)) {
		s := w.at(age)
		whole += float64(s.retries) - ratio*float64(s.first)
		if age == 0 || whole > most {
			most = whole
		}
	}
	return most, whole
}

// continuations returns the continuations in the window that have not been given back.
func (w *windowCounts) continuations() (n int) {
	for i := range w.slots {
		n += int(w.slots[i].continuations)
	}
	return n
}

// totals returns the first attempts and the retries in the window.
func (w *windowCounts) totals() (first, retries int) {
	for i := range w.slots {
		first += int(w.slots[i].first)
		retries += int(w.slots[i].retries)
	}
	return first, retries
}
