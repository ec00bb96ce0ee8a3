package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
	"github.com/ebonydyke/ebonydyke/internal/peer"
	"github.com/ebonydyke/ebonydyke/internal/platform"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/internal/settings"
)

// Run runs one instance until stop is closed and its graceful shutdown is over.
func Run(stop <-chan struct{}, s *settings.Settings) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	counters := metrics.New()
	loop := NewLoop(core.New(core.Settings{
		Name:        s.Name,
		Zone:        s.Zone,
		PeerAddress: s.PeerListen,
		Incarnation: uint64(start.UnixNano()),
		// Not the clock: instances started at the same moment would draw the same
		// claim tokens, and each would take the other's claim for its own.
		Seed:        rand.Uint64(),
		AcceptDelay: time.Duration(s.AcceptDelay),
	}))
	loop.CountIn(counters)
	listeners, err := listen(ctx, s)
	if err != nil {
		return err
	}
	links := peer.New(peer.Config{
		Name:        s.Name,
		Zone:        s.Zone,
		Incarnation: uint64(start.UnixNano()),
		Listener:    listeners.peers,
		Seeds:       s.Seeds,
		Post:        loop.Post,
	})
	counters.ReadControl(readControl(links))
	options := proxyOptions(&s.Limits, counters)
	options.Now = loop.Now
	server := proxy.New(loop.Post, options)
	exec := &executor{
		ctx: ctx, post: loop.Post, platform: platform.NewClient(s.Platform),
		proxy: server, links: links, stop: cancel,
	}

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return links.Run(ctx) })
	group.Go(func() error { return loop.Run(ctx, exec) })
	group.Go(func() error { return server.Serve(listeners.callers) })
	group.Go(func() error { return serveAdmin(ctx, listeners.operators, loop, counters) })
	group.Go(func() error {
		select {
		case <-stop:
			loop.Post(core.StopRequested{})
		case <-ctx.Done():
		}
		return nil
	})
	klog.InfoS("started", "instance", s.Name, "zone", s.Zone,
		"listen", listeners.callers.Addr().String(), "admin", listeners.operators.Addr().String())
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// listeners are where an instance listens.
type listeners struct {
	callers, peers, operators net.Listener
}

func listen(ctx context.Context, s *settings.Settings) (l listeners, err error) {
	if l.callers, err = net.Listen("tcp", s.Listen); err != nil {
		return l, fmt.Errorf("daemon: listen for callers: %w", err)
	}
	if l.operators, err = net.Listen("tcp", s.AdminListen); err != nil {
		return l, fmt.Errorf("daemon: listen for operators: %w", err)
	}
	if l.peers, err = peer.Listen(ctx, s.PeerListen); err != nil {
		return l, fmt.Errorf("daemon: listen for peers: %w", err)
	}
	return l, nil
}

// proxyOptions passes the limits of the settings on.
func proxyOptions(l *settings.Limits, m proxy.Metrics) proxy.Options {
	return proxy.Options{
		Metrics:     m,
		MaxConns:    l.MaxConns,
		MaxBody:     l.MaxBody,
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
