package soak

import (
	"slices"
	"sync"
	"time"
)

// zoneRecorder records what the checks of evacuated zones and cold servers need. The zero value is empty.
type zoneRecorder struct {
	mu          sync.Mutex
	evacuations []*zoneEvacuation
	// senders maps requests to the instances to which they were sent.
	senders map[string]*instance
	// disturbances are the faults and starts of instances.
	disturbances []disturbance
	// holds are the times in which requests that were sent to a server may not have arrived.
	holds []*serverHold
	// arrivals are the requests that arrived at servers of evacuated zones.
	arrivals []zoneArrival
	// excesses are the seconds in which cold servers got too many requests, and mostCold is the number of requests in the
	// worst second of any cold server.
	excesses []coldExcess
	mostCold int
	// room holds how many servers could serve over time, and refusals the requests that were refused.
	room     []roomSample
	refusals []refusedRequest
}

// zoneEvacuation is the evacuation of a zone. acknowledgedAt is when the store acknowledged it, 0 before, and endedAt when
// its withdrawal was requested, 0 before.
type zoneEvacuation struct {
	zone                    string
	acknowledgedAt, endedAt time.Duration
}

type disturbance struct {
	instance *instance
	at       time.Duration
}

// serverHold is a time in which a server's process or its network is held. It lasts until endedAt, 0 while it goes on.
type serverHold struct {
	server             *backend
	startedAt, endedAt time.Duration
}

// zoneArrival is a request that arrived at a server of a zone whose evacuation was acknowledged.
type zoneArrival struct {
	id             string
	server         *backend
	acknowledgedAt time.Duration
	at             time.Duration
}

// refusedRequest is a request that was refused.
type refusedRequest struct {
	id, detail string
	instance   *instance
	sentAt, at time.Duration
}

// roomSample tells how many servers could serve at a time, and whether a zone was evacuated.
type roomSample struct {
	at        time.Duration
	servers   int
	evacuated bool
}

// beginEvacuation records that the evacuation of a zone is requested.
func (r *zoneRecorder) beginEvacuation(zone string) *zoneEvacuation {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &zoneEvacuation{zone: zone}
	r.evacuations = append(r.evacuations, e)
	return e
}

func (r *zoneRecorder) acknowledge(e *zoneEvacuation, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.acknowledgedAt = at
}

func (r *zoneRecorder) end(e *zoneEvacuation, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.endedAt = at
}

// isEvacuated reports whether the evacuation of a zone is requested.
func (r *zoneRecorder) isEvacuated(zone string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.evacuations, func(e *zoneEvacuation) bool { return e.zone == zone && e.endedAt == 0 })
}

// recordArrival records a request that arrives at a server if the evacuation of its zone is acknowledged.
func (w *World) recordArrival(b *backend, id string) {
	r, now := &w.zones, w.recorder.elapsed()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.evacuations {
		if e.zone == b.zone && e.acknowledgedAt > 0 && e.endedAt == 0 {
			r.arrivals = append(r.arrivals, zoneArrival{id: id, server: b, acknowledgedAt: e.acknowledgedAt, at: now})
		}
	}
}

// recordSender records the instance to which a request is sent.
func (r *zoneRecorder) recordSender(id string, i *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.senders == nil {
		r.senders = make(map[string]*instance)
	}
	r.senders[id] = i
}

// senderOf returns the instance to which a request was sent, nil if that is not known.
func (r *zoneRecorder) senderOf(id string) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.senders[id]
}

func (r *zoneRecorder) recordDisturbance(i *instance, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, disturbance{instance: i, at: at})
}

// beginHold records that a server's process or its network is held. The caller calls the returned function at the end.
func (r *zoneRecorder) beginHold(b *backend, elapsed func() time.Duration) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &serverHold{server: b, startedAt: elapsed()}
	r.holds = append(r.holds, h)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		h.endedAt = elapsed()
	}
}

func (r *zoneRecorder) recordColdSecond(requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mostCold = max(r.mostCold, requests)
}

func (r *zoneRecorder) recordExcess(e coldExcess) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excesses = append(r.excesses, e)
}

func (r *zoneRecorder) coldSeconds() (excesses []coldExcess, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.excesses), r.mostCold
}

// releaseTime is the time after the end of a hold within which the requests that it has held back arrive.
const releaseTime = 100 * time.Millisecond

// earliestSend returns the earliest time at which a request may have been sent that arrived at a server at a time: holds of the
// server and standstills of the soak delay it.
func (w *World) earliestSend(b *backend, arrivedAt time.Duration) time.Duration {
	w.zones.mu.Lock()
	holds := w.standstills.all()
	for _, h := range w.zones.holds {
		if h.server == b {
			holds = append(holds, standstill{from: h.startedAt, to: h.endedAt})
		}
	}
	w.zones.mu.Unlock()
	for moved := true; moved; {
		moved = false
		for _, h := range holds {
			if h.from < arrivedAt && (h.to == 0 || h.to+releaseTime > arrivedAt) {
				arrivedAt, moved = h.from, true
			}
		}
	}
	return arrivedAt
}
