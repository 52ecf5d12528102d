package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// The load of the play: gateways before engines that are filled to half, a quarter of
	// which end at once. Memory, prompts and rates are those of a deployment with short
	// answers beside long ones.
	playGateways, playEngines = 23, 43
	playMemory                = 21900
	playArrivals              = 70 // generations a second, over all gateways
	playLongOf3               = 1
	playLong, playShort       = 8 * time.Second, 300 * time.Millisecond
	playEnds                  = 10 * time.Second
	playLasts                 = 14 * time.Second
	playPrompt                = 2600
	playTold                  = 20 * time.Millisecond
	playReadTime              = 250 * time.Millisecond
)

// crashPlay is gateways that hear each other, before engines that they share.
type crashPlay struct {
	t      *testing.T
	worlds []*world
	mu     sync.Mutex
	ended  map[string]bool
	// refusedAt are the attempts at ended engines, by gateway.
	refusedAt map[int]int
	last      time.Duration
}

// told passes what a gateway says of its servers to the others, as a state does.
func (p *crashPlay) told(i int) {
	time.Sleep(playTold)
	w := p.worlds[i]
	loads, losses := w.registry.Loads(), w.registry.Statuses(w.now())
	for k, o := range p.worlds {
		if k != i {
			o.registry.SetRemoteLoads(fmt.Sprint("vm-", i), loads)
			o.registry.SetRemoteStatuses(fmt.Sprint("vm-", i), losses, o.now())
		}
	}
}

// nudger tells the others at once.
type nudger struct {
	*others
	told func()
}

func (n *nudger) Notify() { go n.told() }

func newCrashPlay(t *testing.T) *crashPlay {
	p := &crashPlay{t: t, ended: make(map[string]bool), refusedAt: make(map[int]int)}
	for i := range playGateways {
		w := newWorld(t, Config{RetryRatio: 0.2, RetryExtra: 86})
		w.others.known = playGateways
		w.relay.Peers = &nudger{w.others, func() { p.told(i) }}
		w.up.send = func(ctx context.Context, a *Attempt) (*Response, error) { return p.send(ctx, i, a) }
		for k := range playEngines {
			s := w.entry(fmt.Sprint("e-", k), modelService)
			s.Slots, s.FailureDomain = 24, fmt.Sprint("zone-", k%4)
			w.registry.Put(s, w.now())
		}
		p.worlds = append(p.worlds, w)
	}
	return p
}

func (p *crashPlay) send(ctx context.Context, i int, a *Attempt) (*Response, error) {
	p.mu.Lock()
	ended := p.ended[a.Server.ID]
	if ended {
		p.refusedAt[i]++
		p.last = p.worlds[i].now()
	}
	p.mu.Unlock()
	if ended {
		return nil, &NotRunError{Reason: NotRunDown, Detail: "connection refused"}
	}
	select {
	case <-time.After(playReadTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	lasts := playShort
	if a.Request.Path == "/plan/x" {
		lasts = playLong
	}
	src := newSource()
	go func() {
		src.write(event(1))
		time.Sleep(lasts)
		p.mu.Lock()
		ended := p.ended[a.Server.ID]
		p.mu.Unlock()
		if ended {
			src.breakOff()
			return
		}
		src.write(event(2))
		src.w.Close()
	}()
	return src.answer(), nil
}

// end ends a part of the engines.
func (p *crashPlay) end(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range n {
		p.ended[fmt.Sprint("e-", 4*k)] = true
	}
}

// play returns how many generations that came once the engines had ended were refused.
func (p *crashPlay) play() (came, refused int) {
	rng := rand.New(rand.NewPCG(3, 4))
	var wg sync.WaitGroup
	var mu sync.Mutex
	time.AfterFunc(playEnds, func() { p.end(playEngines / 4) })
	for begun, n := time.Now(), 0; time.Since(begun) < playLasts; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / playArrivals))
		w := p.worlds[rng.IntN(playGateways)]
		r := request("/check/x")
		r.Generation = &Generation{PromptTokens: playPrompt, MaxOutput: 8, EstimatedOutput: 8}
		if rng.IntN(3) < playLongOf3 {
			r = request("/plan/x")
			r.Generation = &Generation{PromptTokens: playPrompt, MaxOutput: 750, EstimatedOutput: 750}
		}
		r.ID, r.Body = fmt.Sprint("r", n), []byte(fmt.Sprint(n))
		after := time.Since(begun) >= playEnds
		wg.Go(func() {
			c := &caller{}
			w.relay.Serve(p.t.Context(), r, c)
			mu.Lock()
			defer mu.Unlock()
			if after {
				came++
			}
			if after && c.refusal != nil {
				refused++
			}
		})
	}
	wg.Wait()
	return came, refused
}

// Guards against generations being refused for lack of room, with three quarters of the
// engines half empty, because ended engines that refuse connections use up their repeats.
func TestEnginesThatEndVisiblyCostNoGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCrashPlay(t)
		came, refused := p.play()
		attempts := 0
		for _, n := range p.refusedAt {
			attempts += n
		}
		t.Logf("%d came after the ends, %d refused, %d attempts at ended engines by %d gateways, the last %v after", came, refused, attempts, len(p.refusedAt), p.last-playEnds-time.Second)
		require.Zero(t, refused)
	})
}
