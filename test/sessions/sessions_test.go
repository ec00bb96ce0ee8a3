// Package sessions_test runs scripted sessions of real processes and compares their outputs with
// golden files. A session has a fake platform, fake engines and a fake plain service, two instances
// in two availability zones, and the operators' tool.
//
// Each script under testdata starts its own processes. Those that still run at its end are stopped.
// `go test ./test/sessions -update` rewrites the expected outputs.
package sessions_test

import (
	"flag"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "rewrite the expected outputs")

// portNames lists the environment variables that hold the ports of a session.
var portNames = []string{
	"PLATFORM", "ENGINE_A", "ENGINE_B", "PORTAL",
	"LISTEN_1", "PEER_1", "ADMIN_1", "LISTEN_2", "PEER_2", "ADMIN_2",
}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"norm":     normMain,
		"until":    untilMain,
		"call":     callMain,
		"together": parallelMain,
	})
}

func TestSessions(t *testing.T) {
	readSources(t)
	bin := buildPrograms(t)
	examples, err := filepath.Abs(filepath.Join("..", "..", "examples"))
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Cmds:          map[string]func(*testscript.TestScript, bool, []string){"fill": expandPorts},
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(filepath.ListSeparator)+env.Getenv("PATH"))
			env.Setenv("EXAMPLES", examples)
			ports := reservePorts(env.Defer, len(portNames))
			var names []string
			for i, name := range portNames {
				env.Setenv(name, ports[i])
				names = append(names, ports[i]+"="+name)
			}
			env.Setenv("PORT_NAMES", strings.Join(names, ","))
			env.Setenv("EBONYDYKE_PLATFORM", "http://127.0.0.1:"+ports[0])
			env.Setenv("EBONYDYKE_INSTANCES", "127.0.0.1:"+env.Getenv("ADMIN_1")+",127.0.0.1:"+env.Getenv("ADMIN_2"))
			return writeFiles(env)
		},
	})
}

// buildPrograms builds every program and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./cmd/...", "./test/standin")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// readSources reads the sources of the programs that the test builds. The cache of test results
// tracks the files that a test opens, but not those that a child process opens, such as the
// compiler. Without these reads it would return the result for an older build.
func readSources(t *testing.T) {
	t.Helper()
	root := filepath.Join("..", "..")
	for _, dir := range []string{"api", "cmd", "internal", "test"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
				return nil
			}
			_, err = os.ReadFile(path)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// The ports of sessions are below the range from which the system takes the ports of outgoing
// connections, so that no such connection can use one of them.
const (
	firstPort     = 20_000
	portBlocks    = 600
	portBlockSize = 16
)

// reservePorts finds a block of free ports. The first port of the block stays bound until the
// session ends: it marks the block as taken for other sessions, also in other test processes. The
// other ports are free until the session's processes bind them.
func reservePorts(cleanup func(func()), n int) []string {
	for {
		first := firstPort + portBlockSize*rand.IntN(portBlocks)
		mark, err := net.Listen("tcp", address(first))
		if err != nil {
			continue
		}
		ports := freePorts(first+1, n)
		if len(ports) == n {
			cleanup(func() { _ = mark.Close() })
			return ports
		}
		_ = mark.Close()
	}
}

func freePorts(first, n int) []string {
	var ports []string
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", address(port))
		if err != nil {
			return nil
		}
		_ = l.Close()
		ports = append(ports, strconv.Itoa(port))
	}
	return ports
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// fleetConfig is the initial configuration of most sessions.
const fleetConfig = `{
  "services": [
    {"name": "portal", "kind": "plain", "backend_servers": [
      {"name": "portal-a", "address": "127.0.0.1:$PORTAL", "zone": "zone-1"}]},
    // The model service needs the portal.
    {"name": "underwriting", "kind": "model", "depends_on": ["portal"], "backend_servers": [
      {"name": "engine-a", "address": "127.0.0.1:$ENGINE_A", "zone": "zone-1"},
      {"name": "engine-b", "address": "127.0.0.1:$ENGINE_B", "zone": "zone-2"}]},
  ],
  "customers": [{"name": "branch-recife"}],
}
`

const instanceSettings = `{
  // One entry instance.
  "name": "entry-%[1]d",
  "zone": "zone-%[1]d",
  "listen": "127.0.0.1:$LISTEN_%[1]d",
  "peer_listen": "127.0.0.1:$PEER_%[1]d",
  "admin_listen": "127.0.0.1:$ADMIN_%[1]d",
  "platform": "http://127.0.0.1:$PLATFORM",
  "accept_delay": "200ms",
  "limits": {"drain_idle": "100ms"},
}
`

func writeFiles(env *testscript.Env) error {
	files := map[string]string{"fleet.json": fleetConfig}
	for i := 1; i <= 2; i++ {
		files[fmt.Sprintf("entry-%d.json", i)] = fmt.Sprintf(instanceSettings, i)
	}
	for name, text := range files {
		text = os.Expand(text, env.Getenv)
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// expandPorts replaces the names of ports by the session's ports in files of a script.
func expandPorts(ts *testscript.TestScript, _ bool, files []string) {
	for _, name := range files {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}
