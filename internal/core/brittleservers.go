package core

import (
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/brittle"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// recordRejectionLimit records the limit on its rejections that a backend server's answer announces, 0 if
// none.
func (n *Node) recordRejectionLimit(r *request, limit int) {
	if !n.brittle.Answered(r.service.Name, limit, r.sentAt, n.now) {
		return
	}
	change := StateChanged{Subject: SubjectService, Name: r.service.Name, State: "brittle", Cause: "its servers fail if they must reject requests"}
	if limit == 0 {
		change.State, change.Cause = "not brittle", "an answer announces no limit"
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
		if n.brittle.IsBrittle(r.service.Name, n.now) {
			n.brittle.Rejected(r.service.Name, n.now)
		}
	}
}

// markFull marks the backend servers of a brittle service to which this instance must not send another
// request. It is called before each placement.
func (n *Node) markFull(p *pool) {
	isBrittle := n.brittle.IsBrittle(p.service, n.now)
	if !isBrittle && !p.marksFull {
		return
	}
	p.marksFull = isBrittle
	service := n.brittleService(p)
	rule := n.brittle.RuleFor(&service, n.now)
	for i := range p.candidates {
		c := &p.candidates[i]
		server := brittle.Server{Hash: c.Hash, Slots: int(c.Slots), Load: c.Load, Own: n.load.Own(c.Name)}
		// A server that tells no slots gives nothing to divide.
		c.Full = isBrittle && c.Slots > 0 && !rule.Permits(&server, &service)
	}
}

// brittleService returns what this instance sees of a brittle service.
func (n *Node) brittleService(p *pool) brittle.Service {
	names := n.liveInstances()
	service := brittle.Service{
		Name: p.service, Index: slices.Index(names, n.settings.Name), Instances: len(names), Draw: n.random.Float64(),
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.Unreachable {
			continue
		}
		service.Servers++
		service.Slots += int(c.Slots)
		service.Load += c.Load
		service.PeakLoad = max(service.PeakLoad, c.Load)
		service.Own += n.load.Own(c.Name)
	}
	return service
}
