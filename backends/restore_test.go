package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The directory is restored from an old copy. A server that has gone since is in the copy and
// gets nothing until its entry is written again. A server that has joined since is not in it and
// stays in use for as long as its entry may take to be written again.
func TestOldCopyOfTheDirectory(t *testing.T) {
	r := New("z", func(string) ServiceTraits { return ServiceTraits{MemoryTokens: 0} }, func(Server, LeaveReason) {})
	entry := func(id string) Server { return Server{ID: id, Service: "s", Address: id, Slots: 8} }
	r.Put(entry("stays"), 0)
	r.Put(entry("goes"), 0)
	r.Remove("goes", 0, time.Second)
	r.Put(entry("joins"), 2*time.Second)
	now := 3 * time.Second
	r.Restore([]Server{entry("stays"), entry("goes")}, 2*time.Second, now)
	usable := func() (out []string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, s := range r.listed("s") {
			out = append(out, s.ID)
		}
		return out
	}
	require.Equal(t, []string{"joins", "stays"}, usable())
	r.Expire(now + lapsedGracePeriod - 1)
	require.Equal(t, []string{"joins", "stays"}, usable())
	r.Expire(now + lapsedGracePeriod)
	require.Equal(t, []string{"stays"}, usable())
	r.Put(entry("joins"), now+lapsedGracePeriod)
	r.Put(entry("goes"), now+lapsedGracePeriod)
	require.Equal(t, []string{"goes", "joins", "stays"}, usable(), "entries that are written again")
}

// A server that an old copy of the directory brings back, and whose entry stays, is used again
// after departureMemory.
func TestServerOfAnOldCopyIsUsedLater(t *testing.T) {
	r := New("z", func(string) ServiceTraits { return ServiceTraits{MemoryTokens: 0} }, func(Server, LeaveReason) {})
	s := Server{ID: "a", Service: "s", Address: "a", Slots: 8}
	r.Put(s, 0)
	r.Remove("a", 0, time.Second)
	r.Restore([]Server{s}, 2*time.Second, 2*time.Second)
	require.Empty(t, r.listed("s"))
	r.Expire(time.Second + departureMemory)
	require.Len(t, r.listed("s"), 1)
}
