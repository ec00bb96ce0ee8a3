package proxy

import "time"

// An attempt is withdrawn if the core no longer wants it at its server and nothing of its request has been sent. Whether that is
// so is decided under the lock under which the call begins to send: either the request is sent as if nothing had happened, or
// no byte of it ever is.

// beginSend marks the request as being sent, or returns an error if the call was cancelled or withdrawn.
func (c *call) beginSend() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return errCallCancelled
	}
	c.sending = true
	return nil
}

// withdraw ends the call unless its request is being sent. It does not wait for a dial in progress.
func (c *call) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sending || c.cancelled {
		return
	}
	c.cancelled = true
	if c.withdrawn != nil {
		close(c.withdrawn)
	}
	if c.conn != nil {
		c.conn.reset()
	}
}

// startDial returns a channel that is closed if the call is withdrawn.
func (c *call) startDial() (<-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return nil, errCallCancelled
	}
	c.withdrawn = make(chan struct{})
	return c.withdrawn, nil
}

// dial connects to the backend server within limit. If the call is withdrawn meanwhile, the dials run to their end without it, because
// their results show which paths are lost.
func (c *call) dial(address string, limit time.Duration) (*pathDial, error) {
	withdrawn, err := c.startDial()
	if err != nil {
		return nil, err
	}
	var opened *pathDial
	done := make(chan struct{})
	go func() {
		defer close(done)
		opened, err = c.dialer.dial(address, c.plan, limit)
	}()
	select {
	case <-done:
		return opened, err
	case <-withdrawn:
		go func() {
			<-done
			if err == nil {
				_ = opened.conn.Close()
			}
		}()
		return nil, errCallCancelled
	}
}

// withdraw withdraws an attempt, also one that starts later.
func (r *race) withdraw(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withdrawn == nil {
		r.withdrawn = make(map[int]bool)
	}
	r.withdrawn[number] = true
	for _, a := range append([]*attemptResponse{r.current}, r.hedges...) {
		if a != nil && a.attempt.Attempt == number {
			a.call.withdraw()
		}
	}
}

// withdrawIfDue withdraws an attempt that starts after the core has withdrawn it. It is called with mu held.
func (r *race) withdrawIfDue(a *attemptResponse) {
	if r.withdrawn[a.attempt.Attempt] {
		a.call.withdraw()
	}
}
