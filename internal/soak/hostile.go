package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

const (
	// hostileFaultKinds is the number of kinds of faults from which on clients send bodies that need much memory.
	hostileFaultKinds = 37
	hostileBodyBytes  = 1 << 20
	hostileCount      = 80
	hostileSendTime   = 5 * time.Second
)

// hostileRequests are what hostile clients send: each is incomplete or too long.
var hostileRequests = []struct {
	name string
	// head has room for a key. piece is sent until total bytes are sent.
	head  string
	piece string
	total int
}{
	{"bodies a byte short", "Content-Length: 1048576\r\n\r\n", strings.Repeat("x", 16<<10), hostileBodyBytes - 1},
	{"chunked bodies without end", "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n", 2 * hostileBodyBytes},
	{"bodies in chunks of a byte", "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000), hostileBodyBytes},
	{"bodies announced too long", "Content-Length: 1073741824\r\n\r\n", strings.Repeat("x", 16<<10), 2 * hostileBodyBytes},
	{"heads without end", "X-Long: ", "x", 4 << 10},
}

// crowdOfHostileClients opens connections of clients that misbehave to the callers' or the readiness address of a gateway.
func crowdOfHostileClients(s *Soak, _ context.Context) (string, func()) {
	g, kind, key, address := s.drawGateway(), hostileRequests[s.drawInt(len(hostileRequests))], fleet.Key, ""
	if address = g.settings.Callers; s.drawInt(4) == 0 {
		address = g.settings.Ready
	}
	if s.drawInt(2) == 0 {
		key = "no-key"
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n%s", fleet.SafePath, fleet.Host, key, kind.head)
	var mu sync.Mutex
	var conns []net.Conn
	isOver := false
	for range hostileCount {
		go func() {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			if isOver {
				c.Close()
			}
			mu.Unlock()
			go io.Copy(io.Discard, c)
			c.SetWriteDeadline(time.Now().Add(hostileSendTime))
			io.WriteString(c, head)
			io.CopyN(c, &repeated{piece: []byte(kind.piece)}, int64(kind.total))
		}()
	}
	return fmt.Sprintf("%d hostile clients send %s to %s, key %s", hostileCount, kind.name, address, key), func() {
		s.checkMemory(g)
		mu.Lock()
		defer mu.Unlock()
		isOver = true
		for _, c := range conns {
			c.Close()
		}
	}
}

// repeated reads a piece again and again.
type repeated struct {
	piece []byte
	left  bytes.Reader
}

// Read implements io.Reader.
func (r *repeated) Read(p []byte) (int, error) {
	if r.left.Len() == 0 {
		r.left.Reset(r.piece)
	}
	return r.left.Read(p)
}

// checkMemory records a gateway whose process has had more than the memory of its VM. No kernel limit ends it here.
func (s *Soak) checkMemory(g *gateway) {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	var kb int64
	fmt.Sscan(rest, &kb)
	if kb>>10 > int64(g.settings.MemoryMB) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.memoryFaults = append(s.memoryFaults, fmt.Sprintf("%s had %d MB in memory, its VM has %d", g.settings.Name, kb>>10, g.settings.MemoryMB))
	}
}
