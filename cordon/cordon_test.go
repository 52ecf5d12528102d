package cordon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"kingcupplank.example/kingcup/revision"
)

// at is a revision of these tests: its hundreds are its era.
func at(n uint64) revision.Revision { return revision.At(n/100, n) }

func newSet() (*Set, *[]string) {
	var domains []string
	s := New(func(d []string) { domains = d })
	return s, &domains
}

func TestRequestsAreInForceUntilTakenBack(t *testing.T) {
	s, domains := newSet()
	s.Put(Request{"b", at(1)})
	s.Put(Request{"a", at(2)})
	require.Equal(t, []string{"a", "b"}, *domains)
	s.Remove("a")
	require.Equal(t, []string{"b"}, *domains)
	s.Replace([]Request{{"c", at(5)}}, at(7), 0)
	require.Equal(t, []string{"c"}, *domains)
	require.Equal(t, []Request{{"c", at(5)}}, s.List())
}

// Guards against requests being sent to a cordoned domain because the store came back from a
// copy that is older than the cordon.
func TestCordonOutlivesARestoredStore(t *testing.T) {
	s, domains := newSet()
	s.Put(Request{"a", at(50)})
	s.Replace(nil, at(120), time.Second)
	require.Equal(t, []string{"a"}, *domains)
	s.Expire(time.Second + rewriteTime - 1)
	require.Equal(t, []string{"a"}, *domains, "until the operator has had the time to write it again")
	s.Replace(nil, at(130), 2*time.Second)
	s.Expire(time.Second + rewriteTime)
	require.Empty(t, *domains, "a request that is not written again ends, however often the table is read")
}

func TestCordonWrittenAgainStays(t *testing.T) {
	s, domains := newSet()
	s.Put(Request{"a", at(50)})
	s.Replace(nil, at(120), 0)
	s.Put(Request{"a", at(125)})
	s.Expire(2 * rewriteTime)
	require.Equal(t, []string{"a"}, *domains)
	s.Remove("a")
	require.Empty(t, *domains)
}

// Guards against a cordon that a peer only keeps for a while staying for ever where it was
// taken over.
func TestCordonOfAnEarlierEraTakenFromAPeerEnds(t *testing.T) {
	s, domains := newSet()
	s.Replace([]Request{{"a", at(50)}}, at(120), 0)
	require.Equal(t, []string{"a"}, *domains)
	s.Expire(rewriteTime)
	require.Empty(t, *domains)
}

// Whatever order requests and restored stores come in, what is told is what is listed, and
// what a store of the present era shows is in force.
func TestWhatIsToldIsWhatIsListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, domains := newSet()
		n, now := uint64(1), time.Duration(0)
		domain := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			n++
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d := domain.Draw(t, "put")
				s.Put(Request{d, at(n)})
				require.Contains(t, *domains, d)
			case 1:
				d := domain.Draw(t, "remove")
				s.Remove(d)
				require.NotContains(t, *domains, d)
			case 2:
				var list []Request
				for _, d := range rapid.SliceOfDistinct(domain, rapid.ID).Draw(t, "list") {
					list = append(list, Request{d, at(n)})
				}
				s.Replace(list, at(n), now)
				for _, r := range list {
					require.Contains(t, *domains, r.Domain)
				}
			case 3:
				n += 100
			case 4:
				s.Expire(now)
			}
			var listed []string
			for _, r := range s.List() {
				listed = append(listed, r.Domain)
			}
			require.ElementsMatch(t, listed, *domains)
		}
	})
}
