package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// zoneCount is the number of zones of a soak.
	zoneCount = 3
	// minEvacuation and maxEvacuation bound the time for which zones are evacuated. It exceeds evacuateBound by more than
	// maxColdLead. minBriefEvacuation and maxBriefEvacuation bound brief evacuations: one in briefOdds, and those of all zones.
	minEvacuation, maxEvacuation           = evacuateBound + 3*time.Second, evacuateBound + 5*time.Second
	minBriefEvacuation, maxBriefEvacuation = 800 * time.Millisecond, 2500 * time.Millisecond
	briefOdds                              = 5
	// evacuationStream offsets the random streams of evacuations, so that they differ from those of the other faults.
	evacuationStream = 5000
	// maxZoneStagger bounds the time between the evacuations of several zones.
	maxZoneStagger = time.Second
	// maxColdLead is how long before the restore servers turn cold at most.
	maxColdLead = 1500 * time.Millisecond
	// lostWriteOdds is one in how many writes of operators are repeated because the response was lost, and minRepeatDelay
	// and maxRepeatDelay bound the time until they repeat it.
	lostWriteOdds                  = 3
	minRepeatDelay, maxRepeatDelay = 300 * time.Millisecond, time.Second
	// minZoneFaultGap and maxZoneFaultGap bound the interval between the starts of two other faults beside evacuations only.
	minZoneFaultGap, maxZoneFaultGap = 800 * time.Millisecond, 2500 * time.Millisecond
)

// evacuatedCounts are the numbers of zones that are evacuated together. One is drawn with equal odds, so smaller numbers are repeated.
var evacuatedCounts = []int{1, 1, 1, 1, 2, 2, zoneCount}

// zoneCold is whether and how the backend servers of an evacuated zone become cold.
type zoneCold int

const (
	// staysWarm leaves them as they are.
	staysWarm zoneCold = iota
	// turnsCold makes them cold about the time of the restore; their entries say so later.
	turnsCold
	// startsCold ends them, and starts others at their addresses about the time of the restore.
	startsCold
	// zoneColdCount is the number of values of zoneCold.
	zoneColdCount
)

// injectZones evacuates zones in series, while instances, the store and backend servers get faults, until ctx ends.
func (w *World) injectZones(ctx context.Context) {
	faults := []func(faultParams){
		w.killInstance, w.stopInstance, w.pauseInstance, w.reloadInstance, w.reconfigure, w.storeFault, w.impairStoreLink, w.compactStore,
		w.restartZoneCold, w.restartOneCold, w.restartOneCold, w.drainBackend,
	}
	var pending sync.WaitGroup
	defer pending.Wait()
	pending.Go(func() {
		for number := uint64(1); ctx.Err() == nil; number++ {
			p := faultParams{random: rand.New(rand.NewPCG(w.options.Seed, evacuationStream+number))}
			time.Sleep(randomDuration(p.random, 0, maxZoneStagger))
			w.evacuateZones(p)
		}
	})
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	for number := uint64(1); ctx.Err() == nil; number++ {
		select {
		case <-time.After(randomDuration(random, minZoneFaultGap, maxZoneFaultGap)):
		case <-ctx.Done():
			return
		}
		fault := faults[random.IntN(len(faults))]
		p := faultParams{
			random: rand.New(rand.NewPCG(w.options.Seed, number)), duration: randomDuration(random, minFaultDuration, maxFaultDuration),
		}
		pending.Go(func() { fault(p) })
	}
}

// evacuateZones evacuates one, several or all zones for a time, unless zones are evacuated already, and waits until they
// have load again.
func (w *World) evacuateZones(p faultParams) {
	if !w.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer w.evacuating.Store(false)
	zones := []string{"zone-0", "zone-1", "zone-2"}
	p.random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	zones = zones[:evacuatedCounts[p.random.IntN(len(evacuatedCounts))]]
	isBrief := p.random.IntN(briefOdds) == 0 || len(zones) == zoneCount
	var evacuated sync.WaitGroup
	defer evacuated.Wait()
	for n, zone := range zones {
		own := rand.New(rand.NewPCG(p.random.Uint64(), 0))
		lasts, cold := randomDuration(own, minEvacuation, maxEvacuation), zoneCold(own.IntN(int(zoneColdCount)))
		stagger := randomDuration(own, 0, maxZoneStagger)
		if isBrief {
			lasts, cold, stagger = randomDuration(own, minBriefEvacuation, maxBriefEvacuation), staysWarm, stagger/4
		}
		if n == 0 {
			stagger = 0
		}
		evacuated.Go(func() {
			time.Sleep(stagger)
			w.evacuateZone(own, zone, lasts, cold)
		})
	}
}

// evacuateZone evacuates a zone for a time and waits until it has load again.
func (w *World) evacuateZone(random *rand.Rand, zone string, lasts time.Duration, cold zoneCold) {
	w.recorder.count("zones evacuated")
	e := w.zones.beginEvacuation(zone)
	writeRepeatedly(random, func() { w.store.Evacuate(zone) })
	w.zones.acknowledge(e, w.recorder.elapsed())
	if cold == staysWarm {
		time.Sleep(lasts)
	} else {
		lead := randomDuration(random, 0, maxColdLead)
		time.Sleep(lasts - lead)
		for _, b := range w.serversIn(zone) {
			w.makeCold(random, b, cold)
		}
		time.Sleep(lead)
	}
	w.zones.end(e, w.recorder.elapsed())
	writeRepeatedly(random, func() { w.store.Restore(zone) })
	w.watchReturn(zone)
}

// makeCold makes a backend server of an evacuated zone cold.
func (w *World) makeCold(random *rand.Rand, b *backend, how zoneCold) {
	switch how {
	case turnsCold:
		b.turnCold(w.warmUp().Duration)
		b.announce(randomDuration(random, time.Millisecond, maxHeartbeatDelay))
	case startsCold:
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		w.replacing.start(func() { w.restartCold(own, b) })
	}
}

// writeRepeatedly makes a write of the operators. It repeats one write in lostWriteOdds, as after a lost response. It returns when the
// last write is acknowledged.
func writeRepeatedly(random *rand.Rand, write func()) {
	write()
	if random.IntN(lostWriteOdds) == 0 {
		time.Sleep(randomDuration(random, minRepeatDelay, maxRepeatDelay))
		write()
	}
}
