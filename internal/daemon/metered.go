package daemon

import (
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

// The kinds of calls on the platform, as metric labels.
const (
	callGet   = "get"
	callSwap  = "swap"
	callWatch = "watch"
	callList  = "list"
	callLease = "lease"
)

// meter counts what passes between the core and the executor, so that neither
// has to know of metrics. It belongs to the goroutine that owns the core. A nil
// meter counts nothing.
type meter struct {
	metrics *metrics.Metrics
	// calls are the calls on the platform that have not ended.
	calls map[core.OpID]string
}

func newMeter(m *metrics.Metrics) *meter {
	return &meter{metrics: m, calls: make(map[core.OpID]string)}
}

// effect counts an effect that is about to be carried out.
func (m *meter) effect(effect core.Effect) {
	if m == nil {
		return
	}
	switch e := effect.(type) {
	case core.Counted:
		m.metrics.Count(e.Counter, e.Label, e.N)
	case core.ConfigApplied:
		m.metrics.Generation(e.Generation)
	case core.SetReady:
		m.metrics.Ready(e.Ready)
	case core.StoreGet:
		m.calls[e.Op] = callGet
	case core.StoreSwap:
		m.calls[e.Op] = callSwap
	case core.StoreWatch:
		m.calls[e.Op] = callWatch
	case core.ListInstances:
		m.calls[e.Op] = callList
	case core.ListBackends:
		m.calls[e.Op] = callList
	case core.WatchBackends:
		m.calls[e.Op] = callWatch
	case core.Register:
		m.calls[e.Op] = callLease
	case core.RenewLease:
		m.calls[e.Op] = callLease
	}
}

// event counts an event that the core is about to take.
func (m *meter) event(event core.Event) {
	if m == nil {
		return
	}
	switch e := event.(type) {
	case core.StoreReplied:
		m.ended(e.Op, string(e.Status))
	case core.BackendsRead:
		m.ended(e.Op, string(e.Status))
	case core.LeaseReplied:
		m.ended(e.Op, string(e.Status))
	case core.InstancesListed:
		result := string(core.StoreOK)
		if e.Failed {
			result = string(core.StoreFailed)
		}
		m.ended(e.Op, result)
	}
}

func (m *meter) ended(op core.OpID, result string) {
	kind, ok := m.calls[op]
	delete(m.calls, op)
	if ok {
		m.metrics.PlatformCall(kind, result)
	}
}
