package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minWavePause and maxWavePause bound the silence of servers in a wave. Callers abandon a stream after two seconds.
	minWavePause, maxWavePause = time.Second, 1900 * time.Millisecond
	// minWaveGap and maxWaveGap bound the interval between the starts of two waves.
	minWaveGap, maxWaveGap = 2200 * time.Millisecond, 3500 * time.Millisecond
	// workLead is how long before a wave the planned work beside it may begin, and workWindow the range of its start.
	workLead, workWindow = 600 * time.Millisecond, 1400 * time.Millisecond
	// minRowGap and maxRowGap bound the time between two waves in a row.
	minRowGap, maxRowGap = 150 * time.Millisecond, 500 * time.Millisecond
	// maxReturnDelay bounds the time from the end of a pause to the return of a registration that lapsed in it.
	maxReturnDelay = 400 * time.Millisecond
	// rowOdds, lapseOdds and twoWorksOdds are one in how many waves have a second one in a row, lapsed registrations, and
	// two pieces of planned work.
	rowOdds, lapseOdds, twoWorksOdds = 3, 4, 3
)

// waveShares are the shares of the servers that a wave pauses.
var waveShares = []float64{1, 1, 0.6, 0.5, 0.1}

// injectPauses injects waves of pauses beside planned work, and nothing else, until ctx ends, and waits for the last one.
func (w *World) injectPauses(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	var pending sync.WaitGroup
	defer pending.Wait()
	for number := uint64(1); ctx.Err() == nil; number++ {
		p := faultParams{random: rand.New(rand.NewPCG(w.options.Seed, number))}
		pending.Go(func() { w.pauseBesideWork(p) })
		select {
		case <-time.After(randomDuration(random, minWaveGap, maxWaveGap)):
		case <-ctx.Done():
		}
	}
}

// pauseBesideWork pauses a share of the servers, once or twice in a row, while planned work goes on.
func (w *World) pauseBesideWork(p faultParams) {
	var pending sync.WaitGroup
	defer pending.Wait()
	works := 1
	if p.random.IntN(twoWorksOdds) == 0 {
		works = 2
	}
	for range works {
		work, delay := w.plannedWork(p.random), randomDuration(p.random, 0, workWindow)
		own := faultParams{random: rand.New(rand.NewPCG(p.random.Uint64(), 0))}
		pending.Go(func() {
			time.Sleep(delay)
			work(own)
		})
	}
	servers := w.serversOfWave(p.random)
	lapse := w.options.Faults == FaultsPauses && p.random.IntN(lapseOdds) == 0
	time.Sleep(workLead)
	w.pauseServers(p.random, servers, lapse)
	if p.random.IntN(rowOdds) == 0 {
		time.Sleep(randomDuration(p.random, minRowGap, maxRowGap))
		w.pauseServers(p.random, servers, false)
	}
}

// plannedWork returns work that operators do on a fleet that serves.
func (w *World) plannedWork(random *rand.Rand) func(faultParams) {
	works := []func(faultParams){
		w.reconfigure, w.reconfigure, w.reconfigure, w.reloadChangedSettings, w.stopInstance, w.stopInstance, w.stopTwoInstances,
	}
	return works[random.IntN(len(works))]
}

// serversOfWave returns the servers of a wave: a share of those that have not left.
func (w *World) serversOfWave(random *rand.Rand) []*backend {
	var servers []*backend
	w.mu.Lock()
	for _, b := range w.backends {
		if b.leavingAt.Load() == 0 {
			servers = append(servers, b)
		}
	}
	w.mu.Unlock()
	random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	share := waveShares[random.IntN(len(waveShares))]
	return servers[:min(len(servers), max(1, int(share*float64(len(servers)))))]
}

// pauseServers pauses servers at once, all at the same phase of their requests or each at its own.
func (w *World) pauseServers(random *rand.Rand, servers []*backend, lapse bool) {
	first, step := random.IntN(heldPhases), random.IntN(2)
	d := randomDuration(random, minWavePause, maxWavePause)
	returnDelay := randomDuration(random, 0, maxReturnDelay)
	w.recorder.count("waves of pauses")
	var paused sync.WaitGroup
	defer paused.Wait()
	for n, b := range servers {
		held := beforeHead + phase((first+n*step)%heldPhases)
		paused.Go(func() { b.pause(held, d) })
		if lapse {
			paused.Go(func() { w.lapseRegistration(b, d/2, d/2+returnDelay) })
		}
	}
}

// lapseRegistration removes the registration of a server after a delay, as after missed heartbeats, and brings it back
// another delay later.
func (w *World) lapseRegistration(b *backend, delay, absence time.Duration) {
	time.Sleep(delay)
	w.store.Unregister(b.name)
	time.Sleep(absence)
	b.register(false)
	w.recorder.count("registrations lapsed")
}

// stopTwoInstances stops two instances about the same time.
func (w *World) stopTwoInstances(p faultParams) {
	first, second := rand.New(rand.NewPCG(p.random.Uint64(), 0)), rand.New(rand.NewPCG(p.random.Uint64(), 0))
	delay := randomDuration(p.random, 0, workWindow)
	var stopped sync.WaitGroup
	defer stopped.Wait()
	stopped.Go(func() { w.stopInstance(faultParams{random: first}) })
	time.Sleep(delay)
	w.stopInstance(faultParams{random: second})
}

// reloadChangedSettings changes the settings of an instance and makes it reload them.
func (w *World) reloadChangedSettings(p faultParams) {
	i := w.randomInstance(p)
	if err := i.writeSettings(retryBurst - p.random.IntN(retryBurst/2)); err != nil {
		w.recorder.count("settings not written")
	}
	i.reload()
}
