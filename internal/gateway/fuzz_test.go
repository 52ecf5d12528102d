package gateway

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/fuzzseed"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/internal/relay"
	"kingcupplank.example/kingcup/origin"
	"kingcupplank.example/kingcup/platform/directory"
	"kingcupplank.example/kingcup/platform/operator"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/quarantine"
	"kingcupplank.example/kingcup/revision"
	"kingcupplank.example/kingcup/routing"
)

// fakeStore is a store whose table of gateways has given rows.
type fakeStore []follow.Row

func (m fakeStore) Put(context.Context, string, map[string][]byte) error { return nil }

func (m fakeStore) Range(context.Context, string, string, string, int, time.Duration) (follow.Page, bool, error) {
	return follow.Page{Rows: m}, false, nil
}

func (m fakeStore) Remove(context.Context, string, string, revision.Revision) error { return nil }

func (m fakeStore) Table(string) follow.Feed { return fakeFeed(m) }

// newQuietGroup returns a group that logs nothing and has no links.
func newQuietGroup(store tableStore) *group {
	log := logrus.New()
	log.SetOutput(io.Discard)
	registry := backends.New("z", func(string) backends.ServiceTraits { return backends.ServiceTraits{} }, func(backends.Server, backends.LeaveReason) {})
	g := newGroup(peers.Member{Name: "self", Address: "10.0.0.1:80", FailureDomain: "z"}, store, registry, routing.NewReplica(), 10, peers.DefaultLinks, false, newControlStats(nil), nil, nil, log)
	for _, table := range []string{operator.Table, directory.Table} {
		g.followers[table] = follow.New(follow.Config{Name: table}, nil, g.config.sink, g.config, clock.SinceBoot, log)
	}
	return g
}

// FuzzMember checks that any bytes in a gateway's row are either rejected or decoded to an
// address that can be dialed.
func FuzzMember(f *testing.F) {
	corpus := fuzzseed.New(f)
	for _, seed := range []string{`{"address":"10.0.0.2:7200","failure_domain":"z"}`, "", "null", "[]", `{"address":7}`, `{"address":"vm:7200"}`, `{"address":"10.0.0.2"}`} {
		corpus.Add([]byte(seed))
	}
	corpus.AddMutations()
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMember(data)
		if err != nil {
			return
		}
		_, err = netip.ParseAddrPort(m.Address)
		require.NoError(t, err)
	})
}

// FuzzPeer checks that no frame of a peer crashes the gateway.
func FuzzPeer(f *testing.F) {
	corpus := fuzzseed.New(f)
	for _, frame := range []*peerv1.Frame{
		{Kind: &peerv1.Frame_State{State: &peerv1.State{From: &peerv1.Member{Name: "p"}, ConfigVersion: 9, Loads: []*peerv1.Load{{Server: "s", Tokens: 1 << 63, Standby: 1 << 63}}, Queues: []*peerv1.Queue{{Service: "m"}}}}},
		{Kind: &peerv1.Frame_State{State: &peerv1.State{From: &peerv1.Member{Name: "p"}, Positions: []*peerv1.Position{{Table: directory.Table, Changed: 1 << 63, ClockMs: -1}}, Readers: []*peerv1.Reader{{Name: "r", AnsweredMs: 1 << 62}}}}},
		{Kind: &peerv1.Frame_Page{Page: &peerv1.Page{Table: operator.Table, Since: 5, Revision: 3}}},
		{Kind: &peerv1.Frame_Page{Page: &peerv1.Page{Table: directory.Table, Rows: []*peerv1.Row{{Key: "s"}}}}},
		{Kind: &peerv1.Frame_Suspects{Suspects: &peerv1.Suspects{Suspects: []*peerv1.Suspect{{Team: "t", Content: 1, Ends: []*peerv1.End{{Server: 1, AtMs: 1}, {Server: 2, AtMs: -1}, {Server: 3, AtMs: 1 << 62}}}}}}},
	} {
		data, err := proto.Marshal(frame)
		require.NoError(f, err)
		corpus.Add(data)
	}
	corpus.AddMutations()
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &peerv1.Frame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		g := newQuietGroup(fakeStore(nil))
		if s := frame.GetState(); s != nil {
			g.State("p", s)
			g.State("p", nil)
		}
		if p := frame.GetPage(); p != nil {
			g.Page("p", p)
		}
		if s := frame.GetSuspects(); s != nil {
			g.Suspects("p", s)
			g.quarantine.initialRecords()
		}
		g.ownState()
	})
}

// FuzzSuspect checks that any bytes in the row of a quarantine record are either rejected
// or decoded to a record that encodes to the same request.
func FuzzSuspect(f *testing.F) {
	corpus := fuzzseed.New(f)
	valid := quarantine.Record{ID: quarantine.NewID("team", "POST", "h", "/p", nil), Crashes: []quarantine.Crash{{Incarnation: 7, At: time.Second}}, ClearedAt: time.Millisecond}
	data, err := encodeRecord(valid)
	require.NoError(f, err)
	for _, seed := range []string{string(data), "", "null", "[]", "{}", `{"team":"t","content":-1}`, `{"ends":[{"at_ms":9e18}]}`} {
		corpus.Add(recordRowKey(valid.ID), []byte(seed))
	}
	corpus.AddMutations()
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		r, err := decodeRecord(follow.Row{Key: key, Value: data})
		if err != nil {
			return
		}
		again, err := encodeRecord(r)
		require.NoError(t, err)
		same, err := decodeRecord(follow.Row{Key: key, Value: again})
		require.NoError(t, err)
		require.Equal(t, r.ID, same.ID)
		quarantine.NewTracker(quarantine.Default()).Merge([]quarantine.Record{r, same})
	})
}

// Another writer leaves invalid rows in the table of gateways. The gateways of the other
// rows must be known as without them: a gateway that is left out gets no loads, and one
// with an invalid address would be dialed again and again.
func TestInvalidMemberRowsAreIgnored(t *testing.T) {
	bad := []string{"", "{", "null", "[]", `{"address":"vm:80"}`, `{"address":"10.0.0.2"}`, `{"failure_domain":"z"}`}
	rapid.Check(t, func(t *rapid.T) {
		var mixed, clean fakeStore
		for i := range rapid.IntRange(0, 10).Draw(t, "rows") {
			row := follow.Row{Key: fmt.Sprint("vm-", i), Value: fmt.Appendf(nil, `{"address":"10.0.0.%d:7200","failure_domain":"z"}`, i+1), Revision: revision.At(0, uint64(i))}
			if rapid.Bool().Draw(t, "bad") {
				row.Value = []byte(rapid.SampledFrom(bad).Draw(t, "data"))
			} else {
				clean = append(clean, row)
			}
			mixed = append(mixed, row)
		}
		require.Equal(t, newQuietGroup(clean).decodeMembers(clean), newQuietGroup(mixed).decodeMembers(mixed))
	})
}

// fakeFeed is the table of gateways with given rows and no changes.
type fakeFeed []follow.Row

var errNotFollowed = errors.New("the table of gateways is not followed")

func (m fakeFeed) Changes(context.Context, revision.Revision, time.Duration, func()) (follow.Page, error) {
	return follow.Page{}, errNotFollowed
}

func (m fakeFeed) Snapshot(context.Context, time.Duration) (follow.Page, error) {
	return follow.Page{Rows: m}, nil
}

// FuzzOriginRequest checks that no request of a peer about origins crashes the gateway, and that none makes it
// keep what is not an origin.
func FuzzOriginRequest(f *testing.F) {
	corpus := fuzzseed.New(f)
	id := make([]byte, len(origin.ID{}))
	for _, request := range []*peerv1.Fetch{
		{Record: []*peerv1.Origin{{Id: id, Service: "m", SoftwareVersion: "v1", LifetimeMs: 6000}}},
		{Record: []*peerv1.Origin{{Id: id[1:], Service: "m"}, {}}, Lookup: &peerv1.Lookup{}},
		{Record: []*peerv1.Origin{{Id: id, LifetimeMs: -1 << 63}, {Id: id, LifetimeMs: 1<<63 - 1}}},
		{Lookup: &peerv1.Lookup{Id: id, Service: "m", SpanMs: 1<<63 - 1}},
	} {
		data, err := proto.Marshal(request)
		require.NoError(f, err)
		corpus.Add(data)
	}
	corpus.AddMutations()
	f.Fuzz(func(t *testing.T, data []byte) {
		request := &peerv1.Fetch{}
		if proto.Unmarshal(data, request) != nil || !isOriginRequest(request) {
			return
		}
		g := newQuietGroup(fakeStore(nil))
		head, parts, err := g.serveFetch(request)
		require.Empty(t, parts)
		if err != nil {
			return
		}
		require.LessOrEqual(t, g.origins.table.Len(), len(request.GetRecord()))
		require.Equal(t, request.GetLookup() != nil, head.GetLookup() != nil)
	})
}

// Guards against an origin that a peer names although it was contradicted here.
func TestContradictedOriginIsNotTakenFromAPeer(t *testing.T) {
	s := newSystem(t)
	first, second := s.gateway("vm-1"), s.gateway("vm-2")
	first.eventually(func() bool {
		return len(first.group.links.LiveStates()) == 1 && len(second.group.links.LiveStates()) == 1
	}, "linked")
	id := origin.NewID("team", "stream")
	second.group.origins.record(id, origin.Origin{Service: "m", SoftwareVersion: "v1"}, time.Minute)
	query := relay.OriginQuery{ID: id, Service: "m", Lifetime: time.Minute}
	require.True(t, first.group.origins.Lookup(t.Context(), query).Known)
	first.group.origins.record(id, origin.Origin{Service: "m"}, time.Minute)
	require.False(t, first.group.origins.Lookup(t.Context(), query).Known)
}
