package fleetmodel

import (
	"slices"
	"time"

	"kingcupplank.example/kingcup/membership"
	"kingcupplank.example/kingcup/readers"
)

// join reads a sample of the table of gateways.
func (f *Fleet) join(n *node) {
	if f.now < n.joinAt {
		return
	}
	if n.storeCut {
		n.joinAt = f.now + joinBackoff.Delay(n.joinTry, f.rng.Float64())
		n.joinTry++
		return
	}
	sorted := f.byKey(f.store.members)
	i, own := slices.BinarySearchFunc(sorted, n.index, func(a, b int) int {
		switch {
		case f.keys[a] < f.keys[b]:
			return -1
		case f.keys[a] > f.keys[b]:
			return 1
		}
		return 0
	})
	after := sorted[i:]
	if own {
		after = sorted[i+1:]
	}
	read := after[:min(len(after), membership.SampleSize-1)]
	if !f.store.read("starts", memberRowBytes*(len(read)+1)) {
		n.joinAt = f.now + joinBackoff.Delay(n.joinTry, f.rng.Float64())
		n.joinTry++
		return
	}
	sample := membership.NewSample(n.self.Name, f.names(read), len(read) < len(after))
	minOthers := membership.MinSample
	if n.isFirstStart {
		minOthers = 1
	}
	if len(read) < minOthers && len(read) == len(after) {
		first := sorted[:min(i, membership.SampleSize)]
		f.store.read("starts", memberRowBytes*len(first))
		sample = sample.Extend(f.names(first), len(first) < i)
		read = append(slices.Clone(read), first...)
	}
	n.sample, n.joined = read, true
	if !sample.IsWhole {
		n.estimate = sample.EstimateCount()
	}
	known := []readers.Reader{f.readerOf(n.index)}
	for _, i := range read {
		known = append(known, f.readerOf(i))
	}
	total := len(known)
	if !sample.IsWhole {
		total = sample.EstimateCount()
	}
	if !n.isFirstStart || len(read) == 0 {
		n.initialReader = readers.IsInitialReader(f.readerOf(n.index), known, total, initialReaders, f.rng.Float64())
	}
	n.linkedVersion = -1
}

func (f *Fleet) names(list []int) (out []string) {
	for _, i := range list {
		out = append(out, f.nodes[i].self.Name)
	}
	return out
}

// register keeps the row of a gateway in the table, and writes the rows of others.
func (f *Fleet) register(n *node) {
	if !n.joined {
		return
	}
	registered := f.store.listed[n.index]
	if registered && n.registeredAt == 0 {
		n.registeredAt = f.now
	}
	if !registered && f.now >= n.registerAt {
		n.registerAt = f.now + registrationPoll
		action, registrar := n.registration.Next(f.now+time.Hour, false, len(f.known(n)), f.names(f.receivers(n)))
		before := n.asked
		n.asked = -1
		switch action {
		case membership.Ask:
			n.asked = f.byName[registrar]
			if n.asked != before {
				// A new registrar is asked with a state at once.
				f.nodes[n.asked].registrar.Add(n.self.Name, n.index, f.now+step)
			}
		case membership.Write:
			n.registrar.AddOwn(n.self.Name, n.index, f.now)
		}
	}
	batch := n.registrar.Take(f.now)
	if len(batch) == 0 || n.storeCut {
		return
	}
	rows := make([]int, 0, len(batch))
	for _, i := range batch {
		rows = append(rows, i)
	}
	slices.Sort(rows)
	if at, ok := f.store.write(rows); ok || at > 0 {
		f.at(at, func() { f.store.addMembers(rows) })
	}
}

// sendState sends a state to the next link.
func (f *Fleet) sendState(n *node) {
	if len(n.links) == 0 {
		n.nextState = f.now + minStatePeriod
		return
	}
	n.nextLink = (n.nextLink + 1) % len(n.links)
	n.nextState = f.now + n.statePeriod()/time.Duration(len(n.links))
	to := n.links[n.nextLink]
	peer := f.nodes[to]
	if !peer.alive || f.now < n.linkUp[to] {
		return
	}
	if !peer.inbound[n.index] {
		peer.inbound[n.index] = true
		peer.learn(n.index, f.store)
	}
	n.sentBytes += stateBytes
	if f.rng.Float64() < positionsInState || n.changedRecently(f.now) {
		n.sentBytes += positionBytes
		f.sendPositions(n, peer)
	}
	if f.rng.Float64() < readersInState {
		f.sendReaders(n, peer)
	}
	if n.asked == to {
		peer.registrar.Add(n.self.Name, n.index, f.now)
	}
}

// sendReaders tells a peer of the gateways that read the store. A peer that learns of one tells all
// its links at once.
func (f *Fleet) sendReaders(n, peer *node) {
	now := f.now + time.Hour
	n.sentBytes += readersBytes
	before := len(peer.role.Readers(now, 0))
	peer.role.AddReports(n.role.Readers(now, n.answeredAt+time.Hour), now)
	if len(peer.role.Readers(now, 0)) > before {
		f.announce(peer)
	}
}

// announce sends the list of readers to all links of a gateway, once a step.
func (f *Fleet) announce(n *node) {
	if n.announcesReaders {
		return
	}
	n.announcesReaders = true
	f.at(f.now+step, func() {
		n.announcesReaders = false
		for _, i := range n.links {
			if peer := f.nodes[i]; n.alive && peer.alive && f.now >= n.linkUp[i] {
				peer.inbound[n.index] = true
				n.sentBytes += stateBytes
				f.sendReaders(n, peer)
			}
		}
	})
}

// changedRecently reports whether a table has changed within a state period.
func (n *node) changedRecently(now time.Duration) bool {
	for k := range n.tables {
		if t := &n.tables[k]; t.has && now-t.calledAt < n.statePeriod() {
			return true
		}
	}
	return false
}

// sendPositions tells a peer how far this gateway's tables are.
func (f *Fleet) sendPositions(n, peer *node) {
	for k := range n.tables {
		own, other := &n.tables[k], &peer.tables[k]
		if !own.has || !other.has {
			continue
		}
		switch {
		case own.version > other.heard && own.version > other.version:
			other.heard, other.heardFrom = own.version, append(other.heardFrom[:0], n.index)
			peer.checkAt = f.now
		case own.version == other.heard && own.version > other.version && len(other.heardFrom) < maxAskedPeers:
			other.heardFrom = append(other.heardFrom, n.index)
		case own.version == other.version:
			other.confirmedAt = max(other.confirmedAt, own.confirmedAt)
		}
	}
}

// follow decides what a gateway does for its copy of a table.
func (f *Fleet) follow(n *node, k int) {
	t := &n.tables[k]
	if !n.joined && f.now-n.startAt < findPeersTimeout || f.now < t.busyUntil || t.polling {
		return
	}
	inputs := readers.Inputs{
		Table: tableNames[k], Now: f.now + time.Hour, KnowsOthers: f.count(n) > 1, StoreReached: t.failures == 0,
		ProcessCount: f.contending(n), Random: f.rng.Float64(),
	}
	switch {
	case !t.has:
		f.followWithout(n, k, inputs)
	case t.version < t.heard:
		if f.fetch(n, k, t.heardFrom) {
			return
		}
		t.heard = t.version
	case n.role.ShouldRead(inputs):
		f.callStore(n, k)
	case f.now-t.confirmedAt > pollTimeouts[k]+silenceMargin && n.role.MayTryStore(inputs):
		f.callStore(n, k)
	}
}

// followWithout gets a table for a gateway that has none: from a peer, or from the store.
func (f *Fleet) followWithout(n *node, k int, inputs readers.Inputs) {
	t := &n.tables[k]
	if t.without == 0 {
		t.without = f.now
	}
	if n.joined {
		linked := f.linked(n)
		f.rng.Shuffle(len(linked), func(i, j int) { linked[i], linked[j] = linked[j], linked[i] })
		if f.fetch(n, k, linked[:min(len(linked), maxAskedPeers)]) {
			return
		}
	}
	if n.isFirstStart && len(n.sample) > 0 && f.now-t.without < firstStartSpread {
		return
	}
	inputs.IsStarting = true
	inputs.ProcessCount = float64(f.count(n)) * max(0, 1-(f.now-t.without).Seconds()/startDeferral.Seconds())
	if n.initialReader {
		inputs.ProcessCount = 1
	}
	if n.role.MayTryStore(inputs) {
		f.callStore(n, k)
	}
}

// fetch gets what is missing of a table from the first of some peers that has it.
func (f *Fleet) fetch(n *node, k int, from []int) bool {
	t := &n.tables[k]
	for _, i := range from {
		peer := f.nodes[i]
		if !peer.alive || !peer.tables[k].has || peer.tables[k].version < t.version || t.has && peer.tables[k].version == t.version {
			n.failedFetches++
			continue
		}
		version, confirmedAt := peer.tables[k].version, peer.tables[k].confirmedAt
		peer.sentBytes += f.changeBytes(k, version-t.version, !t.has)
		t.busyUntil = f.now + fetchDelay
		f.at(t.busyUntil, func() { f.apply(n, k, version, confirmedAt) })
		return true
	}
	return false
}

// changeBytes returns the size of the changes of a table between gateways.
func (f *Fleet) changeBytes(k, changes int, isWhole bool) int {
	switch {
	case k == configTable && isWhole:
		return configBytes / 4
	case k == serverTable && isWhole:
		return compressedRowSize * len(f.nodes) * 3 / 2
	}
	return compressedRowSize * max(1, changes)
}

// apply puts a version of a table in force at a gateway.
func (f *Fleet) apply(n *node, k, version int, confirmedAt time.Duration) {
	t := &n.tables[k]
	if !n.alive {
		return
	}
	if !t.has || version > t.version {
		t.calledAt = f.now
	}
	if !t.has {
		// Its peers are told at once.
		for _, i := range n.links {
			f.nodes[i].checkAt = min(f.nodes[i].checkAt, f.now+step)
		}
	}
	t.has, t.without = true, 0
	t.version, t.confirmedAt = max(t.version, version), max(t.confirmedAt, confirmedAt)
	if k == memberTable && !n.whole {
		n.whole, n.estimate, n.linkedVersion = true, 0, -1
	}
	n.checkAt = min(n.checkAt, f.now+step)
}

// callStore makes a call of a follower: for the whole table, or for changes.
func (f *Fleet) callStore(n *node, k int) {
	t := &n.tables[k]
	if n.storeCut {
		t.failures++
		f.store.calls["refused"]++
		t.busyUntil = f.now + tableBackoff.Delay(t.failures-1, f.rng.Float64())
		return
	}
	if !t.has {
		f.store.read("whole tables", f.tableBytes(k))
		t.busyUntil = f.now + storeLatency
		f.at(t.busyUntil, func() { f.answer(n, k) })
		return
	}
	f.store.read("reads", 200)
	t.polling, t.pollEnd = true, f.now+pollTimeouts[k]
	if t.failures > 0 || f.now-t.confirmedAt > pollTimeouts[k] {
		t.pollEnd = f.now
	}
}

// tableBytes returns the size of a whole table in the store's answers.
func (f *Fleet) tableBytes(k int) int {
	switch k {
	case configTable:
		return configBytes
	case serverTable:
		return serverRowBytes * len(f.nodes) * 3 / 2
	}
	return memberRowBytes * len(f.store.members)
}

// answer ends a call of a gateway with the store's newest version.
func (f *Fleet) answer(n *node, k int) {
	if !n.alive {
		return
	}
	t := &n.tables[k]
	t.failures = 0
	n.answeredAt = f.now
	changed := f.store.versions[k] > t.version && t.has
	f.apply(n, k, f.store.versions[k], f.now)
	if changed {
		f.store.bytes += 300
		f.broadcast(n, k)
	}
	isReader := n.role.IsReading() && n.tables[configTable].has && n.tables[serverTable].has
	if isReader && !n.isReader {
		f.announce(n)
	}
	n.isReader = isReader
	n.checkAt = f.now
}

// broadcast sends a page to all links of a gateway.
func (f *Fleet) broadcast(n *node, k int) {
	for _, i := range n.links {
		peer := f.nodes[i]
		if !peer.alive || f.now < n.linkUp[i] {
			continue
		}
		n.sentBytes += compressedRowSize * 2
		t := &peer.tables[k]
		if t.has && t.version < n.tables[k].version {
			t.heard, t.heardFrom = n.tables[k].version, append(t.heardFrom[:0], n.index)
			peer.checkAt = f.now
		}
	}
}

// finishPoll ends a waiting call when the table has changed or its time is over.
func (f *Fleet) finishPoll(n *node, k int) {
	t := &n.tables[k]
	if !t.polling {
		return
	}
	if n.storeCut {
		t.polling = false
		t.failures++
		t.busyUntil = f.now + tableBackoff.Delay(0, f.rng.Float64())
		return
	}
	if f.store.versions[k] == t.version && f.now < t.pollEnd {
		return
	}
	t.polling = false
	t.busyUntil = f.now + minIntervals[k]
	f.answer(n, k)
}
