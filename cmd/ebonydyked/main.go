// Command ebonydyked is one entry instance of the router fleet.
//
// It ends with 0 after a graceful shutdown, with 1 after a failure, and with 2
// when its settings have findings.
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
	var f flags
	kong.Parse(&f, kong.Description("An entry instance of the ebonydyke router fleet."))
	s, err := settings.Read(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var findings jsonc.Findings
		if errors.As(err, &findings) {
			os.Exit(exitFindings)
		}
		os.Exit(exitFailed)
	}
	if f.Check {
		fmt.Println("no findings")
		return
	}
	logJSON(s.LogVerbosity)
	if err := daemon.Run(listenForSignals(), f.Settings, s); err != nil {
		klog.ErrorS(err, "failed", "instance", s.Name)
		os.Exit(exitFailed)
	}
	klog.InfoS("stopped", "instance", s.Name)
}

// logJSON makes klog write JSON lines to standard output, with the lines of V
// levels up to verbosity.
func logJSON(verbosity int) {
	// The level of the handler lets all through: klog's own verbosity decides, and
	// can change while the process runs.
	level := slog.Level(-settings.MaxVerbosity)
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: level})))
	daemon.SetVerbosity(verbosity)
}

// listenForSignals asks for the signals to stop and to read the settings again. A
// hang-up that nobody asks for would end the process.
func listenForSignals() daemon.Signals {
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
