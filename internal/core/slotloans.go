package core

import (
	"cmp"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/headroom"
	"github.com/ebonydyke/ebonydyke/internal/core/peerask"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// Where servers must not reject requests, each slot that is dealt out has one owner. An instance without a free
// slot of its own asks an owner for one: it may get more requests than others, and there may be fewer slots than
// instances. The invariant: as long as instances agree on the owners, a slot never has two requests.

const (
	// slotTimeout is how long a request waits for an owner's answer.
	slotTimeout = 50 * time.Millisecond
	// maxSlotAsks is the number of owners that a request asks.
	maxSlotAsks = 3
)

// counterSlotLoans counts the answers of owners, by result, and the requests that use a loan again.
const counterSlotLoans = "slot_loans"

// SlotAction is what a SlotMessage does.
type SlotAction uint8

// The actions.
const (
	// AskSlot asks for a slot.
	AskSlot SlotAction = iota + 1
	// GrantSlot and DenySlot answer.
	GrantSlot
	DenySlot
	// ReturnSlot returns a slot that was granted.
	ReturnSlot
)

// SlotMessage is about one slot of a backend server.
type SlotMessage struct {
	Action SlotAction `json:"action"`
	Server string     `json:"server,omitempty"`
	// Token identifies the loan among those of the borrower.
	Token uint64 `json:"token"`
	// Hold is the longest time for which the slot is needed.
	Hold time.Duration `json:"hold,omitempty"`
	// AnyServer is set on a question if a slot of another server of the same service will do. The answer then names
	// the server.
	AnyServer bool `json:"any_server,omitempty"`
}

// slotAsk is a question for a slot, on behalf of a request.
type slotAsk struct {
	request RequestID
	loan    *headroom.Loan
	// send is the attempt to send when the slot is granted.
	send SendAttempt
}

// slotState is what an instance knows of slots that are lent.
type slotState struct {
	loans    *headroom.Loans
	borrower *headroom.Borrower
	// asks are the questions without an answer.
	asks peerask.Questions[*slotAsk]
}

func newSlotState(incarnation uint64) slotState {
	return slotState{loans: headroom.NewLoans(), borrower: headroom.NewBorrower(), asks: peerask.New[*slotAsk](incarnation)}
}

// borrowSlot sends a request that found no slot on one that is borrowed already, or asks an owner for one. It
// reports whether it did.
func (n *Node) borrowSlot(r *request, e SendAttempt) bool {
	p := n.pool(r.service.Name)
	if !p.marksFull {
		return false
	}
	service := n.limitedService(p)
	if n.headroom.RuleFor(&service, n.now) == headroom.AnyFree {
		return false
	}
	return n.reuseLoan(r, p, e) || n.askOwner(r, p, &service, e)
}

// reuseLoan sends a request on a borrowed slot on which none runs, and reports whether there was one.
func (n *Node) reuseLoan(r *request, p *pool, e SendAttempt) bool {
	choice := n.routingChoice(r, p)
	loan := n.slots.borrower.Reuse(p.service, r.deadline, func(server string) bool {
		i, ok := p.index[server]
		return ok && !p.candidates[i].Unreachable && !p.candidates[i].Cold && choice.Permits(&p.candidates[i])
	})
	if loan == nil {
		return false
	}
	n.emit(Counted{Counter: counterSlotLoans, Label: "reused", N: 1})
	n.sendOnLoan(r, p, loan, e)
	return true
}

// sendOnLoan sends a request on a borrowed slot.
func (n *Node) sendOnLoan(r *request, p *pool, loan *headroom.Loan, e SendAttempt) {
	r.loan, r.slotAsks = loan, 0
	n.slots.loans.Borrowed(loan.Server)
	n.sendTo(r, &p.candidates[p.index[loan.Server]], e)
}

// askOwner asks an owner for a slot for a request, and reports whether there is one to ask.
func (n *Node) askOwner(r *request, p *pool, service *headroom.Service, e SendAttempt) bool {
	if r.slotAsks >= maxSlotAsks {
		return false
	}
	owner, c := n.chooseSlotOwner(r, p, service)
	if c == nil {
		return false
	}
	r.slotAsks++
	// The owner knows neither which version the request needs nor in which regions it may run.
	anyServer := r.software == nil && !r.zones.Restricted()
	loan := n.slots.borrower.Ask(owner, p.service, c.Name, anyServer, r.deadline, n.now)
	ask := &slotAsk{request: r.arrived.Request, loan: loan, send: e}
	loan.Token = n.slots.asks.Ask(owner, ask)
	r.slotAsk = ask
	n.sendSlot(owner, SlotMessage{Action: AskSlot, Server: c.Name, Token: loan.Token, Hold: loan.Hold, AnyServer: loan.AnyServer})
	n.schedule(n.now.Add(slotTimeout), r, func(n *Node, _ *request) { n.slotAskTimedOut(ask) })
	return true
}

// chooseSlotOwner returns a random one of the instances that own a slot of a server at which the request may run,
// and the server. An owner without a link is not asked, but linked for the next request.
func (n *Node) chooseSlotOwner(r *request, p *pool, service *headroom.Service) (string, *routing.Candidate) {
	names := n.liveInstances()
	choice := n.routingChoice(r, p)
	var owner string
	var chosen *routing.Candidate
	count := 0
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.Unreachable || c.Cold || !choice.Permits(c) || c.Slots == 0 {
			continue
		}
		server := n.limitedServer(c)
		for _, index := range service.Owners(&server) {
			name := names[index]
			if !n.asksOwner(name) {
				continue
			}
			count++
			if n.random.IntN(count) == 0 {
				owner, chosen = name, c
			}
		}
	}
	return owner, chosen
}

// asksOwner reports whether an instance can be asked for a slot, and requests a link to it if that is missing.
func (n *Node) asksOwner(name string) bool {
	switch {
	case name == n.settings.Name, !n.streams.directory.Keeps(name), !n.slots.borrower.Asks(name, n.now):
		return false
	case n.peerConnectedTo(name):
		return true
	default:
		n.requestLink(name)
		return false
	}
}

func (n *Node) sendSlot(to string, m SlotMessage) {
	n.emit(SendPeer{To: to, Message: PeerMessage{Slot: &m}})
}

// peerSlot handles a message about a slot.
func (n *Node) peerSlot(from string, m *SlotMessage) {
	switch m.Action {
	case AskSlot:
		n.lendSlot(from, m)
	case GrantSlot:
		n.slotGranted(from, m)
	case DenySlot:
		if ask, ok := n.slots.asks.Take(from, m.Token); ok {
			n.emit(Counted{Counter: counterSlotLoans, Label: "denied", N: 1})
			n.slots.borrower.Denied(ask.loan, n.now)
			n.askNextOwner(ask)
		}
	case ReturnSlot:
		n.slots.loans.Return(headroom.LoanKey{Borrower: from, Token: m.Token})
	}
}

// lendSlot lends a slot of this instance if one is free.
func (n *Node) lendSlot(borrower string, m *SlotMessage) {
	answer := SlotMessage{Action: DenySlot, Token: m.Token}
	if server := n.slotToLend(m); server != "" {
		answer.Action, answer.Server = GrantSlot, server
		n.slots.loans.Lend(headroom.LoanKey{Borrower: borrower, Token: m.Token}, server, m.Hold, n.now)
	}
	n.sendSlot(borrower, answer)
}

// slotToLend returns the server of which this instance lends a slot, "" if it has none to lend: the server that
// the question names, or else, if any will do, one of the same service with the lowest load.
func (n *Node) slotToLend(m *SlotMessage) string {
	p := n.poolByBackend[m.Server]
	if p == nil {
		return ""
	}
	n.headroom.SeemsFull(p.service, n.now)
	service := n.limitedService(p)
	hasFree := func(c *routing.Candidate) bool {
		server := n.limitedServer(c)
		return service.HasFreeSlot(&server)
	}
	best := p.index[m.Server]
	if hasFree(&p.candidates[best]) {
		return m.Server
	}
	best = routing.None
	for i := range p.candidates {
		c := &p.candidates[i]
		if m.AnyServer && !c.Unreachable && !c.Cold && hasFree(c) && (best == routing.None || c.Load < p.candidates[best].Load) {
			best = i
		}
	}
	if best == routing.None {
		return ""
	}
	return p.candidates[best].Name
}

// slotGranted sends the request that waited for the slot. A slot that is not needed any more is returned.
func (n *Node) slotGranted(from string, m *SlotMessage) {
	ask, ok := n.slots.asks.Take(from, m.Token)
	if !ok {
		n.sendSlot(from, SlotMessage{Action: ReturnSlot, Token: m.Token})
		return
	}
	n.emit(Counted{Counter: counterSlotLoans, Label: "granted", N: 1})
	// Earlier versions name no server: they lend a slot of the one that was asked for.
	ask.loan.Server = cmp.Or(m.Server, ask.loan.Server)
	r := n.requests[ask.request]
	p := n.poolByBackend[ask.loan.Server]
	unusable := p == nil || p.service != ask.loan.Service || p.find(ask.loan.Server).Unreachable || n.isCold(ask.loan.Server)
	if r == nil || r.slotAsk != ask || unusable || !n.serverAllowed(r, ask.loan.Server) {
		n.sendSlot(from, SlotMessage{Action: ReturnSlot, Token: m.Token})
		n.askNextOwner(ask)
		return
	}
	r.slotAsk = nil
	n.sendOnLoan(r, p, ask.loan, ask.send)
}

// releaseSlot keeps the borrowed slot on which an attempt ran that has ended for the next request, or returns it.
func (n *Node) releaseSlot(r *request) {
	if r.loan == nil {
		return
	}
	n.slots.loans.Released(r.loan.Server)
	if !n.slots.borrower.Ended(r.loan, n.now.Sub(r.sentAt), n.now) {
		n.returnLoan(r.loan)
	}
	r.loan = nil
}

func (n *Node) returnLoan(loan *headroom.Loan) {
	n.sendSlot(loan.Owner, SlotMessage{Action: ReturnSlot, Token: loan.Token})
}

func (n *Node) slotAskTimedOut(ask *slotAsk) {
	if _, ok := n.slots.asks.Take(ask.loan.Owner, ask.loan.Token); !ok {
		return
	}
	n.emit(Counted{Counter: counterSlotLoans, Label: "timed-out", N: 1})
	n.slots.borrower.Silent(ask.loan, n.now)
	n.askNextOwner(ask)
}

// askNextOwner asks another owner for the request, or refuses it.
func (n *Node) askNextOwner(ask *slotAsk) {
	r := n.requests[ask.request]
	if r == nil || r.slotAsk != ask {
		return
	}
	r.slotAsk = nil
	if !n.borrowSlot(r, ask.send) {
		n.giveUp(r, n.pool(r.service.Name).evacuatedOr(reason.Saturated))
	}
}

// tickSlots returns the borrowed slots that no request uses, ends the loans whose borrowers have not returned the
// slot in time, and forgets the questions of requests that have ended.
func (n *Node) tickSlots() {
	for _, loan := range n.slots.borrower.TakeUnused(n.now) {
		n.returnLoan(loan)
	}
	n.slots.loans.Expire(n.now)
	n.slots.asks.DeleteFunc(func(ask *slotAsk) bool { return n.requests[ask.request] == nil })
}
