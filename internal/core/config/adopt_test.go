package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// route returns a route of the service "s".
func route(prefix string, kind config.RouteKind) config.Route {
	return config.Route{Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 1e9, Split: []config.Share{{Service: "s", Weight: 1}}}
}

// Guards against a prefix that does not end with a slash and takes requests from routes with longer prefixes, or leaves its own to
// shorter ones.
func TestLongestPrefixAppliesWithAnyEnd(t *testing.T) {
	text := config.Text{
		Services: []config.Service{{Name: "s", Kind: config.Plain, FromPlatform: true}},
		Routes:   []config.Route{route("/", config.Idempotent), route("/ab", config.Idempotent), route("/abc", config.Idempotent), route("/abc/", config.Idempotent), route("/abc/d", config.Idempotent)},
	}
	s, adjusted := config.Adopt(config.Envelope{}, text)
	require.Empty(t, adjusted.List)
	for path, want := range map[string]string{
		"/": "/", "/a": "/", "/ab": "/ab", "/ab/x": "/ab", "/abx/y": "/ab", "/abc": "/abc", "/abcd/e/f": "/abc", "/abc/": "/abc/", "/abc/x/y": "/abc/",
		"/abc/d": "/abc/d", "/abc/dx/y": "/abc/d", "/b/abc/": "/",
	} {
		require.Equal(t, want, s.Route("h", path).Name, path)
	}
	require.Nil(t, s.Route("other", "/abc"))
	seen := make(map[string]bool)
	s.EachRoute(func(r *config.Route) { seen[r.Name] = true })
	require.Len(t, seen, len(text.Routes))
}

// Guards against the second of two routes with the same match, which may permit what the first does not.
func TestFirstOfEqualMatchesApplies(t *testing.T) {
	second := route("/a/", config.Idempotent)
	second.Anonymous = true
	text := config.Text{
		Services: []config.Service{{Name: "s", Kind: config.Plain, FromPlatform: true}},
		Routes:   []config.Route{route("/a/", config.NonIdempotent), second},
	}
	s, adjusted := config.Adopt(config.Envelope{}, text)
	require.Len(t, adjusted.List, 1)
	require.Equal(t, config.Adjustment{Element: "routes[1].prefix", Problem: "host and prefix are those of a route that is declared before", Effect: config.LeftOut}, adjusted.List[0])
	require.Equal(t, config.NonIdempotent, s.Route("h", "/a/x").Kind)
	require.False(t, s.Route("h", "/a/x").Anonymous)
}

// Guards against a key of a customer that cannot be served, and of another one, that is taken for the other one's although the
// first declared it.
func TestFirstHolderOfAKeyApplies(t *testing.T) {
	text := config.Text{Customers: []config.Customer{
		{Name: "", APIKeys: []string{"refused"}}, {Name: "a", APIKeys: []string{"refused", "of-a"}}, {Name: "b", APIKeys: []string{"of-a", "of-b"}}, {Name: "a", APIKeys: []string{"of-a-too"}},
	}}
	s, adjusted := config.Adopt(config.Envelope{}, text)
	require.Len(t, adjusted.List, 3)
	require.True(t, s.RefusesKey("refused"))
	require.Nil(t, s.CustomerByKey("refused"))
	for key, customer := range map[string]string{"of-a": "a", "of-a-too": "a", "of-b": "b"} {
		require.Equal(t, customer, s.CustomerByKey(key).Name, key)
		require.False(t, s.RefusesKey(key))
	}
	for _, a := range adjusted.List {
		require.NotContains(t, a.String(), "of-a")
	}
}
