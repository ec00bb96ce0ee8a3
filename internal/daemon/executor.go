package daemon

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/peer"
	"github.com/ebonydyke/ebonydyke/internal/platform"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Time limits of calls on the platform.
const (
	callTimeout  = 2 * time.Second
	watchTimeout = platform.WatchWait + 5*time.Second
)

// executor hands each effect to the part that carries it out.
type executor struct {
	ctx      context.Context
	post     func(core.Event)
	platform *platform.Client
	proxy    *proxy.Server
	links    *peer.Links
	stop     context.CancelFunc
}

// Execute hands one effect on without waiting for its end. Lines of the log are
// written by other goroutines: one whose reader stopped reading would stop the core.
func (x *executor) Execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.SendAttempt:
		x.proxy.Deliver(e.Request, e)
	case core.CancelAttempt:
		x.proxy.Deliver(e.Request, e)
	case core.Finish:
		x.proxy.Deliver(e.Request, e)
	case core.StoreGet:
		go x.storeGet(e)
	case core.StoreSwap:
		go x.storeSwap(e)
	case core.StoreWatch:
		go x.storeWatch(e)
	case core.ListInstances:
		go x.listInstances(e)
	case core.SetPeers:
		x.links.Set(e.Peers)
	case core.SendPeer:
		x.links.Send(e.To, e.Message)
	case core.ConfigTaken:
		go klog.InfoS("configuration in force", "generation", e.Generation, "edit", e.Edit)
	case core.ConfigRefused:
		go klog.InfoS("configuration refused", "generation", e.Generation, "findings", e.Findings.Error())
	case core.SetReady:
		x.proxy.SetReady(e.Ready)
	case core.CloseListener:
		go x.proxy.CloseListener()
	case core.PollReport:
		go x.pollReport(e)
	case core.Stopped:
		go x.drained()
	}
}

// drained ends the process once the last answer is with its caller. The core
// knows that answers were read to their end; their last bytes may still be here.
func (x *executor) drained() {
	x.proxy.Drain()
	x.stop()
}

func (x *executor) pollReport(e core.PollReport) {
	report, err := x.proxy.Report(e.Backend, e.Address)
	if err != nil {
		klog.InfoS("no load report", "backend", e.Backend, "error", err)
	}
	x.post(core.BackendReported{Report: report, Failed: err != nil})
}

func (x *executor) storeGet(e core.StoreGet) {
	ctx, cancel := context.WithTimeout(x.ctx, callTimeout)
	defer cancel()
	value, version, err := x.platform.Get(ctx, e.Key)
	x.post(core.StoreReplied{Op: e.Op, Status: storeStatus(err), Version: version, Value: value})
}

func (x *executor) storeSwap(e core.StoreSwap) {
	ctx, cancel := context.WithTimeout(x.ctx, callTimeout)
	defer cancel()
	version, err := x.platform.Swap(ctx, e.Key, e.Version, e.Value)
	x.post(core.StoreReplied{Op: e.Op, Status: storeStatus(err), Version: version})
}

func (x *executor) storeWatch(e core.StoreWatch) {
	ctx, cancel := context.WithTimeout(x.ctx, watchTimeout)
	defer cancel()
	value, version, err := x.platform.Watch(ctx, e.Key, e.Version)
	x.post(core.StoreReplied{Op: e.Op, Status: storeStatus(err), Version: version, Value: value})
}

func (x *executor) listInstances(e core.ListInstances) {
	ctx, cancel := context.WithTimeout(x.ctx, callTimeout)
	defer cancel()
	members, err := x.platform.List(ctx)
	x.post(core.InstancesListed{Op: e.Op, Failed: err != nil, Members: members})
}

// storeStatus maps an error of the platform to what the core may conclude.
func storeStatus(err error) core.StoreStatus {
	switch {
	case err == nil:
		return core.StoreOK
	case errors.Is(err, platform.ErrAbsent):
		return core.StoreAbsent
	case errors.Is(err, platform.ErrConflict):
		return core.StoreConflict
	case errors.Is(err, platform.ErrUnchanged):
		return core.StoreUnchanged
	case errors.Is(err, platform.ErrNotSent):
		return core.StoreFailed
	default:
		return core.StoreUnknown
	}
}
