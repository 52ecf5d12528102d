package shutdown

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against sockets that hold more than their part of a process's memory, however many requests are in progress or
// come while it stops.
func TestSendBuffersStayWithinTheirMemory(t *testing.T) {
	const memory = 128 << 20
	for _, inProgress := range []int{0, 1, 3, 40, 2000} {
		b, each := DivideSendBuffers(memory, inProgress)
		sum := each * inProgress
		for range 3000 {
			n := b.Next()
			require.LessOrEqual(t, n, maxSendBuffer)
			sum += n
		}
		require.LessOrEqual(t, sum, int(sendMemory*memory))
	}
	_, each := DivideSendBuffers(memory, 16)
	require.GreaterOrEqual(t, each, 512<<10)
	require.Zero(t, new(SendBuffers).Next())
}
