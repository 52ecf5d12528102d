package peers

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

const (
	// significantShare is the part by which an amount differs from the one that was sent to be sent again.
	significantShare = 1.0 / 8
	// significantTokens and significantUsage are differences that don't count, whatever their share.
	significantTokens = 256
	significantUsage  = 0.01
	// maxRetained is how long what has changed by less is not sent again.
	maxRetained = 3 * time.Second
	// maxDemandAge is how long demands that have changed by less are not sent again.
	maxDemandAge = time.Second
	// itemOverhead is the size of an item's tag and length in a message, numberSaving what a number saves of a load
	// besides the name: its start time.
	itemOverhead, numberSaving = 3, 4
)

// sentState is what was sent on one link, and what has changed since then. It is not safe for concurrent use.
type sentState struct {
	loads   map[string]*sentItem[*peerv1.Load]
	usages  map[usageKey]*sentItem[*peerv1.Usage]
	losses  map[string]*peerv1.Loss
	ended   map[uint64]*peerv1.EndedProcess
	demands map[string]*peerv1.Demand
	retries *peerv1.Retries
	// demandsAt is when demands were sent last. numbers are the numbers of servers whose loads were sent.
	demandsAt time.Time
	numbers   map[string]uint32
}

type usageKey struct{ service, team string }

// sentItem is an item of a state as it was sent.
type sentItem[T any] struct {
	value  T
	sentAt time.Time
	// differsSince is since when the current item has differed from value, zero if it does not.
	differsSince time.Time
}

func newSentState() *sentState {
	return &sentState{
		loads: make(map[string]*sentItem[*peerv1.Load]), usages: make(map[usageKey]*sentItem[*peerv1.Usage]),
		losses: make(map[string]*peerv1.Loss), ended: make(map[uint64]*peerv1.EndedProcess), numbers: make(map[string]uint32),
	}
}

// whole records that a whole state is sent.
func (s *sentState) whole(full *peerv1.State, now time.Time) {
	*s = *newSentState()
	for _, l := range full.GetLoads() {
		s.loads[l.GetServer()] = &sentItem[*peerv1.Load]{value: l, sentAt: now}
	}
	for _, u := range full.GetUsages() {
		s.usages[usageKey{u.GetService(), u.GetTeam()}] = &sentItem[*peerv1.Usage]{value: u, sentAt: now}
	}
	for _, l := range full.GetLosses() {
		s.losses[l.GetServer()] = l
	}
	for _, e := range full.GetRetries().GetEnded() {
		s.ended[e.GetProcess()] = e
	}
}

// next returns the partial state to send. What peers act on at once is in it whatever its size; of the loads and
// usages those that have differed for the longest time, up to budget bytes for the whole state. hasMore reports
// whether some were left out.
func (s *sentState) next(full *peerv1.State, budget float64, now time.Time) (out *peerv1.State, hasMore bool) {
	out = &peerv1.State{
		Partial: true, AcceptsPartial: true,
		Stopping: full.GetStopping(), StoreReached: full.GetStoreReached(), ReadingConfig: full.GetReadingConfig(),
		ConfigVersion: full.GetConfigVersion(), Registrar: full.GetRegistrar(),
		Queues: full.GetQueues(), Demands: s.changedDemands(full, now), Positions: full.GetPositions(), Readers: full.GetReaders(),
		Losses: s.changedLosses(full), Retries: s.changedRetries(full),
	}
	budget -= float64(proto.Size(out))
	for _, c := range s.candidates(full, now) {
		if budget -= float64(c.bytes); budget < 0 {
			return out, true
		}
		c.add(out)
	}
	return out, false
}

// changedLosses returns the losses that differ from those that were sent, and records them as sent.
func (s *sentState) changedLosses(full *peerv1.State) (out []*peerv1.Loss) {
	current := make(map[string]bool, len(full.GetLosses()))
	for _, l := range full.GetLosses() {
		current[l.GetServer()] = true
		if lossChanged(s.losses[l.GetServer()], l) {
			out = append(out, l)
			s.losses[l.GetServer()] = l
		}
	}
	for id, l := range s.losses {
		if !current[id] {
			out = append(out, &peerv1.Loss{Server: id, Born: l.GetBorn()})
			delete(s.losses, id)
		}
	}
	return out
}

func lossChanged(old, now *peerv1.Loss) bool {
	if old == nil {
		return true
	}
	a, b := old.GetLimit(), now.GetLimit()
	return old.GetInARow() != now.GetInARow() || old.GetBorn() != now.GetBorn() || old.GetEnded() != now.GetEnded() ||
		old.GetLeaving() != now.GetLeaving() || old.GetResting() != now.GetResting() ||
		(a == nil) != (b == nil) || a.GetNamed() != b.GetNamed() || a.GetPerSecond() != b.GetPerSecond() || b.GetAgeMs() < a.GetAgeMs()
}

// changedDemands returns the demands if they differ significantly from those that were sent, or were sent long ago,
// and records them as sent.
func (s *sentState) changedDemands(full *peerv1.State, now time.Time) []*peerv1.Demand {
	changed := s.demands == nil || len(full.GetDemands()) != len(s.demands) || now.Sub(s.demandsAt) >= maxDemandAge
	for _, d := range full.GetDemands() {
		old, ok := s.demands[d.GetService()]
		changed = changed || !ok || differ(old.GetPerSecond(), d.GetPerSecond(), 0)
	}
	if !changed {
		return nil
	}
	s.demands, s.demandsAt = make(map[string]*peerv1.Demand, len(full.GetDemands())), now
	for _, d := range full.GetDemands() {
		s.demands[d.GetService()] = d
	}
	return full.GetDemands()
}

// changedRetries returns the retries with those ended processes that differ from what was sent, and records
// them as sent. It returns nil if nothing has changed.
func (s *sentState) changedRetries(full *peerv1.State) *peerv1.Retries {
	r := full.GetRetries()
	if r == nil {
		return nil
	}
	before := s.retries
	s.retries = r
	out := &peerv1.Retries{Process: r.GetProcess(), Complete: r.GetComplete(), Uses: r.GetUses()}
	current := make(map[uint64]bool, len(r.GetEnded()))
	for _, e := range r.GetEnded() {
		current[e.GetProcess()] = true
		if endedChanged(s.ended[e.GetProcess()], e) {
			out.Ended = append(out.Ended, e)
			s.ended[e.GetProcess()] = e
		}
	}
	for process := range s.ended {
		if !current[process] {
			delete(s.ended, process)
		}
	}
	if before != nil && len(out.Ended) == 0 && before.GetProcess() == r.GetProcess() && before.GetComplete() == r.GetComplete() && sameUses(before.GetUses(), r.GetUses()) {
		s.retries = before
		return nil
	}
	return out
}

// endedChanged reports whether an ended process is to be told of again: its end is later than was told, or more
// is known of what it used.
func endedChanged(old, now *peerv1.EndedProcess) bool {
	return old == nil || now.GetRemainingMs() > old.GetRemainingMs() || now.GetSilent() != old.GetSilent() ||
		!sameUses(old.GetUses(), now.GetUses())
}

// sameUses reports whether two lists of uses have the same extra retries, and requests that don't differ
// significantly.
func sameUses(a, b []*peerv1.RetryUse) bool {
	return slices.EqualFunc(sortedUses(a), sortedUses(b), func(a, b *peerv1.RetryUse) bool {
		return a.GetService() == b.GetService() && a.GetExtra() == b.GetExtra() && !differ(a.GetRequests(), b.GetRequests(), 0)
	})
}

func sortedUses(uses []*peerv1.RetryUse) []*peerv1.RetryUse {
	return slices.SortedFunc(slices.Values(uses), func(a, b *peerv1.RetryUse) int { return cmp.Compare(a.GetService(), b.GetService()) })
}

// candidate is an item of a state that differs from what was sent.
type candidate struct {
	since time.Time
	bytes int
	// add adds the item to a state and records it as sent.
	add func(*peerv1.State)
}

// candidates returns the loads and usages that differ from those that were sent, the oldest difference first.
func (s *sentState) candidates(full *peerv1.State, now time.Time) (out []candidate) {
	current := make(map[string]bool, len(full.GetLoads()))
	for _, l := range full.GetLoads() {
		current[l.GetServer()] = true
		out = appendCandidate(out, s.loads, l.GetServer(), l, loadChanged, now, s.addLoad)
	}
	for id, sent := range s.loads {
		if !current[id] {
			out = appendRemoval(out, s.loads, id, &peerv1.Load{Server: id, Born: sent.value.GetBorn()}, now, s.addLoad)
		}
	}
	teams := make(map[usageKey]bool, len(full.GetUsages()))
	for _, u := range full.GetUsages() {
		key := usageKey{u.GetService(), u.GetTeam()}
		teams[key] = true
		out = appendCandidate(out, s.usages, key, u, usageChanged, now, addUsage)
	}
	for key := range s.usages {
		if !teams[key] {
			out = appendRemoval(out, s.usages, key, &peerv1.Usage{Service: key.service, Team: key.team}, now, addUsage)
		}
	}
	slices.SortFunc(out, func(a, b candidate) int { return a.since.Compare(b.since) })
	return out
}

// addLoad adds a load, with the number of its server in place of its name if that was sent before.
func (s *sentState) addLoad(out *peerv1.State, l *peerv1.Load) {
	short := &peerv1.Load{
		Server: l.GetServer(), Running: l.GetRunning(), Tokens: l.GetTokens(), Prompt: l.GetPrompt(), Copying: l.GetCopying(), Born: l.GetBorn(),
		PauseUs: l.GetPauseUs(), Held: l.GetHeld(), Standby: l.GetStandby(), Dip: l.GetDip(),
	}
	number, known := s.numbers[l.GetServer()]
	if !known {
		number = uint32(len(s.numbers) + 1)
		s.numbers[l.GetServer()] = number
	} else if old := s.loads[l.GetServer()]; old != nil && !old.sentAt.IsZero() && old.value.GetBorn() == l.GetBorn() {
		short.Server, short.Born = "", 0
	}
	short.Number = number
	out.Loads = append(out.Loads, short)
}

func addUsage(s *peerv1.State, u *peerv1.Usage) { s.Usages = append(s.Usages, u) }

// appendCandidate appends an item if it differs from the one that was sent.
func appendCandidate[K comparable, T proto.Message](list []candidate, sent map[K]*sentItem[T], key K, item T, changed func(old, now T) bool, now time.Time, add func(*peerv1.State, T)) []candidate {
	old := sent[key]
	if old == nil {
		old = &sentItem[T]{differsSince: now}
		sent[key] = old
	} else if old.differsSince.IsZero() {
		if !changed(old.value, item) && now.Sub(old.sentAt) < maxRetained {
			return list
		}
		old.differsSince = now
	}
	return append(list, candidate{since: old.differsSince, bytes: itemBytes(item, !old.sentAt.IsZero()), add: func(s *peerv1.State) {
		add(s, item)
		old.value, old.sentAt, old.differsSince = item, now, time.Time{}
	}})
}

// appendRemoval appends the item that says that an item is gone.
func appendRemoval[K comparable, T proto.Message](list []candidate, sent map[K]*sentItem[T], key K, gone T, now time.Time, add func(*peerv1.State, T)) []candidate {
	old := sent[key]
	if old.sentAt.IsZero() {
		// It was never sent.
		delete(sent, key)
		return list
	}
	if old.differsSince.IsZero() {
		old.differsSince = now
	}
	return append(list, candidate{since: old.differsSince, bytes: itemBytes(gone, true), add: func(s *peerv1.State) {
		add(s, gone)
		delete(sent, key)
	}})
}

// itemBytes returns the size of an item. wasSent says that the peer has had one for its key.
func itemBytes(item proto.Message, wasSent bool) int {
	if l, ok := item.(*peerv1.Load); ok && wasSent {
		return proto.Size(item) + itemOverhead - len(l.GetServer()) - numberSaving
	}
	return proto.Size(item) + itemOverhead
}

func loadChanged(old, now *peerv1.Load) bool {
	return old.GetRunning() != now.GetRunning() || old.GetBorn() != now.GetBorn() || old.GetDip() != now.GetDip() ||
		differ(old.GetTokens(), now.GetTokens(), significantTokens) || differ(old.GetPrompt(), now.GetPrompt(), significantTokens) ||
		differ(old.GetCopying(), now.GetCopying(), significantTokens) || differ(old.GetHeld(), now.GetHeld(), significantTokens) ||
		differ(old.GetStandby(), now.GetStandby(), significantTokens) || differ(old.GetPauseUs(), now.GetPauseUs(), 0)
}

func usageChanged(old, now *peerv1.Usage) bool {
	return differ(old.GetAmount(), now.GetAmount(), significantUsage) || differ(old.GetLightAmount(), now.GetLightAmount(), significantUsage)
}

// differ reports whether two amounts differ significantly. A difference up to floor does not count, unless
// one of them is zero.
func differ[T ~uint32 | ~uint64 | ~float32](a, b, floor T) bool {
	if (a == 0) != (b == 0) {
		return true
	}
	diff := max(a, b) - min(a, b)
	return diff > floor && float64(diff) > significantShare*float64(max(a, b))
}

// receivedState is the state of a peer as its partial states add up on one link. It is not safe for
// concurrent use.
type receivedState struct {
	from       *peerv1.Member
	linkMbps   float64
	loads      map[string]*peerv1.Load
	usages     map[usageKey]*peerv1.Usage
	losses     map[string]*peerv1.Loss
	demands    []*peerv1.Demand
	retries    *peerv1.Retries
	numbers    map[uint32]serverLife
	receivedAt time.Time
}

// serverLife is the server that a number stands for.
type serverLife struct {
	id   string
	born int64
}

// apply returns the whole state that a state from the link makes, which may be partial. It returns nil for a
// partial state without a whole one before it.
func (r *receivedState) apply(s *peerv1.State, now time.Time) *peerv1.State {
	elapsed := now.Sub(r.receivedAt)
	r.receivedAt = now
	if !s.GetPartial() {
		r.from, r.linkMbps = s.GetFrom(), s.GetLinkMbps()
		r.loads, r.usages, r.losses = make(map[string]*peerv1.Load), make(map[usageKey]*peerv1.Usage), make(map[string]*peerv1.Loss)
		r.demands, r.retries, r.numbers = nil, nil, make(map[uint32]serverLife)
	}
	if r.from == nil {
		return nil
	}
	for id, l := range r.losses {
		if l.GetLimit() != nil {
			aged := proto.Clone(l).(*peerv1.Loss)
			aged.Limit.AgeMs += elapsed.Milliseconds()
			r.losses[id] = aged
		}
	}
	for _, l := range s.GetLoads() {
		if !r.resolve(l) {
			continue
		}
		set(r.loads, l.GetServer(), l, l.GetRunning() > 0 || !s.GetPartial())
	}
	for _, u := range s.GetUsages() {
		set(r.usages, usageKey{u.GetService(), u.GetTeam()}, u, u.GetAmount() > 0 || !s.GetPartial())
	}
	for _, l := range s.GetLosses() {
		set(r.losses, l.GetServer(), l, !s.GetPartial() || l.GetInARow() > 0 || l.GetEnded() || l.GetLeaving() || l.GetResting() || l.GetLimit() != nil)
	}
	r.retainDemandsAndRetries(s)
	s.From, s.LinkMbps, s.Partial = r.from, r.linkMbps, false
	s.Loads, s.Usages, s.Losses = s.Loads[:0], s.Usages[:0], s.Losses[:0]
	for _, l := range r.loads {
		s.Loads = append(s.Loads, l)
	}
	for _, u := range r.usages {
		s.Usages = append(s.Usages, u)
	}
	for _, l := range r.losses {
		s.Losses = append(s.Losses, l)
	}
	return s
}

// resolve sets the server of a load that has only a number. It returns false if the number is not known.
func (r *receivedState) resolve(l *peerv1.Load) bool {
	if l.GetServer() == "" {
		life, ok := r.numbers[l.GetNumber()]
		l.Server, l.Born = life.id, life.born
		return ok
	}
	if n := l.GetNumber(); n > 0 && len(r.numbers) < maxNumbers {
		r.numbers[n] = serverLife{l.GetServer(), l.GetBorn()}
	}
	return true
}

// maxNumbers bounds the servers that a peer may number on one link.
const maxNumbers = 1 << 16

// retainDemandsAndRetries completes a state by the demands and retries that it leaves out. Ended processes are
// passed on once.
func (r *receivedState) retainDemandsAndRetries(s *peerv1.State) {
	if len(s.GetDemands()) == 0 {
		s.Demands = r.demands
	}
	r.demands = s.GetDemands()
	if s.GetRetries() == nil {
		s.Retries = r.retries
	}
	if got := s.GetRetries(); got != nil {
		r.retries = &peerv1.Retries{Process: got.GetProcess(), Complete: got.GetComplete(), Uses: got.GetUses()}
	}
}

// set sets or deletes the value of a key.
func set[K comparable, T any](m map[K]T, key K, value T, isPresent bool) {
	if isPresent {
		m[key] = value
	} else {
		delete(m, key)
	}
}
