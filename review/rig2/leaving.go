package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// leavingGateways is the number of gateways, one in each zone.
	leavingGateways = 3
	// leavingRounds is the number of outages of the store, each followed by the leaving of a server.
	leavingRounds = 6
	// calmTime is the time without disruption before each outage, outageTime the time of an outage.
	calmTime, outageTime = 3 * time.Second, 4500 * time.Millisecond
	// killDelay is the time from the end of an outage to the kill of all gateways but one, restartDelay the time to their
	// start.
	killDelay, restartDelay = 1100 * time.Millisecond, 200 * time.Millisecond
	// leaveDelay is the time from the end of an outage to the leaving of a server: the store has been calm for contactWindow by
	// then, and when the drain time is over, all gateways have been.
	leaveDelay = 3300 * time.Millisecond
	// servingTime is how long a server goes on serving after its entry was removed.
	servingTime = 4 * time.Second
	// leavingCallers is the number of clients, maxPause the longest pause of each between two requests.
	leavingCallers, maxPause = 36, 200 * time.Millisecond
)

// runLeaving lets the entry of one of two servers be removed some time after an outage of the store, and looks for requests
// that reach the server later than the drain time.
func runLeaving(r *rig, hasTrouble bool) (broken bool, err error) {
	if _, err := r.addFailing(0); err != nil {
		return false, err
	}
	if err := r.addGateways(leavingGateways); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range leavingCallers {
		wg.Go(func() { r.callUntil(ctx, r.gateways[i%leavingGateways].callers) })
	}
	for round := range leavingRounds {
		leaving, err := r.addFailing(round + 1)
		if err != nil {
			return false, err
		}
		time.Sleep(calmTime)
		begin := time.Now()
		if hasTrouble {
			if err := r.disruptStore(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(begin.Add(outageTime + leaveDelay)))
		leaving.RemoveEntry()
		acknowledged := time.Now()
		r.note("round %d: the store acknowledges that the entry of %s is gone", round+1, leaving.ID)
		time.Sleep(servingTime)
		leaving.Kill()
		r.noteCounts()
		broken = r.checkArrivals(leaving, acknowledged) || broken
	}
	return broken, nil
}

// addFailing adds a server that fails a part of its requests.
func (r *rig) addFailing(n int) (*fleet.Server, error) {
	return r.fleet.Add(fleet.DeskService, zone(n), fleet.Behavior{Delay: workTime, ForRequest: func(b fleet.Behavior, _ *http.Request) fleet.Behavior {
		if rand.Float64() < errorShare {
			b.Status = http.StatusInternalServerError
		}
		return b
	}})
}

// disruptStore makes the store silent for outageTime, and kills the processes of all gateways but one after its return.
func (r *rig) disruptStore() error {
	r.note("the store is silent")
	r.fleet.Store.SetFault(fleet.Silent)
	time.Sleep(outageTime)
	r.fleet.Store.SetFault(fleet.NoFault)
	r.note("the store answers again")
	before := make(map[*gateway]int)
	for _, g := range r.gateways {
		before[g] = g.store.Calls()
	}
	time.Sleep(killDelay)
	var reader *gateway
	for _, g := range r.gateways {
		if reader == nil || g.store.Calls()-before[g] > reader.store.Calls()-before[reader] {
			reader = g
		}
	}
	for _, g := range r.gateways {
		if g != reader {
			g.kill()
		}
	}
	r.note("the processes of all gateways but the one at %s are killed", reader.callers)
	time.Sleep(restartDelay)
	for _, g := range r.gateways {
		if g == reader {
			continue
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	r.note("they are started again")
	return nil
}

// checkArrivals records the requests that reached a server after its entry was removed, and reports whether some did after
// the drain time.
func (r *rig) checkArrivals(s *fleet.Server, acknowledged time.Time) (isLate bool) {
	arrived, late, last := 0, 0, time.Duration(0)
	for _, a := range s.Arrivals() {
		after := a.At.Sub(acknowledged)
		if after <= 0 {
			continue
		}
		arrived++
		last = max(last, after)
		if after > drainTimeout {
			late++
			r.note("%s reaches %s %.3f s after the acknowledgement", a.ID, s.ID, after.Seconds())
		}
	}
	r.note("%d requests reached %s after the acknowledgement, the last one after %.3f s; %d came after the drain time", arrived, s.ID, last.Seconds(), late)
	return late > 0
}

// callUntil sends idempotent requests to a gateway until ctx ends. While the gateway does not run, nothing is sent.
func (r *rig) callUntil(ctx context.Context, address string) {
	for wait.For(ctx, time.Duration(rand.Float64()*float64(maxPause))) {
		c, err := dial(address)
		if err != nil {
			continue
		}
		a, err := c.exchange(http.MethodGet, request(http.MethodGet, fleet.SafePath, fleet.NextID(), 0))
		r.count(a, err)
		c.close()
	}
}
