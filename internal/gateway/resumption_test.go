package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// brokenStream is a stream that its caller has not received to its end.
type brokenStream struct {
	id        string
	lastEvent int
	// version is the software version that began the stream.
	version string
}

// streamBehavior is that of engines of a software version, whose streams last 10 s.
func streamBehavior(version string) fleet.Behavior {
	return fleet.Behavior{Events: 500, EventInterval: 20 * time.Millisecond, SoftwareVersion: version}
}

// begin starts a resumable stream and closes the connection behind the third event.
func (n *testGateway) begin(id string) brokenStream {
	n.t.Helper()
	c := n.dial()
	defer c.Close()
	c.send(generation(fleet.CheckPath).with("X-Kingcupplank-Attempt-Id", id))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	var header strings.Builder
	lastEvent := 0
	for lastEvent < 3 {
		line, err := c.in.ReadString('\n')
		require.NoError(n.t, err, id)
		header.WriteString(line)
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			lastEvent, err = strconv.Atoi(strings.TrimSpace(number))
			require.NoError(n.t, err)
		}
	}
	return brokenStream{id: id, lastEvent: lastEvent}
}

// resume takes a stream up and returns the status and the id of the new attempt.
func (n *testGateway) resume(b brokenStream, attempt string) (status int) {
	n.t.Helper()
	c := n.dial()
	defer c.Close()
	c.send(generation(fleet.CheckPath).with("X-Kingcupplank-Attempt-Id", attempt).with("Resumes", b.id).with("Last-Event-Id", strconv.Itoa(b.lastEvent)))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(n.t, err, attempt)
	resp.Body.Close()
	return resp.StatusCode
}

// versionOf returns the software version of the server that executed an attempt, empty if none did.
func (s *system) versionOf(attempt string) string {
	for _, srv := range s.fleet.Servers() {
		for _, e := range srv.Executions() {
			if e.ID == attempt {
				return srv.SoftwareVersion()
			}
		}
	}
	return ""
}

// beginMany starts streams at a gateway.
func (s *system) beginMany(n *testGateway, name string, count int) []brokenStream {
	out := make([]brokenStream, count)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = n.begin(fmt.Sprintf("%s-%d", name, i)) })
	}
	wg.Wait()
	for i := range out {
		out[i].version = s.versionOf(out[i].id)
	}
	return out
}

// resumeMany takes up streams at a gateway. It returns how many of them went on, and requires that
// none did so at another software version.
func (s *system) resumeMany(n *testGateway, name string, streams []brokenStream) (resumed int) {
	s.t.Helper()
	for i, b := range streams {
		attempt := fmt.Sprintf("%s-resumed-%d", name, i)
		status := n.resume(b, attempt)
		version := s.versionOf(attempt)
		if status == http.StatusOK {
			resumed++
		}
		if version != "" {
			require.Equal(s.t, b.version, version, attempt)
		}
	}
	return resumed
}

// Guards against a caller whose stream goes on at another software version, at the gateway where the
// stream began, at another one, and several times in a row.
func TestCallersResumeAtTheSoftwareVersionThatBeganTheirStreams(t *testing.T) {
	s := newSystem(t)
	for _, version := range []string{"v1", "v1", "v2", "v2"} {
		s.server(fleet.ModelService, streamBehavior(version))
	}
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	gateways[0].eventually(func() bool { return len(gateways[0].group.links.LiveStates()) == 2 }, "linked")
	streams := s.beginMany(gateways[0], "stream", 12)
	for round := range 2 {
		for i, n := range gateways {
			name := fmt.Sprintf("round-%d-gateway-%d", round, i)
			require.Equal(t, len(streams), s.resumeMany(n, name, streams), name)
		}
	}
}

// Guards against streams that are lost, or go on at another software version, with the gateway that
// began them.
func TestCallersResumeAfterTheirGatewayHasCrashed(t *testing.T) {
	s := newSystem(t)
	for _, version := range []string{"v1", "v1", "v2", "v2"} {
		s.server(fleet.ModelService, streamBehavior(version))
	}
	first, others := s.gateway("vm-1"), []*testGateway{s.gateway("vm-2"), s.gateway("vm-3")}
	first.eventually(func() bool { return len(first.group.links.LiveStates()) == 2 }, "linked")
	streams := s.beginMany(first, "stream", 12)
	time.Sleep(50 * time.Millisecond)
	first.Close()
	for _, n := range others {
		require.Equal(t, len(streams), s.resumeMany(n, "at-"+n.group.self.Name, streams))
	}
}
