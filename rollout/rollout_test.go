package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against long streams that begin at a version of which the last servers are about to leave.
func TestVersionIsRetiringOnceHalfOfItIsReplaced(t *testing.T) {
	var tr Tracker
	now := time.Duration(0)
	for left := range 12 {
		now += 600 * time.Millisecond
		tr.Joined("v2", now)
		tr.Left("v1", now)
		ready := 12 - (left + 1)
		require.Equal(t, left+1 >= 6, tr.IsRetiring("v1", ready, now), "%d left", left+1)
		require.False(t, tr.IsRetiring("v2", left+1, now))
	}
	require.False(t, tr.IsRetiring("v1", 0, now+Window), "versions that stay side by side are used alike again")
}

// Guards against a part of the servers that gets no long streams although no release takes place.
func TestOrdinaryDeparturesAreNoRelease(t *testing.T) {
	var scaleIn Tracker
	for i := range 6 {
		scaleIn.Left("v1", time.Duration(i)*time.Second)
	}
	require.False(t, scaleIn.IsRetiring("v1", 2, 6*time.Second), "no other version joins")
	scaleIn.Joined("v1", 6*time.Second)
	require.False(t, scaleIn.IsRetiring("v1", 3, 6*time.Second), "its own version replaces it")

	var partial Tracker
	for i := range 5 {
		partial.Joined("v2", time.Duration(i)*time.Second)
		partial.Left("v1", time.Duration(i)*time.Second)
	}
	require.False(t, partial.IsRetiring("v1", 7, 5*time.Second), "most servers stay")

	var single Tracker
	single.Joined("v2", 0)
	single.Left("v1", 0)
	require.False(t, single.IsRetiring("v1", 1, 0))
}

// Guards against a tracker that grows with the versions and servers of a long life.
func TestTrackerIsBounded(t *testing.T) {
	var tr Tracker
	for i := range 3 * maxEvents {
		tr.Left("v1", 0)
		tr.Joined(fmt.Sprint(i), time.Duration(i)*Window)
	}
	require.Len(t, tr.leaves, maxEvents)
	require.Len(t, tr.joinedAt, 1)
	tr.Left("v1", Window)
	require.Len(t, tr.leaves, 1)
}
