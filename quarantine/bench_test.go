package quarantine

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// Computes a request's ID and checks it against a Tracker of 1,000 records, with a body of 12 KB.
// The limit is 2 us.
func BenchmarkQuarantined(b *testing.B) {
	tracker := NewTracker(Policy{CrashThreshold: 3, Window: time.Hour, QuarantineTime: time.Hour, MaxRecords: 2000, MaxRecordsPerTeam: 2000})
	for i := range 1000 {
		id := NewID("team", "POST", "host", "/path", fmt.Append(nil, i))
		for server := range uint64(3) {
			tracker.Crashed(server*1000+uint64(i), time.Second, []ID{id})
		}
	}
	body := bytes.Repeat([]byte("x"), 12<<10)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Quarantined(NewID("team", "POST", "host", "/path", body), 2*time.Second)
	}
}

// Records the crash of a server with 48 requests in a full Tracker.
func BenchmarkCrashed(b *testing.B) {
	tracker := NewTracker(Default())
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		var running []ID
		for range 48 {
			n++
			running = append(running, ID{Team: fmt.Sprint(n % 100), Content: uint64(n)})
		}
		tracker.Crashed(uint64(n), time.Duration(n)*time.Millisecond, running)
	}
}
