package daemon

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/peer"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/internal/relay"
)

// executor passes each effect to the component that carries it out.
type executor struct {
	// ctx is done when the process ends.
	ctx   context.Context
	post  func(core.Event)
	store *storeCalls
	proxy *proxy.Server
	links *peer.Links
	relay *relay.Server
	stop  context.CancelFunc
}

// Execute starts an effect without waiting for its completion. Log lines are written by another
// goroutine, because a blocked log output would otherwise block the core.
func (x *executor) Execute(effect core.Effect) {
	if x.startStoreCall(effect) {
		return
	}
	switch e := effect.(type) {
	case core.SendAttempt:
		x.proxy.Deliver(e.Request, e)
	case core.WithdrawAttempt:
		x.proxy.Deliver(e.Request, e)
	case core.CancelAttempt:
		x.proxy.Deliver(e.Request, e)
	case core.Finish:
		x.proxy.Deliver(e.Request, e)
	case core.SetPeers:
		x.links.SetPeers(e.Peers)
	case core.SendPeer:
		x.links.Send(e.To, e.Message)
	case core.ConfigApplied:
		x.configApplied(e)
	case core.ConfigRefused:
		x.proxy.Log("configuration refused", "generation", e.Generation, "findings", e.Findings.Error(), "source", e.Source)
	case core.StateChanged:
		x.proxy.Log("learned", "subject", e.Subject, "name", e.Name, "names", e.Names, "state", e.State, "service", e.Service,
			"address", e.Address, "version", e.Version, "revision", e.Revision, "incarnation", e.Incarnation, "cause", e.Cause)
	case core.SetRelayScope:
		x.relay.SetScope(e.Closed, e.Lost)
	case core.SetReady:
		x.proxy.SetReady(e.Ready)
	case core.CloseListener:
		x.closeListener(e)
	case core.PollReport:
		go x.pollReport(e)
	case core.Stopped:
		go x.finishShutdown()
	}
}

// maxLoggedAdjustments bounds the adjustments of one configuration that are logged. The status has more.
const maxLoggedAdjustments = 20

func (x *executor) configApplied(e core.ConfigApplied) {
	x.proxy.SetCallerLimits(e.Limits)
	x.proxy.Log("configuration applied", "generation", e.Generation, "edit", e.Edit, "source", e.Source, "adjusted", e.AdjustedCount)
	for _, a := range e.Adjusted[:min(len(e.Adjusted), maxLoggedAdjustments)] {
		x.proxy.Log("element of the configuration not in force as written", "generation", e.Generation, "element", a.Element, "problem", a.Problem, "effect", a.Effect)
	}
	if e.KeysLifted {
		x.proxy.Log("API keys no longer needed: the configuration has no list of customers", "generation", e.Generation)
	}
}

func (x *executor) closeListener(e core.CloseListener) {
	if e.AtOnce {
		go x.proxy.CloseListenerAtOnce()
		return
	}
	go x.proxy.CloseListener()
}

// startStoreCall starts a store call if the effect is one, and reports whether it is.
func (x *executor) startStoreCall(effect core.Effect) bool {
	switch e := effect.(type) {
	case core.StoreGet:
		go x.store.get(e)
	case core.StoreSwap:
		go x.store.swap(e)
	case core.StoreWatch:
		go x.store.watchOperatorKeys(e)
	case core.ListInstances:
		go x.store.listInstances(e)
	case core.ListBackends:
		go x.store.listBackends(e)
	case core.WatchBackends:
		go x.store.watchBackends(e)
	case core.Register:
		go x.store.register(e)
	case core.RenewLease:
		go x.store.renewLease(e)
	case core.StorePoison:
		go x.store.storePoison(e)
	case core.StoreStreams:
		go x.store.storeStreams(e)
	case core.ListStreams:
		go x.store.listStreams(e)
	default:
		return false
	}
	return true
}

// finishShutdown ends the process once the last response is sent, and the last connection that it
// relays has ended. The core only knows that the
// responses of the backend servers were read completely; their last bytes may not have been sent
// yet.
func (x *executor) finishShutdown() {
	x.proxy.Drain()
	x.relay.Drain(x.ctx)
	x.stop()
}

func (x *executor) pollReport(e core.PollReport) {
	report, err := x.proxy.Report(e.Backend, e.Address)
	if err != nil {
		klog.InfoS("failed to get a load report", "backend", e.Backend, "error", err)
	}
	x.post(core.BackendReported{Report: report, Failed: err != nil, Malformed: proxy.IsMalformed(err)})
}
