package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

const (
	// harmfulGateways is the number of gateways, one in each zone, harmfulServers that of model servers.
	harmfulGateways, harmfulServers = 3, 8
	// harmfulRequests is the number of requests with the harmful part, harmfulInterval the time between two.
	harmfulRequests, harmfulInterval = 9, 6 * time.Second
	// soundInterval is the time between two sound requests.
	soundInterval = 150 * time.Millisecond
	// soundEvents is the number of events of a sound stream.
	soundEvents = 30
	// promptDelay is the time to the first event of a run, crashDelay the time from there to the server's crash.
	promptDelay, crashDelay = 1100 * time.Millisecond, 100 * time.Millisecond
	// serverDownTime is the time from a crash to the start of the server's replacement, entryExpiry the time until its entry
	// is removed, three heartbeat intervals.
	serverDownTime, entryExpiry = 4 * time.Second, 3600 * time.Millisecond
	// firstPart is a part of all prompts, harmfulPart one under which servers crash.
	firstPart, harmfulPart = "5c1e07a2", "91bd3f06"
	// decidingCrash is the crash from which on, after contactWindow, maxLateSends requests may reach servers.
	decidingCrash, maxLateSends = 5, 3
)

// harmfulRun collects what servers saw of the requests with the harmful part.
type harmfulRun struct {
	rig *rig

	mu      sync.Mutex
	servers []*fleet.Server
	crashes []time.Time
}

// runHarmful sends requests with one harmful part, beside sound ones with the same key and first part. Without trouble the
// servers don't crash under it.
func runHarmful(r *rig, hasTrouble bool) (broken bool, err error) {
	r.putStreamConfig()
	h := &harmfulRun{rig: r}
	r.fleet.ReplacementDelay, r.fleet.EntryExpiryDelay = serverDownTime, entryExpiry
	r.fleet.OnCrash, r.fleet.OnReplacement = h.noteCrash, h.add
	behavior := fleet.Behavior{Delay: promptDelay, Events: soundEvents, EventInterval: eventInterval, Slots: 48}
	if hasTrouble {
		behavior.CrashOnPart, behavior.CrashDelay = harmfulPart, crashDelay
	}
	for n := range harmfulServers {
		s, err := r.fleet.Add(fleet.ModelService, zone(n), behavior)
		if err != nil {
			return false, err
		}
		h.add(s)
	}
	if err := r.addGateways(harmfulGateways); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sound, harmful sync.WaitGroup
	sound.Go(func() { h.sendSound(ctx) })
	for i := range harmfulRequests {
		harmful.Go(func() { h.sendHarmful(r.gateways[i%len(r.gateways)]) })
		time.Sleep(harmfulInterval)
	}
	harmful.Wait()
	stop()
	sound.Wait()
	return h.judge()
}

func (h *harmfulRun) add(s *fleet.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers = append(h.servers, s)
}

func (h *harmfulRun) noteCrash(s *fleet.Server) {
	h.mu.Lock()
	h.crashes = append(h.crashes, time.Now())
	n := len(h.crashes)
	h.mu.Unlock()
	h.rig.note("server %s crashes, crash %d", s.ID, n)
}

// send sends a request with parts in its prompt that other requests share.
func (h *harmfulRun) send(at *gateway, parts ...string) (id string, status, events int, err error) {
	id = fleet.NextID()
	own := id[strings.LastIndex(id, "-")+1:]
	status, err = fleet.StreamWith(context.Background(), at.callers, longPath, fleet.CallerRequest{
		ID: id, Key: fleet.Key, Body: "prompt " + id, Parts: append(parts, fmt.Sprintf("e%07s", own)),
	}, func(string) { events++ })
	return id, status, events, err
}

// sendHarmful sends a request with the harmful part.
func (h *harmfulRun) sendHarmful(at *gateway) {
	sent := time.Now()
	id, status, events, err := h.send(at, firstPart, harmfulPart)
	h.rig.note("request %s with the harmful part, sent %.3f s ago: status %d, %d events, error %v", id, time.Since(sent).Seconds(), status, events, err)
}

// sendSound sends sound requests until ctx ends, and waits for them.
func (h *harmfulRun) sendSound(ctx context.Context) {
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		at := h.rig.gateways[i%len(h.rig.gateways)]
		wg.Go(func() {
			_, status, _, err := h.send(at, firstPart)
			h.rig.count(answer{status: status}, err)
		})
		time.Sleep(soundInterval)
	}
	wg.Wait()
	h.rig.noteCounts()
}

// judge reports whether more requests with the harmful part reached servers later than contactWindow after the fifth crash
// than the rule allows.
func (h *harmfulRun) judge() (broken bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reached, late := 0, 0
	for _, s := range h.servers {
		for _, e := range s.Executions() {
			if !strings.Contains(e.Header.Get(promptParts), harmfulPart) {
				continue
			}
			reached++
			isLate := len(h.crashes) >= decidingCrash && e.At.After(h.crashes[decidingCrash-1].Add(contactWindow))
			if isLate {
				late++
			}
			h.rig.note("request %s reached server %s at %.3f s, late: %t", e.ID, s.ID, e.At.Sub(h.rig.begun).Seconds(), isLate)
		}
	}
	h.rig.note("%d servers crashed; requests with the harmful part reached servers %d times, %d times later than %v after crash %d", len(h.crashes), reached, late, contactWindow, decidingCrash)
	if reached == 0 {
		return false, errors.New("no request with the harmful part reached a server")
	}
	return late > maxLateSends, nil
}

// promptParts is the header that lists the parts of a prompt.
const promptParts = "X-Kingcupplank-Prompt-Prefix"
