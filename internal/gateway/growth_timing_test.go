//go:build !race

// The tests in this file measure how long a change takes. The race detector slows down the
// decoding of a row by a factor of about eight, so they don't run with it.

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

// Guards against callers of VMs with a slow link being refused, or handled by an old
// version, while a grown configuration arrives.
func TestGrownConfigurationIsInForceOnThinVMs(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.linkMbps = 200
	fast := []*testGateway{s.gateway("vm-a"), s.gateway("vm-b")}
	slow, _ := s.gatewayOnLink("vm-c", 10)
	waitUntilLinked(fast[0], fast[1], slow)
	prefixes := extraPrefixes(4000)
	s.fleet.Configure(fleet.Key, prefixes...)
	grown := time.Now()
	newest := prefixes[len(prefixes)-1] + "a"
	var unready, refused atomic.Int64
	inForce := assert.Eventually(t, func() bool {
		if !slow.isReady() {
			unready.Add(1)
		}
		if slow.do(plain(fleet.OncePath)).status != http.StatusOK {
			refused.Add(1)
		}
		return slow.do(plain(newest)).status == http.StatusOK
	}, 8*time.Second, 10*time.Millisecond, "the newest version is in force")
	require.Zero(t, unready.Load(), "callers left the VM because of a change")
	require.Zero(t, refused.Load(), "callers were refused because of a change")
	require.True(t, inForce)
	require.Less(t, time.Since(grown), testBounds.ApplyConfig)
}

// Guards against the transfer of a long row being restarted while it arrives. The bytes
// received are at most 1.2 times the row, in at most 1.25 times the time that the link
// needs.
func TestLoneVMReadsAGrownConfigurationOnce(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	lone, link := s.gatewayOnLink("vm-a", 40)
	before := link.Transferred()
	prefixes := extraPrefixes(16000)
	s.fleet.Configure(fleet.Key, prefixes...)
	size := int64(s.fleet.Store.EncodedSize("op", "config"))
	// Responses without changes have some hundred bytes.
	lone.eventually(func() bool { return link.Transferred()-before > size/100 }, "the row begins to come in")
	begun := time.Now()
	lone.eventually(func() bool { return link.Transferred()-before > size }, "the row has come in")
	// busy is the extra time that a busy machine may take.
	const busy = 700 * time.Millisecond
	require.Less(t, time.Since(begun), link.TransferTime(size*5/4)+busy)
	lone.eventually(func() bool { return lone.do(plain(prefixes[0]+"a")).status == http.StatusOK }, "the newest version is in force")
	require.LessOrEqual(t, float64(link.Transferred()-before), 1.2*float64(size), "bytes read again")
}
