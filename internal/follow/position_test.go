package follow

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"kingcupplank.example/kingcup/revision"
)

// history is a store with one table that is followed and others that are not.
type history struct {
	revision revision.Revision
	changes  []Row
}

// next is a change of some table.
func (h *history) next() { h.revision = revision.At(0, h.revision.Version()+1) }

// at is the table as it stood at a revision.
func (h *history) at(seen revision.Revision) map[string]string {
	out := make(map[string]string)
	for _, c := range h.changes {
		if seen.Before(c.Revision) {
			break
		}
		if c.Deleted {
			delete(out, c.Key)
			continue
		}
		out[c.Key] = string(c.Value)
	}
	return out
}

func (h *history) since(known revision.Revision) (out []Row) {
	for _, c := range h.changes {
		if known.Before(c.Revision) {
			out = append(out, c)
		}
	}
	return out
}

// copied is a process with a copy of the table.
type copied struct {
	Position
	rows rows
}

func (c *copied) take(list []Row, p Position) {
	var fresh []Row
	for _, r := range list {
		if c.Revision.Before(r.Revision) {
			fresh = append(fresh, r)
		}
	}
	c.rows.apply(fresh)
	c.Position = Position{Changed: revision.Later(c.Changed, p.Changed), Revision: revision.Later(c.Revision, p.Revision)}
}

func (c *copied) values() map[string]string {
	out := make(map[string]string)
	for key, r := range c.rows.all {
		if !r.Deleted {
			out[key] = string(r.Value)
		}
	}
	return out
}

// Processes tell each other how far they are, fetch from each other what they lack, and
// read the store now and then, in any order. What one believes of its copy must be true: a
// copy that is taken for newer than it is serves removed keys and sends requests to servers
// that have left.
func TestPositionsNeverSayMoreThanTheCopyHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{revision: revision.At(0, 1)}
		all := make([]*copied, 4)
		for i := range all {
			all[i] = &copied{Position: Position{Changed: revision.At(0, 1), Revision: revision.At(0, 1)}}
			all[i].rows.reset(nil, revision.At(0, 1))
		}
		pick := func(name string) *copied { return all[rapid.IntRange(0, len(all)-1).Draw(t, name)] }
		t.Repeat(map[string]func(*rapid.T){
			"write elsewhere": func(*rapid.T) { h.next() },
			"write": func(t *rapid.T) {
				h.next()
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				_, exists := h.at(h.revision)[key]
				h.changes = append(h.changes, Row{Key: key, Value: fmt.Append(nil, h.revision.Version()), Revision: h.revision, Deleted: exists && rapid.Bool().Draw(t, "drop")})
			},
			"read changes": func(*rapid.T) {
				c := pick("reader")
				list := h.since(c.Revision)
				p := Position{Revision: h.revision}
				for _, r := range list {
					p.Changed = revision.Later(p.Changed, r.Revision)
				}
				c.take(list, p)
			},
			"read the whole table": func(*rapid.T) {
				c := pick("reader")
				var list []Row
				for key, v := range h.at(h.revision) {
					list = append(list, Row{Key: key, Value: []byte(v), Revision: h.revision})
				}
				c.rows.reset(list, h.revision)
				c.Position = Position{Changed: h.revision, Revision: h.revision}
			},
			"forget drops": func(*rapid.T) { pick("process").rows.forget() },
			"hear": func(*rapid.T) {
				from, to := pick("from"), pick("to")
				if to.Has(from.Position) {
					to.Position = to.Join(from.Position)
				}
			},
			"fetch": func(*rapid.T) {
				from, to := pick("from"), pick("to")
				if to.Has(from.Position) {
					return
				}
				list, whole := from.rows.since(to.Revision)
				if whole {
					to.rows.reset(list, from.Revision)
					to.Position = from.Position
					return
				}
				to.take(list, from.Position)
			},
			"": func(t *rapid.T) {
				for i, c := range all {
					require.True(t, maps.Equal(h.at(c.Revision), c.values()), "copy %d at %d: %v, is %v", i, c.Revision, c.values(), h.at(c.Revision))
					require.Equal(t, h.at(c.Revision), h.at(revision.Earlier(c.Changed, c.Revision)), "no change since %d", c.Changed)
				}
			},
		})
	})
}

// A process hears no page for minutes, only how far others are: nothing has changed. Its
// view is as fresh as theirs, and it calls the store as little.
func TestPositionsOfOthersKeepAViewFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.put("a", "1")
		f, now := begin(t, store, sink, fixedSharing{reads: func(bool) bool { return false }, shared: func(SharedPage) {}})
		time.Sleep(10 * time.Millisecond)
		calls := store.called()
		for range 600 {
			time.Sleep(300 * time.Millisecond)
			f.ReceivePosition(Position{Changed: revision.At(0, 1), Revision: revision.At(0, 5), Clock: time.Since(store.start)})
			require.Less(t, sink.age(now()), 10*time.Millisecond)
		}
		require.Equal(t, calls, store.called())
		position, _ := f.Position()
		require.EqualValues(t, 5, position.Revision.Version())
	})
}

// A process has lost two pages, and a peer says that it is further. What is missing is
// fetched from the peer; the view must not be confirmed before, or a server that left in
// one of the pages would be used on.
func TestPositionThatIsFurtherConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.put("a", "1")
		f, now := begin(t, store, sink, fixedSharing{
			reads: func(bool) bool { return false }, shared: func(SharedPage) {},
			fetch: func() (Page, error) { return Page{}, errAway },
		})
		time.Sleep(10 * time.Millisecond)
		time.Sleep(time.Second)
		f.ReceivePosition(Position{Changed: revision.At(0, 3), Revision: revision.At(0, 3), Clock: time.Since(store.start)})
		time.Sleep(10 * time.Millisecond)
		require.GreaterOrEqual(t, sink.age(now()), time.Second)
	})
}

// A process starts and its peers have the table: the store is not read. Before the store
// has told the time by an own answer nothing is taken from them: a table that is seconds
// old would look new, and keys be trusted beyond their bound.
func TestTableOfAPeerNeedsTheStoresClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.setAway(true)
		old := Page{Whole: true, Revision: revision.At(0, 7), Clock: time.Second, Rows: []Row{{Key: "a", Value: []byte("1"), Revision: revision.At(0, 7)}}}
		f, now := begin(t, store, sink, fixedSharing{
			reads: func(bool) bool { return false }, shared: func(SharedPage) {},
			fetch: func() (Page, error) { return old, nil },
		})
		time.Sleep(5 * time.Second)
		require.False(t, f.HasTable())
		f.SetClock(time.Since(store.start), now())
		time.Sleep(time.Second)
		require.True(t, f.HasTable())
		require.Equal(t, "1", sink.get("a"))
		require.GreaterOrEqual(t, sink.age(now()), 5*time.Second)
	})
}

// The history of the feed is lost for a reader, and a peer has what is missing: the table
// is not read in whole.
func TestLostHistoryIsFetchedFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.put("a", "1")
		begin(t, store, sink, fixedSharing{
			reads: func(bool) bool { return true }, shared: func(SharedPage) {},
			fetch: func() (Page, error) {
				return Page{Revision: revision.At(0, 2), Changed: revision.At(0, 2), Clock: time.Since(store.start), Rows: []Row{{Key: "a", Value: []byte("2"), Revision: revision.At(0, 2)}}}, nil
			},
		})
		time.Sleep(10 * time.Millisecond)
		store.setAway(true)
		time.Sleep(2 * time.Second)
		store.put("a", "2")
		store.compact()
		store.setAway(false)
		time.Sleep(time.Second)
		require.Equal(t, "2", sink.get("a"))
		require.Equal(t, 1, sink.resets)
	})
}

// Guards against a gateway that starts while the others read the table anew being told nothing
// by them: all that it could go by is what the store shows, which may be a copy from before.
func TestTableIsToldWhileItIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.put("a", "1")
		f, _ := beginWith(t, Config{Name: "t", PollTimeout: testWait, KeepRows: true}, store, sink, nil)
		time.Sleep(time.Second)
		store.mu.Lock()
		store.slow = 500 * time.Millisecond
		store.mu.Unlock()
		store.setAway(true)
		time.Sleep(2 * time.Second)
		store.put("b", "1")
		store.compact()
		store.setAway(false)
		for _, synced := f.Position(); synced; _, synced = f.Position() {
			time.Sleep(10 * time.Millisecond)
		}
		page, told := f.ChangesSince(revision.Revision{})
		require.True(t, told)
		require.Len(t, page.Rows, 1)
		require.EqualValues(t, 1, page.Revision.Version())
		last, known := f.LastPosition()
		require.True(t, known)
		require.Equal(t, page.Revision, last.Revision)
		require.GreaterOrEqual(t, time.Since(store.start)-last.Clock, 500*time.Millisecond, "no newer than it is")
	})
}

// More servers leave than are remembered. A peer that was away gets the whole table: from
// changes alone it would use the servers on that are forgotten.
func TestForgottenDropsAreToldByTheWholeTable(t *testing.T) {
	var r rows
	r.reset([]Row{{Key: "stays", Revision: revision.At(0, 1)}}, revision.At(0, 1))
	for i := range maxDrops + 1 {
		key := fmt.Sprint("server-", i)
		r.apply([]Row{{Key: key, Revision: revision.At(0, uint64(2*i+2))}, {Key: key, Revision: revision.At(0, uint64(2*i+3)), Deleted: true}})
	}
	list, whole := r.since(revision.At(0, 5))
	require.True(t, whole)
	require.Equal(t, []Row{{Key: "stays", Revision: revision.At(0, 1)}}, list)
	require.LessOrEqual(t, len(r.all), maxDrops+1)
}

// Guards against a store that has come back from a copy being counted for each read of it, or not
// at all.
func TestStoreThatComesBackOlderIsCountedOnce(t *testing.T) {
	restored := 0
	f := New(Config{Name: "t", OnRestored: func() { restored++ }}, nil, newTable(), nil, func() time.Duration { return time.Minute }, quiet())
	f.Seed(Page{Revision: revision.At(0, 9), Clock: time.Second}, time.Minute)
	require.Zero(t, restored)
	f.Seed(Page{Revision: revision.At(1, 4), Clock: 2 * time.Second}, time.Minute)
	f.Seed(Page{Revision: revision.At(1, 5), Clock: 3 * time.Second}, time.Minute)
	require.Equal(t, 1, restored)
}
