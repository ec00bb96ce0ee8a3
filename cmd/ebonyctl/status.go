package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/edit"
)

// statusInterval is how often status --wait asks again.
const statusInterval = 200 * time.Millisecond

type statusCommand struct {
	All  bool `help:"List every instance, in a large fleet as well."`
	Wait bool `help:"Wait until every known instance has the newest configuration in force."`
}

// fleetStatus is what status prints for scripts.
type fleetStatus struct {
	// Newest is the highest generation seen in the store or on an instance.
	Newest uint64 `json:"newest"`
	// Stored is the generation that the store holds; StoreError why it was not read.
	Stored     uint64  `json:"stored"`
	StoreError string  `json:"store_error,omitempty"`
	Instances  []asked `json:"instances"`
	// Heard are live instances that were not asked, as their peers heard them.
	Heard []heard `json:"heard"`
	// Behind names the instances that are not known to be on the newest.
	Behind []string `json:"behind"`
}

// silentAfter is how long a peer may say nothing before the tool says so.
const silentAfter = 10 * time.Second

// heard is a live instance that was not asked.
type heard struct {
	core.PeerStatus
	// Silent says that its peers hear nothing of it, although the platform lists it.
	Silent bool `json:"silent,omitempty"`
}

// Run prints the status, once it is as wished.
func (c *statusCommand) Run(global *cli) error {
	// Each question has its own time limit: one that the end of the wait cut short
	// would show an instance as not answering.
	ctx := context.Background()
	end := time.Now().Add(global.Timeout)
	s := global.fleetStatus(ctx)
	for c.Wait && !s.settled() && time.Now().Before(end) {
		time.Sleep(statusInterval)
		s = global.fleetStatus(ctx)
	}
	if err := global.printStatus(s, c.All); err != nil {
		return err
	}
	if !s.answered() {
		return errors.New("no instance answers: give the admin_listen addresses of running instances with --instances")
	}
	if c.Wait && !s.settled() {
		return &exitError{exitNotEverywhere, fmt.Errorf("generation %d is not in force everywhere after %v; not on it: %v", s.Newest, global.Timeout, s.Behind)}
	}
	return nil
}

func (s *fleetStatus) answered() bool {
	return slices.ContainsFunc(s.Instances, func(a asked) bool { return a.Status != nil })
}

func (s *fleetStatus) settled() bool { return s.Newest > 0 && len(s.Behind) == 0 }

func (c *cli) fleetStatus(ctx context.Context) *fleetStatus {
	s := &fleetStatus{Instances: c.askAll(ctx)}
	storeCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	env, _, err := edit.Read(storeCtx, c.store())
	if err != nil {
		s.StoreError = err.Error()
	}
	s.Stored = env.Generation
	s.Newest = s.Stored
	s.hearPeers()
	for _, a := range s.Instances {
		if a.Status != nil {
			s.Newest = max(s.Newest, a.Status.Generation)
		}
	}
	for _, p := range s.Heard {
		s.Newest = max(s.Newest, p.Generation)
	}
	s.findBehind()
	return s
}

// hearPeers collects what the asked instances heard of live ones that were not
// asked, the latest word of each.
func (s *fleetStatus) hearPeers() {
	known := make(map[string]bool)
	live := make(map[string]bool)
	for _, a := range s.Instances {
		if a.Status == nil {
			continue
		}
		known[a.Status.Instance] = true
		for _, in := range a.Status.Instances {
			live[in.Name] = live[in.Name] || in.State == membership.Live
		}
	}
	latest := make(map[string]heard)
	for _, a := range s.Instances {
		if a.Status == nil {
			continue
		}
		for _, p := range a.Status.Peers {
			if p.LastDigestAt.After(latest[p.Name].LastDigestAt) {
				latest[p.Name] = heard{PeerStatus: p, Silent: a.Status.At.Sub(p.LastDigestAt) > silentAfter}
			}
		}
	}
	for name, isLive := range live {
		if !isLive || known[name] {
			continue
		}
		p, ok := latest[name]
		if !ok {
			p = heard{PeerStatus: core.PeerStatus{Name: name}, Silent: true}
		}
		s.Heard = append(s.Heard, p)
	}
	slices.SortFunc(s.Heard, func(a, b heard) int { return cmp.Compare(a.Name, b.Name) })
}

func (s *fleetStatus) findBehind() {
	for _, a := range s.Instances {
		switch {
		case a.Status == nil:
			s.Behind = append(s.Behind, a.Address)
		case a.Status.Generation < s.Newest:
			s.Behind = append(s.Behind, a.Status.Instance)
		}
	}
	for _, p := range s.Heard {
		if p.Generation < s.Newest {
			s.Behind = append(s.Behind, p.Name)
		}
	}
}

func (c *cli) printStatus(s *fleetStatus, all bool) error {
	if c.JSON {
		return c.printJSON(s)
	}
	if all || len(s.Instances)+len(s.Heard) <= oneScreen {
		c.printInstances(s, func(*asked) bool { return true }, func(*heard) bool { return true })
	} else {
		c.printZones(s)
	}
	c.printConfiguration(s)
	return nil
}

// printInstances prints a row for each instance that is asked for.
func (c *cli) printInstances(s *fleetStatus, wanted func(*asked) bool, wantedHeard func(*heard) bool) {
	t := c.table("INSTANCE", "ZONE", "GENERATION", "STATE", "IN FLIGHT", "PLATFORM")
	for _, a := range s.Instances {
		if wanted(&a) {
			t.row(instanceRow(&a)...)
		}
	}
	for _, p := range s.Heard {
		if wantedHeard(&p) {
			t.row(p.Name, "", generation(p.Generation), heardState(p), "", "")
		}
	}
	t.flush()
}

func instanceRow(a *asked) []string {
	if a.Status == nil {
		return []string{a.Address, "", "", "no answer", "", ""}
	}
	return []string{
		a.Status.Instance, a.Status.Zone, generation(a.Status.Generation), state(a.Status),
		fmt.Sprint(a.Status.InFlight), platformWord(a.Status),
	}
}

// printConfiguration prints what the store and the instances say of the configuration.
func (c *cli) printConfiguration(s *fleetStatus) {
	for _, a := range s.Instances {
		if a.Status != nil && len(a.Status.Findings) > 0 {
			c.printf("%s refused a newer configuration:\n%v\n", a.Status.Instance, a.Status.Findings)
		}
	}
	if s.StoreError != "" {
		c.printf("store: not read from here: %s\n", s.StoreError)
	} else {
		c.printf("store: %s\n", generation(s.Stored))
	}
	if s.settled() {
		c.printf("generation %d is in force on all %d known instances\n", s.Newest, len(s.Instances)+len(s.Heard))
	}
	if s.Stored < s.Newest && s.StoreError == "" {
		c.printf("the store went back: generation %d is in force\n", s.Newest)
	}
}

func generation(g uint64) string {
	if g == 0 {
		return "none"
	}
	return fmt.Sprintf("generation %d", g)
}

func state(s *core.Status) string {
	switch {
	case s.Stopping:
		return "draining"
	case s.Generation == 0:
		return "waiting for a configuration"
	default:
		return "serving"
	}
}

func heardState(p heard) string {
	switch {
	case !p.Silent:
		return "heard of, not asked"
	case p.LastDigestAt.IsZero():
		return "listed, never heard of"
	default:
		return "silent since " + p.LastDigestAt.Format(time.RFC3339)
	}
}

func platformWord(s *core.Status) string {
	p := s.Platform
	switch {
	case !p.Known:
		return "not called yet"
	case p.Reachable:
		return "reachable"
	default:
		return "unreachable since " + p.Since.Format(time.RFC3339)
	}
}
