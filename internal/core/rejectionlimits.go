package core

import (
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/headroom"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// recordRejectionLimit records the limit on its rejections that a backend server's answer announces, 0 if
// none.
func (n *Node) recordRejectionLimit(r *request, limit int) {
	if !n.headroom.Answered(r.service.Name, limit, r.sentAt, n.now) {
		return
	}
	change := StateChanged{Subject: SubjectService, Name: r.service.Name, State: "rejections limited", Cause: "its servers fail if they must reject requests"}
	if limit == 0 {
		change.State, change.Cause = "rejections not limited", "an answer announces no limit"
	}
	n.emit(change)
}

// recordRejection records an attempt that a backend server has answered or rejected.
func (n *Node) recordRejection(r *request, outcome retry.Outcome, limit int) {
	switch outcome {
	case retry.Answered, retry.Failed:
		n.recordRejectionLimit(r, limit)
	case retry.Refused:
		n.recordRejectionLimit(r, limit)
		if n.headroom.IsLimited(r.service.Name, n.now) {
			n.headroom.SeemsFull(r.service.Name, n.now)
		}
	}
}

// markFull marks the backend servers of a limited service to which this instance must not send another
// request. It is called before each placement.
func (n *Node) markFull(p *pool) {
	isLimited := n.headroom.IsLimited(p.service, n.now)
	if !isLimited && !p.marksFull {
		return
	}
	p.marksFull = isLimited
	service := n.limitedService(p)
	rule := n.headroom.RuleFor(&service, n.now)
	for i := range p.candidates {
		c := &p.candidates[i]
		server := n.limitedServer(c)
		// A server that tells no slots gives nothing to divide.
		c.Full = isLimited && c.Slots > 0 && !rule.Permits(&server, &service)
	}
}

// limitedService returns what this instance sees of a limited service.
func (n *Node) limitedService(p *pool) headroom.Service {
	names := n.liveInstances()
	service := headroom.Service{
		Name: p.service, Index: slices.Index(names, n.settings.Name), Instances: len(names),
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.Unreachable {
			continue
		}
		service.Servers++
		service.Slots += int(c.Slots)
		service.Load += c.Load
		service.Own += n.load.Own(c.Name)
	}
	return service
}

// limitedServer returns what this instance knows of a backend server of a limited service.
func (n *Node) limitedServer(c *routing.Candidate) headroom.Server {
	return headroom.Server{
		Hash: c.Hash, Slots: int(c.Slots), Load: c.Load, Own: n.load.Own(c.Name),
		Lent: n.slots.loans.LentAt(c.Name), Borrowed: n.slots.loans.BorrowedAt(c.Name),
	}
}
