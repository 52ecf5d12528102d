// Package workpool runs short tasks on a fixed number of workers. Tasks wait in an unbounded
// queue and start in the order in which they were submitted.
package workpool

import "sync"

// Pool is a pool of workers with a task queue. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	cond   *sync.Cond
	queue  []func()
	closed bool
	wg     sync.WaitGroup
}

// New starts a pool with the given number of workers.
func New(workers int) *Pool {
	p := &Pool{}
	p.cond = sync.NewCond(&p.mu)
	for range workers {
		p.wg.Go(p.runTasks)
	}
	return p
}

// Submit queues a task. It never waits for a worker, so it may be called with locks held.
// After Close, the task is dropped.
func (p *Pool) Submit(task func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.queue = append(p.queue, task)
	p.cond.Signal()
}

func (p *Pool) runTasks() {
	for {
		task, ok := p.nextTask()
		if !ok {
			return
		}
		task()
	}
}

// nextTask waits for a task. It returns false if the pool is closed and the queue is empty.
func (p *Pool) nextTask() (func(), bool) {
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

// Close waits until all queued tasks have run and the workers have stopped.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.cond.Broadcast()
	p.mu.Unlock()
	p.wg.Wait()
}
