package lab

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Balancer sends new connections to the gateways that are in rotation. It asks each once a second whether it is
// ready. Two misses take a gateway out, one answer with status 200 brings it back.
type Balancer struct {
	lab  *Lab
	stop chan struct{}

	mu     sync.Mutex
	misses map[*Gateway]int
}

// NewBalancer starts a balancer.
func NewBalancer(l *Lab) *Balancer {
	b := &Balancer{lab: l, stop: make(chan struct{}), misses: make(map[*Gateway]int)}
	for _, g := range l.Gateways {
		go b.check(g)
	}
	return b
}

// Stop stops the balancer.
func (b *Balancer) Stop() { close(b.stop) }

func (b *Balancer) check(g *Gateway) {
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(time.Second):
		}
		ready := g.isReady()
		b.mu.Lock()
		if b.misses[g]++; ready {
			b.misses[g] = 0
		}
		b.mu.Unlock()
	}
}

// Pick returns a gateway in rotation, or any if there is none.
func (b *Balancer) Pick() *Gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*Gateway
	for _, g := range b.lab.Gateways {
		if b.misses[g] < 2 {
			in = append(in, g)
		}
	}
	if len(in) == 0 {
		in = b.lab.Gateways
	}
	return in[rand.IntN(len(in))]
}
