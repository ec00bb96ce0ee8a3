package soak

import "sync"

// replacements are the goroutines that replace ended backend servers. Unlike a sync.WaitGroup, it lets a request that is still in
// transit start one while they are awaited.
type replacements struct {
	mu       sync.Mutex
	finished bool
	running  sync.WaitGroup
}

// start runs f in a goroutine, unless the soak has ended.
func (r *replacements) start(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.finished {
		r.running.Go(f)
	}
}

// finish waits for the goroutines, and lets no more of them start.
func (r *replacements) finish() {
	r.mu.Lock()
	r.finished = true
	r.mu.Unlock()
	r.running.Wait()
}
