package main

import (
	"fmt"
	"net/url"

	"github.com/ebonydyke/ebonydyke/internal/admin"
	"github.com/ebonydyke/ebonydyke/internal/core"
)

type explainCommand struct {
	Service  string `required:"" help:"The service."`
	Customer string `help:"The customer."`
	Chat     string `help:"The chat."`
	Hint     string `help:"The Ebonydyke-Placement header of the chat's last turn."`
}

// Run explains a placement.
func (c *explainCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	query := url.Values{"service": {c.Service}, "customer": {c.Customer}, "chat": {c.Chat}, "hint": {c.Hint}}
	var x core.Explanation
	if err := global.askFirst(ctx, admin.PathExplain, query, &x); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	if global.JSON {
		return global.printJSON(x)
	}
	t := global.table("RANK", "BACKEND SERVER", "ZONE", "LOAD", "OWN", "WHY")
	for i, b := range x.Ranking {
		t.row(fmt.Sprint(i+1), b.Name, b.Zone, fmt.Sprintf("%.1f", b.Load), fmt.Sprint(b.Own), b.Why)
	}
	t.flush()
	global.printf("generation %d; mean load %.2f; bound %v times the mean: up to %v requests, this chat moves on at %v\n",
		x.Generation, x.Mean, x.Bound, x.Limit, x.Inner)
	global.printf("the service carries %.1f of %v requests; the customer has %d in progress at this instance\n",
		x.Load, x.Capacity, x.CustomerInFlight)
	if x.Refused != "" {
		global.printf("the turn would be refused: %s\n", x.Refused)
	} else {
		global.printf("the turn would go to %s\n", x.Chosen)
	}
	return nil
}

type backendsCommand struct {
	Service string `help:"Only this service."`
}

// Run lists the backend servers as the first instance sees them.
func (c *backendsCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	var s core.Status
	if err := global.askFirst(ctx, admin.PathStatus, nil, &s); err != nil {
		return fmt.Errorf("backends: %w", err)
	}
	services := make([]core.ServiceStatus, 0, len(s.Services))
	for _, service := range s.Services {
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
	global.printf("as %s sees them; OWN is its own part of the load\n", s.Instance)
	return nil
}

func backendState(b core.BackendStatus) string {
	if b.Unreachable {
		return "not reachable from here lately"
	}
	return string(b.State)
}
