package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// adoptedText is a configuration decoded from the operators' format: a route to everything of a host, and one beneath it.
func adoptedText(beneath config.Route, customers ...config.Customer) config.Text {
	beneath.Host, beneath.Prefix = "h.example", "/all/beneath/"
	return config.Text{
		Services: []config.Service{{Name: "portal", Kind: config.Plain, FromPlatform: true, SkewBound: 2, SkewSlack: 3, RetryShare: 0.2, RetryBurst: 56}},
		Routes: []config.Route{
			{Host: "h.example", Prefix: "/all/", Kind: config.Idempotent, Timeout: config.Duration(time.Second), Split: []config.Share{{Service: "portal", Weight: 1}}, Anonymous: true},
			beneath,
		},
		Customers: append([]config.Customer{{Name: "bakery", APIKeys: []string{"key-1"}}}, customers...),
	}
}

// adopt puts a configuration of the operators' format into force.
func (r *nodeDriver) adopt(text config.Text) []core.Effect {
	r.t.Helper()
	effects := r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: 2, Edit: "operators-0000"}, Text: &text})
	require.Empty(r.t, effectsOf[core.ConfigRefused](effects))
	return effects
}

// Guards against requests of a route without a usable service that are run by the service of a route with a shorter prefix, or
// answered as if there were no such route.
func TestRequestsOnUnusableRouteAreRefused(t *testing.T) {
	for name, split := range map[string][]config.Share{
		"unknown service": {{Service: "gone", Weight: 1}}, "weights of zero": {{Service: "portal"}}, "none": nil,
	} {
		t.Run(name, func(t *testing.T) {
			r := newNodeDriver(t, 2)
			applied := onlyEffect[core.ConfigApplied](t, r.adopt(adoptedText(config.Route{Kind: config.Idempotent, Timeout: config.Duration(time.Second), Split: split})))
			require.NotEmpty(t, applied.Adjusted)
			finish := onlyEffect[core.Finish](t, r.sendRequest("/all/beneath/x", "key-1"))
			require.Equal(t, reason.RouteUnusable, finish.Reason)
			require.Equal(t, reason.NotRun, finish.Outcome)
			require.Positive(t, finish.RetryAfter)
			onlyEffect[core.SendAttempt](t, r.sendRequest("/all/x", "key-1"))
		})
	}
}

// Guards against a customer who becomes anonymous, or another customer, because no header can carry its name.
func TestCustomerThatCannotBeNamedIsRefused(t *testing.T) {
	sound := config.Route{Kind: config.Idempotent, Timeout: config.Duration(time.Second), Split: []config.Share{{Service: "portal", Weight: 1}}}
	r := newNodeDriver(t, 2)
	r.adopt(adoptedText(sound, config.Customer{Name: "a\r\nTenant: bakery", APIKeys: []string{"key-2", ""}}))
	for _, path := range []string{"/all/beneath/x", "/all/x"} {
		require.Equal(t, reason.UnknownKey, onlyEffect[core.Finish](t, r.sendRequest(path, "key-2")).Reason, path)
	}
	require.Equal(t, reason.UnknownKey, onlyEffect[core.Finish](t, r.sendRequest("/all/beneath/x", "")).Reason)
	require.Empty(t, onlyEffect[core.SendAttempt](t, r.sendRequest("/all/x", "")).Customer)
	require.Equal(t, "bakery", onlyEffect[core.SendAttempt](t, r.sendRequest("/all/x", "key-1")).Customer)
}

// Guards against API keys that are no longer needed without anybody noticing.
func TestLiftedAPIKeysAreReported(t *testing.T) {
	sound := config.Route{Kind: config.Idempotent, Timeout: config.Duration(time.Second), Split: []config.Share{{Service: "portal", Weight: 1}}}
	r := newNodeDriver(t, 2)
	text := adoptedText(sound)
	text.Customers = nil
	require.True(t, onlyEffect[core.ConfigApplied](t, r.adopt(text)).KeysLifted)
}

// Guards against an instance that has no time left for requests, because a new configuration or a tick takes the square of the
// number of services.
func TestManyServicesLeaveTimeForRequests(t *testing.T) {
	r := newNodeDriver(t, 2)
	text := config.Text{}
	for i := range racedetector.Choose(6_000, 2_000) {
		name := fmt.Sprint("service-", i)
		text.Services = append(text.Services, config.Service{Name: name, Kind: config.Plain, FromPlatform: true, SkewBound: 2, RetryShare: 0.2, RetryBurst: 56})
		text.Routes = append(text.Routes, config.Route{Host: "h.example", Prefix: "/" + name + "/", Kind: config.Idempotent, Timeout: config.Duration(time.Second), Split: []config.Share{{Service: name, Weight: 1}}})
	}
	started := time.Now()
	r.adopt(text)
	require.Less(t, time.Since(started), time.Second)
	r.advance(3 * time.Second)
	shortest := time.Hour
	for range 5 {
		started := time.Now()
		r.tick()
		shortest = min(shortest, time.Since(started))
	}
	t.Logf("%d services: %v", len(text.Services), shortest)
	require.Less(t, shortest, core.TickInterval)
}
