//go:build !race

// The detector of races makes decoding a row some eight times as long, and the tests here ask
// how long a change takes.

package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// Guards against callers of thin VMs being refused, or handled by an old version, while a grown
// configuration comes in.
func TestGrownConfigurationIsInForceOnThinVMs(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.linkMbps = 200
	wide := []*node{s.gateway("vm-a"), s.gateway("vm-b")}
	thin, _ := s.thin("vm-c", 10)
	linked(wide[0], wide[1], thin)
	prefixes := more(4000)
	s.fleet.Configure(fleet.Key, prefixes...)
	grown := time.Now()
	newest := prefixes[len(prefixes)-1] + "a"
	var unready, refused atomic.Int64
	inForce := assert.Eventually(t, func() bool {
		if !thin.isReady() {
			unready.Add(1)
		}
		if thin.do(plain(fleet.OncePath)).status != http.StatusOK {
			refused.Add(1)
		}
		return thin.do(plain(newest)).status == http.StatusOK
	}, 8*time.Second, 10*time.Millisecond, "the newest version is in force")
	require.Zero(t, unready.Load(), "callers left the VM because of a change")
	require.Zero(t, refused.Load(), "callers were refused because of a change")
	require.True(t, inForce)
	require.Less(t, time.Since(grown), testBounds.ApplyConfig)
}

// Guards against a long row that is begun anew while its bytes arrive: they come in at most 1.2
// times, in at most 1.25 times what the link needs.
func TestLoneVMReadsAGrownConfigurationOnce(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	lone, link := s.thin("vm-a", 40)
	before := link.Transferred()
	prefixes := more(16000)
	s.fleet.Configure(fleet.Key, prefixes...)
	size := int64(s.fleet.Store.EncodedSize("op", "config"))
	// The answers to no change take some hundred bytes.
	lone.eventually(func() bool { return link.Transferred()-before > size/100 }, "the row begins to come in")
	begun := time.Now()
	lone.eventually(func() bool { return link.Transferred()-before > size }, "the row has come in")
	// A busy machine may add to what the link needs.
	const busy = 700 * time.Millisecond
	require.Less(t, time.Since(begun), link.TransferTime(size*5/4)+busy)
	lone.eventually(func() bool { return lone.do(plain(prefixes[0]+"a")).status == http.StatusOK }, "the newest version is in force")
	require.LessOrEqual(t, float64(link.Transferred()-before), 1.2*float64(size), "bytes read again")
}
