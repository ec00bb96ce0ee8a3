package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/evacuation"
	"github.com/ebonydyke/ebonydyke/internal/edit"
	"github.com/ebonydyke/ebonydyke/internal/store"
	"github.com/ebonydyke/ebonydyke/platform"
)

// writeRetryDelay is the delay before a write whose response was lost is retried.
const writeRetryDelay = 200 * time.Millisecond

// zoneEvacuation is the JSON output of the evacuations command for one zone.
type zoneEvacuation struct {
	Zone string `json:"zone"`
	// Since is when the first of the instances asked learned of the evacuation.
	Since time.Time `json:"since"`
	// Servers is the number of the zone's backend servers.
	Servers int `json:"servers"`
	// InFlight is the number of requests of the instances asked that still run there.
	InFlight int `json:"in_flight"`
	// InForce and Lacking name the instances asked at which the evacuation is, and is not, in force.
	InForce []string `json:"in_force"`
	Lacking []string `json:"lacking,omitempty"`
}

type evacuationsCommand struct{}

// Run prints the evacuated zones as the instances see them.
func (c *evacuationsCommand) Run(global *cli) error {
	results := global.fetchStatuses(context.Background())
	zones, asked := evacuatedZones(results)
	if asked == 0 {
		return errors.New("no instance answers: give the admin_listen addresses of running instances with --instances")
	}
	if global.JSON {
		return global.printJSON(map[string]any{"evacuations": zones, "instances": asked})
	}
	if len(zones) == 0 {
		global.printf("no zone is evacuated, as %d instances know\n", asked)
		return nil
	}
	t := global.table("ZONE", "SINCE", "IN FORCE AT", "SERVERS", "IN FLIGHT THERE", "NOT AT")
	for _, z := range zones {
		t.row(z.Zone, z.Since.Format(time.RFC3339), fmt.Sprintf("%d of %d", len(z.InForce), asked), fmt.Sprint(z.Servers), fmt.Sprint(z.InFlight), strings.Join(z.Lacking, " "))
	}
	t.flush()
	return nil
}

// evacuatedZones returns the evacuated zones over all instances that answered, sorted by name, and the number of these.
func evacuatedZones(results []statusResult) (list []zoneEvacuation, asked int) {
	byName := make(map[string]*zoneEvacuation)
	var names []string
	for _, r := range results {
		if r.Status == nil {
			continue
		}
		names = append(names, r.Status.Instance)
		for _, e := range r.Status.Evacuations {
			z := byName[e.Zone]
			if z == nil {
				z = &zoneEvacuation{Zone: e.Zone, Since: e.Since}
				byName[e.Zone] = z
			}
			if e.Since.Before(z.Since) {
				z.Since = e.Since
			}
			z.Servers = max(z.Servers, e.Servers)
			z.InFlight += e.Own
			z.InForce = append(z.InForce, r.Status.Instance)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		z := byName[name]
		for _, instance := range names {
			if !slices.Contains(z.InForce, instance) {
				z.Lacking = append(z.Lacking, instance)
			}
		}
		list = append(list, *z)
	}
	return list, len(names)
}

// printEvacuations prints a line for each evacuated zone.
func (c *cli) printEvacuations(results []statusResult) {
	zones, asked := evacuatedZones(results)
	for _, z := range zones {
		c.printf("%s is evacuated at %d of the %d instances asked, since %s; %d of their requests still run there\n",
			z.Zone, len(z.InForce), asked, z.Since.Format(time.RFC3339), z.InFlight)
	}
}

type evacuateCommand struct {
	Zone string `arg:"" help:"Name of the availability zone."`
}

// Run requests the evacuation of a zone.
func (c *evacuateCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	if err := global.checkZone(ctx, c.Zone); err != nil {
		return fmt.Errorf("evacuate: %w", err)
	}
	client := platform.NewClient(global.Platform)
	already := false
	err := writeUntilKnown(ctx, func() error {
		_, err := client.Swap(ctx, core.EvacuationPrefix+c.Zone, 0, []byte("{}"))
		already = errors.Is(err, store.ErrConflict)
		if already {
			return nil
		}
		return err
	})
	return global.reportZone("evacuate", c.Zone, "evacuated", already, err)
}

type restoreCommand struct {
	Zone string `arg:"" help:"Name of the availability zone."`
}

// Run withdraws the evacuation of a zone.
func (c *restoreCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	if err := global.checkZone(ctx, c.Zone); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	client := platform.NewClient(global.Platform)
	already := false
	err := writeUntilKnown(ctx, func() error {
		_, version, err := client.Get(ctx, core.EvacuationPrefix+c.Zone)
		if already = errors.Is(err, store.ErrAbsent); already {
			return nil
		}
		if err != nil {
			return err
		}
		return client.Delete(ctx, core.EvacuationPrefix+c.Zone, version)
	})
	return global.reportZone("restore", c.Zone, "in use", already, err)
}

// checkZone returns an error if the zone has no usable name, or this fleet's evacuations are not set by this tool.
func (c *cli) checkZone(ctx context.Context, zone string) error {
	if z := (evacuation.Zone{Name: zone}); !z.Valid() {
		return fmt.Errorf("zone %q, expected a name of 1 to %d bytes", zone, evacuation.MaxNameBytes)
	}
	for _, r := range c.fetchStatuses(ctx) {
		if r.Status != nil && r.Status.ConfigReadOnly {
			return errors.New("this fleet reads its evacuations from the platform's own keys, which only the platform's operators write")
		}
	}
	return nil
}

// writeUntilKnown repeats a write whose result is unknown until it is known or ctx is done. Repeating it has no further effect.
func writeUntilKnown(ctx context.Context, write func() error) error {
	unknown := false
	for {
		err := write()
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrNotApplied) && !unknown:
			return err
		case !errors.Is(err, store.ErrConflict):
			unknown = true
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: the response to the write was lost: %w", edit.ErrOutcomeUnknown, err)
		case <-time.After(writeRetryDelay):
		}
	}
}

// reportZone prints the result of a write, and returns its error.
func (c *cli) reportZone(command, zone, state string, already bool, err error) error {
	if err != nil {
		return fmt.Errorf("%s %s: %w", command, zone, err)
	}
	if c.JSON {
		return c.printJSON(map[string]any{"zone": zone, "state": state, "already": already})
	}
	suffix := "accepted; `ebonyctl evacuations` shows where it is in force"
	if already {
		suffix = "it was so in the store already"
	}
	c.printf("%s is to be %s: %s\n", zone, state, suffix)
	return nil
}
