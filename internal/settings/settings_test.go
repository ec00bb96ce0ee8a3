package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/settings"
)

const validSettings = `{
  // One entry instance.
  "name": "entry-1",
  "zone": "recife-a",
  "listen": "0.0.0.0:7080",
  "peer_listen": "10.20.1.5:7081",
  "platform": "http://10.20.0.1:7000",
}`

func TestDefaults(t *testing.T) {
	s, err := settings.Parse("s", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:7090", s.AdminListen)
	require.Equal(t, config.Duration(10*time.Second), s.AcceptDelay)
	require.Equal(t, settings.Default().Limits, s.Limits)
}

// TestFractionalRetryBurst guards against rejecting a fractional retry_burst. A platform derives
// the value from the size of the fleet; while only whole numbers were accepted, the
// instance did not start.
func TestFractionalRetryBurst(t *testing.T) {
	s, err := settings.Parse("s", []byte(strings.Replace(validSettings, `"name"`, `"bounds": {"retry_burst": 33.1578947368421}, "name"`, 1)))
	require.NoError(t, err)
	require.InDelta(t, 33.1578947368421, s.Bounds.RetryBurst, 0)
}

// Guards against an instance that does not start, or that knows no region, because the platform fills in something else for one zone
// or for all.
func TestZoneRegions(t *testing.T) {
	for text, want := range map[string]settings.ZoneRegions{
		`{"a": "north", "b": "south", /* here */ "c": "",}`:          {"a": "north", "b": "south", "c": ""},
		`{"a": "north", "b": 5, "c": null, "d": ["south"], "e": {}}`: {"a": "north", "b": "", "c": "", "d": "", "e": ""},
		`null`: {}, `"north"`: {}, `["a", "b"]`: {}, `7`: {}, `{}`: {},
	} {
		s, err := settings.Parse("s", []byte(strings.Replace(validSettings, `"name"`, `"region": "north", "zones": `+text+`, "name"`, 1)))
		require.NoError(t, err, text)
		require.Equal(t, want, s.Zones, text)
		require.Equal(t, "north", s.Region)
	}
}

// TestReportsAllFindings checks that all findings of a file are reported together.
func TestReportsAllFindings(t *testing.T) {
	_, err := settings.Parse("s.json", []byte(`{
  "name": "entry 1",
  "listen": "localhost:80",
  "peer_listen": "0.0.0.0:7081",
  "admin_listen": "10.0.0.1:7081",
  "platform": "10.20.0.1:7000",
  "seeds": ["10.0.0.2:0", "10.0.0.3:7081"],
  "accept_delay": "-1s",
  "dialect": "latin", "ready_listen": "x", "stop_grace": "-1s",
  "bounds": {"skew_bound": 1, "skew_slack": -1, "retry_share": 2, "retry_burst": -1},
  "limits": {"max_body": 0, "inactivity": "fast", "max_headers": 4},
  "log_verbosity": 10,
  "zone_names": "a",
}`))
	require.EqualError(t, err, strings.TrimSpace(`
s.json:1:1: zone "", expected up to 64 letters, digits and ._- beginning with a letter or digit
s.json:2:11: name "entry 1", expected up to 64 letters, digits and ._- beginning with a letter or digit
s.json:3:13: listen "localhost:80", expected IP:port such as 10.0.0.1:7080
s.json:4:18: peer_listen "0.0.0.0:7081", expected IP:port that other instances can connect to, such as 10.0.0.1:7081
s.json:6:15: platform "10.20.0.1:7000", expected a URL such as http://10.0.0.1:7000
s.json:7:13: seeds[0] "10.0.0.2:0", expected IP:port that other instances can connect to, such as 10.0.0.1:7081
s.json:8:19: accept_delay -1s, expected 0s or more
s.json:9:14: dialect "latin", expected "native" or "platform"
s.json:9:39: ready_listen "x", expected IP:port such as 10.0.0.1:7080
s.json:9:58: stop_grace -1s, expected 0s or more
s.json:10:28: skew_bound 1, expected above 1
s.json:10:45: skew_slack -1, expected 0 or more
s.json:10:64: retry_share 2, expected above 0 and at most 1
s.json:10:82: retry_burst -1, expected 0 or more
s.json:11:26: max_body must be above 0
s.json:11:43: duration: expected text such as "30s", found "fast"
s.json:11:51: unknown field "max_headers", expected one of max_conns, max_descriptors, max_body, max_bodies, max_memory, max_response, max_header, read_timeout, caller_idle, write_stall, accept_quiet, accept_max, drain_idle, dial_timeout, backend_idle, inactivity
s.json:12:20: log_verbosity 10, expected from 0 to 9
s.json:13:3: unknown field "zone_names", expected one of name, fleet, zone, region, zones, listen, peer_listen, admin_listen, dialect, ready_listen, platform, config_bound, drain_bound, evacuate_bound, platform_settle, seeds, accept_delay, stop_grace, bounds, limits, log_verbosity
`))
}

func TestDuplicateListenAddress(t *testing.T) {
	_, err := settings.Parse("s", []byte(strings.Replace(validSettings, "0.0.0.0:7080", "10.20.1.5:7081", 1)))
	require.EqualError(t, err, `s:6:18: peer_listen "10.20.1.5:7081" is already the address of listen, expected another`)
}
