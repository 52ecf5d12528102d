package main

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

const (
	// keptConnections is the number of clients, each with a connection that it keeps.
	keptConnections = 40
	// requestsBefore is the number of requests of each client before the configuration changes.
	requestsBefore = 5
	// earlierBodyBytes and laterBodyBytes are the limits of a body before and after the change. A body of longBody bytes is
	// within the later one alone.
	earlierBodyBytes, laterBodyBytes, longBody = 64 << 10, 4 << 20, 100 << 10
	shortBody                                  = 600
	// deniedFloor and deniedShare are the bound of the rule: more than 5 and one in 500 of all requests.
	deniedFloor, deniedShare = 5, 500
)

// runLimits raises the limit of bodies while clients keep their connections, and counts the requests within the new limit
// that are denied for good.
func runLimits(r *rig, hasTrouble bool) (broken bool, err error) {
	first := laterBodyBytes
	if hasTrouble {
		first = earlierBodyBytes
	}
	r.fleet.SetLoad(fleet.Load{HeaderBytes: 16 << 10, BodyBytes: first})
	for range 4 {
		if _, err := r.fleet.Add(fleet.DeskService, zone(0), fleet.Behavior{Delay: workTime}); err != nil {
			return false, err
		}
	}
	if err := r.addGateways(1); err != nil {
		return false, err
	}
	g := r.gateways[0]
	r.note("a configuration with maxBodyBytes %d is in force", first)
	sent, callers := 0, make([]*caller, keptConnections)
	for i := range callers {
		c, err := dial(g.callers)
		if err != nil {
			return false, err
		}
		defer c.close()
		callers[i] = c
		for range requestsBefore {
			sent++
			if a, err := c.send(r, i, shortBody); err != nil || a.status != http.StatusOK {
				return false, errors.Errorf("short request: status %d, %v", a.status, err)
			}
		}
	}
	if hasTrouble {
		r.fleet.SetLoad(fleet.Load{HeaderBytes: 16 << 10, BodyBytes: laterBodyBytes})
		r.note("the store acknowledges a configuration with maxBodyBytes %d", laterBodyBytes)
	}
	time.Sleep(configApplyTime + time.Second)
	fresh, err := dial(g.callers)
	if err != nil {
		return false, err
	}
	defer fresh.close()
	sent++
	if a, err := fresh.send(r, keptConnections, longBody); err != nil || a.status != http.StatusOK {
		return false, errors.Errorf("long request on a new connection: status %d, %v", a.status, err)
	}
	denied := 0
	for i, c := range callers {
		sent++
		a, err := c.send(r, i, longBody)
		if err != nil {
			return false, errors.Wrap(err, "long request on a kept connection")
		}
		if isDenied(a) {
			denied++
		}
	}
	r.note("%d requests, %d of them denied; the rule allows %d and one in %d", sent, denied, deniedFloor, deniedShare)
	return float64(denied) > deniedFloor+float64(sent)/deniedShare, nil
}

// send sends a request that is not idempotent, and records it and its answer.
func (c *caller) send(r *rig, client, bodySize int) (answer, error) {
	id := fleet.NextID()
	a, err := c.exchange(http.MethodPost, request(http.MethodPost, fleet.OncePath, id, bodySize))
	r.note("client %d sends %s with %d bytes and gets status %d, seal %q, ran %d times, error %v", client, id, bodySize, a.status, a.seal, r.runs(id), err)
	return a, err
}

// isDenied reports whether an answer is a 3xx or 4xx of the gateway's own that counts.
func isDenied(a answer) bool {
	if a.seal != "" || a.status < 300 || a.status >= 500 {
		return false
	}
	return a.status != http.StatusRequestTimeout && a.status != http.StatusMisdirectedRequest && a.status != http.StatusTooManyRequests
}

// runs returns how often servers ran a request.
func (r *rig) runs(id string) (n int) {
	for _, s := range r.fleet.Servers() {
		for _, e := range s.Executions() {
			if e.ID == id {
				n++
			}
		}
	}
	return n
}
