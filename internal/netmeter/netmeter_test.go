package netmeter

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBytesAreCountedWithTheirSegments(t *testing.T) {
	m := New(nil)
	a, b := net.Pipe()
	counted := m.Conn(a, Peers)
	go func() {
		b.Read(make([]byte, 3000))
		b.Write(make([]byte, 10))
	}()
	n, err := counted.Write(make([]byte, 3000))
	require.NoError(t, err)
	require.Equal(t, 3000, n)
	_, err = counted.Read(make([]byte, 100))
	require.NoError(t, err)
	require.Equal(t, Bytes{Sent: 3000 + 3*segmentOverhead, Received: 10 + segmentOverhead}, m.Bytes(Peers))
	require.Equal(t, m.Bytes(Peers), m.Total())
	require.Zero(t, m.Bytes(Callers))
}

func TestNilMeterCountsNothing(t *testing.T) {
	var m *Meter
	a, _ := net.Pipe()
	require.Equal(t, a, m.Conn(a, Store))
}
