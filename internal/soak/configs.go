package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	// minRouteTimeout is the shortest timeout that a configuration gives the routes.
	minRouteTimeout = 3 * time.Second
	// minMaxBody and minIdleTimeout are the lowest limits that it gives callers.
	minMaxBody, minIdleTimeout = 1 << 19, 12 * time.Second
	// maxWeight bounds the weights of the shares of a route that is split, and maxExtraRoutes the routes that come and go.
	maxWeight, maxExtraRoutes = 5, 4
)

// operatorChoices are what the operators change from one configuration to the next, beside the key and the spare route of
// each version.
type operatorChoices struct {
	timeout     time.Duration
	maxBody     int
	idleTimeout time.Duration
	// weights are those of the two shares into which a route is split.
	weights [2]float64
	// extraRoutes is the number of routes that no caller uses.
	extraRoutes int
}

func firstChoices() operatorChoices {
	return operatorChoices{timeout: routeTimeout, maxBody: 1 << 20, idleTimeout: 15 * time.Second, weights: [2]float64{1, 1}}
}

// change changes one of the choices, or only the key.
func (c *operatorChoices) change(random *rand.Rand) {
	changes := []func(){
		func() { c.timeout = randomDuration(random, minRouteTimeout, routeTimeout).Round(time.Millisecond) },
		func() { c.weights[random.IntN(2)] = float64(1 + random.IntN(maxWeight)) },
		func() { c.extraRoutes = random.IntN(maxExtraRoutes) },
		func() {
			c.maxBody = minMaxBody + random.IntN(minMaxBody)
			c.idleTimeout = randomDuration(random, minIdleTimeout, minIdleTimeout+3*time.Second)
		},
		func() {},
	}
	changes[random.IntN(len(changes))]()
}

// reconfigure writes a configuration with other timeouts, weights, routes or limits, and another key.
func (w *World) reconfigure(p faultParams) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.choices.change(p.random)
	w.writeNextConfig()
}

// oddElement returns the element that cannot be used and that a version has beside the others, nil for two versions in three. It
// follows from the version, so that what a seed draws does not depend on it.
func oddElement(version int) *fakeplatform.OddElement {
	if version%3 != 0 {
		return nil
	}
	return &fakeplatform.OddElements[version/3%len(fakeplatform.OddElements)]
}

// writeNextConfig writes the next version of the operators' configuration. The new version has
// its own key and its own spare route in place of those of the previous version.
func (w *World) writeNextConfig() {
	c := w.choices
	route := func(name, kind string, runs int, resumable bool) fakeplatform.Route {
		return fakeplatform.Route{
			Name: name, Host: routeHost, Prefix: "/" + name + "/", Service: "work", Kind: kind,
			MaxRuns: runs, Resumable: resumable, Timeout: c.timeout,
		}
	}
	safe := route(kindSafe, fakeplatform.Idempotent, 2, false)
	safe.Split = []fakeplatform.Share{{Service: "work", Weight: c.weights[0]}, {Service: "work", Weight: c.weights[1]}}
	routes := []fakeplatform.Route{
		route(kindOnce, fakeplatform.NonIdempotent, 1, false),
		safe,
		route(kindStream, fakeplatform.Stream, 2, true),
		route(kindReview, fakeplatform.Stream, 1, false),
		route(fmt.Sprint("spare-", w.nextVersion), fakeplatform.Idempotent, 1, false),
	}
	for n := range c.extraRoutes {
		routes = append(routes, route(fmt.Sprint("extra-", n), fakeplatform.Idempotent, 1, false))
	}
	w.recordTimeout(c.timeout)
	w.store.Configure(fakeplatform.Config{
		Version: w.nextVersion, Services: []string{"work"}, Customer: "t1",
		Keys: []string{callerKey, fmt.Sprint("key-", w.nextVersion)}, Routes: routes,
		MaxBody: c.maxBody, IdleTimeout: c.idleTimeout, WarmUp: w.warmUp(),
		Odd: oddElement(w.nextVersion),
	})
	w.writtenVersions = append(w.writtenVersions, w.nextVersion)
	w.nextVersion += 1 + w.versionSteps.IntN(3)
}
