package main

import (
	"cmp"
	"fmt"
	"net/url"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/admin"
	"github.com/ebonydyke/ebonydyke/internal/core"
)

type explainCommand struct {
	Service  string `required:"" help:"The service."`
	Customer string `help:"The customer."`
	Chat     string `help:"The chat."`
	Hint     string `help:"The Ebonydyke-Placement header of the chat's last turn."`
}

// Run prints how an instance would place the next turn of a chat, and why.
func (c *explainCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	query := url.Values{"service": {c.Service}, "customer": {c.Customer}, "chat": {c.Chat}, "hint": {c.Hint}}
	var explanation core.Explanation
	if err := global.callFirst(ctx, admin.PathExplain, query, &explanation); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	if global.JSON {
		return global.printJSON(explanation)
	}
	t := global.table("RANK", "BACKEND SERVER", "ZONE", "LOAD", "OWN", "WHY")
	for i, b := range explanation.Ranking {
		t.row(fmt.Sprint(i+1), b.Name, b.Zone, fmt.Sprintf("%.1f", b.Load), fmt.Sprint(b.Own), b.Why)
	}
	t.flush()
	global.printf("generation %d; mean load %.2f; bound %v times the mean: up to %v requests, this chat moves on at %v\n",
		explanation.Generation, explanation.Mean, explanation.Bound, explanation.Limit, explanation.Inner)
	global.printf("the service carries %.1f of %v requests; the customer has %d in progress at this instance\n",
		explanation.Load, explanation.Capacity, explanation.CustomerInFlight)
	if explanation.Refused != "" {
		global.printf("the turn would be refused: %s\n", explanation.Refused)
	} else {
		global.printf("the turn would go to %s\n", explanation.Chosen)
	}
	return nil
}

type backendsCommand struct {
	Service string `help:"Only this service."`
}

// Run prints the backend servers in the view of the first instance that responds.
func (c *backendsCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	var own status.Status
	if err := global.callFirst(ctx, admin.PathStatus, nil, &own); err != nil {
		return fmt.Errorf("backends: %w", err)
	}
	services := make([]status.Service, 0, len(own.Services))
	for _, service := range own.Services {
		if c.Service == "" || c.Service == service.Name {
			services = append(services, service)
		}
	}
	if global.JSON {
		return global.printJSON(services)
	}
	t := global.table("SERVICE", "BACKEND SERVER", "ZONE", "ADDRESS", "LOAD", "OWN", "STATE")
	for _, service := range services {
		for _, b := range service.Backends {
			t.row(service.Name, b.Name, b.Zone, b.Address, fmt.Sprintf("%.1f", b.Load), fmt.Sprint(b.Own), backendState(b))
		}
	}
	t.flush()
	global.printf("as %s sees them; OWN is its own part of the load\n", own.Instance)
	return nil
}

func backendState(b status.Backend) string {
	if b.Cold != nil {
		return coldState(b)
	}
	if b.Unreachable {
		return "not reachable from here lately"
	}
	if b.Evacuated {
		return "evacuated"
	}
	if b.Slowness > 1 {
		return fmt.Sprintf("%s, %.1f times slower (%s)", b.State, b.Slowness, b.Basis)
	}
	return string(b.State)
}

// coldState describes a backend server that warms up: until when and why, and who permits how many requests a second.
func coldState(b status.Backend) string {
	until := "until it is reached"
	if !b.Cold.Until.IsZero() {
		until = "until " + b.Cold.Until.UTC().Format("15:04:05.000")
	}
	state := fmt.Sprintf("cold %s (%s), %d permits/s from %s", until, b.Cold.Cause, b.Cold.PerSecond, cmp.Or(b.Cold.Issuer, "nobody known"))
	if b.Unreachable {
		state = "unreachable, " + state
	}
	return state
}
