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
	// SubjectBackend is a backend server: its state, and whether it is reachable.
	SubjectBackend Subject = "backend server"
	// SubjectInstance is another instance of the fleet.
	SubjectInstance Subject = "instance"
	// SubjectLink is the link to another instance.
	SubjectLink Subject = "link"
	// SubjectStore is the platform's store.
	SubjectStore Subject = "store"
	// SubjectZone is an availability zone.
	SubjectZone Subject = "zone"
	// SubjectRegion is a region, which holds zones.
	SubjectRegion Subject = "region"
	// SubjectService is a service.
	SubjectService Subject = "service"
	// SubjectPath is this instance's own path to a backend server.
	SubjectPath Subject = "path to backend server"
	// SubjectRequest is the requests of a customer with the same content.
	SubjectRequest Subject = "request content"
	// SubjectPromptPart is a part of prompts that requests share.
	SubjectPromptPart Subject = "prompt part"
)

// StateChanged reports that this instance's view of an object has changed. It is written to the
// log, so that the facts behind later decisions can be looked up there.
type StateChanged struct {
	Subject Subject `json:"subject"`
	Name    string  `json:"name,omitempty"`
	// Names replaces Name if several objects change to the same state at once.
	Names []string `json:"names,omitempty"`
	// State is the new state.
	State string `json:"state"`
	// Service, Address and Version are set for a backend server.
	Service string `json:"service,omitempty"`
	Address string `json:"address,omitempty"`
	Version string `json:"version,omitempty"`
	// Revision is the store revision of the entry that reports the change, if any. Incarnation
	// is that of the process concerned.
	Revision    uint64 `json:"revision,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Cause is the reason for the change.
	Cause string `json:"cause,omitempty"`
}

// EffectName returns the effect's name in session files.
func (StateChanged) EffectName() string { return "learned" }

// groupedLogThreshold is the number of changes from one call or message from which they are
// logged as one line per state. At startup there can be hundreds, and callers wait while the
// lines are written.
const groupedLogThreshold = 8

// logMemberStates logs the new states of instances and backend servers.
func (n *Node) logMemberStates(names []string) {
	if len(names) < groupedLogThreshold {
		for _, name := range names {
			n.logMemberState(name)
		}
		return
	}
	type kind struct {
		subject Subject
		state   membership.State
		version string
	}
	groups := make(map[kind][]string)
	for _, name := range names {
		if member := n.view.Get(name); member != nil {
			k := kind{subjectOf(member), member.State, member.Version}
			groups[k] = append(groups[k], name)
		}
	}
	kinds := slices.SortedFunc(maps.Keys(groups), func(a, b kind) int {
		return cmp.Or(cmp.Compare(a.subject, b.subject), cmp.Compare(a.state, b.state), cmp.Compare(a.version, b.version))
	})
	for _, k := range kinds {
		slices.Sort(groups[k])
		n.emit(StateChanged{Subject: k.subject, Names: groups[k], State: string(k.state), Version: k.version, Revision: n.backends.log.Newest()})
	}
}

// logMemberState logs the new state of an instance or backend server.
func (n *Node) logMemberState(name string) {
	member := n.view.Get(name)
	if member == nil {
		return
	}
	n.emit(StateChanged{
		Subject: subjectOf(member), Name: name, State: string(member.State), Service: member.Service, Address: member.Address, Version: member.Version,
		Revision: n.backends.log.Revision(name), Incarnation: member.Incarnation,
	})
}

func subjectOf(member *membership.Member) Subject {
	if member.Role == membership.RoleInstance {
		return SubjectInstance
	}
	return SubjectBackend
}
