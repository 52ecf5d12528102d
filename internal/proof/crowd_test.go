package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// usage is what a process uses, sampled while a crowd of clients calls it.
type usage struct {
	t           *testing.T
	pid         int
	stop        chan struct{}
	done        sync.WaitGroup
	descriptors int
	// socketBytes are the bytes in the kernel's buffers of the process's TCP sockets.
	socketBytes int64
}

// usageInterval is the time between two samples.
const usageInterval = 20 * time.Millisecond

func watchUsage(t *testing.T, pid int) *usage {
	u := &usage{t: t, pid: pid, stop: make(chan struct{})}
	u.done.Go(func() {
		for {
			u.sample()
			select {
			case <-u.stop:
				return
			case <-time.After(usageInterval):
			}
		}
	})
	return u
}

func (u *usage) sample() {
	inodes, n := u.sockets()
	u.descriptors = max(u.descriptors, n)
	u.socketBytes = max(u.socketBytes, queuedBytes(inodes))
}

// sockets returns the inodes of the process's sockets and the number of its descriptors.
func (u *usage) sockets() (inodes map[string]bool, descriptors int) {
	inodes = make(map[string]bool)
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", u.pid))
	for _, l := range links {
		target, _ := os.Readlink(l)
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(links)
}

// queuedBytes returns the bytes that wait in the send and receive queues of sockets.
func queuedBytes(inodes map[string]bool) (sum int64) {
	for _, table := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		data, _ := os.ReadFile(table)
		for line := range strings.Lines(string(data)) {
			f := strings.Fields(line)
			if len(f) < 10 || !inodes[f[9]] {
				continue
			}
			for q := range strings.SplitSeq(f[4], ":") {
				n, _ := strconv.ParseInt(q, 16, 64)
				sum += n
			}
		}
	}
	return sum
}

// requireWithin ends the sampling. It fails the test if the process has ended, or has used more than memory bytes,
// its sockets' buffers included, or more than the given number of descriptors at any time.
func (u *usage) requireWithin(memory int64, descriptors int) {
	u.t.Helper()
	close(u.stop)
	u.done.Wait()
	u.sample()
	peak, err := peakMemory(u.pid)
	require.NoError(u.t, err, "process has ended")
	u.t.Logf("peak %d KB, of sockets %d KB, %d descriptors", peak>>10, u.socketBytes>>10, u.descriptors)
	require.LessOrEqual(u.t, peak+u.socketBytes, memory, "bytes of memory and sockets")
	require.LessOrEqual(u.t, u.descriptors, descriptors, "descriptors")
}

// peakMemory returns the largest resident size that a process has had, in bytes.
func peakMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no memory", pid)
}

// crowd is a number of clients that keep their connections open until the test ends.
type crowd struct {
	t       *testing.T
	address string
	// reads is set if the clients read what they are sent.
	reads bool

	mu    sync.Mutex
	conns []net.Conn
}

func newCrowd(t *testing.T, address string) *crowd {
	c := &crowd{t: t, address: address, reads: true}
	t.Cleanup(c.leave)
	return c
}

// sendTimeout bounds the time for which a client of a crowd connects and sends.
const sendTimeout = 10 * time.Second

// send connects n clients, which send what write writes. It returns once all have sent it, or can send no more.
func (c *crowd) send(n int, write func(w io.Writer)) {
	c.sendOn(n, func(conn net.Conn) {
		w := bufio.NewWriter(conn)
		write(w)
		w.Flush()
	})
}

// sendOn does the same with clients that need their connection.
func (c *crowd) sendOn(n int, use func(conn net.Conn)) {
	var sending sync.WaitGroup
	for range n {
		sending.Go(func() {
			conn := c.dial(sendDeadline())
			if conn == nil {
				return
			}
			if c.reads {
				go io.Copy(io.Discard, conn)
			}
			conn.SetWriteDeadline(sendDeadline())
			use(conn)
		})
	}
	sending.Wait()
}

func sendDeadline() time.Time { return time.Now().Add(sendTimeout) }

// dial connects, again if it is refused, until a time.
func (c *crowd) dial(until time.Time) net.Conn {
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.conns = append(c.conns, conn)
			return conn
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// leave closes the connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// writePieces writes n bytes in pieces.
func writePieces(w io.Writer, n, piece int) {
	p := make([]byte, piece)
	for n > 0 {
		k := min(n, piece)
		if _, err := w.Write(p[:k]); err != nil {
			return
		}
		n -= k
	}
}

// writeChunks writes n bytes as HTTP chunks, without the last chunk.
func writeChunks(w io.Writer, n, chunk int) {
	for n > 0 {
		k := min(n, chunk)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", k, strings.Repeat("x", k)); err != nil {
			return
		}
		n -= k
	}
}
