package core

import (
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/peerask"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
	"github.com/ebonydyke/ebonydyke/internal/core/warmup"
)

// Each request to a cold server needs a permit of the instance that issues them for that server. It asks once per attempt, and
// goes to a warm server if it gets none.

// maxResumeAsks is the number of times that a broken stream asks for a permit for the only server that can resume it. With
// resumePause between them, they extend over two windows of the issuer.
const maxResumeAsks = 5

// counterPermitAsks counts the questions of this instance by result, and counterPermits its answers as the issuer.
const (
	counterPermitAsks = "permit_asks"
	labelPermitted    = "granted"
	labelDenied       = "denied"
	labelTimedOut     = "timed-out"
	labelUnused       = "unused"
	labelOwn          = "own"
	labelOwnDenied    = "own-denied"

	counterPermits      = "permits"
	labelUnknownServer  = "unknown-server"
	labelNotIssuer      = "not-issuer"
	labelLimitExhausted = "limit"
)

// PermitAction is what a PermitMessage does.
type PermitAction uint8

// The actions.
const (
	// AskPermit asks for one request.
	AskPermit PermitAction = iota + 1
	// GrantPermit and DenyPermit answer.
	GrantPermit
	DenyPermit
)

// PermitMessage is about one request to a backend server that warms up.
type PermitMessage struct {
	Action PermitAction `json:"action"`
	Server string       `json:"server,omitempty"`
	// Token identifies the question among those of the instance that asks.
	Token uint64 `json:"token"`
}

// permitAsk is a question for a permit, on behalf of a request.
type permitAsk struct {
	warmup.Ask
	// token identifies the question among those of this instance.
	token   uint64
	request RequestID
	// send is the attempt to send when the permit is granted, and resumes is set if only this server can serve it.
	send    SendAttempt
	resumes bool
	// sent is set once the question was sent: the issuer may have to be linked first.
	sent bool
}

// permitState is what an instance knows of permits.
type permitState struct {
	issuer  *warmup.Issuer
	asker   *warmup.Asker
	ranking warmup.Ranking
	// rankedSeq is the view's sequence number from which ranking was set, provided that ranked is set.
	rankedSeq uint64
	ranked    bool
	// asks are the questions without an answer.
	asks peerask.Questions[*permitAsk]
}

func newPermitState(incarnation uint64) permitState {
	return permitState{issuer: warmup.NewIssuer(), asker: warmup.NewAsker(), asks: peerask.New[*permitAsk](incarnation)}
}

// knowsInstances reports whether this instance has learned which other instances exist.
func (n *Node) knowsInstances() bool {
	return !n.joining() && (!n.members.readAt.IsZero() || n.view.Seq() > 0)
}

// rankIssuers updates the list of the instances that may issue permits if the view has changed.
func (n *Node) rankIssuers() {
	s := &n.cold.permits
	if !n.knowsInstances() {
		s.ranking.Forget()
		s.ranked = false
		return
	}
	if s.ranked && s.rankedSeq == n.view.Seq() {
		return
	}
	s.ranked, s.rankedSeq = true, n.view.Seq()
	names := n.liveInstances()
	list := make([]warmup.Instance, 0, len(names))
	for _, name := range names {
		zone := n.settings.Zone
		if member := n.view.Get(name); member != nil && name != n.settings.Name {
			zone = member.Zone
		}
		list = append(list, warmup.Instance{Name: name, Zone: zone})
	}
	s.ranking.Set(list, n.now)
}

// permitPeerConnected records whether a peer issues permits, and sends the questions that waited for its link.
func (n *Node) permitPeerConnected(e PeerConnected) {
	s := &n.cold.permits
	if s.ranking.Exclude(e.Peer, e.NoPermits) {
		s.ranked = false
		n.rankIssuers()
	}
	for _, ask := range s.asks.To(e.Peer) {
		if !ask.sent {
			n.sendPermitAsk(ask)
		}
	}
}

// issuerOf returns the instance that permits requests to a server, "" if it is not known.
func (n *Node) issuerOf(c *routing.Candidate) string {
	return n.cold.permits.ranking.Issuer(c.Name, c.Zone)
}

// pickServer returns the index of the server for the request's next attempt. A cold one is returned only if a permit is to be
// asked for.
func (n *Node) pickServer(r *request, p *pool, choice *routing.Choice) int {
	isTrial := r.poison.IsTrial && r.software == nil
	switch {
	case isTrial:
		return p.leastLoaded(r)
	case p.coldCount == 0:
		return routing.Pick(p.candidates, choice)
	default:
		return routing.PickWithCold(p.candidates, choice, func(c *routing.Candidate) bool { return n.mayAskPermit(r, c) })
	}
}

// mayAskPermit reports whether a request may ask for a permit for a server. An issuer outside the layout is linked for the
// question; one inside whose link is down cannot be reached.
func (n *Node) mayAskPermit(r *request, c *routing.Candidate) bool {
	if r.warmOnly || !n.cold.permits.asker.Asks(c.Name, n.now) {
		return false
	}
	issuer := n.issuerOf(c)
	if n.contactLost(n.zoneOfInstance(issuer)) {
		return false
	}
	return issuer != "" && (issuer == n.settings.Name || n.peerConnectedTo(issuer) || !n.inLayout(issuer))
}

// askPermit sends an attempt to a cold server if this instance may permit it, or asks the issuer.
func (n *Node) askPermit(r *request, c *routing.Candidate, e SendAttempt, resumes bool) {
	s := &n.cold.permits
	issuer := n.issuerOf(c)
	ask := &permitAsk{Ask: s.asker.Ask(c.Name, issuer, n.now), request: r.arrived.Request, send: e, resumes: resumes}
	switch {
	case issuer == n.settings.Name && n.issuePermit(c.Name):
		n.emit(Counted{Counter: counterPermitAsks, Label: labelOwn, N: 1})
		n.sendPermitted(r, c, ask)
		return
	case issuer == n.settings.Name:
		n.emit(Counted{Counter: counterPermitAsks, Label: labelOwnDenied, N: 1})
		n.placeElsewhere(r, ask)
		return
	case issuer == "":
		n.placeElsewhere(r, ask)
		return
	}
	ask.token = s.asks.Ask(issuer, ask)
	r.permitAsk = ask
	if n.peerConnectedTo(issuer) {
		n.sendPermitAsk(ask)
	} else {
		n.requestLinkAtOnce(issuer)
	}
	n.schedule(n.now.Add(warmup.AskTimeout), r, func(n *Node, _ *request) { n.permitAskTimedOut(ask) })
}

func (n *Node) sendPermitAsk(ask *permitAsk) {
	ask.At, ask.sent = n.now, true
	n.sendPermit(ask.Issuer, PermitMessage{Action: AskPermit, Server: ask.Server, Token: ask.token})
}

func (n *Node) sendPermit(to string, m PermitMessage) {
	n.emit(SendPeer{To: to, Message: PeerMessage{Permit: &m}})
}

// sendPermitted sends the request to the server for which it has a permit.
func (n *Node) sendPermitted(r *request, c *routing.Candidate, ask *permitAsk) {
	r.permitIssuer = ask.Issuer
	if ask.resumes {
		n.send(r, ask.send)
		return
	}
	n.sendTo(r, c, ask.send)
}

// placeElsewhere sends a request that got no permit to a warm server, or refuses it.
func (n *Node) placeElsewhere(r *request, ask *permitAsk) {
	if ask.resumes {
		n.resumeLater(r)
		return
	}
	r.warmOnly = true
	n.placeAndSend(r, ask.send)
}

// peerPermit handles a message about a permit. One with an unknown action is ignored.
func (n *Node) peerPermit(from string, m *PermitMessage) {
	switch m.Action {
	case AskPermit:
		answer := PermitMessage{Action: DenyPermit, Token: m.Token}
		if n.issuePermit(m.Server) {
			answer.Action = GrantPermit
		}
		n.sendPermit(from, answer)
	case GrantPermit:
		n.permitGranted(from, m)
	case DenyPermit:
		if ask, ok := n.cold.permits.asks.Take(from, m.Token); ok {
			n.emit(Counted{Counter: counterPermitAsks, Label: labelDenied, N: 1})
			n.cold.permits.asker.Denied(ask.Server, n.now)
			n.permitMissed(ask)
		}
	}
}

// issuePermit grants a request to a server if this instance is its issuer and the limit permits.
func (n *Node) issuePermit(backend string) bool {
	label := n.decidePermit(backend)
	n.emit(Counted{Counter: counterPermits, Label: label, N: 1})
	return label == labelPermitted
}

// decidePermit returns the label of the decision about a permit. A server that this instance holds for warm gets permits as
// well: the one that asks may know better.
func (n *Node) decidePermit(backend string) string {
	s := &n.cold.permits
	limits, p := n.limitsOfServer(backend)
	switch {
	case p == nil:
		return labelUnknownServer
	case n.lifecycle.stopping, !s.ranking.Held(backend, p.find(backend).Zone, n.settings.Name, n.now):
		n.learnIssuer(p.find(backend))
		return labelNotIssuer
	case !s.issuer.Grant(backend, limits.Permits(n.cold.servers.Ends(backend, n.now)), n.now):
		return labelLimitExhausted
	default:
		return labelPermitted
	}
}

// learnIssuer links the instance that this one takes for a server's issuer, if others do not: it may be of an earlier build that
// issues none, which the link tells.
func (n *Node) learnIssuer(c *routing.Candidate) {
	if issuer := n.issuerOf(c); issuer != "" && issuer != n.settings.Name && !n.peerConnectedTo(issuer) {
		n.requestLink(issuer)
	}
}

// permitGranted sends the request that waited for the permit. A permit that is late or not needed any more is lost: the issuer
// has counted the request for the second in which it was granted.
func (n *Node) permitGranted(from string, m *PermitMessage) {
	ask, ok := n.cold.permits.asks.Take(from, m.Token)
	if !ok {
		n.emit(Counted{Counter: counterPermitAsks, Label: labelUnused, N: 1})
		return
	}
	r, p := n.requests[ask.request], n.poolByBackend[ask.Server]
	usable := r != nil && r.permitAsk == ask && p != nil && p.service == r.service.Name && !p.find(ask.Server).Unreachable
	if !usable || !ask.InTime(n.now) {
		n.emit(Counted{Counter: counterPermitAsks, Label: labelUnused, N: 1})
		n.permitMissed(ask)
		return
	}
	n.emit(Counted{Counter: counterPermitAsks, Label: labelPermitted, N: 1})
	r.permitAsk = nil
	n.sendPermitted(r, p.find(ask.Server), ask)
}

func (n *Node) permitAskTimedOut(ask *permitAsk) {
	if _, ok := n.cold.permits.asks.Take(ask.Issuer, ask.token); !ok {
		return
	}
	n.emit(Counted{Counter: counterPermitAsks, Label: labelTimedOut, N: 1})
	n.cold.permits.asker.Silent(ask.Server, n.now)
	n.permitMissed(ask)
}

// permitMissed places a request elsewhere that got no permit, unless it has ended.
func (n *Node) permitMissed(ask *permitAsk) {
	r := n.requests[ask.request]
	if r == nil || r.permitAsk != ask {
		return
	}
	r.permitAsk = nil
	n.placeElsewhere(r, ask)
}

// isCold reports whether a backend server needs permits.
func (n *Node) isCold(backend string) bool {
	p := n.poolByBackend[backend]
	return p != nil && p.coldCount > 0 && p.candidates[p.index[backend]].Cold
}

// resumeLater asks again for a permit for the only server that can resume a stream.
func (n *Node) resumeLater(r *request) {
	if r.resumeAsks >= maxResumeAsks {
		n.giveUp(r, reason.BrokenStream)
		return
	}
	n.schedule(n.now.Add(resumePause), r, (*Node).resumeOnSameBackend)
}

// tickPermits updates the list of issuers and forgets what no request waits for.
func (n *Node) tickPermits() {
	n.rankIssuers()
	s := &n.cold.permits
	s.issuer.Expire(n.now)
	s.asker.Expire(n.now)
	s.asks.DeleteFunc(func(ask *permitAsk) bool { return n.requests[ask.request] == nil })
	s.ranking.Expire(func(name string) bool {
		member := n.view.Get(name)
		return member != nil && member.State != membership.Gone
	})
}
