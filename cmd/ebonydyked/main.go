// Command ebonydyked is one entry instance of the router fleet.
package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/daemon"
	"github.com/ebonydyke/ebonydyke/internal/settings"
)

type flags struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("An entry instance of the ebonydyke router fleet."))
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	s, err := settings.Read(f.Settings)
	k.FatalIfErrorf(err)
	if f.Check {
		return
	}
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stop)
	}()
	k.FatalIfErrorf(daemon.Run(stop, s))
}
