package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// Subject is the kind of object whose state has changed.
type Subject string

// Values of Subject.
const (
	// OfBackend is a backend server: its state, and whether it is reachable.
	OfBackend Subject = "backend server"
	// OfInstance is another instance of the fleet.
	OfInstance Subject = "instance"
	// OfLink is the link to another instance.
	OfLink Subject = "link"
	// OfStore is the platform's store.
	OfStore Subject = "store"
	// OfZone is an availability zone.
	OfZone Subject = "zone"
)

// Learned reports that this instance's view of an object has changed. It is written to the log,
// so that the facts behind later decisions can be looked up there.
type Learned struct {
	Subject Subject `json:"subject"`
	Name    string  `json:"name,omitempty"`
	// Names replaces Name if several objects change to the same state at once.
	Names []string `json:"names,omitempty"`
	// State is the new state.
	State string `json:"state"`
	// Service and Address are set for a backend server.
	Service string `json:"service,omitempty"`
	Address string `json:"address,omitempty"`
	// Revision is the store revision of the entry that reports the change, if any. Incarnation
	// is that of the process concerned.
	Revision    uint64 `json:"revision,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Cause is the reason for the change.
	Cause string `json:"cause,omitempty"`
}

// EffectName returns the effect's name in session files.
func (Learned) EffectName() string { return "learned" }

// manyMembers is the number of changes from one call or message from which they are logged as
// one line per state. At startup there can be hundreds, and callers wait while the lines are
// written.
const manyMembers = 8

// learnedMembers logs the new states of instances and backend servers.
func (n *Node) learnedMembers(names []string) {
	if len(names) < manyMembers {
		for _, name := range names {
			n.learnedMember(name)
		}
		return
	}
	type kind struct {
		subject Subject
		state   membership.State
	}
	groups := make(map[kind][]string)
	for _, name := range names {
		if in := n.view.Get(name); in != nil {
			k := kind{subjectOf(in), in.State}
			groups[k] = append(groups[k], name)
		}
	}
	kinds := slices.SortedFunc(maps.Keys(groups), func(a, b kind) int {
		return cmp.Or(cmp.Compare(a.subject, b.subject), cmp.Compare(a.state, b.state))
	})
	for _, k := range kinds {
		slices.Sort(groups[k])
		n.emit(Learned{Subject: k.subject, Names: groups[k], State: string(k.state), Revision: n.backends.newestEntry})
	}
}

// learnedMember logs the new state of an instance or backend server.
func (n *Node) learnedMember(name string) {
	in := n.view.Get(name)
	if in == nil {
		return
	}
	n.emit(Learned{
		Subject: subjectOf(in), Name: name, State: string(in.State), Service: in.Service, Address: in.Address,
		Revision: n.backends.known(name), Incarnation: in.Incarnation,
	})
}

func subjectOf(in *membership.Instance) Subject {
	if in.Role == membership.Entry {
		return OfInstance
	}
	return OfBackend
}
