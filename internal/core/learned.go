package core

import "github.com/ebonydyke/ebonydyke/internal/core/membership"

// Subject is what an instance has learnt something of.
type Subject string

// The subjects.
const (
	// OfBackend is a backend server: its state, and whether it can be reached.
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

// Learned says that this instance believes something else than before, for the log:
// what a later decision rests on can be found there.
type Learned struct {
	Subject Subject `json:"subject"`
	Name    string  `json:"name,omitempty"`
	// State is the new belief.
	State string `json:"state"`
	// Service and Address are those of a backend server.
	Service string `json:"service,omitempty"`
	Address string `json:"address,omitempty"`
	// Revision is the store's revision that tells so, where it was an entry, and
	// Incarnation that of the process that is meant.
	Revision    uint64 `json:"revision,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Cause is what tells so.
	Cause string `json:"cause,omitempty"`
}

// EffectName names the effect in session files.
func (Learned) EffectName() string { return "learned" }

// learnedMember says what is now believed of an instance or a backend server.
func (n *Node) learnedMember(name string) {
	in := n.view.Get(name)
	if in == nil {
		return
	}
	subject := OfBackend
	if in.Role == membership.Entry {
		subject = OfInstance
	}
	n.emit(Learned{
		Subject: subject, Name: name, State: string(in.State), Service: in.Service, Address: in.Address,
		Revision: n.backends.known(name), Incarnation: in.Incarnation,
	})
}
