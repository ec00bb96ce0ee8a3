package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/edit"
)

// pollInterval is the polling interval of status --wait.
const pollInterval = 200 * time.Millisecond

type statusCommand struct {
	All  bool `help:"List every instance, in a large fleet as well."`
	Wait bool `help:"Wait until every known instance has the newest configuration in force."`
}

// fleetStatus is the JSON output of the status command.
type fleetStatus struct {
	// Newest is the highest generation found in the store or on an instance.
	Newest uint64 `json:"newest"`
	// Stored is the generation in the store.
	Stored uint64 `json:"stored"`
	// StoreError is the error from reading the store, if any.
	StoreError string `json:"store_error,omitempty"`
	// Instances are the results of the status requests.
	Instances []statusResult `json:"instances"`
	// Unqueried are the live instances that were not queried, as reported by their peers.
	Unqueried []unqueriedInstance `json:"heard"`
	// Behind names the instances that are not known to have the newest generation in force.
	Behind []string `json:"behind"`
}

// silentThreshold is the time without a digest after which an instance is shown as silent.
const silentThreshold = 10 * time.Second

// unqueriedInstance is a live instance that was not queried.
type unqueriedInstance struct {
	status.Peer
	// Silent is set if its peers receive no digests from it although the platform lists it.
	Silent bool `json:"silent,omitempty"`
}

// Run prints the status. With --wait it first waits until the newest configuration is in force
// everywhere or the timeout ends.
func (c *statusCommand) Run(global *cli) error {
	// Each request has its own timeout. A request cut short by the end of the wait would show
	// the instance as not responding.
	ctx := context.Background()
	deadline := time.Now().Add(global.Timeout)
	s := global.fleetStatus(ctx)
	for c.Wait && !s.converged() && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
		s = global.fleetStatus(ctx)
	}
	if err := global.printStatus(s, c.All); err != nil {
		return err
	}
	if !s.anyResponded() {
		return errors.New("no instance answers: give the admin_listen addresses of running instances with --instances")
	}
	if c.Wait && !s.converged() {
		return &exitError{exitNotEverywhere, fmt.Errorf("generation %d is not in force everywhere after %v; not on it: %v", s.Newest, global.Timeout, s.Behind)}
	}
	return nil
}

func (s *fleetStatus) anyResponded() bool {
	return slices.ContainsFunc(s.Instances, func(r statusResult) bool { return r.Status != nil })
}

func (s *fleetStatus) converged() bool { return s.Newest > 0 && len(s.Behind) == 0 }

func (c *cli) fleetStatus(ctx context.Context) *fleetStatus {
	s := &fleetStatus{Instances: c.fetchStatuses(ctx)}
	storeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	envelope, _, err := edit.Read(storeCtx, c.store())
	if err != nil {
		s.StoreError = err.Error()
	}
	s.Stored = envelope.Generation
	s.Newest = s.Stored
	s.addUnqueried()
	for _, r := range s.Instances {
		if r.Status != nil {
			s.Newest = max(s.Newest, r.Status.Generation)
		}
	}
	for _, p := range s.Unqueried {
		s.Newest = max(s.Newest, p.Generation)
	}
	s.findBehind()
	return s
}

// addUnqueried adds the live instances that were not queried, each with the latest digest that a
// queried instance received from it.
func (s *fleetStatus) addUnqueried() {
	queried := make(map[string]bool)
	live := make(map[string]bool)
	for _, r := range s.Instances {
		if r.Status == nil {
			continue
		}
		queried[r.Status.Instance] = true
		for _, instance := range r.Status.Instances {
			live[instance.Name] = live[instance.Name] || instance.State == membership.Live
		}
	}
	latest := make(map[string]unqueriedInstance)
	for _, r := range s.Instances {
		if r.Status == nil {
			continue
		}
		for _, p := range r.Status.Peers {
			if p.LastDigestAt.After(latest[p.Name].LastDigestAt) {
				latest[p.Name] = unqueriedInstance{Peer: p, Silent: r.Status.At.Sub(p.LastDigestAt) > silentThreshold}
			}
		}
	}
	for name, isLive := range live {
		if !isLive || queried[name] {
			continue
		}
		p, ok := latest[name]
		if !ok {
			p = unqueriedInstance{Peer: status.Peer{Name: name}, Silent: true}
		}
		s.Unqueried = append(s.Unqueried, p)
	}
	slices.SortFunc(s.Unqueried, func(a, b unqueriedInstance) int { return cmp.Compare(a.Name, b.Name) })
}

func (s *fleetStatus) findBehind() {
	for _, r := range s.Instances {
		switch {
		case r.Status == nil:
			s.Behind = append(s.Behind, r.Address)
		case r.Status.Generation < s.Newest:
			s.Behind = append(s.Behind, r.Status.Instance)
		}
	}
	for _, p := range s.Unqueried {
		if p.Generation < s.Newest {
			s.Behind = append(s.Behind, p.Name)
		}
	}
}

func (c *cli) printStatus(s *fleetStatus, all bool) error {
	if c.JSON {
		return c.printJSON(s)
	}
	if all || len(s.Instances)+len(s.Unqueried) <= maxListedInstances {
		c.printInstances(s, func(*statusResult) bool { return true }, func(*unqueriedInstance) bool { return true })
	} else {
		c.printZones(s)
	}
	c.printConfiguration(s)
	c.printEvacuations(s.Instances)
	c.printSeparations(s.Instances)
	c.printServices(s.Instances)
	return nil
}

// printInstances prints a row for each instance that its filter selects.
func (c *cli) printInstances(s *fleetStatus, include func(*statusResult) bool, includeUnqueried func(*unqueriedInstance) bool) {
	t := c.table("INSTANCE", "ZONE", "GENERATION", "STATE", "IN FLIGHT", "PLATFORM")
	for _, r := range s.Instances {
		if include(&r) {
			t.row(instanceRow(&r)...)
		}
	}
	for _, p := range s.Unqueried {
		if includeUnqueried(&p) {
			t.row(p.Name, "", formatGeneration(p.Generation), unqueriedState(p), "", "")
		}
	}
	t.flush()
}

func instanceRow(r *statusResult) []string {
	if r.Status == nil {
		return []string{r.Address, "", "", "no answer", "", ""}
	}
	return []string{
		r.Status.Instance, r.Status.Zone, formatGeneration(r.Status.Generation), instanceState(r.Status),
		fmt.Sprint(r.Status.InFlight), platformState(r.Status),
	}
}

// printConfiguration prints the refused configurations and the generations in the store and in
// force.
func (c *cli) printConfiguration(s *fleetStatus) {
	for _, r := range s.Instances {
		if r.Status != nil && len(r.Status.Findings) > 0 {
			c.printf("%s refused a newer configuration:\n%v\n", r.Status.Instance, r.Status.Findings)
		}
	}
	c.printAdjustments(s)
	if s.StoreError != "" {
		c.printf("store: not read from here: %s\n", s.StoreError)
	} else {
		c.printf("store: %s\n", formatGeneration(s.Stored))
	}
	if s.converged() {
		c.printf("generation %d is in force on all %d known instances\n", s.Newest, len(s.Instances)+len(s.Unqueried))
	}
	if s.Stored < s.Newest && s.StoreError == "" {
		c.printf("the store went back: generation %d is in force\n", s.Newest)
	}
}

// printAdjustments prints the elements that are not in force as they were written, as the first instance with the newest
// configuration tells them: all instances read a configuration alike.
func (c *cli) printAdjustments(s *fleetStatus) {
	for _, r := range s.Instances {
		if r.Status == nil || r.Status.Generation != s.Newest || len(r.Status.Adjusted) == 0 {
			continue
		}
		c.printf("generation %d has elements that are not in force as written:\n", s.Newest)
		for _, a := range r.Status.Adjusted {
			c.printf("  %v\n", a)
		}
		return
	}
}

func formatGeneration(g uint64) string {
	if g == 0 {
		return "none"
	}
	return fmt.Sprintf("generation %d", g)
}

func instanceState(s *status.Status) string {
	switch {
	case s.Stopping:
		return "draining"
	case s.Generation == 0:
		return "waiting for a configuration"
	default:
		return "serving"
	}
}

func unqueriedState(p unqueriedInstance) string {
	switch {
	case !p.Silent:
		return "heard of, not asked"
	case p.LastDigestAt.IsZero():
		return "listed, never heard of"
	default:
		return "silent since " + p.LastDigestAt.Format(time.RFC3339)
	}
}

func platformState(s *status.Status) string {
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
