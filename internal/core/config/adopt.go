package config

import (
	"fmt"
	"strings"
	"time"
)

// MaxCustomerNameBytes is the maximum length of a customer's name in an adopted configuration, in bytes. It is sent to backend
// servers in a header, and servers commonly limit all headers together to 8 KB.
const MaxCustomerNameBytes = 4096

// Adopt builds the snapshot of a configuration that was decoded from the format of the platform's operators. The platform's store
// has accepted that text, and nobody would see a finding before the text counts, so it is never refused: refusing it would keep
// keys in force that it revokes, and keep out all later texts. An element that cannot be used as written costs only itself, and is
// read in the way that lets nothing happen that the operators did not permit.
func Adopt(env Envelope, t Text) (*Snapshot, Adjustments) {
	a := adopter{services: make(map[string]bool), keyOwners: make(map[string]string), refusedKeys: make(map[string]bool)}
	t.Services = a.adoptServices(t.Services, t.Routes)
	t.Customers = a.adoptCustomers(t.Customers)
	t.Routes = a.adoptRoutes(t.Routes)
	t.Limits = a.adoptLimits(t.Limits)
	fillDefaults(&t)
	s := newSnapshot(env, t)
	s.refusedKeys = a.refusedKeys
	return s, a.adjustments
}

// adopter collects the adjustments of one text.
type adopter struct {
	adjustments Adjustments
	// services are the names of the adopted services.
	services map[string]bool
	// keyOwners maps API keys to the customers that hold them.
	keyOwners map[string]string
	// refusedKeys are the API keys of customers that cannot be named to backend servers.
	refusedKeys map[string]bool
}

func (a *adopter) adjust(effect Effect, element, format string, args ...any) {
	a.adjustments.Add(effect, element, format, args...)
}

// adoptServices leaves out the services that no route can name, or that another one before them has the name of. Above MaxServices,
// it leaves out those that no route names: each service costs an instance time at each tick, and they get no requests.
func (a *adopter) adoptServices(services []Service, routes []Route) []Service {
	routed := routedServices(routes)
	adopted, idle := make([]Service, 0, len(services)), 0
	for i, s := range services {
		path := elementPath("services", i) + ".name"
		switch {
		case s.Name == "":
			a.adjust(LeftOut, path, "no name")
		case a.services[s.Name]:
			a.adjust(LeftOut, path, "service %s is declared before", quoted(s.Name))
		case len(services) > MaxServices && !routed[s.Name]:
			idle++
		default:
			a.services[s.Name] = true
			adopted = append(adopted, s)
		}
	}
	if idle > 0 {
		a.adjust(LeftOut, "services", "%d services that no route names, because there are over %d", idle, MaxServices)
	}
	return adopted
}

// routedServices returns the names of the services that any route names.
func routedServices(routes []Route) map[string]bool {
	routed := make(map[string]bool)
	for i := range routes {
		for _, s := range routes[i].Split {
			routed[s.Service] = true
		}
	}
	return routed
}

// adoptCustomers keeps nil, which means that no API keys are needed, apart from a list in which nothing can be used.
func (a *adopter) adoptCustomers(customers []Customer) []Customer {
	if customers == nil {
		return nil
	}
	adopted := make([]Customer, 0, len(customers))
	for i, c := range customers {
		path := elementPath("customers", i)
		problem := headerProblem(c.Name)
		c.APIKeys = a.adoptKeys(path+".api_keys", c, problem == "")
		if problem != "" {
			a.adjust(Refusing, path+".name", "%s", problem)
			continue
		}
		a.reportRegions(path+".regions", c.Regions)
		adopted = append(adopted, c)
	}
	return adopted
}

// headerProblem returns why a header cannot carry a name unchanged, or "" if it can.
func headerProblem(name string) string {
	switch {
	case name == "":
		return "no name"
	case len(name) > MaxCustomerNameBytes:
		return fmt.Sprintf("name %s is over %d bytes", quoted(name), MaxCustomerNameBytes)
	case strings.Trim(name, " \t") != name:
		return fmt.Sprintf("name %s begins or ends with a blank, which no header carries", quoted(name))
	case strings.ContainsFunc(name, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }):
		return fmt.Sprintf("name %s has a control character, which no header carries", quoted(name))
	default:
		return ""
	}
}

// adoptKeys returns the API keys that a customer holds. Those of a customer that cannot be used are refused: a request with one
// of them must not be taken for a request without a customer.
func (a *adopter) adoptKeys(path string, c Customer, usable bool) []string {
	var adopted []string
	for i, key := range c.APIKeys {
		owner, held := a.keyOwners[key]
		switch {
		case key == "":
			// Requests without a key would be those of this customer.
			a.adjust(LeftOut, elementPath(path, i), "empty API key")
			continue
		case held && owner != c.Name:
			a.adjust(LeftOut, elementPath(path, i), "the API key is that of customer %s, which is declared before", quoted(owner))
			continue
		case held:
			continue
		}
		a.keyOwners[key] = c.Name
		if !usable {
			a.refusedKeys[key] = true
		}
		adopted = append(adopted, key)
	}
	return adopted
}

func (a *adopter) adoptLimits(l CallerLimits) CallerLimits {
	l.MaxHeader = a.positiveOrNone("limits.max_header", l.MaxHeader)
	l.MaxBody = a.positiveOrNone("limits.max_body", l.MaxBody)
	l.HeaderTimeout = Duration(a.positiveOrNone("limits.header_timeout", int(l.HeaderTimeout)))
	l.IdleTimeout = Duration(a.positiveOrNone("limits.idle_timeout", int(l.IdleTimeout)))
	return l
}

// positiveOrNone returns a limit, or 0 for a negative one. The limit in the instance's own settings applies in any case.
func (a *adopter) positiveOrNone(path string, limit int) int {
	if limit < 0 {
		a.adjust(Defaulted, path, "negative, so that only the limit in the instance's settings applies")
	}
	return max(0, limit)
}

func (a *adopter) reportRegions(path string, regions []string) {
	if regions != nil && len(regions) == 0 {
		a.adjust(Refusing, path, "an empty list allows no region")
	}
}

// adoptRoutes leaves out the routes that no request can match, or that another one before them has the match of.
func (a *adopter) adoptRoutes(routes []Route) []Route {
	adopted := make([]Route, 0, len(routes))
	matches := make(map[[2]string]bool, len(routes))
	for i, r := range routes {
		path := elementPath("routes", i)
		match := [2]string{r.Host, r.Prefix}
		switch {
		case r.Host == "":
			a.adjust(LeftOut, path+".host", "no host")
		case !strings.HasPrefix(r.Prefix, "/"):
			a.adjust(LeftOut, path+".prefix", "prefix %s matches no path", quoted(r.Prefix))
		case matches[match]:
			a.adjust(LeftOut, path+".prefix", "host and prefix are those of a route that is declared before")
		default:
			matches[match] = true
			adopted = append(adopted, a.adoptRoute(path, r))
		}
	}
	return adopted
}

func (a *adopter) adoptRoute(path string, r Route) Route {
	if r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Stream {
		a.adjust(Restricted, path+".kind", "unknown kind %s, so that requests run at most once", quoted(string(r.Kind)))
		r.Kind = NonIdempotent
	}
	if r.Resumable && r.Kind != Stream {
		a.adjust(Restricted, path+".resumable", "only a stream can be resumed")
		r.Resumable = false
	}
	r.Timeout = a.adoptTimeout(path+".timeout", r.Timeout)
	r.Goal = a.adoptGoal(path+".goal", r.Goal)
	r.PauseGoal = a.adoptGoal(path+".pause_goal", r.PauseGoal)
	r.MaxRuns = a.adoptMaxRuns(path+".max_runs", r.MaxRuns)
	r.Split = a.adoptSplit(path+".split", r.Split)
	a.reportRegions(path+".regions", r.Regions)
	return r
}

func (a *adopter) adoptTimeout(path string, timeout Duration) Duration {
	switch {
	case timeout <= 0:
		a.adjust(Defaulted, path, "no timeout above 0, so that %v applies", time.Duration(DefaultDeadline))
		return DefaultDeadline
	case timeout > MaxDuration:
		a.adjust(Bounded, path, "over %v", time.Duration(MaxDuration))
		return MaxDuration
	default:
		return timeout
	}
}

func (a *adopter) adoptGoal(path string, goal Duration) Duration {
	switch {
	case goal < 0:
		a.adjust(Defaulted, path, "below 0, so that there is no goal")
		return 0
	case goal > MaxDuration:
		a.adjust(Bounded, path, "over %v", time.Duration(MaxDuration))
		return MaxDuration
	default:
		return goal
	}
}

// adoptMaxRuns returns the number of backend servers that may start one request; 0 means the default.
func (a *adopter) adoptMaxRuns(path string, runs int) int {
	switch {
	case runs < 0:
		a.adjust(Restricted, path, "below 0, so that one backend server may run a request")
		return 1
	case runs > MaxAttemptsLimit:
		a.adjust(Bounded, path, "over %d", MaxAttemptsLimit)
		return MaxAttemptsLimit
	default:
		return runs
	}
}

// adoptSplit returns the shares of the services that exist. A route without any stays in force, and its requests are refused:
// without it, they would match a route with a shorter prefix, whose service may not be allowed to run them.
func (a *adopter) adoptSplit(path string, split []Share) []Share {
	adopted, sum := make([]Share, 0, len(split)), 0.0
	for i, s := range split {
		switch {
		case !a.services[s.Service]:
			a.adjust(LeftOut, elementPath(path, i)+".service", "unknown service %s", quoted(s.Service))
			continue
		case !(s.Weight >= 0):
			a.adjust(LeftOut, elementPath(path, i)+".weight", "weight below 0")
			continue
		case s.Weight > MaxWeight:
			a.adjust(Bounded, elementPath(path, i)+".weight", "over %v", MaxWeight)
			s.Weight = MaxWeight
		}
		adopted, sum = append(adopted, s), sum+s.Weight
	}
	if sum > 0 {
		return adopted
	}
	a.adjust(Refusing, path, "no known service with a weight above 0")
	return nil
}
