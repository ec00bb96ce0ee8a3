package main

import (
	"bufio"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runMainEnv is the environment variable that makes the test binary run the command instead of the
// tests.
const runMainEnv = "EBONYDYKE_TEST_AS_STANDIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a process that can't be stopped by an interrupt. Tests that a script starts in the
// background inherit an ignored interrupt and pass it on to the processes that they start. The
// session tests stop these by an interrupt and waited forever.
func TestExitsOnInterruptIgnoredByParent(t *testing.T) {
	signal.Ignore(os.Interrupt)
	t.Cleanup(func() { signal.Reset(os.Interrupt) })
	process := exec.Command(os.Args[0], "plain", "--name", "portal-a")
	process.Env = append(os.Environ(), runMainEnv+"=1")
	out, err := process.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "listening on 127.0.0.1:")

	require.NoError(t, process.Process.Signal(syscall.SIGINT))

	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the process still runs after an interrupt")
	}
}
