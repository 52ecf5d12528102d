package main

import (
	"net/http"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// unroutedRequests is the number of requests of each form.
const unroutedRequests = 10

// runUnrouted sends requests that no route ever matched, and looks for a success that no server gave. With trouble, their
// target is "*" too, which asks about the whole server.
func runUnrouted(r *rig, hasTrouble bool) (broken bool, err error) {
	if _, err := r.fleet.Add(fleet.DeskService, zone(0), fleet.Behavior{Delay: workTime}); err != nil {
		return false, err
	}
	if err := r.addGateways(1); err != nil {
		return false, err
	}
	targets := []string{"/never-existed/a"}
	if hasTrouble {
		targets = append(targets, "*")
	}
	for _, target := range targets {
		for range unroutedRequests {
			a, id, err := r.ask(target)
			if err != nil {
				return false, err
			}
			isUnsealed := a.status >= 200 && a.status < 300 && a.seal == ""
			r.note("OPTIONS %s as %s gets status %d, seal %q, ran %d times", target, id, a.status, a.seal, r.runs(id))
			broken = broken || isUnsealed
		}
	}
	return broken, nil
}

// ask sends one request on a new connection.
func (r *rig) ask(target string) (a answer, id string, err error) {
	c, err := dial(r.gateways[0].callers)
	if err != nil {
		return a, id, err
	}
	defer c.close()
	id = fleet.NextID()
	a, err = c.exchange(http.MethodOptions, request(http.MethodOptions, target, id, 0))
	return a, id, err
}
