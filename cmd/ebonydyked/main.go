// Command ebonydyked is the daemon of one instance of the router fleet.
//
// It exits with status 0 after a graceful shutdown, 1 after a failure, and 2 if its settings
// are invalid.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/daemon"
	"github.com/ebonydyke/ebonydyke/internal/jsonc"
	"github.com/ebonydyke/ebonydyke/internal/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitFindings = 2
)

type flags struct {
	Settings string `required:"" help:"Settings file, JSON with comments."`
	Check    bool   `help:"Check the settings, print every finding and exit: 0 without findings, else 2."`
}

func main() {
	signals := subscribeSignals()
	var options flags
	kong.Parse(&options, kong.Description("An entry instance of the ebonydyke router fleet."))
	s, err := settings.Read(options.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var findings jsonc.Findings
		if errors.As(err, &findings) {
			os.Exit(exitFindings)
		}
		os.Exit(exitFailed)
	}
	if options.Check {
		fmt.Println("no findings")
		return
	}
	configureLogging(s.LogVerbosity)
	if err := daemon.Run(signals, options.Settings, s); err != nil {
		klog.ErrorS(err, "daemon failed", "instance", s.Name)
		os.Exit(exitFailed)
	}
	klog.InfoS("daemon stopped", "instance", s.Name)
}

// configureLogging configures klog to write JSON lines to standard output, with V levels up to
// verbosity.
func configureLogging(verbosity int) {
	// The handler's level lets every line through. klog's own verbosity filters the lines,
	// because it can change while the process runs.
	level := slog.Level(-settings.MaxVerbosity)
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: level})))
	daemon.SetVerbosity(verbosity)
}

// subscribeSignals subscribes to the signals for shutdown and for reloading the settings. A
// SIGHUP without a handler would terminate the process, also one that still reads its settings.
func subscribeSignals() daemon.Signals {
	stop := make(chan struct{})
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stop)
	}()
	return daemon.Signals{Stop: stop, Reload: reload}
}
