package fleetmodel

import "time"

// The platform's store: its rates are those of the largest deployment that is in service.
const (
	storeLatency = 8 * time.Millisecond
	// partWritesPerSecond is the number of transactions that a part of a table takes in a second.
	// It refuses those that would wait for more than maxPartQueue.
	partWritesPerSecond = 300
	maxPartQueue        = time.Second
	// writeTimeout is how long a gateway waits for the answer to a transaction.
	writeTimeout = 600 * time.Millisecond
	// readsPerSecond is the number of reads that the store answers in a second.
	readsPerSecond = 16000
	// rowBytes are the sizes of a row in the store's answers, by table.
	memberRowBytes, serverRowBytes, configBytes = 280, 400, 60_000
)

// store is the model of the platform's store.
type store struct {
	now time.Duration
	// versions count the changes of each table. members are the gateways in the order in which
	// their rows came into the table.
	versions [tableCount]int
	members  []int
	listed   map[int]bool
	// position is the place of a gateway in members.
	position map[int]int
	// partFreeAt is when the part of the table of gateways has done its transactions.
	partFreeAt time.Duration
	// reads are the reads in the present second.
	reads       int
	readsSecond int64
	calls       map[string]int
	refused     int
	bytes       int
}

func newStore() *store {
	return &store{listed: make(map[int]bool), position: make(map[int]int), calls: make(map[string]int)}
}

// read counts a read and reports whether the store answers it.
func (s *store) read(kind string, bytes int) bool {
	s.calls[kind]++
	if second := int64(s.now / time.Second); second != s.readsSecond {
		s.readsSecond, s.reads = second, 0
	}
	s.reads++
	if s.reads > readsPerSecond {
		s.refused++
		return false
	}
	s.bytes += bytes
	return true
}

// write puts rows of gateways into the table. It returns when they are there, and whether the
// caller gets its answer in time.
func (s *store) write(rows []int) (at time.Duration, ok bool) {
	s.calls["writes"]++
	if s.partFreeAt-s.now > maxPartQueue {
		s.refused++
		return 0, false
	}
	s.partFreeAt = max(s.partFreeAt, s.now) + time.Second/partWritesPerSecond
	if s.partFreeAt-s.now > writeTimeout {
		s.refused++
		ok = false
	} else {
		ok = true
	}
	return s.partFreeAt + storeLatency, ok
}

// addMembers adds the rows of gateways that are not there yet.
func (s *store) addMembers(rows []int) {
	for _, i := range rows {
		if !s.listed[i] {
			s.listed[i] = true
			s.position[i] = len(s.members)
			s.members = append(s.members, i)
			s.versions[memberTable]++
		}
	}
}

// totalCalls returns the number of calls of all kinds.
func (s *store) totalCalls() (n int) {
	for _, c := range s.calls {
		n += c
	}
	return n
}
