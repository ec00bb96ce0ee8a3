package core_test

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// maxCutDisadvantage is the share of first tries by which an instance that is cut off from servers may
// serve fewer than the others: the operators allow one failure in fifty.
const maxCutDisadvantage = 1.0 / 50

// cutScope is a choice of the instances, or of the servers, that a cut affects.
type cutScope struct {
	name      string
	instances func(f *cutFleet) []*fakeInstance
	servers   func(name string) bool
}

func firstInstances(share float64) func(f *cutFleet) []*fakeInstance {
	return func(f *cutFleet) []*fakeInstance { return f.instances[:int(share*float64(len(f.instances)))] }
}

func zoneInstances(f *cutFleet) []*fakeInstance {
	return slices.DeleteFunc(slices.Clone(f.instances), func(m *fakeInstance) bool { return m.zone != "zone-1" })
}

func allServers(string) bool         { return true }
func engineServers(name string) bool { return strings.HasPrefix(name, "engine") }
func portalServers(name string) bool { return strings.HasPrefix(name, "portal") }
func aThirdOfServers(name string) bool {
	return strings.HasSuffix(name, "-0") || strings.HasSuffix(name, "-3") || strings.HasSuffix(name, "-7") || strings.HasSuffix(name, "-8")
}

var cutScopes = []cutScope{
	{"some instances, all servers", firstInstances(0.4), allServers},
	{"most instances, all servers", firstInstances(0.8), allServers},
	{"all instances of a zone, all servers", zoneInstances, allServers},
	{"some instances, one service", firstInstances(0.4), engineServers},
	{"most instances, the other service", firstInstances(0.8), portalServers},
	{"some instances, a third of the servers", firstInstances(0.4), aThirdOfServers},
}

// cutSizes returns the sizes of the fleets that are cut, larger ones too in long runs by hand.
func cutSizes() []fleetSize {
	sizes := []fleetSize{{7, 3}, {20, 4}}
	if *boundSeeds > 1 {
		sizes = append(sizes, fleetSize{60, 4})
	}
	return sizes
}

// Guards against callers who are refused at an instance that has lost its path to the backend servers,
// while other instances reach them.
func TestCallersAtCutInstancesAreServed(t *testing.T) {
	t.Parallel()
	for _, size := range cutSizes() {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		for _, mode := range []cutMode{cutSilent, cutReset, cutRefusing} {
			for _, scope := range cutScopes {
				t.Run(fmt.Sprintf("%v, %s, %s", size, scope.name, mode), func(t *testing.T) {
					t.Parallel()
					for seed := range *boundSeeds {
						requireServedThroughCut(t, size, uint64(51+seed), mode, scope)
					}
				})
			}
		}
	}
}

// maxHopelessWait is the time within which a request is to be refused that no instance can serve: two
// attempts to connect and the time between.
const maxHopelessWait = 2*cutDialTimeout + 50*time.Millisecond

// Guards against callers who wait for one dial after the other while no instance reaches a server, and
// against instances that do not serve again at once when they do.
func TestRequestsThatNoInstanceCanServeAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for _, mode := range []cutMode{cutSilent, cutReset, cutRefusing} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(fleetSize{7, 3}, 71, mode)
			f.callers(100*time.Millisecond, 25*time.Second)
			f.run(5 * time.Second)
			cutAt := f.now
			f.cut(f.instances, allServers)
			f.run(40 * time.Second)
			var waits []time.Duration
			for _, s := range f.tries {
				if s.at.Before(cutAt.Add(cutContact)) || !s.at.Before(cutAt.Add(cutLasts-time.Second)) || s.answered {
					continue
				}
				waits = append(waits, s.ended.Sub(s.at))
			}
			slices.Sort(waits)
			require.NotEmpty(t, waits)
			late := len(waits) - sort.Search(len(waits), func(i int) bool { return waits[i] > maxHopelessWait })
			t.Logf("%d refused, median after %v, last after %v, %d late", len(waits), waits[len(waits)/2], waits[len(waits)-1], late)
			require.LessOrEqual(t, late, len(waits)/50)
			_, refused := f.falseAnswers()
			require.Zero(t, refused)
			healed := firstTries{}
			for _, s := range f.tries {
				if s.at.After(cutAt.Add(cutLasts + time.Second)) {
					healed.sent++
					if s.answered {
						healed.served++
					}
				}
			}
			require.Greater(t, healed.share(), 1-maxCutDisadvantage)
		})
	}
}

func requireServedThroughCut(t *testing.T, size fleetSize, seed uint64, mode cutMode, scope cutScope) {
	t.Helper()
	f := newCutFleet(size, seed, mode)
	f.callers(100*time.Millisecond, 25*time.Second)
	f.run(5 * time.Second)
	cutAt, instances := f.now, scope.instances(f)
	f.cut(instances, scope.servers)
	f.run(40 * time.Second)

	isCut := func(m *fakeInstance) bool { return slices.Contains(instances, m) }
	there := f.firstTriesOf(cutAt, isCut)
	elsewhere := f.firstTriesOf(cutAt, func(m *fakeInstance) bool { return !isCut(m) })
	t.Logf("seed %d: cut instances served %d of %d first tries, the others %d of %d", seed, there.served, there.sent, elsewhere.served, elsewhere.sent)
	require.Greater(t, there.sent, 100)
	require.GreaterOrEqual(t, there.share(), elsewhere.share()-maxCutDisadvantage, "callers at cut instances must be served as well as elsewhere")
	twice, refused := f.falseAnswers()
	require.Zero(t, twice, "requests that may run once ran twice")
	require.Zero(t, refused, "requests that had run were refused as not run")
	require.Zero(t, f.blocked, "no request ends a server")
}
