package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that a reload ends while it starts: SIGHUP comes while it reads its settings, here from a pipe.
func TestReloadDoesNotEndAProcessThatStarts(t *testing.T) {
	dir := t.TempDir()
	binary, settings := filepath.Join(dir, "ebonydyked"), filepath.Join(dir, "settings.json")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	require.NoError(t, syscall.Mkfifo(settings, 0o600))
	command := exec.Command(binary, "--settings", settings)
	require.NoError(t, command.Start())
	time.AfterFunc(time.Minute, func() { _ = command.Process.Kill() })

	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // Returns once the process has opened the other end.
	require.NoError(t, err)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, _ = pipe.WriteString(`{"name": 1}`)
	require.NoError(t, pipe.Close())

	var exit *exec.ExitError
	require.ErrorAs(t, command.Wait(), &exit)
	require.Equal(t, exitFindings, exit.ExitCode(), "it ended by its settings: %v", exit)
}
