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

// asStandin makes the test's program run as the stand-in.
const asStandin = "EBONYDYKE_TEST_AS_STANDIN"

func TestMain(m *testing.M) {
	if os.Getenv(asStandin) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// A script that starts tests in its background hands them an ignored interrupt, and
// they hand it on. The sessions end their stand-ins by an interrupt: these ignored it,
// and the sessions waited for their end without end.
func TestEndsByAnInterruptThatItsParentIgnores(t *testing.T) {
	signal.Ignore(os.Interrupt)
	t.Cleanup(func() { signal.Reset(os.Interrupt) })
	process := exec.Command(os.Args[0], "plain", "--name", "portal-a")
	process.Env = append(os.Environ(), asStandin+"=1")
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
		t.Fatal("the stand-in goes on after an interrupt")
	}
}
