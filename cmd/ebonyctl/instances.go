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
	"github.com/ebonydyke/ebonydyke/internal/core/status"
	"github.com/ebonydyke/ebonydyke/internal/responsehead"
)

const (
	// callTimeout limits one request to one instance.
	callTimeout = 3 * time.Second
	// maxResponseBytes is the maximum size of a response that is kept in memory, in bytes.
	maxResponseBytes = 16 << 20
	// maxConcurrentCalls limits the concurrent requests to instances.
	maxConcurrentCalls = 32
)

// httpClient sends requests to instances. It takes no response whose head is malformed for an answer.
var httpClient = &http.Client{Transport: responsehead.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// statusResult is the result of a status request to one instance.
type statusResult struct {
	Address string         `json:"address"`
	Status  *status.Status `json:"status,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// fetchStatuses requests the status of every instance in --instances and returns the results
// in that order.
func (c *cli) fetchStatuses(ctx context.Context) []statusResult {
	results := make([]statusResult, len(c.Instances))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, address := range c.Instances {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			results[i] = fetchStatus(ctx, address)
		})
	}
	wg.Wait()
	return results
}

func fetchStatus(ctx context.Context, address string) statusResult {
	var s status.Status
	if err := call(ctx, http.MethodGet, address, admin.PathStatus, nil, &s); err != nil {
		return statusResult{Address: address, Error: err.Error()}
	}
	return statusResult{Address: address, Status: &s}
}

// call sends a request to an instance's admin interface and decodes the JSON response into v,
// unless v is nil.
func call(ctx context.Context, method, address, path string, query url.Values, v any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := "http://" + address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return fmt.Errorf("instance at %s: %w", address, err)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("no answer from the instance at %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readLimited(resp.Body)
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

// errResponseTooLarge means that a response exceeds maxResponseBytes.
var errResponseTooLarge = fmt.Errorf("response over %d bytes", maxResponseBytes)

// readLimited reads a body of at most maxResponseBytes. With an error it returns what it has read.
func readLimited(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if len(body) > maxResponseBytes {
		return body[:maxResponseBytes], errResponseTooLarge
	}
	return body, err
}

// callFirst sends a request to the instances in --instances in order until one succeeds.
func (c *cli) callFirst(ctx context.Context, path string, query url.Values, v any) error {
	var lastErr error
	for _, address := range c.Instances {
		if lastErr = call(ctx, http.MethodGet, address, path, query, v); lastErr == nil {
			return nil
		}
	}
	return fmt.Errorf("%w\nGive the admin_listen addresses of running instances with --instances", lastErr)
}

// highestInForce returns the highest generation known to be in force on an instance, or 0 if
// no instance responds. An instance also reports the generations of its peers, so one response
// is enough to detect a store that returned to an older state.
func (c *cli) highestInForce(ctx context.Context) uint64 {
	var highest uint64
	responded := false
	for _, r := range c.fetchStatuses(ctx) {
		if r.Status == nil {
			continue
		}
		responded = true
		highest = max(highest, r.Status.Generation)
		for _, p := range r.Status.Peers {
			highest = max(highest, p.Generation)
		}
	}
	if !responded {
		_, _ = fmt.Fprintln(c.stderr, "warning: no instance answers at --instances: a store that went back would not be noticed")
	}
	return highest
}

type drainCommand struct {
	Instance string `arg:"" help:"Name of an instance among --instances, or its operators' address."`
}

// Run starts the graceful shutdown of one instance.
func (c *drainCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	address := c.Instance
	if !strings.Contains(address, ":") {
		var err error
		if address, err = global.adminAddress(ctx, c.Instance); err != nil {
			return err
		}
	}
	if err := call(ctx, http.MethodPost, address, admin.PathDrain, nil, nil); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	global.printf("%s is draining: it ends once every request in progress has its answer\n", c.Instance)
	return nil
}

func (c *cli) adminAddress(ctx context.Context, name string) (string, error) {
	for _, r := range c.fetchStatuses(ctx) {
		if r.Status != nil && r.Status.Instance == name {
			return r.Address, nil
		}
	}
	return "", fmt.Errorf("no instance at %s is named %q; give its admin_listen address", strings.Join(c.Instances, ", "), name)
}
