package core

import (
	"github.com/ebonydyke/ebonydyke/internal/core/quarantine"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// countFault counts bytes that are no response as a fault of the server of an attempt, once.
func (n *Node) countFault(r *request) {
	if r.faulty {
		return
	}
	r.faulty = true
	n.countFaultOf(r.backend)
}

// countFaultOf counts bytes that are no response as a fault of a server.
func (n *Node) countFaultOf(backend string) {
	if n.quarantine.Fault(backend, n.now) {
		n.emit(StateChanged{Subject: SubjectBackend, Name: backend, State: "ejected", Cause: "what it sends is no response"})
	}
}

// countResponse counts the response of an attempt that has ended as a fault of its server, or as a sound one whatever it says.
func (n *Node) countResponse(r *request, e *AttemptEnded) {
	switch {
	case e.Malformed:
		n.countFault(r)
	case e.Outcome == retry.Answered, e.Outcome == retry.Failed, e.Outcome == retry.Refused:
		if n.quarantine.Answered(r.backend) {
			n.emit(StateChanged{Subject: SubjectBackend, Name: r.backend, State: "sound", Cause: "it has sent a whole response"})
		}
	}
}

// markEjected marks the candidates that get no requests while others can serve them. It is called before each placement.
func (n *Node) markEjected(p *pool) {
	if n.quarantine.Empty() && !p.marksEjected {
		return
	}
	p.marksEjected = !n.quarantine.Empty()
	for i := range p.candidates {
		c := &p.candidates[i]
		state := n.quarantine.StateOf(c.Name, n.now)
		c.Ejected = state == quarantine.Ejected || state == quarantine.OnTrial && n.load.Parts(c.Name).Own > 0
	}
}
