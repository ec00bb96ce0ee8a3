package daemon

import (
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

// The kinds of calls to the platform, as metric labels.
const (
	callGet   = "get"
	callSwap  = "swap"
	callWatch = "watch"
	callList  = "list"
	callLease = "lease"
	// callPoison writes poison records.
	callPoison = "poison"
)

// meter updates the metrics from the events and effects that pass between the core and the
// executor, so that neither depends on the metrics. Only the goroutine that owns the core uses it.
// A nil meter counts nothing.
type meter struct {
	metrics *metrics.Metrics
	// calls holds the kinds of the pending calls to the platform.
	calls map[core.OpID]string
}

func newMeter(m *metrics.Metrics) *meter {
	return &meter{metrics: m, calls: make(map[core.OpID]string)}
}

// effect counts an effect before it is carried out.
func (m *meter) effect(effect core.Effect) {
	if m == nil {
		return
	}
	switch e := effect.(type) {
	case core.Counted:
		m.metrics.Count(e.Counter, e.Label, e.N)
	case core.ConfigApplied:
		m.metrics.SetGeneration(e.Generation)
	case core.SetReady:
		m.metrics.SetReady(e.Ready)
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
	case core.StorePoison:
		m.calls[e.Op] = callPoison
	}
}

// event counts an event before the core handles it.
func (m *meter) event(event core.Event) {
	if m == nil {
		return
	}
	switch e := event.(type) {
	case core.StoreReplied:
		m.callEnded(e.Op, string(e.Status))
	case core.BackendsRead:
		m.callEnded(e.Op, string(e.Status))
	case core.LeaseReplied:
		m.callEnded(e.Op, string(e.Status))
	case core.InstancesListed:
		result := string(core.StoreOK)
		if e.Failed {
			result = string(core.StoreFailed)
		}
		m.callEnded(e.Op, result)
	}
}

func (m *meter) callEnded(op core.OpID, result string) {
	kind, ok := m.calls[op]
	delete(m.calls, op)
	if ok {
		m.metrics.PlatformCall(kind, result)
	}
}
