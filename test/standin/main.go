// Command standin runs one small stand-in for a system outside the fleet.
package main

import (
	"net"
	"net/http"
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

func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return http.Serve(l, h)
}

func main() {
	var c cli
	k := kong.Parse(&c)
	k.FatalIfErrorf(k.Run(&c))
}
