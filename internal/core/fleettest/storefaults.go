package fleettest

import "time"

// SetDelay makes each call to the store take longer by a time.
func (s *fakeStore) SetDelay(d time.Duration) { s.delay = d }

// SetLostWrites sets the share of writes that never take effect and get no reply.
func (s *fakeStore) SetLostWrites(share float64) { s.lostWriteShare = share }
