// Command standin runs one small stand-in for a system outside the fleet.
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

	platform "github.com/ebonydyke/ebonydyke/platform/standin"
	"github.com/ebonydyke/ebonydyke/test/standin/engine"
	"github.com/ebonydyke/ebonydyke/test/standin/plain"
)

type cli struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on."`

	Platform platformCommand `cmd:"" help:"Stand in for the platform."`
	Engine   engineCommand   `cmd:"" help:"Stand in for a model engine."`
	Plain    plainCommand    `cmd:"" help:"Stand in for a plain service."`
}

type platformCommand struct{}

// Run serves the platform.
func (platformCommand) Run(c *cli) error { return serve(c.Listen, platform.New()) }

type engineCommand struct {
	Name     string        `required:""`
	Tokens   int           `default:"8"`
	Interval time.Duration `default:"20ms"`
}

// Run serves an engine.
func (e engineCommand) Run(c *cli) error {
	return serve(c.Listen, &engine.Server{Name: e.Name, Tokens: e.Tokens, Interval: e.Interval})
}

type plainCommand struct {
	Name string `required:""`
}

// Run serves a plain service.
func (p plainCommand) Run(c *cli) error { return serve(c.Listen, &plain.Server{Name: p.Name}) }

// serve serves until a signal. The signals are asked for: a shell's background hands
// on an ignored interrupt, which would leave the stand-in running.
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
