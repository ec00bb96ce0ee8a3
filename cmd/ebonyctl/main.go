// Command ebonyctl is the operators' command-line tool for the router fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/edit"
	"github.com/ebonydyke/ebonydyke/internal/store"
	"github.com/ebonydyke/ebonydyke/platform"
)

// Exit codes. Scripts depend on them, so the meaning of a code must not change.
const (
	exitOK              = 0
	exitFailed          = 1
	exitFindings        = 2
	exitConflict        = 3
	exitOutcomeUnknown  = 4
	exitStoreRolledBack = 5
	exitNotEverywhere   = 6
	exitNotRun          = 7
	exitDuplicate       = 8
)

const description = `Operates the ebonydyke router fleet.

Exit codes: 0 done; 1 failed, nothing was changed; 2 the text has findings;
3 another edit came first, nothing was written; 4 unknown whether it was done;
5 the store went back, nothing was written; 6 not in force everywhere in time;
7 the request did not run; 8 the request is a duplicate; 80 wrong usage.`

type cli struct {
	Platform  string        `default:"http://127.0.0.1:7000" env:"EBONYDYKE_PLATFORM" help:"Base URL of the platform."`
	Instances []string      `default:"127.0.0.1:7090" env:"EBONYDYKE_INSTANCES" help:"Operators' addresses (admin_listen) of instances, with commas."`
	JSON      bool          `name:"json" help:"Print JSON for scripts."`
	Timeout   time.Duration `default:"30s" help:"How long to try before giving up."`

	Check    checkCommand    `cmd:"" help:"Check a text without applying it."`
	Apply    applyCommand    `cmd:"" help:"Apply a text to the fleet."`
	Get      getCommand      `cmd:"" help:"Print the text that the store holds."`
	Diff     diffCommand     `cmd:"" help:"Show what applying a text would change."`
	Status   statusCommand   `cmd:"" help:"Show which configuration is in force where."`
	Explain  explainCommand  `cmd:"" help:"Explain where a chat's next turn would go."`
	Backends backendsCommand `cmd:"" help:"List the backend servers, their loads and states."`
	Drain    drainCommand    `cmd:"" help:"Begin the graceful shutdown of one instance."`

	Evacuations evacuationsCommand `cmd:"" help:"Show the evacuated zones and what still runs there."`
	Evacuate    evacuateCommand    `cmd:"" help:"Send no new requests to the backend servers of a zone."`
	Restore     restoreCommand     `cmd:"" help:"Use the backend servers of an evacuated zone again."`

	Send sendCommand `cmd:"" help:"Send one request."`

	stdout io.Writer
	stderr io.Writer
}

func (c *cli) store() store.Store { return platform.NewClient(c.Platform) }

func (c *cli) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.Timeout)
}

// exitError is an error with its own exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message for the operator.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the documented exit code for an error.
func exitCode(err error) int {
	var findings config.Findings
	var coded *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &findings):
		return exitFindings
	case errors.Is(err, edit.ErrConflict):
		return exitConflict
	case errors.Is(err, edit.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	case errors.Is(err, edit.ErrStoreRolledBack):
		return exitStoreRolledBack
	default:
		return exitFailed
	}
}

// advice returns what an operator can do about an error, or "".
func advice(err error) string {
	switch exitCode(err) {
	case exitFailed:
		if errors.Is(err, store.ErrNotApplied) {
			return "The platform does not answer there: check --platform, or wait until it is back. Nothing was changed."
		}
		return ""
	case exitConflict:
		return "Run `ebonyctl diff FILE`, take in what changed, and apply again with --base of the newer generation."
	case exitOutcomeUnknown:
		return "Run `ebonyctl get` once the platform answers, and compare before you apply again."
	case exitStoreRolledBack:
		return "Compare the text in the store with your own. To write over it, apply with --base of the generation in force."
	default:
		return ""
	}
}

func main() {
	c := cli{stdout: os.Stdout, stderr: os.Stderr}
	parsed := kong.Parse(&c, kong.Name("ebonyctl"), kong.Description(description))
	err := parsed.Run(&c)
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, err)
		if text := advice(err); text != "" {
			_, _ = fmt.Fprintln(c.stderr, text)
		}
	}
	os.Exit(exitCode(err))
}
