package quarantine

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// A request's content and a look at a book of 1,000, with a body of 12 KB: to be below 2 us.
// There was no such look before.
func BenchmarkLook(b *testing.B) {
	book := NewTracker(Policy{Ends: 3, Window: time.Hour, Term: time.Hour, Records: 2000, PerTeam: 2000})
	for i := range 1000 {
		id := NewID("team", "POST", "host", "/path", fmt.Append(nil, i))
		for server := range uint64(3) {
			book.Crashed(server*1000+uint64(i), time.Second, []ID{id})
		}
	}
	body := bytes.Repeat([]byte("x"), 12<<10)
	b.ReportAllocs()
	for b.Loop() {
		book.Quarantined(NewID("team", "POST", "host", "/path", body), 2*time.Second)
	}
}

// The news of a server that ended with 48 requests, in a full book.
func BenchmarkEnded(b *testing.B) {
	book := NewTracker(Default())
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		var ran []ID
		for range 48 {
			n++
			ran = append(ran, ID{Team: fmt.Sprint(n % 100), Content: uint64(n)})
		}
		book.Crashed(uint64(n), time.Duration(n)*time.Millisecond, ran)
	}
}
