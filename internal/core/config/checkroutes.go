package config

import (
	"strings"
	"time"
)

// checkRoutes validates the routes and finds those with the same name or the same host and
// prefix.
func (c *checker) checkRoutes() {
	names := make(map[string]string, len(c.text.Routes))
	matches := make(map[[2]string]string, len(c.text.Routes))
	for i := range c.text.Routes {
		r := &c.text.Routes[i]
		path := elementPath("routes", i)
		c.checkName(path+".name", r.Name)
		if first, ok := names[r.Name]; ok && r.Name != "" {
			c.doc.Add(path+".name", "route %q is already declared at %s", r.Name, c.position(first))
		} else {
			names[r.Name] = path + ".name"
		}
		match := [2]string{r.Host, r.Prefix}
		if first, ok := matches[match]; ok {
			c.doc.Add(path+".prefix", "host and prefix are already those of the route at %s", c.position(first))
		} else {
			matches[match] = path + ".name"
		}
		c.checkRoute(path, r)
	}
}

func (c *checker) checkRoute(path string, r *Route) {
	if r.Host == "" {
		c.doc.Add(path+".host", "no host, expected the one that callers name")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.doc.Add(path+".prefix", "prefix %q, expected a slash at both ends", r.Prefix)
	}
	if r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Stream {
		c.doc.Add(path+".kind", "kind %q, expected %q, %q or %q", r.Kind, Idempotent, NonIdempotent, Stream)
	}
	if r.Resumable && r.Kind != Stream {
		c.doc.Add(path+".resumable", "resumable on a route of kind %q, expected %q", r.Kind, Stream)
	}
	if r.Timeout <= 0 {
		c.doc.Add(path+".timeout", "timeout must be above 0")
	}
	if r.Goal < 0 || r.PauseGoal < 0 {
		c.doc.Add(path+".goal", "goals must not be under 0")
	}
	if longest := max(r.Timeout, r.Goal, r.PauseGoal); longest > MaxDuration {
		c.doc.Add(path+".timeout", "timeout or goal %v, expected at most %v", time.Duration(longest), time.Duration(MaxDuration))
	}
	if r.MaxRuns < 1 || r.MaxRuns > MaxAttemptsLimit {
		c.doc.Add(path+".max_runs", "max_runs %d, expected 1 to %d", r.MaxRuns, MaxAttemptsLimit)
	}
	c.checkSplit(path+".split", r.Split)
}

func (c *checker) checkSplit(path string, split []Share) {
	sum := 0.0
	for i, s := range split {
		if _, ok := c.services[s.Service]; !ok {
			c.doc.Add(elementPath(path, i)+".service", "unknown service %q, expected a service of this text", s.Service)
		}
		if s.Weight < 0 || s.Weight > MaxWeight {
			c.doc.Add(elementPath(path, i)+".weight", "weight %v, expected 0 to %v", s.Weight, MaxWeight)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		c.doc.Add(path, "no service with a weight above 0")
	}
}
