// Command ebonymeasure compares the core's decisions with baselines and an oracle, in
// virtual time. It is a tool for developers; the same seed gives the same figures.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/ebonydyke/ebonydyke/internal/measure"
)

type options struct {
	Out      string   `help:"Folder for figures.jsonl and curve.png." default:"out/measure"`
	Seed     uint64   `help:"Random seed of the runs." default:"1"`
	Scenario []string `help:"Scenarios to run; all when empty, including 'curve'."`
	Policy   []string `help:"Policies to run; all when empty."`
	Parallel int      `help:"Number of concurrent runs." default:"4"`
}

type run struct {
	scenario measure.Scenario
	policy   string
}

func main() {
	var o options
	ctx := kong.Parse(&o, kong.Description("Compares the core's decisions with baselines and an oracle."))
	ctx.FatalIfErrorf(o.run())
}

func (o *options) run() error {
	figures, err := o.executeRuns(o.selectedRuns())
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := writeLines(filepath.Join(o.Out, "figures.jsonl"), figures); err != nil {
		return err
	}
	if err := printTable(figures); err != nil {
		return err
	}
	curve := filepath.Join(o.Out, "curve.png")
	return plotCurve(curve, figures)
}

// selectedRuns lists the selected runs.
func (o *options) selectedRuns() []run {
	wanted := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	var list []run
	for _, s := range append(measure.Scenarios(o.Seed), measure.Curve(o.Seed)...) {
		for _, p := range measure.Policies {
			if s.Includes(p) && wanted(o.Scenario, s.Name) && wanted(o.Policy, p) {
				list = append(list, run{s, p})
			}
		}
	}
	return list
}

// executeRuns executes the runs, at most Parallel at a time, and returns their figures in order.
func (o *options) executeRuns(runs []run) ([]measure.Figures, error) {
	figures := make([]measure.Figures, len(runs))
	var group errgroup.Group
	group.SetLimit(max(1, o.Parallel))
	for i, r := range runs {
		group.Go(func() error {
			figures[i] = measure.Run(r.scenario, r.policy)
			return nil
		})
	}
	return figures, group.Wait()
}

// writeLines writes the figures as one JSON object a line.
func writeLines(path string, figures []measure.Figures) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	defer func() { _ = file.Close() }()
	encoder := json.NewEncoder(file)
	for i := range figures {
		if err := encoder.Encode(&figures[i]); err != nil {
			return fmt.Errorf("measure: %s: %w", path, err)
		}
	}
	return file.Sync()
}

func printTable(figures []measure.Figures) error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "scenario\tpolicy\tbound\tturns\tmean\treuse\tworst\tp99\tover\tby\tplaced over\tworst 5 s\tbroken\t"+
		"quiet: refused\twait p95\trush: refused\tgiven up\twait p95\tsurging: refused\t")
	for _, f := range figures {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%.2f\t%d\t%.1f\t%.3f\t%.2f\t%.2f\t%.4f\t%.1f\t%d by %d\t%.3f\t%d\t%d\t%.2f\t%d of %d\t%d\t%.2f\t%d of %d\t\n",
			f.Scenario, f.Policy, f.Bound, f.Turns, f.MeanLoad, f.Reuse, f.MaxSkew, f.P99Skew, f.OverShare, f.MaxExcess,
			f.OverLimitPlacements, f.MaxPlacementExcess, f.MaxOverLimitShare, f.FailedTurns, f.OutsideSurge.Refusals, f.OutsideSurge.WaitP95,
			f.DuringSurge.Refusals, f.DuringSurge.Turns, f.DuringSurge.GivenUp, f.DuringSurge.WaitP95, f.Surging.Refusals, f.Surging.Turns)
	}
	return out.Flush()
}
