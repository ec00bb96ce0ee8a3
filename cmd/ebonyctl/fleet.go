package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/admin"
	"github.com/ebonydyke/ebonydyke/internal/core"
)

const (
	// askTimeout bounds one question to one instance.
	askTimeout = 3 * time.Second
	// maxAnswer bounds an instance's answer, in bytes.
	maxAnswer = 16 << 20
	// maxAsked bounds the instances asked at once.
	maxAsked = 32
)

// asked is one instance's answer about its status.
type asked struct {
	Address string       `json:"address"`
	Status  *core.Status `json:"status,omitempty"`
	Error   string       `json:"error,omitempty"`
}

// askAll asks every given instance for its status, in the order given.
func (c *cli) askAll(ctx context.Context) []asked {
	answers := make([]asked, len(c.Instances))
	slots := make(chan struct{}, maxAsked)
	var wait sync.WaitGroup
	for i, address := range c.Instances {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i] = askStatus(ctx, address)
		})
	}
	wait.Wait()
	return answers
}

func askStatus(ctx context.Context, address string) asked {
	var s core.Status
	if err := ask(ctx, http.MethodGet, address, admin.PathStatus, nil, &s); err != nil {
		return asked{Address: address, Error: err.Error()}
	}
	return asked{Address: address, Status: &s}
}

// ask calls an instance's interface and reads its JSON answer into v, if not nil.
func ask(ctx context.Context, method, address, path string, query url.Values, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	target := "http://" + address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return fmt.Errorf("instance at %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("no answer from the instance at %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("instance at %s: %w", address, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("instance at %s: %s", address, strings.TrimSpace(string(body)))
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("instance at %s: %w", address, err)
	}
	return nil
}

// askFirst calls the given instances in turn until one answers.
func (c *cli) askFirst(ctx context.Context, path string, query url.Values, v any) error {
	var last error
	for _, address := range c.Instances {
		if last = ask(ctx, http.MethodGet, address, path, query, v); last == nil {
			return nil
		}
	}
	return fmt.Errorf("%w\nGive the admin_listen addresses of running instances with --instances", last)
}

// highestInForce returns the highest generation that any instance is known to
// have in force, 0 if none answers. Instances also tell of their peers, so one
// that answers is enough to notice a store that went back.
func (c *cli) highestInForce(ctx context.Context) uint64 {
	var highest uint64
	answered := false
	for _, a := range c.askAll(ctx) {
		if a.Status == nil {
			continue
		}
		answered = true
		highest = max(highest, a.Status.Generation)
		for _, p := range a.Status.Peers {
			highest = max(highest, p.Generation)
		}
	}
	if !answered {
		_, _ = fmt.Fprintln(c.err, "warning: no instance answers at --instances: a store that went back would not be noticed")
	}
	return highest
}

type drainCommand struct {
	Instance string `arg:"" help:"Name of an instance among --instances, or its operators' address."`
}

// Run orders the graceful shutdown of one instance.
func (c *drainCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	address := c.Instance
	if !strings.Contains(address, ":") {
		var err error
		if address, err = global.addressOf(ctx, c.Instance); err != nil {
			return err
		}
	}
	if err := ask(ctx, http.MethodPost, address, admin.PathDrain, nil, nil); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	global.printf("%s is draining: it ends once every request in progress has its answer\n", c.Instance)
	return nil
}

func (c *cli) addressOf(ctx context.Context, name string) (string, error) {
	for _, a := range c.askAll(ctx) {
		if a.Status != nil && a.Status.Instance == name {
			return a.Address, nil
		}
	}
	return "", fmt.Errorf("no instance at %s is named %q; give its admin_listen address", strings.Join(c.Instances, ", "), name)
}
