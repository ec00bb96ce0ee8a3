package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
	"github.com/ebonydyke/ebonydyke/internal/peer"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/internal/relay"
	"github.com/ebonydyke/ebonydyke/internal/settings"
	"github.com/ebonydyke/ebonydyke/platform"
)

// Signals are the requests from outside the process to a running instance.
type Signals struct {
	// Stop is closed to begin the graceful shutdown.
	Stop <-chan struct{}
	// Reload requests that the settings file be read again.
	Reload <-chan os.Signal
}

// Run runs one instance, whose settings were read from path, until a stop is requested and the
// graceful shutdown has ended.
func Run(signals Signals, path string, s *settings.Settings) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	incarnation := uint64(time.Now().UnixNano())
	counters := metrics.New()
	loop := NewLoop(core.New(coreSettings(s, incarnation)))
	loop.SetMetrics(counters)
	listeners, err := listen(ctx, s)
	if err != nil {
		return err
	}
	calls := newStoreCalls(ctx, loop.Post, s)
	calls.incarnation = incarnation
	relays := relay.NewServer(counters)
	links := newLinks(s, incarnation, listeners.peers, calls.translateOffers(loop.Post), relays)
	counters.RegisterControl(readControl(links))
	limitHeap(s.Limits.MaxMemory)
	options := proxyOptions(&s.Limits, counters)
	if options.MaxConns, err = callerConns(s.Limits.MaxConns, s.Limits.MaxDescriptors); err != nil {
		return err
	}
	options.Now = loop.Now
	options.Dialect = dialect(s)
	options.Relays = peer.RelayDialer{Fleet: s.Fleet, Name: s.Name}
	server := proxy.New(loop.Post, options)
	loop.SetLog(server.Log)
	registerCallers(counters, server, &options)
	exec := &executor{ctx: ctx, post: loop.Post, store: calls, proxy: server, links: links, relay: relays, stop: cancel}
	var grace atomic.Int64
	grace.Store(int64(s.StopGrace))
	reload := newReloader(path, signals.Reload, s, func(s *settings.Settings) {
		applyReloaded(s, &grace, calls, loop.Post)
	})

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return links.Run(ctx) })
	group.Go(func() error { return loop.Run(ctx, exec) })
	group.Go(func() error { return serveCallers(ctx, listeners.callers, server) })
	group.Go(func() error { return serveAdmin(ctx, listeners.operators, loop, counters) })
	group.Go(func() error { return serveReady(ctx, listeners.ready, loop) })
	group.Go(func() error { return upkeep(ctx, reload, loop) })
	group.Go(func() error {
		select {
		case <-signals.Stop:
			klog.InfoS("stop requested", "instance", s.Name)
			loop.Post(core.StopRequested{})
			enforceGracePeriod(ctx, time.Duration(grace.Load()), func() {
				server.ReportUnanswered()
				cancel()
			})
		case <-ctx.Done():
		}
		return nil
	})
	klog.InfoS("started", "instance", s.Name, "zone", s.Zone, "incarnation", incarnation,
		"listen", listeners.callers.Addr().String(), "admin", listeners.operators.Addr().String())
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// upkeep reloads the settings and adapts the collector until ctx ends.
func upkeep(ctx context.Context, reload *reloader, loop *Loop) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return reload.run(ctx) })
	group.Go(func() error { return adaptCollector(ctx, loop) })
	return group.Wait()
}

// registerCallers registers the gauges of what callers take, and their limits.
func registerCallers(m *metrics.Metrics, server *proxy.Server, options *proxy.Options) {
	m.RegisterCallerConns(server.CallerConns, options.MaxConns)
	m.RegisterBodyBytes(server.BodyBytes, options.MaxBodies)
}

// applyReloaded applies the settings that can change without a restart. The core must know the time until the process is
// killed as well: it refuses requests that could still be in progress then.
func applyReloaded(s *settings.Settings, grace *atomic.Int64, calls *storeCalls, post func(core.Event)) {
	grace.Store(int64(s.StopGrace))
	post(core.StopGraceSet{Grace: time.Duration(s.StopGrace)})
	calls.setBounds(s.Bounds)
	SetVerbosity(s.LogVerbosity)
}

func coreSettings(s *settings.Settings, incarnation uint64) core.Settings {
	return core.Settings{
		Name:        s.Name,
		Zone:        s.Zone,
		Region:      s.Region,
		Zones:       s.Zones,
		PeerAddress: s.PeerListen,
		Incarnation: incarnation,
		// The seed is not taken from the clock: instances started at the same time would then
		// generate the same claim tokens, and each would treat the other's claims as its own.
		Seed:           rand.Uint64(),
		ChangeBound:    time.Duration(min(s.ConfigBound, s.DrainBound, s.EvacuateBound)),
		StoreSettle:    time.Duration(s.PlatformSettle),
		AcceptDelay:    time.Duration(s.AcceptDelay),
		StopGrace:      time.Duration(s.StopGrace),
		DialTimeout:    time.Duration(s.Limits.DialTimeout),
		ConfigReadOnly: s.Dialect == settings.DialectPlatform,
		NoPolls:        s.Dialect == settings.DialectPlatform,
	}
}

func newLinks(s *settings.Settings, incarnation uint64, l net.Listener, post func(core.Event), relays *relay.Server) *peer.Links {
	return peer.New(peer.Config{
		Fleet:       s.Fleet,
		Name:        s.Name,
		Zone:        s.Zone,
		Incarnation: incarnation,
		Listener:    l,
		Seeds:       s.Seeds,
		Post:        post,
		Relay:       relays.Serve,
	})
}

// stopMargin is the time between the end of a stopping process and the time when it would be
// killed. It suffices to send the last bytes with a tenth of a processor.
const stopMargin = 300 * time.Millisecond

// enforceGracePeriod ends the process shortly before it would be killed, unless grace is 0.
// Requests still in progress would be aborted by the kill anyway; here they end in an orderly way.
func enforceGracePeriod(ctx context.Context, grace time.Duration, end func()) {
	if grace == 0 {
		return
	}
	select {
	case <-time.After(max(0, grace-stopMargin)):
		klog.InfoS("graceful shutdown aborted at the end of the grace period", "grace", grace)
		end()
	case <-ctx.Done():
	}
}

// serveCallers serves callers until their listener is closed. At the latest that is when the process ends: it must not
// accept requests that the core no longer gets.
func serveCallers(ctx context.Context, l net.Listener, server *proxy.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	return server.Serve(l)
}

// dialect returns the callers' interface that the settings select.
func dialect(s *settings.Settings) proxy.Dialect {
	if s.Dialect == settings.DialectPlatform {
		return platform.Dialect{}
	}
	return proxy.Native{}
}

// SetVerbosity sets the highest V level that is logged.
func SetVerbosity(verbosity int) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	if err := set.Set("v", strconv.Itoa(verbosity)); err != nil {
		klog.ErrorS(err, "failed to set the log verbosity", "verbosity", verbosity)
	}
}

// listeners holds the listeners of an instance.
type listeners struct {
	callers, peers, operators net.Listener
	// ready is nil if readiness has no address of its own.
	ready net.Listener
}

func listen(ctx context.Context, s *settings.Settings) (l listeners, err error) {
	if l.callers, err = proxy.Listen(ctx, s.Listen); err != nil {
		return l, fmt.Errorf("daemon: listen for callers: %w", err)
	}
	if l.operators, err = net.Listen("tcp", s.AdminListen); err != nil {
		return l, fmt.Errorf("daemon: listen for operators: %w", err)
	}
	if s.ReadyListen != "" {
		if l.ready, err = net.Listen("tcp", s.ReadyListen); err != nil {
			return l, fmt.Errorf("daemon: listen for readiness: %w", err)
		}
	}
	if l.peers, err = peer.Listen(ctx, s.PeerListen); err != nil {
		return l, fmt.Errorf("daemon: listen for peers: %w", err)
	}
	return l, nil
}

// proxyOptions converts the limits in the settings to proxy options.
func proxyOptions(l *settings.Limits, m proxy.Metrics) proxy.Options {
	return proxy.Options{
		Metrics:     m,
		MaxConns:    l.MaxConns,
		MaxBody:     l.MaxBody,
		MaxBodies:   bodyMemory(l.MaxBodies, l.MaxMemory),
		MaxResponse: l.MaxResponse,
		MaxHeader:   l.MaxHeader,
		ReadTimeout: time.Duration(l.ReadTimeout),
		CallerIdle:  time.Duration(l.CallerIdle),
		WriteStall:  time.Duration(l.WriteStall),
		AcceptQuiet: time.Duration(l.AcceptQuiet),
		AcceptMax:   time.Duration(l.AcceptMax),
		DrainIdle:   time.Duration(l.DrainIdle),
		DialTimeout: time.Duration(l.DialTimeout),
		BackendIdle: time.Duration(l.BackendIdle),
		Inactivity:  time.Duration(l.Inactivity),
	}
}
