package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/jsonc"
)

// base is a configuration text without findings. Each test changes one part of it.
const base = `{
"services": [
{"name": "llm", "kind": "model", "depends_on": ["portal"], "backend_servers": [
{"name": "e1", "address": "10.0.0.1:80", "zone": "a"}]},
{"name": "portal", "kind": "plain", "from_platform": true}],
"customers": [{"name": "c1"}],
"claims": {"window": "10m"},
}`

func check(text string) error {
	_, err := config.Check("t", config.Envelope{Generation: 1, Text: text})
	return err
}

func TestFindings(t *testing.T) {
	require.NoError(t, check(base))
	for _, c := range []struct{ name, old, new, want string }{
		{"duplicate service", `"portal", "kind"`, `"llm", "kind"`, `t:5:10: service "llm" is already declared at 3:10`},
		{"duplicate backend server", `"from_platform": true`, `"backend_servers": [{"name": "e1", "address": "10.0.0.2:80", "zone": "a"}]`, `t:5:66: backend server "e1" is already declared at 4:10`},
		{"duplicate customer", `{"name": "c1"}`, `{"name": "c1"}, {"name": "c1"}`, `t:6:40: customer "c1" is already declared at 6:24`},
		{"duplicate model", `"depends_on"`, `"models": ["m", "m"], "depends_on"`, `t:3:50: model "m" is already declared at 3:45`},
		{"unknown dependency", `["portal"]`, `["portal", "x"]`, `t:3:59: unknown service "x", expected a service of this text`},
		{"cycle", `"from_platform"`, `"depends_on": ["llm"], "from_platform"`, `t:5:52: dependency cycle llm -> portal -> llm, expected none`},
		{"own dependency", `["portal"]`, `["llm"]`, `t:3:49: dependency cycle llm -> llm, expected none`},
		{"kind", `"plain"`, `"engine"`, `t:5:28: kind "engine", expected "model" or "plain"`},
		{"models of a plain service", `"from_platform"`, `"models": ["m"], "from_platform"`, `t:5:47: models on the plain service "portal", expected none`},
		{"no backend servers", `, "from_platform": true`, ``, `t:5:1: service "portal" has no backend servers`},
		{"no services", base, `{"services": [], "customers": [{"name": "c"}]}`, `t:1:14: no services`},
		{"no customers", `{"name": "c1"}`, ``, `t:6:14: no customers`},
		{"bad name", `"c1"`, `"c 1"`, `t:6:24: name "c 1", expected up to 64 letters`},
		{"no zone", `, "zone": "a"`, ``, `t:4:1: zone "", expected`},
		{"host name", `10.0.0.1:80`, `engine:80`, `t:4:27: address "engine:80", expected IP:port`},
		{"no port", `10.0.0.1:80`, `10.0.0.1:0`, `t:4:27: address "10.0.0.1:0", expected IP:port`},
		{"bound of 1", `"kind": "model"`, `"kind": "model", "skew_bound": 1`, `t:3:48: skew_bound 1, expected above 1`},
		{"bound of 0", `"kind": "model"`, `"kind": "model", "skew_bound": 0`, `t:3:48: skew_bound must be above 0`},
		{"capacity", `"kind": "model"`, `"kind": "model", "capacity": 0`, `t:3:46: capacity must be above 0`},
		{"retry share", `"kind": "model"`, `"kind": "model", "retry_share": 1.5`, `t:3:49: retry_share 1.5, expected at most 1`},
		{"attempts", `"kind": "model"`, `"kind": "model", "max_attempts": 11`, `t:3:50: max_attempts 11, expected at most 10`},
		{"deadline over window", `"kind": "model"`, `"kind": "model", "deadline": "10m"`, `t:3:46: deadline 10m0s, expected under the claim window of 10m0s`},
		{"negative window", `"10m"`, `"-1s"`, `t:7:22: window must be above 0`},
		{"short window", `"window": "10m"`, `"window": "14s"`, `t:7:22: window 14s, expected at least 15s`},
		{"weight", `"c1"`, `"c1", "weight": -1`, `t:6:40: weight must be above 0`},
		{"huge weight", `"c1"`, `"c1", "weight": 1e308`, `t:6:40: weight 1e+308, expected at most 1e+09`},
		{"huge share", `"claims"`, `"routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "stream", "timeout": "1s",
 "split": [{"service": "llm", "weight": 1e308}, {"service": "portal", "weight": 1e308}]}], "claims"`, `weight 1e+308, expected 0 to 1e+09`},
		{"region of a customer", `"c1"`, `"c1", "regions": ["north", "a b"]`, `t:6:51: regions[1] "a b", expected up to 64 letters`},
		{"regions as text", `"c1"`, `"c1", "regions": "north"`, `t:6:41: expected a list, found text`},
		{"region of a route", `"claims"`, `"routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "stream", "timeout": "1s",
 "split": [{"service": "llm", "weight": 1}], "regions": [""]}], "claims"`, `t:8:58: regions[0] "", expected up to 64 letters`},
		{"goal of a route", `"claims"`, `"routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "stream", "timeout": "1s", "goal": "2000000h",
 "split": [{"service": "llm", "weight": 1}]}], "claims"`, `timeout or goal 2000000h0m0s, expected at most 24h0m0s`},
		{"limit", `"c1"`, `"c1", "max_in_flight": -1`, `t:6:47: max_in_flight -1, expected 0 for no bound`},
		{"too many services", `{"name": "llm"`, strings.Repeat(`{"name": "s"},`, config.MaxServices) + `{"name": "llm"`, `t:2:13: 1002 services, expected at most 1000`},
		{"not UTF-8", `"c1"`, "\"c\xff\"", `t:1:1: bytes that are not UTF-8`},
		{"too large", `"claims"`, "// " + strings.Repeat(`"`, config.MaxEncodedBytes/2) + "\n" + `"claims"`, `t:1:1: text takes `},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, 1, strings.Count(base, c.old), "the replaced text must occur exactly once")
			require.ErrorContains(t, check(strings.Replace(base, c.old, c.new, 1)), c.want)
		})
	}
}

// TestAllFindingsReportedTogether requires findings from parsing and from validation in
// one report.
func TestAllFindingsReportedTogether(t *testing.T) {
	text := strings.NewReplacer(`"10m"`, `10`, `["portal"]`, `["x"]`, `10.0.0.1:80`, `e1`, `"from_platform"`, `"from_platforms"`).Replace(base)
	var findings config.Findings
	require.ErrorAs(t, check(text), &findings)
	require.Len(t, findings, 5, findings.Error())
}

// In a text of almost a megabyte, each service depends on every service, which makes some
// 45,000 cycles. The report must stay short, since every instance that reads the text from
// the store logs the report and keeps it.
func TestCycleReportStaysShort(t *testing.T) {
	const services = 300
	var all, text strings.Builder
	for i := range services {
		fmt.Fprintf(&all, "\"s%d\",", i)
	}
	text.WriteString(`{"customers": [{"name": "c"}], "services": [`)
	for i := range services {
		fmt.Fprintf(&text, `{"name": "s%d", "kind": "plain", "from_platform": true, "depends_on": [%s]},`, i, &all)
	}
	text.WriteString("]}")
	var findings config.Findings
	require.ErrorAs(t, check(text.String()), &findings)
	require.Len(t, findings, jsonc.MaxFindings+1)
	require.Less(t, len(findings.Error()), 100*200)
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*.json")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		snapshot, err := config.Check(file, config.Envelope{Text: string(text)})
		require.NoError(t, err)
		require.Equal(t, 10, snapshot.Customers())
	}
}

func FuzzCheck(f *testing.F) {
	f.Add(base)
	for _, seed := range []string{
		``, `{}`, `[]`, `{"services":[{}]}`, `{"services":[{"depends_on":["",""]},{"depends_on":[""]}]}`,
		`{"claims":{"window":"2562047h47m16.854775807s","ranges":-1}}`, `{"services":[{"skew_bound":1e309}]}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		snapshot, err := config.Check("t", config.Envelope{Text: text})
		require.Equal(t, err == nil, snapshot != nil)
		var findings config.Findings
		if err != nil {
			require.ErrorAs(t, err, &findings)
		}
	})
}

// BenchmarkCheck checks a text of the size expected after two years. An instance checks a
// text between two decisions, for each of 1,000 changes a day.
func BenchmarkCheck(b *testing.B) {
	for _, customers := range []int{10, 960, 9600} {
		var text strings.Builder
		text.WriteString(`{"services": [`)
		for i := range 27 {
			fmt.Fprintf(&text, "\n{\"name\": \"model-%d\", \"kind\": \"model\", \"from_platform\": true},", i)
		}
		text.WriteString(`], "customers": [`)
		for i := range customers {
			fmt.Fprintf(&text, "\n{\"name\": \"customer-%d\", \"weight\": %d},", i, 1+i%8)
		}
		text.WriteString("]}")
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := check(text.String()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
