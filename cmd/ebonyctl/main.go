// Command ebonyctl is the operators' tool.
package main

import (
	"github.com/alecthomas/kong"
)

type cli struct {
	Platform string `default:"http://127.0.0.1:7000" help:"Base URL of the platform."`

	Check checkCommand `cmd:"" help:"Check a text without applying it."`
	Apply applyCommand `cmd:"" help:"Apply a text to the fleet."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Description("Operates the ebonydyke router fleet."))
	k.FatalIfErrorf(k.Run(&c))
}
