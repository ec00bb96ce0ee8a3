// Command standin runs a fake of one external system for tests and examples: the platform, a model
// engine or a plain service.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
	"github.com/ebonydyke/ebonydyke/test/standin/engine"
	"github.com/ebonydyke/ebonydyke/test/standin/plain"
)

type cli struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on."`

	Platform platformCommand `cmd:"" help:"Run a fake platform."`
	Engine   engineCommand   `cmd:"" help:"Run a fake model engine."`
	Plain    plainCommand    `cmd:"" help:"Run a fake backend server of a plain service."`
}

type platformCommand struct{}

// Run runs the fake platform.
func (platformCommand) Run(c *cli) error { return serve(c.Listen, fakeplatform.New()) }

type engineCommand struct {
	Name     string        `required:""`
	Tokens   int           `default:"8"`
	Interval time.Duration `default:"20ms"`
}

// Run runs a fake engine.
func (e engineCommand) Run(c *cli) error {
	return serve(c.Listen, &engine.Server{Name: e.Name, Tokens: e.Tokens, Interval: e.Interval})
}

type plainCommand struct {
	Name string `required:""`
}

// Run runs a fake backend server of a plain service.
func (p plainCommand) Run(c *cli) error { return serve(c.Listen, &plain.Server{Name: p.Name}) }

// serve serves HTTP until the process receives an interrupt or SIGTERM. It registers for both
// signals explicitly because a background job of a shell inherits an ignored interrupt, which would
// leave the process running.
func serve(address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	fmt.Println("listening on", l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func main() {
	var c cli
	k := kong.Parse(&c)
	k.FatalIfErrorf(k.Run(&c))
}
