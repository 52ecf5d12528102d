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

// Checks a request with 8 prompt parts against a Tracker of 1,000 records. The limit is 1 us.
func BenchmarkRequestQuarantined(b *testing.B) {
	p := Default()
	p.MaxRecords, p.MaxRecordsPerTeam = 2000, 2000
	tracker := NewTracker(p)
	tracker.Merge(partRecords(1000))
	suspects := []ID{NewID("team", "POST", "host", "/path", nil)}
	for part := range uint64(8) {
		suspects = append(suspects, NewPartID("team-0", 5000+part))
	}
	b.ReportAllocs()
	for b.Loop() {
		tracker.RequestQuarantined(suspects, 2*time.Second)
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

// Records the crash of a server with 48 requests of 4 suspects each beside 1,000 quarantined parts.
func BenchmarkCrashedBesideParts(b *testing.B) {
	tracker := NewTracker(Default())
	tracker.Merge(partRecords(1000))
	n := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		var running []ID
		for range 48 * 4 {
			n++
			running = append(running, NewPartID(fmt.Sprint("team-", n%100), 1<<40+n))
		}
		tracker.Crashed(1<<50+n, time.Minute+time.Duration(n)*time.Millisecond, running)
	}
}

// partRecords returns the records of n parts, each under eight crashes of its own.
func partRecords(n uint64) (out []Record) {
	for i := range n {
		for server := range uint64(8) {
			out = append(out, CrashRecords(server*n+i, time.Duration(1+i)*time.Minute+time.Duration(server)*time.Second, []ID{NewPartID(fmt.Sprint("team-", i%10), i)})...)
		}
	}
	return out
}
