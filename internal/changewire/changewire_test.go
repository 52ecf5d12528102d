package changewire

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/fuzzseed"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/routing"
)

// atOnce makes no pauses.
func atOnce() {}

// fill sets every field of a struct, so that one that is not encoded shows.
func fill(t *testing.T, v reflect.Value) {
	t.Helper()
	for i := range v.NumField() {
		switch f := v.Field(i); f.Kind() {
		case reflect.String:
			f.SetString(fmt.Sprint("text-", i))
		case reflect.Int, reflect.Int64:
			f.SetInt(int64(100 + i))
		case reflect.Uint8:
			f.SetUint(2)
		case reflect.Uint64:
			f.SetUint(uint64(10 + i))
		case reflect.Float64:
			f.SetFloat(0.5 + float64(i))
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Struct:
			fill(t, f)
		case reflect.Pointer:
			f.Set(reflect.New(f.Type().Elem()))
			fill(t, f.Elem())
		case reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 2, 2))
			for k := range 2 {
				switch e := f.Index(k); e.Kind() {
				case reflect.String:
					e.SetString(fmt.Sprint("element-", i, k))
				case reflect.Pointer:
					e.Set(reflect.New(e.Type().Elem()))
					fill(t, e.Elem())
				default:
					fill(t, e)
				}
			}
		default:
			t.Fatalf("field %s of kind %s is not filled", v.Type().Field(i).Name, f.Kind())
		}
	}
}

func pass(t require.TestingT, ch *routing.Change) *routing.Change {
	head, parts, err := Encode(ch, atOnce)
	require.NoError(t, err)
	require.Len(t, parts, int(head.GetParts()))
	access, err := DecodeHead(head)
	require.NoError(t, err)
	u := begun(t, access)
	for _, part := range parts {
		require.NoError(t, ApplyPart(u, part))
	}
	return u.Change
}

// begun is an update by a change whose base is in force.
func begun(t require.TestingT, ch *routing.Change) *routing.Update {
	r := routing.NewReplica()
	if ch.Base != 0 {
		r.Put(routing.Content{Version: ch.Base}, atOnce)
	}
	u, err := r.Begin(ch)
	require.NoError(t, err)
	return u
}

// A field that is added to a route and forgotten here would be in force at gateways that
// read the store and not at the others.
func TestEveryFieldPasses(t *testing.T) {
	var ch routing.Change
	fill(t, reflect.ValueOf(&ch).Elem())
	require.Equal(t, &ch, pass(t, &ch))
}

// drawn is a change that adds n routes as operators name them.
func drawn(n int) *routing.Change {
	rng := rand.New(rand.NewPCG(1, 2))
	name := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[rng.IntN(36)]
		}
		return string(b)
	}
	ch := &routing.Change{Base: 1, Version: 2}
	for range n {
		ch.SetRoutes = append(ch.SetRoutes, &routing.Route{
			Name: "r-" + name(7), Host: "app.example", Prefix: "/" + name(8) + "/", Kind: routing.Idempotent, Timeout: 1500 * time.Millisecond,
			TargetLatency: 150 * time.Millisecond, MaxServers: 2, Priority: 1, Split: []routing.Weighted{{Service: "desk", Weight: 1}},
		})
	}
	return ch
}

// 1,400 routes more take 350 KB of the row in the store, and 19 KB between gateways. They
// must stay far below what a thin link passes in the pause of a stream.
func TestChangeIsSmall(t *testing.T) {
	_, parts, err := Encode(drawn(1400), atOnce)
	require.NoError(t, err)
	size := 0
	for _, part := range parts {
		size += len(part)
		require.Less(t, len(part), 8<<10)
	}
	require.Less(t, size, 25_000)
	t.Logf("1,400 routes take %d bytes", size)
}

// BenchmarkEncode and BenchmarkDecode: 1,400 routes; encoded once for all peers, decoded
// by each.
func BenchmarkEncode(b *testing.B) {
	ch := drawn(1400)
	for b.Loop() {
		Encode(ch, atOnce)
	}
}

func BenchmarkDecode(b *testing.B) {
	head, parts, _ := Encode(drawn(1400), atOnce)
	for b.Loop() {
		ch, _ := DecodeHead(head)
		u := begun(b, ch)
		for _, part := range parts {
			ApplyPart(u, part)
		}
	}
}

// FuzzDecode: whatever bytes a peer sends, they are a change or an error.
func FuzzDecode(f *testing.F) {
	corpus := fuzzseed.New(f)
	head, parts, err := Encode(drawn(3), atOnce)
	require.NoError(f, err)
	corpus.Add(head.GetAccess(), parts[1])
	corpus.Add([]byte{}, []byte{})
	corpus.Add([]byte{0x03, 0x00}, parts[0])
	corpus.AddMutations()
	f.Fuzz(func(t *testing.T, access, part []byte) {
		ch, err := DecodeHead(&peerv1.Change{Version: 2, Access: access})
		if err != nil {
			return
		}
		r := routing.NewReplica()
		u, err := r.Begin(ch)
		require.NoError(t, err)
		if ApplyPart(u, part) == nil {
			r.Commit(u)
		}
	})
}
