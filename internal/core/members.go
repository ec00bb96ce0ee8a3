package core

import "time"

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

func (n *Node) backendReported(BackendReported) {}
