// Command ebonysoak injects faults into a fleet of real processes and checks the guarantees
// from outside. It exits with status 1 if one did not hold.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/ebonydyke/ebonydyke/internal/soak"
)

type cli struct {
	Seed      uint64        `default:"1" help:"First seed."`
	Seeds     int           `default:"1" help:"Number of seeds, one soak after the other."`
	Instances int           `default:"6" help:"Number of instances."`
	Backends  int           `default:"9" help:"Number of backend servers."`
	Callers   int           `default:"24" help:"Number of concurrent callers."`
	Duration  time.Duration `default:"12s" help:"How long faults are injected."`
	Faults    string        `default:"all" enum:"all,pauses,endless,zones,restarts,copies" help:"Faults: all, or only pauses of sound servers beside planned work (pauses), or only servers that send bytes without end (endless), or evacuated zones and cold servers beside faults of instances and the store (zones), or restarts of all instances at once beside releases (restarts), or only servers that send responses a second time, late (copies)."`
	Logs      string        `default:"out/soak" help:"Folder for the processes' logs."`
	Binary    string        `help:"Path of the daemon; built from this tree if empty."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Description("Runs a fleet of real processes under faults and checks its guarantees."))
	// SIGHUP, which a closed terminal sends, is handled too: the daemons reload on SIGHUP and
	// would outlive a soak that it ended.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	violated, err := c.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || violated {
		os.Exit(1)
	}
}

func (c *cli) run(ctx context.Context) (violated bool, err error) {
	binary, err := c.build()
	if err != nil {
		return false, err
	}
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		logs := filepath.Join(c.Logs, fmt.Sprint("seed-", seed))
		if err := os.RemoveAll(logs); err != nil {
			return violated, err
		}
		if err := os.MkdirAll(logs, 0o700); err != nil {
			return violated, err
		}
		result, err := soak.Run(ctx, soak.Options{
			Binary: binary, Seed: seed, Instances: c.Instances, Backends: c.Backends, Callers: c.Callers,
			Duration: c.Duration, Faults: soak.Faults(c.Faults), Logs: logs,
		})
		if err != nil {
			return violated, fmt.Errorf("seed %d: %w", seed, err)
		}
		violated = violated || len(result.Violations) > 0
		printResult(seed, result)
	}
	return violated, nil
}

func printResult(seed uint64, r *soak.Result) {
	fmt.Printf("seed %d: %d promises broken", seed, len(r.Violations))
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Printf(", %s %d", name, r.Counts[name])
	}
	fmt.Println()
	for _, v := range r.Violations {
		fmt.Println("  " + v.String())
	}
	for _, note := range r.Notes {
		fmt.Println("  note: refused for a shared part: " + note)
	}
}

func (c *cli) build() (string, error) {
	if c.Binary != "" {
		return c.Binary, nil
	}
	binary, err := filepath.Abs("bin/ebonydyked")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", binary, "./cmd/ebonydyked").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return binary, nil
}
