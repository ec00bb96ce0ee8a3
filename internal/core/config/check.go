package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/ebonydyke/ebonydyke/internal/jsonc"
)

// Finding is one error in a configuration text, with its position.
type Finding = jsonc.Finding

// Findings holds all findings of one text.
type Findings = jsonc.Findings

// Limits on the configuration text.
const (
	// MaxEncodedBytes is the maximum size of the text in bytes, as encoded in the JSON
	// envelope. The platform's store holds values of up to a megabyte.
	MaxEncodedBytes = 1_000_000 - 1_000
	// MaxNameBytes is the maximum length of a name in bytes. Names are used in headers and
	// labels.
	MaxNameBytes = 64
	// MaxServices limits the services and thereby the work of resolving their
	// dependencies. In an adopted configuration it limits those that no route names.
	MaxServices = 1_000
	// MaxAttemptsLimit is the maximum of max_attempts.
	MaxAttemptsLimit = 10
	// MaxDuration is the maximum of a route's timeout and goals. No caller waits longer, and multiples of it are far from the
	// range of durations.
	MaxDuration = Duration(24 * time.Hour)
	// MaxWeight is the maximum weight of a service in a split, and of a customer. Sums of weights are far from infinite, and
	// smaller shares than one in MaxWeight are none.
	MaxWeight = 1e9
	// MaxWarmUp is the maximum of a warm-up's duration.
	MaxWarmUp = Duration(10 * time.Minute)
	// MinClaimWindow is the minimum claim window. It leaves a request with a key time to
	// run before its claim expires.
	MinClaimWindow = 15 * time.Second
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]*$`)
)

// Check parses and validates the text of an envelope in the fleet's own format. The error is of type Findings and
// holds every finding, in the order of the text. It refuses a text with findings whole, because its writer checks it in the same
// way before the store accepts it, and sees the findings.
func Check(file string, env Envelope) (*Snapshot, error) {
	if problem := storageProblem(env.Text); problem != "" {
		return nil, Findings{{File: file, Line: 1, Column: 1, Message: problem}}
	}
	doc, err := jsonc.Parse(file, []byte(env.Text))
	if err != nil {
		return nil, err
	}
	var t Text
	doc.Decode(&t)
	c := checker{doc: doc, text: &t, services: make(map[string]int), backends: make(map[string]string)}
	c.checkExplicitValues()
	fillDefaults(&t)
	c.check()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return newSnapshot(env, t), nil
}

// Defaults returns the configuration of one service and one customer with all optional
// fields at their defaults.
func Defaults() Text {
	t := Text{Services: make([]Service, 1), Customers: make([]Customer, 1)}
	fillDefaults(&t)
	return t
}

// storageProblem returns why a text can't be stored, or "" if it can.
func storageProblem(text string) string {
	if !utf8.ValidString(text) {
		return "bytes that are not UTF-8, expected UTF-8 text"
	}
	encoded, _ := json.Marshal(text)
	if len(encoded) > MaxEncodedBytes {
		return fmt.Sprintf("text takes %d bytes in the store, expected at most %d", len(encoded), MaxEncodedBytes)
	}
	return ""
}

// checker validates text and adds its findings to doc.
type checker struct {
	doc  *jsonc.Document
	text *Text
	// services maps the name of each service to its index.
	services map[string]int
	// backends maps the name of each backend server to its path.
	backends map[string]string
}

// checkExplicitValues finds explicit numbers that are out of range. It runs before
// defaults replace the omitted ones.
func (c *checker) checkExplicitValues() {
	for i := range c.text.Services {
		s := &c.text.Services[i]
		path := elementPath("services", i)
		c.checkPositive(path+".skew_bound", s.SkewBound)
		c.checkPositive(path+".capacity", float64(s.Capacity))
		c.checkPositive(path+".max_attempts", float64(s.MaxAttempts))
		c.checkPositive(path+".deadline", float64(s.Deadline))
		// 0 would be treated as omitted. max_attempts 1 disables retries.
		c.checkPositive(path+".retry_share", s.RetryShare)
	}
	for i := range c.text.Customers {
		c.checkPositive(elementPath("customers", i)+".weight", c.text.Customers[i].Weight)
		c.checkRegions(elementPath("customers", i)+".regions", c.text.Customers[i].Regions)
	}
	for i := range c.text.Routes {
		c.checkRegions(elementPath("routes", i)+".regions", c.text.Routes[i].Regions)
	}
	c.checkPositive("claims.window", float64(c.text.Claims.Window))
	c.checkPositive("limits.max_header", float64(c.text.Limits.MaxHeader))
	c.checkPositive("limits.max_body", float64(c.text.Limits.MaxBody))
	c.checkPositive("limits.header_timeout", float64(c.text.Limits.HeaderTimeout))
	c.checkPositive("limits.idle_timeout", float64(c.text.Limits.IdleTimeout))
}

// checkRegions finds invalid names of regions.
func (c *checker) checkRegions(path string, regions []string) {
	for i, name := range regions {
		c.checkName(elementPath(path, i), name)
	}
}

// checkPositive adds a finding if the value is present in the text and 0 or less.
func (c *checker) checkPositive(path string, value float64) {
	if value <= 0 && c.doc.Has(path) {
		c.doc.Add(path, "%s must be above 0", lastField(path))
	}
}

func (c *checker) check() {
	if len(c.text.Services) == 0 {
		c.doc.Add("services", "no services, expected at least one")
	}
	if len(c.text.Services) > MaxServices {
		c.doc.Add("services", "%d services, expected at most %d", len(c.text.Services), MaxServices)
		return
	}
	if len(c.text.Customers) == 0 && len(c.text.Routes) == 0 {
		c.doc.Add("customers", "no customers, expected at least one: requests of unknown customers are refused")
	}
	c.checkNames()
	for i := range c.text.Services {
		c.checkService(elementPath("services", i), &c.text.Services[i])
	}
	c.checkModels()
	c.checkCycles()
	c.checkCustomers()
	c.checkRoutes()
	c.checkClaims()
}

// checkNames finds invalid and duplicate names of services.
func (c *checker) checkNames() {
	for i := range c.text.Services {
		s := &c.text.Services[i]
		path := elementPath("services", i)
		c.checkName(path+".name", s.Name)
		if first, ok := c.services[s.Name]; ok && s.Name != "" {
			c.doc.Add(path+".name", "service %q is already declared at %s", s.Name, c.position(elementPath("services", first)+".name"))
			continue
		}
		c.services[s.Name] = i
	}
}

func (c *checker) checkService(path string, s *Service) {
	if s.Kind != Model && s.Kind != Plain {
		c.doc.Add(path+".kind", "kind %q, expected %q or %q", s.Kind, Model, Plain)
	}
	if len(s.BackendServers) == 0 && !s.FromPlatform {
		c.doc.Add(path+".backend_servers", "service %q has no backend servers, expected a list or from_platform", s.Name)
	}
	for i, name := range s.DependsOn {
		if _, ok := c.services[name]; !ok {
			c.doc.Add(elementPath(path+".depends_on", i), "unknown service %q, expected a service of this text", name)
		}
	}
	for i := range s.BackendServers {
		c.checkBackend(elementPath(path+".backend_servers", i), &s.BackendServers[i])
	}
	c.checkLimits(path, s)
}

func (c *checker) checkBackend(path string, b *BackendServer) {
	c.checkName(path+".name", b.Name)
	if first, ok := c.backends[b.Name]; ok && b.Name != "" {
		c.doc.Add(path+".name", "backend server %q is already declared at %s, expected names unique in the fleet", b.Name, c.position(first))
	} else {
		c.backends[b.Name] = path + ".name"
	}
	c.checkName(path+".zone", b.Zone)
	if addr, err := netip.ParseAddrPort(b.Address); err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		c.doc.Add(path+".address", "address %q, expected IP:port such as 10.0.0.1:8000", b.Address)
	}
}

func (c *checker) checkLimits(path string, s *Service) {
	if s.SkewBound > 0 && s.SkewBound <= 1 {
		c.doc.Add(path+".skew_bound", "skew_bound %v, expected above 1: at the mean itself there is no room for one more request", s.SkewBound)
	}
	if s.RetryShare > 1 {
		c.doc.Add(path+".retry_share", "retry_share %v, expected at most 1", s.RetryShare)
	}
	if s.MaxAttempts > MaxAttemptsLimit {
		c.doc.Add(path+".max_attempts", "max_attempts %d, expected at most %d", s.MaxAttempts, MaxAttemptsLimit)
	}
	if s.WarmUp != nil {
		c.checkWarmUp(path+".warm_up", s.WarmUp)
	}
	// If a claim expired while its request is running, a second request with the key would
	// run too.
	if s.Deadline >= c.text.Claims.Window && c.text.Claims.Window > 0 {
		c.doc.Add(path+".deadline", "deadline %v, expected under the claim window of %v", time.Duration(s.Deadline), time.Duration(c.text.Claims.Window))
	}
}

// checkWarmUp finds limits of cold backend servers that are out of range.
func (c *checker) checkWarmUp(path string, w *WarmUp) {
	if w.Duration < 0 || w.Duration > MaxWarmUp {
		c.doc.Add(path+".duration", "duration %v, expected from 0s to %v", time.Duration(w.Duration), time.Duration(MaxWarmUp))
	}
	if w.PerSecond < 0 {
		c.doc.Add(path+".per_second", "per_second %v, expected 0 or more", w.PerSecond)
	}
	if w.Overage < 1 {
		c.doc.Add(path+".overage", "overage %v, expected 1 or more", w.Overage)
	}
	if w.Slack < 0 {
		c.doc.Add(path+".slack", "slack %d, expected 0 or more", w.Slack)
	}
}

// checkModels finds invalid model names and models of more than one service.
func (c *checker) checkModels() {
	owners := make(map[string]string)
	for i := range c.text.Services {
		s := &c.text.Services[i]
		path := elementPath("services", i)
		if s.Kind == Plain && len(s.Models) > 0 {
			c.doc.Add(path+".models", "models on the plain service %q, expected none", s.Name)
		}
		if s.Kind != Model {
			continue
		}
		if len(s.Models) == 0 {
			c.checkModel(owners, path+".name", s.Name)
		}
		for j, m := range s.Models {
			c.checkModel(owners, elementPath(path+".models", j), m)
		}
	}
}

func (c *checker) checkModel(owners map[string]string, path, model string) {
	if len(model) > MaxNameBytes || !modelPattern.MatchString(model) {
		c.doc.Add(path, "model name %q, expected up to %d letters, digits and ._:/@-", model, MaxNameBytes)
		return
	}
	if first, ok := owners[model]; ok {
		c.doc.Add(path, "model %q is already declared at %s", model, c.position(first))
		return
	}
	owners[model] = path
}

func (c *checker) checkCustomers() {
	seen := make(map[string]int, len(c.text.Customers))
	keys := make(map[string]string)
	for i := range c.text.Customers {
		customer := &c.text.Customers[i]
		path := elementPath("customers", i)
		c.checkName(path+".name", customer.Name)
		if first, ok := seen[customer.Name]; ok && customer.Name != "" {
			c.doc.Add(path+".name", "customer %q is already declared at %s", customer.Name, c.position(elementPath("customers", first)+".name"))
		} else {
			seen[customer.Name] = i
		}
		if customer.Weight > MaxWeight {
			c.doc.Add(path+".weight", "weight %v, expected at most %v", customer.Weight, MaxWeight)
		}
		if customer.MaxInFlight < 0 {
			c.doc.Add(path+".max_in_flight", "max_in_flight %d, expected 0 for no bound, or more", customer.MaxInFlight)
		}
		c.checkKeys(path+".api_keys", customer.APIKeys, keys)
	}
}

// checkKeys finds empty API keys and keys of more than one customer. The finding does not
// contain the key, since findings are printed and logged.
func (c *checker) checkKeys(path string, list []string, keys map[string]string) {
	for i, key := range list {
		where := elementPath(path, i)
		if key == "" {
			c.doc.Add(where, "empty API key")
			continue
		}
		if first, ok := keys[key]; ok {
			c.doc.Add(where, "API key already given at %s", c.position(first))
			continue
		}
		keys[key] = where
	}
}

func (c *checker) checkClaims() {
	if window := time.Duration(c.text.Claims.Window); window > 0 && window < MinClaimWindow {
		c.doc.Add("claims.window", "window %s, expected at least %s", window, MinClaimWindow)
	}
}

func (c *checker) checkName(path, name string) { CheckName(c.doc, path, name) }

// CheckName adds a finding if a name is missing or not usable in headers, metric labels
// and paths.
func CheckName(doc *jsonc.Document, path, name string) {
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		doc.Add(path, "%s %q, expected up to %d letters, digits and ._- beginning with a letter or digit", lastField(path), name, MaxNameBytes)
	}
}

// position returns the position of a path as line:column.
func (c *checker) position(path string) string {
	line, column := c.doc.Position(path)
	return fmt.Sprintf("%d:%d", line, column)
}

// lastField returns the last field of a path.
func lastField(path string) string {
	return path[strings.LastIndexByte(path, '.')+1:]
}

// elementPath appends an index to a path.
func elementPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
