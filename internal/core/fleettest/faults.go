package fleettest

import (
	"time"
)

// NoInstance reports that an instance is not cut off from the platform.
func NoInstance(*FakeInstance) bool { return false }

// NoLinkCut reports that two instances can connect to each other.
func NoLinkCut(_, _ *FakeInstance) bool { return false }

// InstanceFault affects some instances for a time. Whatever it does to others, an instance that it
// does not affect stays healthy.
type InstanceFault struct {
	Name string
	// Apply begins the fault of the affected instances.
	Apply func(f *Fleet, affected map[*FakeInstance]bool, lasts time.Duration)
	// StaysHealthy is set if the affected instances still reach the store, so that the bound
	// holds for them as well.
	StaysHealthy bool
}

// InstanceFaults are the faults of instances, or of their connections, that tests combine with their own.
var InstanceFaults = []InstanceFault{
	{Name: "frozen", Apply: func(f *Fleet, affected map[*FakeInstance]bool, lasts time.Duration) {
		for m := range affected {
			m.FrozenUntil = f.Now.Add(lasts)
		}
	}},
	{Name: "cut off from the store without a sign", Apply: func(f *Fleet, affected map[*FakeInstance]bool, _ time.Duration) {
		f.PlatformCut = func(m *FakeInstance) bool { return affected[m] }
	}},
	{Name: "cut off from the store and the other instances", Apply: func(f *Fleet, affected map[*FakeInstance]bool, _ time.Duration) {
		f.PlatformCut = func(m *FakeInstance) bool { return affected[m] }
		f.LinkCut = func(a, b *FakeInstance) bool { return affected[a] || affected[b] }
	}},
	{Name: "cut off from the other instances only", StaysHealthy: true, Apply: func(f *Fleet, affected map[*FakeInstance]bool, _ time.Duration) {
		f.LinkCut = func(a, b *FakeInstance) bool { return affected[a] || affected[b] }
	}},
	{Name: "cut off from the others but not from each other", StaysHealthy: true, Apply: func(f *Fleet, affected map[*FakeInstance]bool, _ time.Duration) {
		f.LinkCut = func(a, b *FakeInstance) bool { return affected[a] != affected[b] }
	}},
	{Name: "heard by the others but not hearing them", StaysHealthy: true, Apply: func(f *Fleet, affected map[*FakeInstance]bool, _ time.Duration) {
		f.LinkCut = func(_, to *FakeInstance) bool { return affected[to] }
	}},
	{Name: "told nothing any more on open connections to the store", Apply: func(f *Fleet, affected map[*FakeInstance]bool, _ time.Duration) {
		f.Store.SilencedAt = f.Now
		for _, m := range f.Instances {
			affected[m] = true
		}
	}},
	{Name: "killed and restarted", Apply: func(f *Fleet, affected map[*FakeInstance]bool, lasts time.Duration) {
		for _, m := range f.Instances {
			if !affected[m] {
				continue
			}
			m.Dead = true
			f.Schedule(lasts, func() { f.Boot(m, "") })
		}
	}},
}
