package lab

import (
	"bufio"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Server is the process of a server.
type Server struct {
	ID, Zone, Address string
	// Version is the version of the server's software.
	Version string

	lab     *Lab
	service string
	cmd     *exec.Cmd
	born    int64
	mu      sync.Mutex
	state   string
	beats   int
	killed  bool
	exited  chan struct{}
}

// AddServer starts a model server and writes its entry, also by and by as a heartbeat.
func (l *Lab) AddServer(id, zone string) (*Server, error) {
	s, err := l.startServer(id, zone, "127.0.0.1:0", "v1")
	if err == nil {
		s.Announce()
	}
	return s, err
}

// Restart kills the server and starts it again after a pause, under the same id and address and with another version of
// its software. Announce writes the entry of the new one.
func (s *Server) Restart(pause time.Duration, version string) (*Server, error) {
	s.lab.Logf("%s ends", s.ID)
	s.end()
	time.Sleep(pause)
	s.lab.Logf("%s starts again as %s", s.ID, version)
	return s.lab.startServer(s.ID, s.Zone, s.Address, version)
}

func (l *Lab) startServer(id, zone, address, version string) (*Server, error) {
	s := &Server{ID: id, Zone: zone, Version: version, lab: l, service: ModelService, born: time.Now().UnixMilli(), state: "ready", exited: make(chan struct{})}
	s.cmd = exec.Command("review/bin/server", "-id", id, "-zone", zone, "-address", address, "-version", version)
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("server %s does not start", id)
	}
	s.Address = strings.TrimPrefix(lines.Text(), "serves ")
	go func() {
		for lines.Scan() {
			l.Logf("%s %s", id, lines.Text())
			if l.OnServerLine != nil {
				l.OnServerLine(id, lines.Text())
			}
		}
		s.cmd.Wait()
		close(s.exited)
	}()
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	return s, nil
}

// Announce writes the server's entry from now on.
func (s *Server) Announce() {
	s.writeEntry()
	go s.beat()
}

func (s *Server) writeEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return
	}
	s.beats++
	s.lab.Store.Put("servers", s.ID, map[string]any{
		"service": s.service, "address": s.Address, "zone": s.Zone, "version": s.Version, "slots": Slots, "state": s.state,
		"coldRemainingMs": 0, "sequence": s.beats, "born": s.born,
	})
}

func (s *Server) beat() {
	for {
		time.Sleep(HeartbeatInterval)
		s.mu.Lock()
		killed := s.killed
		s.mu.Unlock()
		if killed {
			return
		}
		s.writeEntry()
	}
}

// SetService makes the server one of another service.
func (s *Server) SetService(service string) {
	s.mu.Lock()
	s.service = service
	s.mu.Unlock()
	s.writeEntry()
}

// Drain makes the server say that it leaves.
func (s *Server) Drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.lab.Logf("%s says that it leaves", s.ID)
	s.Tell("drain")
	s.writeEntry()
}

// Tell makes a call of the stand-in's own.
func (s *Server) Tell(what string) {
	resp, err := client.Post("http://"+s.Address+"/standin/"+what, "text/plain", http.NoBody)
	if err == nil {
		resp.Body.Close()
	}
}

// end kills the process, if it still runs, and waits for its end.
func (s *Server) end() {
	s.mu.Lock()
	s.killed = true
	s.mu.Unlock()
	s.cmd.Process.Kill()
	<-s.exited
}

// Kill kills the process. Its entry is removed when the entries of other servers that are silent would be.
func (s *Server) Kill() {
	s.mu.Lock()
	s.killed = true
	s.mu.Unlock()
	s.lab.Logf("%s is gone", s.ID)
	s.cmd.Process.Kill()
	time.AfterFunc(3*HeartbeatInterval, func() { s.lab.Store.Remove("servers", s.ID) })
}
