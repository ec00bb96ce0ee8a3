package core_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// boundSeeds is the number of seeds of the test of the bound, for long runs by hand.
var boundSeeds = flag.Int("bound-seeds", 1, "number of seeds of TestChangeReachesHealthyInstances")

// fleetSize is a number of instances and of zones.
type fleetSize struct{ instances, zones int }

func (s fleetSize) String() string { return fmt.Sprintf("%d in %d zones", s.instances, s.zones) }

// storeChange is a change that the store has acknowledged: a configuration, or an engine that
// begins to leave.
type storeChange struct {
	at         time.Time
	generation uint64
	engine     int
}

// lackedBy reports whether an instance does not have the change.
func (s storeChange) lackedBy(m *fakeInstance) bool {
	if s.generation > 0 {
		return m.generation < s.generation
	}
	return !m.leavingEngines[engineName(s.engine)]
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// changeBoundFleet makes changes in the store and checks all the time that no healthy instance
// lacks a change for longer than the bound.
type changeBoundFleet struct {
	*fleet
	changes    []storeChange
	generation uint64
	engines    int
	// faulty holds the instances with a fault, and recoveredAt the end of the others' last fault.
	faulty      map[*fakeInstance]bool
	recoveredAt map[*fakeInstance]time.Time
	// longest is the longest time for which an healthy instance lacked a change. late describes the
	// first case beyond the bound of each instance in lateInstances.
	longest       time.Duration
	late          []string
	lateInstances map[*fakeInstance]bool
}

// boundEngines is the number of engines that can leave during a test.
const boundEngines = 100

func newChangeBoundFleet(t *testing.T, size fleetSize, seed uint64) *changeBoundFleet {
	t.Helper()
	c := &changeBoundFleet{
		fleet: newFleet(seed, size.instances, size.zones, entriesText), generation: 1,
		faulty: make(map[*fakeInstance]bool), recoveredAt: make(map[*fakeInstance]time.Time),
		lateInstances: make(map[*fakeInstance]bool),
	}
	c.putConfig(1, "first", entriesText)
	for i := range boundEngines {
		c.store.putEntry(engineName(i), engineEntry(i, membership.Live))
	}
	c.run(20 * time.Second)
	c.requireGeneration(t, 1)
	return c
}

// change makes one change in the store.
func (c *changeBoundFleet) change() {
	change := storeChange{at: c.now}
	if c.engines < boundEngines-1 && c.random.IntN(2) == 0 {
		change.engine = c.engines
		c.store.putEntry(engineName(c.engines), engineEntry(c.engines, membership.Leaving))
		c.engines++
	} else {
		c.generation++
		change.generation = c.generation
		c.putConfig(c.generation, "edit", entriesText)
	}
	c.changes = append(c.changes, change)
}

// runWithChanges advances virtual time by d, with a change each 0.1 to 1.5 seconds, and checks the
// bound in small steps.
func (c *changeBoundFleet) runWithChanges(d time.Duration) {
	const step = 20 * time.Millisecond
	nextChange := c.now
	for end := c.now.Add(d); c.now.Before(end); {
		if !c.now.Before(nextChange) {
			c.change()
			nextChange = c.now.Add(time.Duration(100+c.random.IntN(1400)) * time.Millisecond)
		}
		c.run(step)
		c.check()
	}
}

func (c *changeBoundFleet) healthy(m *fakeInstance) bool {
	return !c.faulty[m] && c.now.Sub(c.recoveredAt[m]) >= c.storeSettle
}

func (c *changeBoundFleet) check() {
	for _, m := range c.instances {
		if !c.healthy(m) {
			continue
		}
		first := slices.IndexFunc(c.changes, func(s storeChange) bool { return s.lackedBy(m) })
		if first < 0 {
			continue
		}
		lackedFor := c.now.Sub(c.changes[first].at)
		c.longest = max(c.longest, lackedFor)
		if lackedFor > c.changeBound && !c.lateInstances[m] {
			c.lateInstances[m] = true
			c.late = append(c.late, fmt.Sprintf("%s lacks change %d of %d after %v", m.name, first, len(c.changes), lackedFor))
		}
	}
}

// instanceFault affects some instances for a time. Whatever it does to others, an instance that it
// does not affect stays healthy.
type instanceFault struct {
	name string
	// apply begins the fault of the affected instances.
	apply func(c *changeBoundFleet, affected map[*fakeInstance]bool, lasts time.Duration)
	// staysHealthy is set if the affected instances still reach the store, so that the bound
	// holds for them as well.
	staysHealthy bool
}

var instanceFaults = []instanceFault{
	{name: "frozen", apply: func(c *changeBoundFleet, affected map[*fakeInstance]bool, lasts time.Duration) {
		for m := range affected {
			m.frozenUntil = c.now.Add(lasts)
		}
	}},
	{name: "cut off from the store without a sign", apply: func(c *changeBoundFleet, affected map[*fakeInstance]bool, _ time.Duration) {
		c.platformCut = func(m *fakeInstance) bool { return affected[m] }
	}},
	{name: "cut off from the store and the other instances", apply: func(c *changeBoundFleet, affected map[*fakeInstance]bool, _ time.Duration) {
		c.platformCut = func(m *fakeInstance) bool { return affected[m] }
		c.linkCut = func(a, b *fakeInstance) bool { return affected[a] || affected[b] }
	}},
	{name: "cut off from the other instances only", staysHealthy: true, apply: func(c *changeBoundFleet, affected map[*fakeInstance]bool, _ time.Duration) {
		c.linkCut = func(a, b *fakeInstance) bool { return affected[a] || affected[b] }
	}},
	{name: "cut off from the others but not from each other", staysHealthy: true, apply: func(c *changeBoundFleet, affected map[*fakeInstance]bool, _ time.Duration) {
		c.linkCut = func(a, b *fakeInstance) bool { return affected[a] != affected[b] }
	}},
	{name: "heard by the others but not hearing them", staysHealthy: true, apply: func(c *changeBoundFleet, affected map[*fakeInstance]bool, _ time.Duration) {
		c.linkCut = func(_, to *fakeInstance) bool { return affected[to] }
	}},
	{name: "told nothing any more on open connections to the store", apply: func(c *changeBoundFleet, affected map[*fakeInstance]bool, _ time.Duration) {
		c.store.silencedAt = c.now
		for _, m := range c.instances {
			affected[m] = true
		}
	}},
	{name: "killed and restarted", apply: func(c *changeBoundFleet, affected map[*fakeInstance]bool, lasts time.Duration) {
		for _, m := range c.instances {
			if !affected[m] {
				continue
			}
			m.dead = true
			c.schedule(lasts, func() { c.boot(m, "") })
		}
	}},
}

// injectFault applies a fault to instances while changes are made, and goes on until all are healthy.
func (c *changeBoundFleet) injectFault(fault instanceFault, affected map[*fakeInstance]bool, lasts time.Duration) {
	fault.apply(c, affected, lasts)
	if !fault.staysHealthy {
		c.faulty = affected
	}
	if len(affected) == len(c.instances) {
		// What befalls all of them is over at once.
		lasts = 0
	}
	c.runWithChanges(lasts)
	c.platformCut, c.linkCut = noInstance, noLinkCut
	for m := range c.faulty {
		c.recoveredAt[m] = c.now
	}
	c.faulty = make(map[*fakeInstance]bool)
	c.runWithChanges(c.storeSettle + c.changeBound + time.Duration(c.random.IntN(1000))*time.Millisecond)
}

// pick returns the followers of the store and further instances, drawn at random, up to count.
func (c *changeBoundFleet) pick(count int) map[*fakeInstance]bool {
	picked := make(map[*fakeInstance]bool)
	for name := range c.followers() {
		picked[c.instance(name)] = true
	}
	for _, i := range c.random.Perm(len(c.instances)) {
		if len(picked) < count {
			picked[c.instances[i]] = true
		}
	}
	return picked
}

func testChangeBound(t *testing.T, size fleetSize, fault instanceFault, affected int, seed uint64) {
	t.Helper()
	c := newChangeBoundFleet(t, size, seed)
	for range 4 {
		c.injectFault(fault, c.pick(affected), time.Duration(1500+c.random.IntN(4500))*time.Millisecond)
	}
	t.Logf("seed %d: longest time without a change: %v of %v", seed, c.longest, c.changeBound)
	require.Empty(t, c.late, "seed %d", seed)
}

// Guards against changes that come late or never at healthy instances, because all followers of
// the store fail together, or with them those that would replace the followers.
func TestChangeReachesHealthyInstances(t *testing.T) {
	t.Parallel()
	for _, size := range []fleetSize{{8, 3}, {9, 4}, {60, 4}, {60, 1}} {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		for _, affected := range []int{0, size.instances * 3 / 4} {
			for _, fault := range instanceFaults {
				t.Run(fmt.Sprintf("%v, followers and %d others %s", size, affected, fault.name), func(t *testing.T) {
					t.Parallel()
					for seed := range *boundSeeds {
						testChangeBound(t, size, fault, affected, uint64(31+seed))
					}
				})
			}
		}
	}
}

// faultSeries applies faults that overlap, to instances drawn at random.
type faultSeries struct {
	*changeBoundFleet
	storeCuts, linkCuts map[*fakeInstance]int
	// activeFaults counts the present faults of each instance by which it is not healthy.
	activeFaults map[*fakeInstance]int
}

func newFaultSeries(t *testing.T, size fleetSize, seed uint64) *faultSeries {
	s := &faultSeries{
		changeBoundFleet: newChangeBoundFleet(t, size, seed),
		storeCuts:        make(map[*fakeInstance]int), linkCuts: make(map[*fakeInstance]int),
		activeFaults: make(map[*fakeInstance]int),
	}
	s.platformCut = func(m *fakeInstance) bool { return s.storeCuts[m] > 0 }
	s.linkCut = func(a, b *fakeInstance) bool { return s.linkCuts[a] > 0 || s.linkCuts[b] > 0 }
	return s
}

// begin begins a random fault of some instances, and ends it after some seconds.
func (s *faultSeries) begin() {
	kind := s.random.IntN(5)
	share := s.random.Float64()
	lasts := time.Duration(300+s.random.IntN(5000)) * time.Millisecond
	for _, m := range s.instances {
		if s.random.Float64() > share {
			continue
		}
		switch kind {
		case 0:
			m.frozenUntil = s.now.Add(lasts)
			s.markFaulty(m, lasts)
		case 1:
			s.countDuring(s.storeCuts, m, lasts)
			s.markFaulty(m, lasts)
		case 2:
			s.countDuring(s.storeCuts, m, lasts)
			s.countDuring(s.linkCuts, m, lasts)
			s.markFaulty(m, lasts)
		case 3:
			s.countDuring(s.linkCuts, m, lasts)
		case 4:
			m.dead = true
			s.schedule(lasts, func() { s.boot(m, "") })
			s.markFaulty(m, lasts)
		}
	}
}

func (s *faultSeries) countDuring(counts map[*fakeInstance]int, m *fakeInstance, lasts time.Duration) {
	counts[m]++
	s.schedule(lasts, func() { counts[m]-- })
}

// markFaulty marks an instance as not healthy until the end of a fault.
func (s *faultSeries) markFaulty(m *fakeInstance, lasts time.Duration) {
	s.activeFaults[m]++
	s.faulty[m] = true
	s.schedule(lasts, func() {
		s.activeFaults[m]--
		if s.activeFaults[m] == 0 {
			delete(s.faulty, m)
			s.recoveredAt[m] = s.now
		}
	})
}

// Guards against changes that come late or never at healthy instances while faults of others
// overlap in any order.
func TestChangeReachesHealthyInstancesDuringFaultSeries(t *testing.T) {
	t.Parallel()
	for _, size := range []fleetSize{{8, 3}, {9, 4}, {60, 4}} {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range *boundSeeds {
				s := newFaultSeries(t, size, uint64(seed))
				for range 20 {
					s.begin()
					s.runWithChanges(time.Duration(200+s.random.IntN(3000)) * time.Millisecond)
				}
				t.Logf("seed %d: longest time without a change: %v of %v", seed, s.longest, s.changeBound)
				require.Empty(t, s.late, "seed %d", seed)
			}
		})
	}
}
