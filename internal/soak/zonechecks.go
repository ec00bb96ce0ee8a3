package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

const (
	// evacuateBound is the time after the store's acknowledgement of an evacuation from which no instance in contact may send
	// a request to the zone. transitTime is the time from the decision to send a request to its arrival.
	evacuateBound, transitTime = 5 * time.Second, 500 * time.Millisecond
	// zoneContact is the time without a fault of its process and its links after which an instance is in contact.
	zoneContact = 4 * time.Second
	// storeExtension is by how much a fault of the store extends evacuateBound at most. maxStoreFaults is the time of faults
	// since the acknowledgement up to which that is checked.
	storeExtension, maxStoreFaults = 6 * time.Second, 5 * time.Second
	// maxZoneReturn is the time after the end of an evacuation within which the zone gets load again, and zoneReturnWindow the
	// time in which that is counted.
	maxZoneReturn, zoneReturnWindow = 20 * time.Second, time.Second
	// roomInterval is the interval at which the servers that can serve are counted, and roomLead the time before a request
	// for which there must have been room. A server counts from steadyTime after it has become usable: that exceeds the time
	// for which instances hold it for cold after that.
	roomInterval, roomLead = 50 * time.Millisecond, time.Second
	steadyTime             = coldDuration + 5*time.Second
)

// checkEvacuated reports the requests that reached servers of evacuated zones later than the bound, sent by instances in contact.
func (w *World) checkEvacuated() {
	w.zones.mu.Lock()
	arrivals := slices.Clone(w.zones.arrivals)
	w.zones.mu.Unlock()
	last := time.Duration(0)
	for _, a := range arrivals {
		sentAt := w.earliestSend(a.server, a.at)
		i := w.zones.senderOf(a.id)
		after := sentAt - a.acknowledgedAt
		if i == nil || w.disturbedWithin(i, sentAt-zoneContact, a.at) {
			w.recorder.count("sent to an evacuated zone out of contact")
			continue
		}
		limit := evacuateBound + transitTime
		if w.storeFaultTime(sentAt-zoneContact, a.at) > 0 {
			limit += storeExtension
			if w.storeFaultTime(a.acknowledgedAt, sentAt) > maxStoreFaults {
				w.recorder.count("sent to an evacuated zone after long faults of the store")
				continue
			}
		} else {
			last = max(last, after)
		}
		if after > limit {
			w.recorder.recordViolationAt(a.at, "an evacuated zone gets no new work", a.id, fmt.Sprintf(
				"%s in %s, sent by %s %v after the acknowledgement", a.server.name, a.server.zone, i.name, after))
			continue
		}
		w.recorder.count("sent to an evacuated zone within the bound")
	}
	w.recorder.add("ms until the last of them", int(last.Milliseconds()))
}

// disturbedWithin reports whether the process of an instance, or its links, had a fault in a time.
func (w *World) disturbedWithin(i *instance, from, to time.Duration) bool {
	w.zones.mu.Lock()
	struck := slices.ContainsFunc(w.zones.disturbances, func(d disturbance) bool { return d.instance == i && d.at >= from && d.at <= to })
	w.zones.mu.Unlock()
	w.lost.mu.Lock()
	defer w.lost.mu.Unlock()
	return struck || slices.ContainsFunc(w.lost.faults, func(f unplannedFault) bool { return f.subject == any(i) && f.within(from, to) > 0 })
}

// storeFaultTime returns for how much of a time the store had a fault.
func (w *World) storeFaultTime(from, to time.Duration) time.Duration {
	w.lost.mu.Lock()
	defer w.lost.mu.Unlock()
	var sum time.Duration
	for _, f := range w.lost.faults {
		if f.subject == nil {
			sum += f.within(from, to)
		}
	}
	return sum
}

// within returns for how much of a time the fault lasted. One that goes on lasts until its end.
func (f unplannedFault) within(from, to time.Duration) time.Duration {
	end := f.endedAt
	if end == 0 {
		end = to
	}
	return max(0, min(end, to)-max(f.startedAt, from))
}

// watchReturn waits until the servers of a zone get load again after an evacuation, and checks that this takes not too long.
func (w *World) watchReturn(zone string) {
	restoredAt, absent := w.recorder.elapsed(), false
	for {
		before := w.askedCounts()
		time.Sleep(zoneReturnWindow)
		returned := w.hasLoadAgain(zone, before, w.askedCounts())
		absent = absent || len(w.serversIn(zone)) == 0
		if took := w.recorder.elapsed() - restoredAt; w.checkReturn(zone, returned, absent, took) {
			return
		}
	}
}

// checkReturn checks whether a zone has load again some time after an evacuation, and reports whether that is decided.
func (w *World) checkReturn(zone string, returned, absent bool, took time.Duration) bool {
	switch {
	case returned:
		w.recorder.count("zones with load again")
		w.recorder.add("ms until zones had load again", int(took.Milliseconds()))
	case took <= maxZoneReturn:
		return false
	case absent:
		w.recorder.count("zones without servers after an evacuation")
	default:
		w.recorder.recordViolation("a zone gets load again after its evacuation", zone, fmt.Sprintf("none %v after", took))
	}
	return true
}

// hasLoadAgain reports whether the servers of a zone were asked between two counts: once if other faults strike servers, else at
// least minReturnShare as often as the others on average.
func (w *World) hasLoadAgain(zone string, before, after map[*backend]int64) bool {
	asked, servers, othersAsked, others := 0.0, 0, 0.0, 0
	for b, n := range after {
		if b.zone == zone {
			asked, servers = asked+float64(n-before[b]), servers+1
			continue
		}
		othersAsked, others = othersAsked+float64(n-before[b]), others+1
	}
	if w.options.Faults != FaultsZones || others == 0 {
		return asked > 0
	}
	return asked > 0 && asked/float64(servers) >= minReturnShare*othersAsked/float64(others)
}

// watchRoom counts the servers that can serve until ctx ends.
func (w *World) watchRoom(ctx context.Context) {
	usableSince := make(map[*backend]time.Duration)
	w.mu.Lock()
	for _, b := range w.backends {
		usableSince[b] = -steadyTime
	}
	w.mu.Unlock()
	for ctx.Err() == nil {
		sample := roomSample{at: w.recorder.elapsed()}
		w.mu.Lock()
		for _, b := range w.backends {
			isEvacuated := w.zones.isEvacuated(b.zone)
			sample.evacuated = sample.evacuated || isEvacuated
			if b.leavingAt.Load() != 0 || isEvacuated || b.warmUpLeft() > 0 {
				delete(usableSince, b)
				continue
			}
			if since, known := usableSince[b]; !known {
				usableSince[b] = sample.at
			} else if sample.at-since >= steadyTime {
				sample.servers++
			}
		}
		w.mu.Unlock()
		w.zones.mu.Lock()
		w.zones.room = append(w.zones.room, sample)
		w.zones.mu.Unlock()
		time.Sleep(roomInterval)
	}
}

// recordRefused records a request that was refused, with what the refusal says.
func (w *World) recordRefused(i *instance, id string, resp *http.Response) {
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{bytes.NewReader(text), resp.Body}
	w.lost.mu.Lock()
	p := w.lost.requests[id]
	w.lost.mu.Unlock()
	if p == nil {
		return
	}
	w.zones.mu.Lock()
	defer w.zones.mu.Unlock()
	w.zones.refusals = append(w.zones.refusals, refusedRequest{
		id: id, detail: resp.Status + " " + strings.TrimSpace(string(text)), instance: i, sentAt: p.sentAt, at: w.recorder.elapsed(),
	})
}

// ServedWhereRoom is the guarantee that an instance in contact serves requests during an evacuation while other zones have room.
const ServedWhereRoom = "a request that other zones have room for is served"

// checkRefusedBesideRoom reports the requests that instances in contact refused during an evacuation although the servers of the
// other zones had room. The check of servers that end judges the refusals that blame a request for their end.
func (w *World) checkRefusedBesideRoom() {
	if w.options.Faults != FaultsZones {
		return
	}
	w.zones.mu.Lock()
	refusals, samples := slices.Clone(w.zones.refusals), 0
	for _, s := range w.zones.room {
		if s.evacuated && s.servers*backendSlots >= w.neededSlots() {
			samples++
		}
	}
	w.zones.mu.Unlock()
	w.recorder.add("ms of evacuations beside room", samples*int(roomInterval.Milliseconds()))
	for _, r := range refusals {
		if why := w.excuseRefusal(&r); why != "" {
			w.recorder.count("refused " + why)
			continue
		}
		w.recorder.recordViolationAt(r.at, ServedWhereRoom, r.id, fmt.Sprintf(
			"%s at %s, sent %.3f; log: %s", r.detail, r.instance.name, r.sentAt.Seconds(), strings.Join(r.instance.loggedEnds(r.id), "; ")))
	}
}

// excuseRefusal says why a request could be refused, "" if it could not.
func (w *World) excuseRefusal(r *refusedRequest) string {
	switch {
	case !w.hadRoom(r.sentAt-roomLead, r.at):
		return "without an evacuation beside room"
	case w.stoppedWithin(r.instance, r.sentAt-stopGrace, r.at):
		return "by an instance that stops"
	case w.disturbedWithin(r.instance, r.sentAt-zoneContact, r.at):
		return "out of contact"
	case strings.Contains(r.detail, string(reason.PoisonRequest)):
		return "as poison"
	default:
		return ""
	}
}

// hadRoom reports whether a zone was evacuated in a time in which the other servers had room for the requests of all callers.
func (w *World) hadRoom(from, to time.Duration) bool {
	w.zones.mu.Lock()
	defer w.zones.mu.Unlock()
	evacuated, samples := false, 0
	for _, s := range w.zones.room {
		if s.at < from || s.at > to {
			continue
		}
		samples++
		evacuated = evacuated || s.evacuated
		if s.servers*backendSlots < w.neededSlots() {
			return false
		}
	}
	return evacuated && samples > 0
}

// neededSlots returns the number of requests that callers have in progress at most. Those on kept connections have up to two.
func (w *World) neededSlots() int { return w.options.Callers + 2*w.wireCallers() }

// stoppedWithin reports whether an instance was asked to stop in a time.
func (w *World) stoppedWithin(i *instance, from, to time.Duration) bool {
	w.lost.mu.Lock()
	defer w.lost.mu.Unlock()
	return slices.ContainsFunc(w.lost.stops, func(s plannedStop) bool { return s.instance == i && s.at >= from && s.at <= to })
}
