package origin

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	v1 = Origin{Service: "model", SoftwareVersion: "v1"}
	v2 = Origin{Service: "model", SoftwareVersion: "v2"}
)

// Guards against a second version of a stream, whatever order, loss and repetition there is in what
// processes hear of it.
func TestTablesNeverNameTwoVersionsOfAStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		truth := make(map[ID]Origin)
		for i := range 4 {
			o := Origin{Service: "model", SoftwareVersion: rapid.SampledFrom([]string{"v1", "v1.1", "v2"}).Draw(t, "version")}
			truth[NewID("team", fmt.Sprint(i))] = o
		}
		contradicted := make(map[*Table]map[ID]bool)
		now := time.Duration(0)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			b := rapid.SampledFrom(tables).Draw(t, "table")
			id := NewID("team", fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "stream")))
			o := truth[id]
			if rapid.IntRange(0, 9).Draw(t, "wrong") == 0 {
				o = Origin{Service: "model", SoftwareVersion: "other"}
				if contradicted[b] == nil {
					contradicted[b] = make(map[ID]bool)
				}
				contradicted[b][id] = true
			}
			b.Record(id, o, time.Hour, now)
			for id, o := range truth {
				got, known := b.Lookup(id, now)
				if known && !contradicted[b][id] {
					require.Equal(t, o, got)
				}
			}
		}
		// Whoever has heard of both names neither.
		for _, b := range tables {
			for id, o := range truth {
				b.Record(id, o, time.Hour, now)
				got, known := b.Lookup(id, now)
				require.Equal(t, !contradicted[b][id], known)
				if known {
					require.Equal(t, o, got)
				}
			}
		}
	})
}

// Guards against streams that are forgotten while they last, and against streams that are kept for good.
func TestOriginsExpire(t *testing.T) {
	b, id := NewTable(), NewID("team", "a")
	b.Record(id, v1, 6*time.Second, 0)
	b.Record(id, v1, 6*time.Second, 4*time.Second)
	got, known := b.Lookup(id, 9*time.Second)
	require.True(t, known)
	require.Equal(t, v1, got)
	_, known = b.Lookup(id, 10*time.Second)
	require.False(t, known)
	b.Record(NewID("team", "b"), v2, 6*time.Second, 10*time.Second)
	require.Equal(t, 1, b.Len())
	b.Record(id, v1, 1000*time.Hour, 10*time.Second)
	_, known = b.Lookup(id, 10*time.Second+MaxLifetime)
	require.False(t, known)
}

// Guards against callers that fill a process's memory with streams.
func TestTableIsBounded(t *testing.T) {
	b := NewTable()
	for i := range MaxEntries + 1000 {
		b.Record(NewID("team", fmt.Sprint(i)), v1, time.Minute, time.Duration(i))
	}
	require.Equal(t, MaxEntries, b.Len())
	_, known := b.Lookup(NewID("team", fmt.Sprint(MaxEntries+999)), time.Second)
	require.True(t, known, "the newest stay")
}

// Guards against a team that names the stream of another one, and against an unknown version that is
// taken for one.
func TestOriginsAreKeptApart(t *testing.T) {
	require.NotEqual(t, NewID("a", "b"), NewID("", "ab"))
	require.NotEqual(t, NewID("a", "x"), NewID("b", "x"))
	b, id := NewTable(), NewID("team", "a")
	b.Record(id, Origin{Service: "model"}, time.Minute, 0)
	_, known := b.Lookup(id, 0)
	require.False(t, known)
}

// FuzzTable records what a peer may send.
func FuzzTable(f *testing.F) {
	f.Add([]byte("attempt"), "model", "v1", int64(time.Second))
	f.Fuzz(func(t *testing.T, attempt []byte, service, version string, lifetime int64) {
		b := NewTable()
		var id ID
		copy(id[:], attempt)
		o := Origin{Service: service, SoftwareVersion: version}
		b.Record(id, o, time.Duration(lifetime), 0)
		got, known := b.Lookup(id, 0)
		if known && (got != o || version == "" || lifetime <= 0) {
			t.Fatalf("%x: %v", binary.BigEndian.Uint64(id[:]), got)
		}
		b.Record(id, v2, time.Minute, 1)
		if got, known := b.Lookup(id, 1); known && got != v2 {
			t.Fatal("an origin that was contradicted is named")
		}
	})
}

func BenchmarkRecordAndLookup(b *testing.B) {
	table := NewTable()
	b.ReportAllocs()
	for i := range b.N {
		var id ID
		binary.BigEndian.PutUint64(id[:], uint64(i))
		table.Record(id, v1, time.Second, time.Duration(i)*time.Microsecond)
		table.Lookup(id, time.Duration(i)*time.Microsecond)
	}
}
