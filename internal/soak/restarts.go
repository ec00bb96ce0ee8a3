package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// minAllDown and maxAllDown bound the time for which no instance has a process, and startStagger the time between the starts of
	// the first and the last one.
	minAllDown, maxAllDown = time.Second, 3 * time.Second
	startStagger           = 300 * time.Millisecond
	// twiceOdds is one in how many restarts of all are followed by another one, and minTwiceGap and maxTwiceGap bound the time between
	// the last start and the second kill.
	twiceOdds                = 3
	minTwiceGap, maxTwiceGap = 500 * time.Millisecond, 3 * time.Second
	// partOdds is one in how many releases replace only a part of the servers, so that the version before still serves.
	partOdds = 2
	// minOverlap and maxOverlap bound the time from the start of a release's servers until the servers before them leave. minOverlap
	// exceeds mixedColdDuration. minLeave and drainDuration bound the time for which those then serve.
	minOverlap, maxOverlap = 1200 * time.Millisecond, 1800 * time.Millisecond
	minLeave               = time.Second
	// killLead is how long before the servers leave the instances are killed at the earliest, and killWindow the range of that time.
	// Streams of the version that leaves last 1.5 s at most.
	killLead, killWindow = 500 * time.Millisecond, 1800 * time.Millisecond
	// maxCallerDelay bounds the time from the start of the instances until a caller continues its stream: half of them come while the
	// instances are new.
	maxCallerDelay = 2 * contactTime
	// minSteady and maxSteady bound the time for which callers then use the instances before the next release.
	minSteady, maxSteady = maxCallerDelay, maxCallerDelay + 2*time.Second
	// mixedOdds is one in how many runs with all faults restart all instances once. Runs shorter than minMixed do not.
	mixedOdds, minMixed = 3, 10 * time.Second
	// restartStream offsets the random streams of restarts of all, so that they differ from those of the other faults.
	restartStream = 6000
)

// restartRecorder records the restarts of all instances. The zero value has none.
type restartRecorder struct {
	// kills counts the times that all instances were killed, and down is set until all are started again.
	kills atomic.Int64
	down  atomic.Bool
	// coldRestarts is locked while all instances are down. Instances learn of a server that starts cold at the same address by requests
	// that find no process there, so none may do so meanwhile.
	coldRestarts sync.RWMutex
	// begun and continued count new streams and those that a restart of all broke, at instances that have been up for contactTime.
	begun, continued streamCount
}

// injectRestarts restarts all instances beside one release after the other until ctx ends.
func (w *World) injectRestarts(ctx context.Context) {
	for number := uint64(1); ctx.Err() == nil; number++ {
		p := faultParams{random: rand.New(rand.NewPCG(w.options.Seed, restartStream+number))}
		w.restartBesideRelease(p)
		pause(ctx, randomDuration(p.random, minSteady, maxSteady))
	}
}

// injectOneRestart restarts all instances once beside a release, in one run in mixedOdds. It does so beside no evacuation: instances
// that were down at its end can't know that the zone's servers may be cold.
func (w *World) injectOneRestart(ctx context.Context) {
	p := faultParams{random: rand.New(rand.NewPCG(w.options.Seed, restartStream))}
	if p.random.IntN(mixedOdds) != 0 || w.options.Duration < minMixed {
		return
	}
	pause(ctx, randomDuration(p.random, 0, w.options.Duration/2))
	for !w.evacuating.CompareAndSwap(false, true) {
		if ctx.Err() != nil {
			return
		}
		pause(ctx, roomInterval)
	}
	defer w.evacuating.Store(false)
	if ctx.Err() == nil {
		w.restartBesideRelease(p)
	}
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// restartBesideRelease starts servers of another version, lets as many others leave, and kills all instances about the time at which
// they do.
func (w *World) restartBesideRelease(p faultParams) {
	leaving := w.releaseServers(p.random)
	var left sync.WaitGroup
	defer left.Wait()
	overlap := randomDuration(p.random, minOverlap, maxOverlap)
	untilKill := overlap - killLead + randomDuration(p.random, 0, killWindow)
	serves := randomDuration(p.random, minLeave, drainDuration)
	for _, b := range leaving {
		left.Go(func() {
			time.Sleep(overlap)
			w.retire(b, serves)
		})
	}
	time.Sleep(untilKill)
	w.restartAll(p.random)
	if p.random.IntN(twiceOdds) == 0 {
		time.Sleep(randomDuration(p.random, minTwiceGap, maxTwiceGap))
		w.restartAll(p.random)
	}
}

// releaseServers releases another version, starts a server of it for each one that is to leave, and returns those: all servers of
// other versions, or every second one.
func (w *World) releaseServers(random *rand.Rand) []*backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.version
	for w.version == before {
		w.version = softwareVersions[random.IntN(len(softwareVersions))]
	}
	isPart := random.IntN(partOdds) == 0
	var leaving []*backend
	for n, b := range w.backends {
		if b.leavingAt.Load() == 0 && b.version != w.version && (!isPart || n%2 == 0) {
			leaving = append(leaving, b)
		}
	}
	for _, b := range leaving {
		w.backendsStarted++
		if err := w.startBackend(fmt.Sprintf("i-%d", w.backendsStarted), b.zone, w.version, w.warmUp().Duration); err != nil {
			w.recorder.count("backend server not replaced")
		}
	}
	return leaving
}

// restartAll kills all instances at once and starts them again.
func (w *World) restartAll(random *rand.Rand) {
	r := &w.restarts
	down := randomDuration(random, minAllDown, maxAllDown)
	r.coldRestarts.Lock()
	defer r.coldRestarts.Unlock()
	r.down.Store(true)
	r.kills.Add(1)
	w.recorder.count("restarts of all instances")
	var ended []*process
	for _, i := range w.instances {
		defer w.beginUnplanned(i)()
		i.markDisturbed()
		proc := i.currentProcess()
		proc.signal(w.recorder, syscall.SIGKILL)
		ended = append(ended, proc)
	}
	for _, proc := range ended {
		<-proc.ended
	}
	w.poison.forgetEnds()
	time.Sleep(down)
	w.registerAll()
	var started sync.WaitGroup
	for n, i := range w.instances {
		stagger := randomDuration(random, 0, startStagger)
		started.Go(func() {
			time.Sleep(stagger)
			w.restart(i, ended[n])
		})
	}
	started.Wait()
	r.down.Store(false)
}

// registerAll writes the entries of all servers that serve: what their entries do not say, no instance can know after a restart of all.
func (w *World) registerAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		if b.leavingAt.Load() == 0 {
			b.register(false)
		}
	}
}

// forgetEnds starts the counts of ended servers anew: after a restart of all, no instance knows what ended them.
func (p *poisonRecorder) forgetEnds() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.ends)
}

// awaitRestart waits, if a restart of all has broken a stream since a number of kills, until the instances are started and the caller
// continues it. It reports whether that is so.
func (w *World) awaitRestart(ctx context.Context, random *rand.Rand, s *callerStream, kills int64) bool {
	r := &w.restarts
	if s.received == 0 || r.kills.Load() == kills && !r.down.Load() {
		return false
	}
	w.recorder.count("streams broken by restarts of all")
	s.isFirstTry = true
	for r.down.Load() && ctx.Err() == nil {
		pause(ctx, roomInterval)
	}
	pause(ctx, randomDuration(random, 0, maxCallerDelay))
	return true
}

// restartCountFor returns the count in which a request counts after a restart of all, nil if it does not: all instances must have been
// up for contactTime, without a fault of theirs or of the store, and minServing servers of a continued stream's version must serve.
// A stream counts with its first try only: a refused one sends maxStreamTries requests, and one that goes on a single one.
func (w *World) restartCountFor(s *callerStream) *streamCount {
	r := &w.restarts
	upFor := w.recorder.elapsed() - time.Duration(w.disturbedAt.Load())
	switch {
	case r.kills.Load() == 0 || !s.isFirstTry || upFor < contactTime:
		return nil
	case s.received == 0:
		return &r.begun
	case w.serversOf(s.version) >= minServing:
		return &r.continued
	default:
		return nil
	}
}

// countRestarted counts a request after a restart of all, unless it ended with the soak. Later requests for the stream don't count.
func (w *World) countRestarted(ctx context.Context, s *callerStream, c *streamCount, served bool) {
	s.isFirstTry = false
	if served || !errors.Is(ctx.Err(), context.Canceled) {
		w.countStream(c, served)
	}
}

// checkRestartedStreams checks that the streams that a restart of all has broken go on about as often as new ones begin.
func (w *World) checkRestartedStreams() {
	begun, continued := w.restarts.begun, w.restarts.continued
	if continued.sent >= minContinued && continued.share() < minContinuedShare*begun.share() {
		w.recorder.recordViolation("a stream goes on after a restart of all instances", "all",
			fmt.Sprintf("%d of %d, of new ones %d of %d", continued.served, continued.sent, begun.served, begun.sent))
	}
	w.recorder.add("continued after restarts of all", continued.sent)
	w.recorder.add("continued after restarts of all, served", continued.served)
}
