package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// VersionHeader carries a key's version in the platform's protocol.
const VersionHeader = "Kv-Version"

// WatchWait is how long the platform holds a watch before it answers unchanged.
const WatchWait = 30 * time.Second

// Bounds of the client.
const (
	// maxValue is the largest value the platform holds, in bytes.
	maxValue = 1 << 20
	// maxConns bounds the connections to the platform. The core makes at most a
	// call for each range of the ledger and a few more at once.
	maxConns = 64
	// idleConns is how many of them are kept open: dialling for each call would cost
	// more than the call.
	idleConns   = 16
	idleTimeout = 90 * time.Second
	// dialTimeout lies under the time limit of a call, so that a platform that
	// cannot be reached shows as such and not as a call of unknown outcome.
	dialTimeout = time.Second
)

// Client calls the platform over HTTP. The standard client is used rather than
// fasthttp because a call must be cancelled when its deadline passes.
//
// The standard client sends a GET again, but a PUT only if no byte of it had left:
// a write that failed after that is the caller's to read back.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at the base URL.
func NewClient(base string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{base: base, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect takes a redirect for the answer that it is: the platform has none.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	return c.do(ctx, http.MethodGet, c.keyURL(key, nil), nil)
}

// Swap writes a key whose version is still version; 0 creates the key.
func (c *Client) Swap(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	q := url.Values{"version": {strconv.FormatUint(version, 10)}}
	_, v, err := c.do(ctx, http.MethodPut, c.keyURL(key, q), value)
	return v, err
}

// Watch waits until the key's version differs from version.
func (c *Client) Watch(ctx context.Context, key string, version uint64) ([]byte, uint64, error) {
	q := url.Values{
		"after": {strconv.FormatUint(version, 10)},
		"wait":  {WatchWait.String()},
	}
	return c.do(ctx, http.MethodGet, c.keyURL(key, q), nil)
}

// List returns every instance that the platform knows.
func (c *Client) List(ctx context.Context) ([]membership.Instance, error) {
	body, _, err := c.do(ctx, http.MethodGet, c.base+"/v1/instances", nil)
	if err != nil {
		return nil, err
	}
	var list []membership.Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("platform: instance list: %w", err)
	}
	return list, nil
}

func (c *Client) keyURL(key string, q url.Values) string {
	u := c.base + "/v1/kv/" + key
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	return u
}

func (c *Client) do(ctx context.Context, method, target string, body []byte) ([]byte, uint64, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, sendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxValue+1))
	if err != nil {
		return nil, 0, fmt.Errorf("platform: read answer: %w", err)
	}
	if len(value) > maxValue {
		return nil, 0, fmt.Errorf("platform: answer over %d bytes", maxValue)
	}
	return value, versionOf(resp), statusError(resp.StatusCode)
}

// sendError tells a call that never left from one that may have arrived.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("platform: %w", err)
}

func versionOf(resp *http.Response) uint64 {
	v, _ := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	return v
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrAbsent
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotModified:
		return ErrUnchanged
	default:
		return fmt.Errorf("platform: status %d", status)
	}
}
