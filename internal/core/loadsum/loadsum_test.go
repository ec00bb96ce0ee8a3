package loadsum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/mesh"
)

const engines = 20

func noneSilent(string) bool { return false }

// fleet simulates instances that exchange their full lists in rounds.
type fleet struct {
	members   []mesh.Member
	exchanges map[string]*Exchange
	layouts   map[string]*mesh.Layout
	own       map[string]map[string]int
	received  map[string]map[string]Loads
}

func newFleet(instances, zones int, crossZone bool) *fleet {
	f := &fleet{
		exchanges: make(map[string]*Exchange), layouts: make(map[string]*mesh.Layout),
		own: make(map[string]map[string]int), received: make(map[string]map[string]Loads),
	}
	for i := range instances {
		f.members = append(f.members, mesh.Member{Name: fmt.Sprintf("entry-%02d", i), Zone: fmt.Sprint("zone-", i%zones)})
	}
	random := rand.New(rand.NewPCG(1, uint64(instances)))
	for _, m := range f.members {
		f.own[m.Name] = map[string]int{fmt.Sprint("engine-", random.IntN(engines)): 1 + random.IntN(3)}
		f.received[m.Name] = make(map[string]Loads)
		f.layouts[m.Name] = mesh.New(m, f.members)
		own := func(yield func(string, int)) {
			for backend, inFlight := range f.own[m.Name] {
				yield(backend, inFlight)
			}
		}
		received := func(peer string) Loads { return f.received[m.Name][peer] }
		f.exchanges[m.Name] = New(m.Name, own, received)
		f.exchanges[m.Name].SetLayout(f.layouts[m.Name], noneSilent, crossZone)
	}
	return f
}

// round makes every instance send its loads to all of its peers.
func (f *fleet) round() {
	received := make(map[string]map[string]Loads)
	for _, m := range f.members {
		received[m.Name] = make(map[string]Loads)
	}
	for _, m := range f.members {
		for _, peer := range f.layouts[m.Name].Peers(noneSilent) {
			received[peer][m.Name] = f.exchanges[m.Name].LoadsFor(peer)
		}
	}
	f.received = received
}

// known returns the load at a backend server as one instance knows it.
func (f *fleet) known(name, backend string) int {
	sum := f.own[name][backend]
	for _, lists := range f.received[name] {
		sum += lists.Sum(backend)
	}
	return sum
}

// total returns the load of the instances of some zones at a backend server.
func (f *fleet) total(backend string, counts func(zone string) bool) int {
	sum := 0
	for _, m := range f.members {
		if counts(m.Zone) {
			sum += f.own[m.Name][backend]
		}
	}
	return sum
}

// A load that is counted twice makes a backend server look full; one that is left out makes it
// look idle.
func TestEachLoadReachesEachInstanceOnce(t *testing.T) {
	const steps = 4
	for _, size := range []struct{ instances, zones int }{{8, 3}, {11, 3}, {24, 5}, {30, 1}, {80, 4}} {
		for _, crossZone := range []bool{false, true} {
			f := newFleet(size.instances, size.zones, crossZone)
			for range steps {
				f.round()
			}
			for _, m := range f.members {
				multiHop := f.layouts[m.Name].MultiHop()
				for i := range engines {
					backend := fmt.Sprint("engine-", i)
					want := f.total(backend, func(zone string) bool { return crossZone || !multiHop || zone == m.Zone })
					require.Equal(t, want, f.known(m.Name, backend), "%s at %s, %v, cross-zone %t", backend, m.Name, size, crossZone)
				}
			}
		}
	}
}

// The receiver's lists must equal the sender's after each digest. A digest that omits a change
// would leave the peer with a load that has ended.
func TestReceivedLoadsEqualSentLoads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	sent, received := NewLoads(), NewLoads()
	for range 200 {
		now := NewLoads()
		for _, list := range []map[string]int{now.Own, now.RowSums, now.Totals} {
			for range random.IntN(5) {
				list[fmt.Sprint("engine-", random.IntN(engines))] = 1 + random.IntN(30)
			}
		}
		full := random.IntN(10) == 0
		counts := received.Apply(now.Diff(sent, full, false), full)
		require.Equal(t, now, received)
		for _, c := range counts {
			require.Equal(t, now.Sum(c.Backend), c.InFlight)
		}
	}
}

// While the byte budget is short, a small change is left out until it has grown. The end of a
// load is always sent.
func TestSmallChangesAreLeftOutOnShortBudget(t *testing.T) {
	sent := NewLoads()
	send := func(inFlight int) Changes {
		now := NewLoads()
		if inFlight > 0 {
			now.Own["engine-1"] = inFlight
		}
		return now.Diff(sent, false, true)
	}
	require.Len(t, send(20).Own, 1)
	c := send(22)
	require.Empty(t, c.Own)
	require.Equal(t, 1, c.Shed)
	require.Len(t, send(23).Own, 1, "grown to more than a tenth since it was sent")
	require.Equal(t, 0, send(0).Own[0].InFlight)
	require.Empty(t, slices.Collect(maps.Keys(sent.Own)))
}
