// Package settings reads the daemon's own settings: its identity, its addresses and its
// limits. The behaviour of the fleet is defined in the operators' configuration instead.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/jsonc"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Settings are the daemon's own settings, in JSON with comments.
type Settings struct {
	// Name identifies the instance. It must be unique among the running instances of the
	// fleet.
	Name string `json:"name"`
	// Fleet is the name of the fleet. It is the same on all its instances and differs from
	// that of every other fleet. Instances with another value are refused as peers.
	Fleet string `json:"fleet"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Region is the region of the instance's zone, unless `zones` names another one. It may be
	// omitted if there is only one region.
	Region string `json:"region"`
	// Zones maps each availability zone to its region, for routes and customers that name
	// regions. A zone that is missing here, or whose region is empty, is in none.
	Zones ZoneRegions `json:"zones"`
	// Listen is the address for callers, as IP:port.
	Listen string `json:"listen"`
	// PeerListen is the address for the other instances, as IP:port. It is advertised to
	// them unchanged.
	PeerListen string `json:"peer_listen"`
	// AdminListen is the address for operators and metrics, as IP:port. It has no
	// authentication, so keep it on loopback or on an operators' network.
	AdminListen string `json:"admin_listen"`
	// Dialect is the protocol of callers and backend servers: "native", the fleet's own, or
	// "platform", that of the users' platform.
	Dialect Dialect `json:"dialect"`
	// ReadyListen is an address that serves only the readiness check, as IP:port, for a load
	// balancer that must not reach admin_listen. If it is omitted, there is none.
	ReadyListen string `json:"ready_listen"`
	// Platform is the base URL of the platform's store.
	Platform string `json:"platform"`
	// ConfigBound is the time after the store accepted a configuration from which it must be in
	// force on every instance that reaches the platform.
	ConfigBound config.Duration `json:"config_bound"`
	// DrainBound is the time after the store accepted the entry of a backend server that leaves
	// from which no such instance may send it new requests.
	DrainBound config.Duration `json:"drain_bound"`
	// EvacuateBound is the time after the store accepted the evacuation of a zone, or its withdrawal, from which it
	// must be in force on every such instance.
	EvacuateBound config.Duration `json:"evacuate_bound"`
	// PlatformSettle is the time after a failure of the store, or of the path to it, from
	// which these three bounds hold again. It must exceed them.
	PlatformSettle config.Duration `json:"platform_settle"`
	// Seeds are peer addresses, as IP:port, from which to get the configuration and the
	// members if the platform is unavailable at startup.
	Seeds []string `json:"seeds"`
	// AcceptDelay is how long a stopping instance still accepts connections. It must exceed
	// the time that the load balancer takes to detect that the instance is not ready.
	AcceptDelay config.Duration `json:"accept_delay"`
	// StopGrace is the time between the stop signal and the kill of the process. Requests
	// still in progress shortly before the kill are ended in an orderly way. 0 means no
	// limit.
	StopGrace config.Duration `json:"stop_grace"`
	// Bounds are the guarantees that a configuration in the platform's own format does not
	// contain.
	Bounds Bounds `json:"bounds"`
	// Limits are the limits on the instance's resources that callers and backend servers can
	// use.
	Limits Limits `json:"limits"`
	// LogVerbosity is the log level, from 0 to 9; higher levels log more.
	LogVerbosity int `json:"log_verbosity"`
}

// Dialect names a protocol for callers and backend servers.
type Dialect string

// The dialects.
const (
	DialectNative   Dialect = "native"
	DialectPlatform Dialect = "platform"
)

// Bounds are the guarantees for services whose configuration does not contain them.
type Bounds struct {
	// SkewBound is the guaranteed maximum load of a backend server as a multiple of the mean
	// load, above 1.
	SkewBound float64 `json:"skew_bound"`
	// SkewSlack is the number of requests permitted beyond that multiple.
	SkewSlack int `json:"skew_slack"`
	// RetryShare is the number of retries that each request adds to the retry budget.
	RetryShare float64 `json:"retry_share"`
	// RetryBurst is the number of retries that the whole fleet may make before requests add
	// any to the budget. It may be a fraction, as from a platform that derives it from the
	// size of the fleet.
	RetryBurst float64 `json:"retry_burst"`
	// WarmUpOverage bounds the requests to a backend server that warms up: in any one second it gets at most what its
	// service announces that it tolerates a second, times the overage, plus the slack.
	WarmUpOverage float64 `json:"warm_up_overage"`
	// WarmUpSlack is the number of requests permitted beyond that multiple.
	WarmUpSlack int `json:"warm_up_slack"`
}

// Limits are the limits on an instance's resources that callers and backend servers can use.
type Limits struct {
	// MaxConns is the maximum number of connections from callers. It is lower if the process may open fewer file descriptors
	// than that and a quarter of them.
	MaxConns int `json:"max_conns"`
	// MaxDescriptors is the number of file descriptors that the process may open; 0 means the limit that the system tells it.
	MaxDescriptors int `json:"max_descriptors"`
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int `json:"max_body"`
	// MaxBodies is the maximum number of bytes that the bodies of all requests take together. It is lower if max_memory is
	// known and two fifths of it are less.
	MaxBodies int `json:"max_bodies"`
	// MaxMemory is the memory in megabytes that the process may take before it is killed; 0 means that it is not known.
	MaxMemory int `json:"max_memory"`
	// MaxResponse is the maximum size in bytes of a response body without a length, which may have no end. A longer one is broken
	// off. It does not apply to streams of events.
	MaxResponse int64 `json:"max_response"`
	// MaxHeader is the maximum size of a request or response header in bytes.
	MaxHeader int `json:"max_header"`
	// ReadTimeout limits the time to read one complete request.
	ReadTimeout config.Duration `json:"read_timeout"`
	// CallerIdle is how long an idle connection from a caller is kept open. It must be longer
	// than the load balancer keeps its own idle connections.
	CallerIdle config.Duration `json:"caller_idle"`
	// WriteStall is the maximum time during which a caller reads no byte of its response.
	WriteStall config.Duration `json:"write_stall"`
	// AcceptQuiet is the time without a new connection after which a stopping instance
	// closes its listener.
	AcceptQuiet config.Duration `json:"accept_quiet"`
	// AcceptMax limits the wait for accept_quiet, in case the load balancer ignores
	// readiness.
	AcceptMax config.Duration `json:"accept_max"`
	// DrainIdle is how long a caller's connection must have been idle before a stopping
	// instance closes it.
	DrainIdle config.Duration `json:"drain_idle"`
	// DialTimeout limits the time to open a connection to a backend server, directly or through
	// other instances.
	DialTimeout config.Duration `json:"dial_timeout"`
	// BackendIdle is how long an idle connection to a backend server is kept open if the
	// server announces no keep-alive time.
	BackendIdle config.Duration `json:"backend_idle"`
	// Inactivity is the time without a byte of a stream of the fleet's own interface after which its engine is asked for
	// the rest on another connection. The first one stays open until the other delivers.
	Inactivity config.Duration `json:"inactivity"`
}

// MaxVerbosity is the maximum of log_verbosity.
const MaxVerbosity = 9

// Default returns the default settings, which a settings file overrides. The instance's
// name, its location and the addresses for callers and peers have no defaults.
func Default() Settings {
	return Settings{
		AdminListen:    "127.0.0.1:7090",
		Dialect:        DialectNative,
		ConfigBound:    config.Duration(4 * time.Second),
		DrainBound:     config.Duration(4 * time.Second),
		EvacuateBound:  config.Duration(5 * time.Second),
		PlatformSettle: config.Duration(5 * time.Second),
		AcceptDelay:    config.Duration(10 * time.Second),
		Bounds:         Bounds{SkewBound: config.DefaultSkewBound, RetryShare: config.DefaultRetryShare, WarmUpOverage: config.DefaultWarmUpOverage},
		Limits: Limits{
			MaxConns:    proxy.DefaultMaxConns,
			MaxBody:     proxy.DefaultMaxBody,
			MaxBodies:   proxy.DefaultMaxBodies,
			MaxResponse: proxy.DefaultMaxResponse,
			MaxHeader:   proxy.DefaultMaxHeader,
			ReadTimeout: config.Duration(proxy.DefaultReadTimeout),
			CallerIdle:  config.Duration(proxy.DefaultCallerIdle),
			WriteStall:  config.Duration(proxy.DefaultWriteStall),
			AcceptQuiet: config.Duration(proxy.DefaultAcceptQuiet),
			AcceptMax:   config.Duration(proxy.DefaultAcceptMax),
			DrainIdle:   config.Duration(proxy.DefaultDrainIdle),
			DialTimeout: config.Duration(proxy.DefaultDialTimeout),
			BackendIdle: config.Duration(proxy.DefaultBackendIdle),
			Inactivity:  config.Duration(proxy.DefaultInactivity),
		},
	}
}

// Read reads and validates a settings file. If the file can be read but is invalid, the
// error is of type jsonc.Findings.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates the contents of a settings file. The error is of type
// jsonc.Findings and holds every finding.
func Parse(file string, text []byte) (*Settings, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	s := Default()
	doc.Decode(&s)
	check(doc, &s)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func check(doc *jsonc.Document, s *Settings) {
	config.CheckName(doc, "name", s.Name)
	config.CheckName(doc, "zone", s.Zone)
	if s.Region != "" {
		config.CheckName(doc, "region", s.Region)
	}
	checkAddress(doc, "listen", s.Listen)
	checkAddress(doc, "admin_listen", s.AdminListen)
	checkDialable(doc, "peer_listen", s.PeerListen)
	for i, seed := range s.Seeds {
		checkDialable(doc, fmt.Sprintf("seeds[%d]", i), seed)
	}
	checkDistinctAddresses(doc, s)
	if u, err := url.Parse(s.Platform); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		doc.Add("platform", "platform %q, expected a URL such as http://10.0.0.1:7000", s.Platform)
	}
	if s.Dialect != DialectNative && s.Dialect != DialectPlatform {
		doc.Add("dialect", "dialect %q, expected %q or %q", s.Dialect, DialectNative, DialectPlatform)
	}
	if s.ReadyListen != "" {
		checkAddress(doc, "ready_listen", s.ReadyListen)
	}
	if s.StopGrace < 0 {
		doc.Add("stop_grace", "stop_grace %v, expected 0s or more", time.Duration(s.StopGrace))
	}
	checkBounds(doc, &s.Bounds)
	checkPositive(doc, "config_bound", s.ConfigBound)
	checkPositive(doc, "drain_bound", s.DrainBound)
	checkPositive(doc, "evacuate_bound", s.EvacuateBound)
	checkPositive(doc, "platform_settle", s.PlatformSettle)
	if s.AcceptDelay < 0 {
		doc.Add("accept_delay", "accept_delay %v, expected 0s or more", time.Duration(s.AcceptDelay))
	}
	if s.LogVerbosity < 0 || s.LogVerbosity > MaxVerbosity {
		doc.Add("log_verbosity", "log_verbosity %d, expected from 0 to %d", s.LogVerbosity, MaxVerbosity)
	}
	checkLimits(doc, &s.Limits)
}

func checkPositive(doc *jsonc.Document, path string, d config.Duration) {
	if d <= 0 {
		doc.Add(path, "%s %v, expected more than 0s", path, time.Duration(d))
	}
}

func checkAddress(doc *jsonc.Document, path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		doc.Add(path, "%s %q, expected IP:port such as 10.0.0.1:7080", path, address)
	}
}

// checkDialable adds a finding for an address that other instances cannot connect to.
func checkDialable(doc *jsonc.Document, path, address string) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		doc.Add(path, "%s %q, expected IP:port that other instances can connect to, such as 10.0.0.1:7081", path, address)
	}
}

// checkDistinctAddresses adds a finding for an address that is used for two listeners.
func checkDistinctAddresses(doc *jsonc.Document, s *Settings) {
	seen := make(map[string]string)
	for _, listener := range []struct{ path, address string }{
		{"listen", s.Listen}, {"peer_listen", s.PeerListen}, {"admin_listen", s.AdminListen},
		{"ready_listen", s.ReadyListen},
	} {
		addr, err := netip.ParseAddrPort(listener.address)
		if err != nil || addr.Port() == 0 {
			continue
		}
		if first := seen[listener.address]; first != "" {
			doc.Add(listener.path, "%s %q is already the address of %s, expected another", listener.path, listener.address, first)
		}
		seen[listener.address] = listener.path
	}
}

func checkBounds(doc *jsonc.Document, b *Bounds) {
	if b.SkewBound <= 1 {
		doc.Add("bounds.skew_bound", "skew_bound %v, expected above 1", b.SkewBound)
	}
	if b.SkewSlack < 0 {
		doc.Add("bounds.skew_slack", "skew_slack %d, expected 0 or more", b.SkewSlack)
	}
	if b.RetryShare <= 0 || b.RetryShare > 1 {
		doc.Add("bounds.retry_share", "retry_share %v, expected above 0 and at most 1", b.RetryShare)
	}
	if b.RetryBurst < 0 {
		doc.Add("bounds.retry_burst", "retry_burst %v, expected 0 or more", b.RetryBurst)
	}
	if b.WarmUpOverage < 1 {
		doc.Add("bounds.warm_up_overage", "warm_up_overage %v, expected 1 or more", b.WarmUpOverage)
	}
	if b.WarmUpSlack < 0 {
		doc.Add("bounds.warm_up_slack", "warm_up_slack %d, expected 0 or more", b.WarmUpSlack)
	}
}

func checkLimits(doc *jsonc.Document, l *Limits) {
	if l.MaxDescriptors < 0 {
		doc.Add("limits.max_descriptors", "max_descriptors %d, expected 0 or more", l.MaxDescriptors)
	}
	if l.MaxMemory < 0 {
		doc.Add("limits.max_memory", "max_memory %d, expected 0 or more", l.MaxMemory)
	}
	for _, limit := range []struct {
		path  string
		value int64
	}{
		{"max_bodies", int64(l.MaxBodies)},
		{"max_conns", int64(l.MaxConns)},
		{"max_body", int64(l.MaxBody)},
		{"max_response", l.MaxResponse},
		{"max_header", int64(l.MaxHeader)},
		{"read_timeout", int64(l.ReadTimeout)},
		{"caller_idle", int64(l.CallerIdle)},
		{"write_stall", int64(l.WriteStall)},
		{"accept_quiet", int64(l.AcceptQuiet)},
		{"accept_max", int64(l.AcceptMax)},
		{"drain_idle", int64(l.DrainIdle)},
		{"dial_timeout", int64(l.DialTimeout)},
		{"backend_idle", int64(l.BackendIdle)},
		{"inactivity", int64(l.Inactivity)},
	} {
		if limit.value <= 0 {
			doc.Add("limits."+limit.path, "%s must be above 0", limit.path)
		}
	}
}
