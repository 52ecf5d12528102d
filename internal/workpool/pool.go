// Package workpool runs short tasks on a fixed number of workers over an
// unbounded queue, in the order they were submitted.
package workpool

import "sync"

// Pool is safe for concurrent use. Submit never blocks, so it may be called
// with locks held.
type Pool struct {
	mu     sync.Mutex
	cond   *sync.Cond
	queue  []func()
	closed bool
	wg     sync.WaitGroup
}

// New starts a pool of workers.
func New(workers int) *Pool {
	p := &Pool{}
	p.cond = sync.NewCond(&p.mu)
	for range workers {
		p.wg.Go(p.work)
	}
	return p
}

// Submit queues a task. After Close it is dropped.
func (p *Pool) Submit(task func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.queue = append(p.queue, task)
	p.cond.Signal()
}

func (p *Pool) work() {
	for {
		task, ok := p.take()
		if !ok {
			return
		}
		task()
	}
}

func (p *Pool) take() (func(), bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && !p.closed {
		p.cond.Wait()
	}
	if len(p.queue) == 0 {
		return nil, false
	}
	task := p.queue[0]
	p.queue[0] = nil
	p.queue = p.queue[1:]
	return task, true
}

// Close runs what is queued and waits for the workers.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.cond.Broadcast()
	p.mu.Unlock()
	p.wg.Wait()
}
